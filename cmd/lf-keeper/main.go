// Command lf-keeper replicates the state of the fleet and divides the slots of targets among routers.
package main

import (
	"os"

	"laburnumfall/internal/cmd"
)

func main() {
	os.Exit(cmd.Keeper(os.Args[1:], os.Stdout, os.Stderr))
}
