package cmd

import (
	"github.com/jessevdk/go-flags"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/message"
)

// evacuateCmd is "lfctl evacuate ZONE".
type evacuateCmd struct {
	End  bool `long:"end" description:"end the evacuation"`
	Args struct {
		Zone string `positional-arg-name:"ZONE" required:"1"`
	} `positional-args:"yes"`

	ctl *ctl
}

func (c *ctl) addEvacuate(parser *flags.Parser) error {
	_, err := parser.AddCommand("evacuate", "stop new work to the targets of a zone", "Sends no new work to the targets of an availability zone until the evacuation is ended with --end. Requests in progress finish there. Repeating the command is safe.", &evacuateCmd{ctl: c})
	return err
}

// Execute implements flags.Commander.
func (e *evacuateCmd) Execute([]string) error {
	request := message.EvacuateRequest{Zone: fleet.Zone(e.Args.Zone), End: e.End, Operator: operatorName()}
	var result message.EvacuateResult
	if err := e.ctl.call(ctlTimeout, message.MethodEvacuate, request, &result); err != nil {
		return err
	}
	if e.ctl.JSON {
		return e.ctl.printJSON(result)
	}
	printf(e.ctl.stdout, "evacuated: %v\n", result.Zones)
	if result.Unconfirmed {
		printf(e.ctl.stderr, "no target is known in zone %q: check the name\n", e.Args.Zone)
	}
	return nil
}
