package cmd

import (
	"github.com/jessevdk/go-flags"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/message"
)

// evacuateCmd is "lfctl evacuate ZONE".
type evacuateCmd struct {
	End  bool `long:"end" description:"take the zone back"`
	Args struct {
		Zone string `positional-arg-name:"ZONE" required:"1"`
	} `positional-args:"yes"`

	ctl *ctl
}

func (c *ctl) addEvacuate(p *flags.Parser) error {
	_, err := p.AddCommand("evacuate", "send nothing more to the targets of a zone", "Keeps new work from all targets of an availability zone, until --end takes it back. Requests in progress end there. The same order may be sent again.", &evacuateCmd{ctl: c})
	return err
}

// Execute implements flags.Commander.
func (e *evacuateCmd) Execute([]string) error {
	order := message.EvacuateRequest{Zone: fleet.Zone(e.Args.Zone), End: e.End, Operator: operator()}
	var result message.EvacuateResult
	if err := e.ctl.call(ctlTimeout, message.MethodEvacuate, order, &result); err != nil {
		return err
	}
	if e.ctl.JSON {
		return e.ctl.printJSON(result)
	}
	say(e.ctl.stdout, "evacuated: %v\n", result.Zones)
	return nil
}
