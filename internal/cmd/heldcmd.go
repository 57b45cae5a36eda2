package cmd

import (
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/jessevdk/go-flags"

	"laburnumfall/internal/message"
	"laburnumfall/internal/quarantine"
)

// heldCmd is "lfctl held".
type heldCmd struct {
	ctl *ctl
}

func (c *ctl) addHeld(p *flags.Parser) error {
	_, err := p.AddCommand("held", "list the requests under which targets end", "Lists the requests under which targets have ended: whose they are, how many ended, since when, and what becomes of them.", &heldCmd{ctl: c})
	return err
}

// Execute implements flags.Commander.
func (h *heldCmd) Execute([]string) error {
	var held message.QuarantineResult
	if err := h.ctl.call(ctlTimeout, message.MethodListQuarantine, struct{}{}, &held); err != nil {
		return err
	}
	if h.ctl.JSON {
		return h.ctl.printJSON(held)
	}
	w := tabwriter.NewWriter(h.ctl.stdout, 0, 0, 2, ' ', 0)
	say(w, "PRINT\tACCOUNT\tROUTE\tENDS\tFIRST\tLAST\tSTATE\n")
	for _, e := range held.Entries {
		say(w, "%s\t%s\t%s\t%d\t%s ago\t%s ago\t%s\n", e.Fingerprint, e.Account, e.Destination, len(e.TerminatedTargets),
			agoOf(held.Now, e.TerminatedTargets[0].At), agoOf(held.Now, e.LastTermination()), stateOf(held.Now, e))
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	return nil
}

func agoOf(now, at time.Time) time.Duration {
	return now.Sub(at).Round(time.Second)
}

// stateOf tells in words what becomes of a request.
func stateOf(now time.Time, e quarantine.Entry) string {
	r := e.Restriction(now)
	next := r.NextRunIn.Round(time.Second)
	switch {
	case r.PermitHolder != "":
		return "one run by " + r.PermitHolder
	case !e.Quarantined():
		return "suspected: one run at a time"
	case r.NoTrialsLeft:
		return fmt.Sprintf("held back, no trial left, lapses in %s", next)
	default:
		return fmt.Sprintf("held back, next trial in %s", next)
	}
}

// liftCmd is "lfctl lift PRINT".
type liftCmd struct {
	Args struct {
		Print string `positional-arg-name:"PRINT" required:"1"`
	} `positional-args:"yes"`

	ctl *ctl
}

func (c *ctl) addLift(p *flags.Parser) error {
	_, err := p.AddCommand("lift", "free a request that is held back", "Frees the requests of one fingerprint, as lfctl held lists it: after the targets' software is mended, or where targets ended for another reason.", &liftCmd{ctl: c})
	return err
}

// Execute implements flags.Commander.
func (l *liftCmd) Execute([]string) error {
	lift := message.LiftRequest{Fingerprint: quarantine.Fingerprint(l.Args.Print), Operator: operator()}
	if err := l.ctl.call(ctlTimeout, message.MethodLiftQuarantine, lift, nil); err != nil {
		return err
	}
	say(l.ctl.stdout, "lifted: three more ends hold it back again\n")
	return nil
}
