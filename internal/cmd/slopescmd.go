package cmd

import (
	"io"

	"laburnumfall/internal/regression"
)

// slopesOptions are the options of lf-slopes.
type slopesOptions struct {
	At      float64 `long:"at" default:"1900" description:"size at which the fitted values are printed"`
	Plot    string  `long:"plot" value-name:"FILE" description:"also plot the fits as a PNG file"`
	Version bool    `long:"version" description:"print the version and exit"`
}

// Slopes runs lf-slopes, which reads the output of go test -bench, and returns
// its exit code.
func Slopes(args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	var options slopesOptions
	if _, code, exit := parse("lf-slopes", &options, args, stdout, stderr); exit {
		return code
	}
	if options.Version {
		return printVersion("lf-slopes", stdout)
	}
	series, err := regression.Read(stdin)
	if err != nil {
		return fail(stderr, exitUsage, err)
	}
	printf(stdout, "%s", regression.Table(series, options.At))
	if options.Plot == "" {
		return exitOK
	}
	if err := regression.Draw(series, options.Plot); err != nil {
		return fail(stderr, exitFailure, err)
	}
	return exitOK
}
