package cmd

import (
	"io"

	"laburnumfall/internal/regression"
)

// slopesOptions are the options of lf-slopes.
type slopesOptions struct {
	At      float64 `long:"at" default:"1900" description:"size at which the fitted values are printed"`
	Plot    string  `long:"plot" value-name:"FILE" description:"also draw the fits into a PNG file"`
	Version bool    `long:"version" description:"print the version and exit"`
}

// Slopes runs lf-slopes, which reads the output of go test -bench, and returns
// its exit code.
func Slopes(args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	var o slopesOptions
	if _, code, ended := parse("lf-slopes", &o, args, stdout, stderr); ended {
		return code
	}
	if o.Version {
		return printVersion("lf-slopes", stdout)
	}
	series, err := regression.Read(stdin)
	if err != nil {
		return fail(stderr, exitUsage, err)
	}
	say(stdout, "%s", regression.Table(series, o.At))
	if o.Plot == "" {
		return exitDone
	}
	if err := regression.Draw(series, o.Plot); err != nil {
		return fail(stderr, exitFail, err)
	}
	return exitDone
}
