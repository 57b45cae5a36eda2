package cmd

import (
	"encoding/json"

	"github.com/jessevdk/go-flags"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/message"
)

// applyCmd is "lfctl apply FILE".
type applyCmd struct {
	Wait bool `long:"wait" description:"wait until the configuration is in force at every router with a lease"`
	Args struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"yes" required:"yes"`

	ctl *ctl
}

func (c *ctl) addApply(parser *flags.Parser) error {
	_, err := parser.AddCommand("apply", "put a configuration in force", "Puts a complete configuration in force. Its number must be above the one in force. Repeating the command with the same number and the same content is safe.", &applyCmd{ctl: c})
	return err
}

// Execute implements flags.Commander.
func (a *applyCmd) Execute([]string) error {
	config, err := readConfig(a.Args.File)
	if err != nil {
		return err
	}
	timeout := ctlTimeout
	if a.Wait {
		timeout = ctlApplyWaitTimeout
	}
	params := message.ApplyRequest{Config: json.RawMessage(config.JSON()), Operator: operatorName(), Wait: a.Wait}
	var applied message.ApplyResult
	if err := a.ctl.call(timeout, message.MethodApply, params, &applied); err != nil {
		return err
	}
	if applied.Conflict {
		return a.conflictError(config, applied)
	}
	if a.ctl.JSON {
		return a.ctl.printJSON(applied)
	}
	if applied.NewerNumber > 0 {
		printf(a.ctl.stdout, "accepted before: number %d, digest %s; nothing changed, number %d is in force\n", applied.Number, applied.Digest, applied.NewerNumber)
		return nil
	}
	printf(a.ctl.stdout, "accepted: number %d, digest %s\n", applied.Number, applied.Digest)
	if a.Wait {
		printf(a.ctl.stdout, "in force on %d routers\n", applied.Routers)
	}
	return nil
}

func (a *applyCmd) conflictError(config fleet.Config, applied message.ApplyResult) error {
	if a.ctl.JSON {
		if err := a.ctl.printJSON(applied); err != nil {
			return err
		}
	}
	return fleet.NewError(fleet.KindConflict, "look at it with lfctl diff, then apply with a number above it",
		"number %d is taken or past; number in force: %d, digest %s", config.Number, applied.Number, applied.Digest)
}
