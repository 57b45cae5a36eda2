// Command lfctl is the command line tool for operators.
package main

import (
	"os"

	"laburnumfall/internal/cmd"
)

func main() {
	os.Exit(cmd.Ctl(os.Args[1:], os.Stdout, os.Stderr))
}
