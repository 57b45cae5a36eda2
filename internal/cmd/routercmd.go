package cmd

import (
	"context"
	"io"

	"laburnumfall/internal/clock"
	"laburnumfall/internal/router"
	"laburnumfall/internal/settings"
	"laburnumfall/internal/stall"
)

// platformOptions are the options of programs that can run on the users' platform.
type platformOptions struct {
	commonOptions
	Platform bool `long:"platform" description:"run on the users' platform, with the settings that it provides"`
}

// A platformSelector reports whether a program runs on the users' platform, and whether it only
// checks its settings.
type platformSelector interface {
	usesPlatform() bool
	checkOnly() bool
}

func (o *platformOptions) usesPlatform() bool { return o.Platform && !o.Version }

func (o *platformOptions) checkOnly() bool { return o.Check }

// Router runs lf-router and returns its exit code.
func Router(args []string, stdout, stderr io.Writer) int {
	return Hooks{}.RunRouter(args, stdout, stderr)
}

// RunRouter runs lf-router with the hooks applied and returns its exit code.
func (h Hooks) RunRouter(args []string, stdout, stderr io.Writer) int {
	var options platformOptions
	routerProgram := program[settings.Router]{name: "lf-router", readSettings: settings.ReadRouter}
	routerProgram.run = func(ctx context.Context, routerSettings settings.Router) error {
		node := &router.Router{Settings: routerSettings, Log: settings.Logger(routerSettings.Name, routerSettings.Level, routerSettings.Format), Clock: clock.NewRealClock()}
		go func() { _ = (&stall.Monitor{Log: node.Log}).Run(ctx) }() // It returns only when ctx ends.
		return node.Run(ctx)
	}
	routerProgram.runOnPlatform = h.runPlatformRouter
	return routerProgram.main(&options, &options.commonOptions, args, stdout, stderr)
}
