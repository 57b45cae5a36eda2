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

func (c *ctl) addExplain(p *flags.Parser) error {
	_, err := p.AddCommand("explain", "tell a request's life from log files", "Tells from log files, or from standard input, what became of a request, what its processes knew, and why it ended as it did.", &explainCmd{ctl: c})
	return err
}

// Execute implements flags.Commander.
func (e *explainCmd) Execute([]string) (err error) {
	sources := logFiles(e.Args.Files)
	if len(sources) == 0 {
		spooled, err := spool(os.Stdin)
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
			*explain.RequestReport
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

// spool keeps a log that can be read only once in a file, since it is read twice.
func spool(r io.Reader) (explain.File, error) {
	f, err := os.CreateTemp("", "lfctl-explain-*.log")
	if err != nil {
		return "", fmt.Errorf("keep standard input (name log files instead): %w", err)
	}
	_, err = io.Copy(f, r)
	return explain.File(f.Name()), errors.Join(err, f.Close())
}
