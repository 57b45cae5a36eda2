package cmd

import (
	"laburnumfall/internal/keeper"
	"laburnumfall/internal/routing"
)

// Hooks change a keeper or a router before it runs. The zero value changes nothing. Tests that
// run the programs as separate processes use hooks to inject faulty clocks, disks and
// connections.
type Hooks struct {
	// ConfigureKeeper and ConfigureRouter, if set, may change the exported fields of the keeper
	// or router before it runs. They apply only to programs on the users' platform.
	ConfigureKeeper func(k *keeper.Keeper)
	ConfigureRouter func(r *routing.Service)
}
