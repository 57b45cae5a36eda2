package cmd

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/jessevdk/go-flags"

	"laburnumfall/internal/fleet"
)

// showCmd is "lfctl show".
type showCmd struct {
	ctl *ctl
}

func (c *ctl) addShow(p *flags.Parser) error {
	_, err := p.AddCommand("show", "print the configuration in force", "Prints the configuration in force as TOML.", &showCmd{ctl: c})
	return err
}

// Execute implements flags.Commander.
func (s *showCmd) Execute([]string) error {
	config, _, err := s.ctl.inForce()
	if err != nil {
		return err
	}
	if s.ctl.JSON {
		return s.ctl.printJSON(config)
	}
	text, err := config.TOML()
	if err != nil {
		return err
	}
	say(s.ctl.stdout, "%s", text)
	return nil
}

// checkCmd is "lfctl check FILE".
type checkCmd struct {
	Args struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"yes" required:"yes"`

	ctl *ctl
}

func (c *ctl) addCheck(p *flags.Parser) error {
	_, err := p.AddCommand("check", "check a configuration file", "Checks a configuration file without asking a keeper.", &checkCmd{ctl: c})
	return err
}

// Execute implements flags.Commander.
func (k *checkCmd) Execute([]string) error {
	config, err := readConfig(k.Args.File)
	if err != nil {
		return err
	}
	say(k.ctl.stdout, "good: number %d, %d accounts, %d targets, %d events, %d routes, digest %s\n",
		config.Number, len(config.Accounts), len(config.Targets), len(config.Events), len(config.Routes), config.Digest())
	return nil
}

// diffCmd is "lfctl diff FILE".
type diffCmd struct {
	Args struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"yes" required:"yes"`

	ctl *ctl
}

func (c *ctl) addDiff(p *flags.Parser) error {
	_, err := p.AddCommand("diff", "compare a file with what is in force", "Prints what applying the file would take out (-) and bring in (+).", &diffCmd{ctl: c})
	return err
}

// Execute implements flags.Commander.
func (d *diffCmd) Execute([]string) error {
	next, err := readConfig(d.Args.File)
	if err != nil {
		return err
	}
	now, _, err := d.ctl.inForce()
	if err != nil {
		return err
	}
	say(d.ctl.stdout, "number %d -> %d\n", now.Number, next.Number)
	for _, line := range diffConfigs(now, next) {
		say(d.ctl.stdout, "%s\n", line)
	}
	return nil
}

// diffConfigs lists what two configurations do not have in common, one account,
// target or event a line.
func diffConfigs(now, next fleet.Config) []string {
	before, after := describe(now), describe(next)
	var lines []string
	lines = append(lines, missing("-", before, after)...)
	return append(lines, missing("+", after, before)...)
}

func missing(mark string, from, in []string) []string {
	known := make(map[string]bool, len(in))
	for _, line := range in {
		known[line] = true
	}
	var lines []string
	for _, line := range from {
		if !known[line] {
			lines = append(lines, mark+" "+line)
		}
	}
	return lines
}

func describe(c fleet.Config) []string {
	var lines []string
	for _, a := range c.Accounts {
		lines = append(lines, fmt.Sprintf("account %s share=%v keys=%d [%s] queue=%d", a.Name, a.Share, len(a.Keys), strings.Join(a.Keys, " "), a.EffectiveQueueLimit()))
	}
	for _, t := range c.Targets {
		lines = append(lines, fmt.Sprintf("target %s address=%s zone=%s kind=%s slots=%d fenced=%t state=%s", t.Name, t.Address, t.Zone, t.Kind, t.Slots, t.Fenced, t.State))
	}
	for _, e := range c.Events {
		lines = append(lines, fmt.Sprintf("event %s start=%s end=%s accounts=[%s] targets=[%s]", e.Name, e.Start, e.End, strings.Join(e.Accounts, " "), strings.Join(e.Targets, " ")))
	}
	return lines
}

// historyCmd is "lfctl history".
type historyCmd struct {
	ctl *ctl
}

func (c *ctl) addHistory(p *flags.Parser) error {
	_, err := p.AddCommand("history", "list accepted configurations", "Lists the last accepted configurations, the oldest first.", &historyCmd{ctl: c})
	return err
}

// Execute implements flags.Commander.
func (h *historyCmd) Execute([]string) error {
	_, show, err := h.ctl.inForce()
	if err != nil {
		return err
	}
	if h.ctl.JSON {
		return h.ctl.printJSON(show.History)
	}
	var b bytes.Buffer
	for _, change := range show.History {
		say(&b, "%d  %s  %s  %s\n", change.Number, change.Accepted.Format("2006-01-02T15:04:05Z07:00"), change.Digest, change.Operator)
	}
	say(h.ctl.stdout, "%s", b.String())
	return nil
}

// digestCmd is "lfctl digest KEY".
type digestCmd struct {
	Args struct {
		Key string `positional-arg-name:"KEY"`
	} `positional-args:"yes" required:"yes"`

	ctl *ctl
}

func (c *ctl) addDigest(p *flags.Parser) error {
	_, err := p.AddCommand("digest", "print the digest of a caller's key", "Prints the form in which a configuration holds a caller's key.", &digestCmd{ctl: c})
	return err
}

// Execute implements flags.Commander.
func (d *digestCmd) Execute([]string) error {
	say(d.ctl.stdout, "%s\n", fleet.KeyDigest(d.Args.Key))
	return nil
}
