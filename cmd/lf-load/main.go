// Command lf-load plays loads against models of engines, with the decisions of routers.
package main

import (
	"os"

	"laburnumfall/internal/cmd"
)

func main() {
	os.Exit(cmd.Load(os.Args[1:], os.Stdout, os.Stderr))
}
