// Command lf-local runs a small fleet in one process on loopback.
package main

import (
	"os"

	"laburnumfall/internal/cmd"
)

func main() {
	os.Exit(cmd.Local(os.Args[1:], os.Stdout, os.Stderr))
}
