package cmd

import (
	"context"
	"io"

	"laburnumfall/internal/settings"
	"laburnumfall/internal/standin"
)

// Standin runs lf-standin and returns its exit code.
func Standin(args []string, stdout, stderr io.Writer) int {
	var o common
	p := program[standin.Settings]{name: "lf-standin", read: standin.ReadSettings}
	p.run = func(ctx context.Context, s standin.Settings) error {
		server := &standin.Standin{Settings: s, Log: settings.Logger(s.Name, s.LogLevel, s.LogFormat)}
		return server.Run(ctx)
	}
	return p.main(&o, &o, args, stdout, stderr)
}
