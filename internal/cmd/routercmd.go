package cmd

import (
	"context"
	"io"

	"laburnumfall/internal/clock"
	"laburnumfall/internal/router"
	"laburnumfall/internal/settings"
	"laburnumfall/internal/stall"
)

// platformOptions are the options of programs that can run on the users'
// platform.
type platformOptions struct {
	common
	Platform bool `long:"platform" description:"run on the users' platform, under the settings that it names"`
}

// A platformOption tells whether a program is to run on the users' platform,
// and whether it is only to verify its settings.
type platformOption interface {
	onPlatform() bool
	checks() bool
}

func (o *platformOptions) onPlatform() bool { return o.Platform && !o.Version }

func (o *platformOptions) checks() bool { return o.Check }

// Router runs lf-router and returns its exit code.
func Router(args []string, stdout, stderr io.Writer) int {
	return Host{}.RunRouter(args, stdout, stderr)
}

// RunRouter runs lf-router on the host and returns its exit code.
func (h Host) RunRouter(args []string, stdout, stderr io.Writer) int {
	var o platformOptions
	p := program[settings.Router]{name: "lf-router", read: settings.ReadRouter}
	p.run = func(ctx context.Context, s settings.Router) error {
		r := &router.Router{Settings: s, Log: settings.Logger(s.Name, s.Level, s.Format), Clock: clock.NewRealClock()}
		go func() { _ = (&stall.Monitor{Log: r.Log}).Run(ctx) }() // it ends with ctx only
		return r.Run(ctx)
	}
	p.onPlatform = h.platformRouter
	return p.main(&o, &o.common, args, stdout, stderr)
}
