package cmd

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"

	"laburnumfall/internal/explain"
)

// explainCmd is "lfctl explain ID [FILE…]".
type explainCmd struct {
	Args struct {
		ID    string   `positional-arg-name:"ID" required:"yes"`
		Files []string `positional-arg-name:"FILE"`
	} `positional-args:"yes"`

	ctl *ctl
}

func (c *ctl) addExplain(parser *flags.Parser) error {
	_, err := parser.AddCommand("explain", "explain the outcome of a request from log files", "Shows from log files, or from standard input, the log lines of a request, the state of the processes that handled it, and why it ended as it did.", &explainCmd{ctl: c})
	return err
}

// Execute implements flags.Commander.
func (e *explainCmd) Execute([]string) (err error) {
	sources := logFiles(e.Args.Files)
	if len(sources) == 0 {
		spooled, err := spoolToFile(os.Stdin)
		if err != nil {
			return err
		}
		defer func() { err = errors.Join(err, os.Remove(string(spooled))) }()
		sources = []explain.Source{spooled}
	}
	story, err := explain.Find(e.Args.ID, sources)
	if err != nil {
		return err
	}
	if e.ctl.JSON {
		return e.ctl.printJSON(struct {
			*explain.Story
			Cause explain.Cause
		}{story, story.Cause()})
	}
	return story.Print(e.ctl.stdout)
}

func logFiles(names []string) []explain.Source {
	sources := make([]explain.Source, 0, len(names))
	for _, name := range names {
		sources = append(sources, explain.File(name))
	}
	return sources
}

// spoolToFile copies a log into a temporary file, because the log is read twice.
func spoolToFile(r io.Reader) (explain.File, error) {
	file, err := os.CreateTemp("", "lfctl-explain-*.log")
	if err != nil {
		return "", fmt.Errorf("copy standard input to a temporary file (name log files instead): %w", err)
	}
	_, err = io.Copy(file, r)
	return explain.File(file.Name()), errors.Join(err, file.Close())
}
