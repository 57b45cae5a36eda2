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

func (c *ctl) addSizes(parser *flags.Parser) error {
	_, err := parser.AddCommand("sizes", "show from log files how requests were served by size", "Shows from routers' log files, for each route, which part of the requests was served, of all, of the largest tenth and of the fifth below it, and how long refused requests had waited.", &sizesCmd{ctl: c})
	return err
}

// Execute implements flags.Commander.
func (s *sizesCmd) Execute([]string) error {
	list, err := explain.SizesOf(logFiles(s.Args.Files))
	if err != nil {
		return err
	}
	if s.ctl.JSON {
		return s.ctl.printJSON(list)
	}
	return explain.PrintSizes(s.ctl.stdout, list)
}
