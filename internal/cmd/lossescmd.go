package cmd

import (
	"github.com/jessevdk/go-flags"

	"laburnumfall/internal/explain"
)

// lossesCmd is "lfctl losses FILE…".
type lossesCmd struct {
	By   explain.By `long:"by" choice:"route" choice:"account" choice:"size" default:"route" description:"how to group the requests"`
	Args struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes"`

	ctl *ctl
}

func (c *ctl) addLosses(parser *flags.Parser) error {
	_, err := parser.AddCommand("losses", "show from log files why requests were late or refused", "Shows from routers' log files, by route, account or size, which part of the requests was within its account's share, answered in time, late and why, refused and why, and how often an idle target was available.", &lossesCmd{ctl: c})
	return err
}

// Execute implements flags.Commander.
func (c *lossesCmd) Execute([]string) error {
	list, err := explain.LossesOf(logFiles(c.Args.Files), c.By)
	if err != nil {
		return err
	}
	if c.ctl.JSON {
		return c.ctl.printJSON(list)
	}
	return explain.PrintLosses(c.ctl.stdout, list)
}
