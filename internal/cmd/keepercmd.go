package cmd

import (
	"context"
	"io"

	"laburnumfall/internal/clock"
	"laburnumfall/internal/journal"
	"laburnumfall/internal/keeper"
	"laburnumfall/internal/settings"
	"laburnumfall/internal/stall"
)

// keeperOptions are the options of lf-keeper.
type keeperOptions struct {
	platformOptions
	Init bool `long:"init" description:"found a new group of keepers; the data folder must be empty"`
}

// Keeper runs lf-keeper and returns its exit code.
func Keeper(args []string, stdout, stderr io.Writer) int {
	return Hooks{}.RunKeeper(args, stdout, stderr)
}

// RunKeeper runs lf-keeper with the hooks applied and returns its exit code.
func (h Hooks) RunKeeper(args []string, stdout, stderr io.Writer) int {
	var options keeperOptions
	keeperProgram := program[settings.Keeper]{name: "lf-keeper", readSettings: settings.ReadKeeper}
	keeperProgram.run = func(ctx context.Context, keeperSettings settings.Keeper) error {
		node := &keeper.Keeper{
			Settings: keeperSettings, Log: settings.Logger(keeperSettings.Name, keeperSettings.Level, keeperSettings.Format), Clock: clock.NewRealClock(),
			Disk: &journal.RealDisk{Folder: keeperSettings.Data}, Init: options.Init,
		}
		go func() { _ = (&stall.Monitor{Log: node.Log}).Run(ctx) }() // It returns only when ctx ends.
		return node.Run(ctx)
	}
	keeperProgram.runOnPlatform = h.runPlatformKeeper
	return keeperProgram.main(&options, &options.commonOptions, args, stdout, stderr)
}
