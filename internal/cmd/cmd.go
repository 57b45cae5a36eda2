// Package cmd holds the command line of each program. A main function only
// hands its arguments over and exits with what comes back.
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
	exitDone  = 0
	exitFail  = 1
	exitUsage = 2
)

// Version is the version of the programs.
const Version = "0.1.0"

// common are the options of every serving program.
type common struct {
	Config  string `long:"config" value-name:"FILE" description:"settings file (TOML)"`
	Check   bool   `long:"check" description:"verify the settings and exit"`
	Version bool   `long:"version" description:"print the version and exit"`
}

// parse reads the arguments into options. It reports the exit code if the
// program is to end at once.
func parse(name string, options any, args []string, stdout, stderr io.Writer) (rest []string, code int, ended bool) {
	p := flags.NewNamedParser(name, flags.HelpFlag|flags.PassDoubleDash)
	if _, err := p.AddGroup("Options", "", options); err != nil {
		return nil, fail(stderr, exitFail, err), true
	}
	rest, err := p.ParseArgs(args)
	var flagErr *flags.Error
	if errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp {
		say(stdout, "%s", flagErr.Message)
		return nil, exitDone, true
	}
	if err != nil {
		return nil, fail(stderr, exitUsage, fmt.Errorf("%w (see %s --help)", err, name)), true
	}
	return rest, exitDone, false
}

// early answers --version, and refuses a missing --config.
func (c common) early(name string, stdout, stderr io.Writer) (code int, ended bool) {
	if c.Version {
		return printVersion(name, stdout), true
	}
	if c.Config == "" {
		return fail(stderr, exitUsage, fmt.Errorf("no settings (name a file with --config)")), true
	}
	return exitDone, false
}

func printVersion(name string, stdout io.Writer) int {
	goVersion := ""
	if info, ok := debug.ReadBuildInfo(); ok {
		goVersion = info.GoVersion
	}
	say(stdout, "%s %s %s\n", name, Version, goVersion)
	return exitDone
}

// untilSignal returns a context that ends at SIGTERM or SIGINT.
func untilSignal() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

func fail(stderr io.Writer, code int, err error) int {
	say(stderr, "error: %v\n", err)
	return code
}

// say prints to a terminal or pipe: a reader that is gone is no reason to fail.
func say(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format, args...)
}

// A program is a serving program: how its settings are read, and how it runs.
type program[S any] struct {
	name string
	read func(file string) (S, error)
	run  func(ctx context.Context, s S) error
	// onPlatform, if set, runs the program on the users' platform.
	onPlatform func(ctx context.Context, p *platformProgram) error
}

// main runs the program and returns its exit code. Options holds the common
// ones and may hold more.
func (p program[S]) main(options any, o *common, args []string, stdout, stderr io.Writer) int {
	if _, code, ended := parse(p.name, options, args, stdout, stderr); ended {
		return code
	}
	if o, ok := options.(platformOption); ok && o.onPlatform() {
		return runPlatform(p.name, o.checks(), stdout, stderr, p.onPlatform)
	}
	if code, ended := o.early(p.name, stdout, stderr); ended {
		return code
	}
	s, err := p.read(o.Config)
	if err != nil {
		return fail(stderr, exitUsage, err)
	}
	if o.Check {
		say(stdout, "%s: settings are good\n", o.Config)
		return exitDone
	}
	ctx, cancel := untilSignal()
	defer cancel()
	err = p.run(ctx, s)
	var folder *keeper.DataDirInUseError
	switch {
	case errors.As(err, &folder):
		return fail(stderr, exitUsage, err)
	case err != nil:
		return fail(stderr, exitFail, err)
	}
	return exitDone
}
