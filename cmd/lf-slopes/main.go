// Command lf-slopes fits lines to benchmark results, for docs/CAPACITY.md.
package main

import (
	"os"

	"laburnumfall/internal/cmd"
)

func main() {
	os.Exit(cmd.Slopes(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
