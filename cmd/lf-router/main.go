// Command lf-router accepts requests from callers, queues them per client account and forwards them to targets.
package main

import (
	"os"

	"laburnumfall/internal/cmd"
)

func main() {
	os.Exit(cmd.Router(os.Args[1:], os.Stdout, os.Stderr))
}
