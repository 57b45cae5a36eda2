package cmd

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// programEnv names the environment variable with the program that the test binary runs.
const programEnv = "LF_TEST_PROGRAM"

var programs = map[string]func() int{
	"lf-router":  func() int { return Router(os.Args[1:], os.Stdout, os.Stderr) },
	"lf-keeper":  func() int { return Keeper(os.Args[1:], os.Stdout, os.Stderr) },
	"lf-standin": func() int { return Standin(os.Args[1:], os.Stdout, os.Stderr) },
	"lf-local":   func() int { return Local(os.Args[1:], os.Stdout, os.Stderr) },
	"lf-load":    func() int { return Load(os.Args[1:], os.Stdout, os.Stderr) },
	"lfctl":      func() int { return Ctl(os.Args[1:], os.Stdout, os.Stderr) },
}

func TestMain(m *testing.M) {
	if run, ok := programs[os.Getenv(programEnv)]; ok {
		os.Exit(run())
	}
	commands := make(map[string]func(), len(programs))
	for name, run := range programs {
		commands[name] = func() { os.Exit(run()) }
	}
	testscript.Main(m, commands)
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata/script"})
}
