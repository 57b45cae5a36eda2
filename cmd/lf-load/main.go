// Command lf-load simulates load on models of engines, with the routing decisions of the product and of other policies.
package main

import (
	"os"

	"laburnumfall/internal/cmd"
)

func main() {
	os.Exit(cmd.Load(os.Args[1:], os.Stdout, os.Stderr))
}
