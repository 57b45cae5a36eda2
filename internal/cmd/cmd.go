// Package cmd implements the command line of each program. A main function passes its arguments
// to this package and exits with the code that it returns.
package cmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"runtime/debug"
	"syscall"

	"laburnumfall/internal/keeper"

	"github.com/jessevdk/go-flags"
)

// The exit codes that all programs share. lfctl has more.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// Version is the version of all programs.
const Version = "0.1.0"

// commonOptions are the options that all servers share.
type commonOptions struct {
	Config  string `long:"config" value-name:"FILE" description:"settings file (TOML)"`
	Check   bool   `long:"check" description:"verify the settings and exit"`
	Version bool   `long:"version" description:"print the version and exit"`
}

// parse parses the arguments into options. It reports whether the program should exit at once,
// and with which code.
func parse(name string, options any, args []string, stdout, stderr io.Writer) (rest []string, code int, exit bool) {
	parser := flags.NewNamedParser(name, flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Options", "", options); err != nil {
		return nil, fail(stderr, exitFailure, err), true
	}
	rest, err := parser.ParseArgs(args)
	var flagErr *flags.Error
	if errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp {
		printf(stdout, "%s", flagErr.Message)
		return nil, exitOK, true
	}
	if err != nil {
		return nil, fail(stderr, exitUsage, fmt.Errorf("%w (see %s --help)", err, name)), true
	}
	return rest, exitOK, false
}

// earlyExit handles --version and a missing --config. It reports whether the program should exit,
// and with which code.
func (o commonOptions) earlyExit(name string, stdout, stderr io.Writer) (code int, exit bool) {
	if o.Version {
		return printVersion(name, stdout), true
	}
	if o.Config == "" {
		return fail(stderr, exitUsage, fmt.Errorf("--config is missing (name the settings file)")), true
	}
	return exitOK, false
}

func printVersion(name string, stdout io.Writer) int {
	goVersion := ""
	if info, ok := debug.ReadBuildInfo(); ok {
		goVersion = info.GoVersion
	}
	printf(stdout, "%s %s %s\n", name, Version, goVersion)
	return exitOK
}

// signalContext returns a context that is cancelled at SIGTERM or SIGINT.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

// fail prints an error and returns the exit code.
func fail(stderr io.Writer, code int, err error) int {
	printf(stderr, "error: %v\n", err)
	return code
}

// printf prints to a terminal or pipe. It ignores write errors: a reader that has closed its end
// is no reason for a program to fail.
func printf(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format, args...)
}

// A program describes a server: how its settings are read and how it runs.
type program[S any] struct {
	name         string
	readSettings func(file string) (S, error)
	run          func(ctx context.Context, settings S) error
	// runOnPlatform, if set, runs the program with the settings of the users' platform.
	runOnPlatform func(ctx context.Context, p *platformProgram) error
}

// main runs the program and returns its exit code. The parameter options is a struct that embeds
// the common options and may have more.
func (p program[S]) main(options any, common *commonOptions, args []string, stdout, stderr io.Writer) int {
	if _, code, exit := parse(p.name, options, args, stdout, stderr); exit {
		return code
	}
	if platformOpts, ok := options.(platformSelector); ok && platformOpts.usesPlatform() {
		return runPlatform(p.name, platformOpts.checkOnly(), stdout, stderr, p.runOnPlatform)
	}
	if code, exit := common.earlyExit(p.name, stdout, stderr); exit {
		return code
	}
	settings, err := p.readSettings(common.Config)
	if err != nil {
		return fail(stderr, exitUsage, err)
	}
	if common.Check {
		printf(stdout, "%s: settings are good\n", common.Config)
		return exitOK
	}
	ctx, cancel := signalContext()
	defer cancel()
	err = p.run(ctx, settings)
	var dirInUse *keeper.DataDirInUseError
	switch {
	case errors.As(err, &dirInUse):
		return fail(stderr, exitUsage, err)
	case err != nil:
		return fail(stderr, exitFailure, err)
	}
	return exitOK
}
