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

func (c *ctl) addHeld(parser *flags.Parser) error {
	_, err := parser.AddCommand("held", "list the requests that terminate targets", "Lists the requests that have terminated targets: the account, how many targets they terminated, when, and how the requests are restricted.", &heldCmd{ctl: c})
	return err
}

// Execute implements flags.Commander.
func (h *heldCmd) Execute([]string) error {
	var result message.QuarantineResult
	if err := h.ctl.call(ctlTimeout, message.MethodListQuarantine, struct{}{}, &result); err != nil {
		return err
	}
	if h.ctl.JSON {
		return h.ctl.printJSON(result)
	}
	w := tabwriter.NewWriter(h.ctl.stdout, 0, 0, 2, ' ', 0)
	printf(w, "PRINT\tACCOUNT\tROUTE\tENDS\tFIRST\tLAST\tSTATE\n")
	for _, entry := range result.Entries {
		printf(w, "%s\t%s\t%s\t%d\t%s ago\t%s ago\t%s\n", entry.Fingerprint, entry.Account, entry.Destination, len(entry.TerminatedTargets),
			roundedAge(result.Now, entry.TerminatedTargets[0].At), roundedAge(result.Now, entry.LastTermination()), describeRestriction(result.Now, entry))
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("print the table: %w", err)
	}
	return nil
}

func roundedAge(now, at time.Time) time.Duration {
	return now.Sub(at).Round(time.Second)
}

// describeRestriction describes how the requests of a quarantine entry are restricted.
func describeRestriction(now time.Time, entry quarantine.Entry) string {
	restriction := entry.Restriction(now)
	nextRun := restriction.NextRunIn.Round(time.Second)
	switch {
	case restriction.PermitHolder != "":
		return "one run by " + restriction.PermitHolder
	case !entry.Quarantined():
		return "suspected: one run at a time"
	case restriction.NoTrialsLeft:
		return fmt.Sprintf("held back, no trial left, lapses in %s", nextRun)
	default:
		return fmt.Sprintf("held back, next trial in %s", nextRun)
	}
}

// liftCmd is "lfctl lift PRINT".
type liftCmd struct {
	Args struct {
		Fingerprint string `positional-arg-name:"PRINT" required:"1"`
	} `positional-args:"yes"`

	ctl *ctl
}

func (c *ctl) addLift(parser *flags.Parser) error {
	_, err := parser.AddCommand("lift", "release a request that is held back", "Releases the requests of one fingerprint, as listed by lfctl held. Use it once the software of the targets is fixed, or if the targets ended for another reason.", &liftCmd{ctl: c})
	return err
}

// Execute implements flags.Commander.
func (l *liftCmd) Execute([]string) error {
	request := message.LiftRequest{Fingerprint: quarantine.Fingerprint(l.Args.Fingerprint), Operator: operatorName()}
	if err := l.ctl.call(ctlTimeout, message.MethodLiftQuarantine, request, nil); err != nil {
		return err
	}
	printf(l.ctl.stdout, "lifted: three more ends hold it back again\n")
	return nil
}
