package cmd

import (
	"github.com/jessevdk/go-flags"

	"laburnumfall/internal/explain"
)

// sizesCmd is "lfctl sizes FILE…".
type sizesCmd struct {
	Args struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes"`

	ctl *ctl
}

func (c *ctl) addSizes(p *flags.Parser) error {
	_, err := p.AddCommand("sizes", "tell from log files what callers got by size", "Tells from routers' log files, for each route, which part of the requests was served, of the largest tenth and of the fifth below it, and how long refused ones had waited.", &sizesCmd{ctl: c})
	return err
}

// Execute implements flags.Commander.
func (s *sizesCmd) Execute([]string) error {
	list, err := explain.ReadSizeStats(logFiles(s.Args.Files))
	if err != nil {
		return err
	}
	if s.ctl.JSON {
		return s.ctl.printJSON(list)
	}
	return explain.PrintSizeStats(s.ctl.stdout, list)
}
