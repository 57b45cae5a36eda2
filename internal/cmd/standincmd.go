package cmd

import (
	"context"
	"io"

	"laburnumfall/internal/settings"
	"laburnumfall/internal/standin"
)

// Standin runs lf-standin and returns its exit code.
func Standin(args []string, stdout, stderr io.Writer) int {
	var options commonOptions
	standinProgram := program[standin.Settings]{name: "lf-standin", readSettings: standin.Read}
	standinProgram.run = func(ctx context.Context, standinSettings standin.Settings) error {
		server := &standin.Standin{Settings: standinSettings, Log: settings.Logger(standinSettings.Name, standinSettings.Level, standinSettings.Format)}
		return server.Run(ctx)
	}
	return standinProgram.main(&options, &options, args, stdout, stderr)
}
