package cmd

import (
	"laburnumfall/internal/keeper"
	"laburnumfall/internal/routing"
)

// A Host is what programs on the users' platform take from the machine that they run
// on. The zero value is the machine as it is. Tests that run the programs as processes
// of their own put clocks, disks and links in its place that misbehave to order.
type Host struct {
	// Keeper and Router, if set, may change a part's exported fields before it runs.
	Keeper func(k *keeper.Keeper)
	Router func(r *routing.Service)
}
