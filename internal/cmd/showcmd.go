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

func (c *ctl) addShow(parser *flags.Parser) error {
	_, err := parser.AddCommand("show", "print the configuration in force", "Prints the configuration in force as TOML.", &showCmd{ctl: c})
	return err
}

// Execute implements flags.Commander.
func (s *showCmd) Execute([]string) error {
	config, _, err := s.ctl.activeConfig()
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
	printf(s.ctl.stdout, "%s", text)
	return nil
}

// checkCmd is "lfctl check FILE".
type checkCmd struct {
	Args struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"yes" required:"yes"`

	ctl *ctl
}

func (c *ctl) addCheck(parser *flags.Parser) error {
	_, err := parser.AddCommand("check", "check a configuration file", "Checks a configuration file without asking a keeper.", &checkCmd{ctl: c})
	return err
}

// Execute implements flags.Commander.
func (k *checkCmd) Execute([]string) error {
	config, err := readConfig(k.Args.File)
	if err != nil {
		return err
	}
	printf(k.ctl.stdout, "good: number %d, %d accounts, %d targets, %d events, %d routes, digest %s\n",
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

func (c *ctl) addDiff(parser *flags.Parser) error {
	_, err := parser.AddCommand("diff", "compare a file with the configuration in force", "Prints what applying the file would remove (-) and add (+).", &diffCmd{ctl: c})
	return err
}

// Execute implements flags.Commander.
func (d *diffCmd) Execute([]string) error {
	next, err := readConfig(d.Args.File)
	if err != nil {
		return err
	}
	current, _, err := d.ctl.activeConfig()
	if err != nil {
		return err
	}
	printf(d.ctl.stdout, "number %d -> %d\n", current.Number, next.Number)
	for _, line := range diffConfigs(current, next) {
		printf(d.ctl.stdout, "%s\n", line)
	}
	return nil
}

// diffConfigs lists the differences between two configurations, with one line for each account,
// target or event that only one of them has.
func diffConfigs(current, next fleet.Config) []string {
	currentLines, nextLines := describeConfig(current), describeConfig(next)
	var diff []string
	diff = append(diff, linesOnlyIn("-", currentLines, nextLines)...)
	return append(diff, linesOnlyIn("+", nextLines, currentLines)...)
}

// linesOnlyIn returns the lines that are not among the others, each after the prefix and a space.
func linesOnlyIn(prefix string, lines, others []string) []string {
	inOthers := make(map[string]bool, len(others))
	for _, line := range others {
		inOthers[line] = true
	}
	var diff []string
	for _, line := range lines {
		if !inOthers[line] {
			diff = append(diff, prefix+" "+line)
		}
	}
	return diff
}

func describeConfig(config fleet.Config) []string {
	var lines []string
	for _, account := range config.Accounts {
		lines = append(lines, fmt.Sprintf("account %s share=%v keys=%d [%s] queue=%d", account.Name, account.Share, len(account.Keys), strings.Join(account.Keys, " "), account.EffectiveQueueLimit()))
	}
	for _, target := range config.Targets {
		lines = append(lines, fmt.Sprintf("target %s address=%s zone=%s kind=%s slots=%d fenced=%t state=%s", target.Name, target.Address, target.Zone, target.Kind, target.Slots, target.Fenced, target.State))
	}
	for _, event := range config.Events {
		lines = append(lines, fmt.Sprintf("event %s start=%s end=%s accounts=[%s] targets=[%s]", event.Name, event.Start, event.End, strings.Join(event.Accounts, " "), strings.Join(event.Targets, " ")))
	}
	return lines
}

// historyCmd is "lfctl history".
type historyCmd struct {
	ctl *ctl
}

func (c *ctl) addHistory(parser *flags.Parser) error {
	_, err := parser.AddCommand("history", "list accepted configurations", "Lists the last accepted configurations, the oldest first.", &historyCmd{ctl: c})
	return err
}

// Execute implements flags.Commander.
func (h *historyCmd) Execute([]string) error {
	_, result, err := h.ctl.activeConfig()
	if err != nil {
		return err
	}
	if h.ctl.JSON {
		return h.ctl.printJSON(result.History)
	}
	var text bytes.Buffer
	for _, change := range result.History {
		printf(&text, "%d  %s  %s  %s\n", change.Number, change.Accepted.Format("2006-01-02T15:04:05Z07:00"), change.Digest, change.Operator)
	}
	printf(h.ctl.stdout, "%s", text.String())
	return nil
}

// digestCmd is "lfctl digest KEY".
type digestCmd struct {
	Args struct {
		Key string `positional-arg-name:"KEY"`
	} `positional-args:"yes" required:"yes"`

	ctl *ctl
}

func (c *ctl) addDigest(parser *flags.Parser) error {
	_, err := parser.AddCommand("digest", "print the digest of a caller's key", "Prints the form in which a configuration holds a caller's key.", &digestCmd{ctl: c})
	return err
}

// Execute implements flags.Commander.
func (d *digestCmd) Execute([]string) error {
	printf(d.ctl.stdout, "%s\n", fleet.KeyDigest(d.Args.Key))
	return nil
}
