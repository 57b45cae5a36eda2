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
	Init bool `long:"init" description:"found a group on an empty data folder"`
}

// Keeper runs lf-keeper and returns its exit code.
func Keeper(args []string, stdout, stderr io.Writer) int {
	return Host{}.RunKeeper(args, stdout, stderr)
}

// RunKeeper runs lf-keeper on the host and returns its exit code.
func (h Host) RunKeeper(args []string, stdout, stderr io.Writer) int {
	var o keeperOptions
	p := program[settings.Keeper]{name: "lf-keeper", read: settings.ReadKeeper}
	p.run = func(ctx context.Context, s settings.Keeper) error {
		k := &keeper.Keeper{
			Settings: s, Log: settings.Logger(s.Name, s.Level, s.Format), Clock: clock.NewRealClock(),
			Disk: &journal.RealDisk{Folder: s.Data}, Init: o.Init,
		}
		go func() { _ = (&stall.Monitor{Log: k.Log}).Run(ctx) }() // it ends with ctx only
		return k.Run(ctx)
	}
	p.onPlatform = h.platformKeeper
	return p.main(&o, &o.common, args, stdout, stderr)
}
