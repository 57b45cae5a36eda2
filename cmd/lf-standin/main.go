// Command lf-standin runs a stand-in for a model engine or a plain service.
package main

import (
	"os"

	"laburnumfall/internal/cmd"
)

func main() {
	os.Exit(cmd.Standin(os.Args[1:], os.Stdout, os.Stderr))
}
