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
	p := program[standin.Settings]{name: "lf-standin", read: standin.Read}
	p.run = func(ctx context.Context, s standin.Settings) error {
		server := &standin.Standin{Settings: s, Log: settings.NewLogger(s.Name, s.Level, s.Format)}
		return server.Run(ctx)
	}
	return p.main(&o, &o, args, stdout, stderr)
}
