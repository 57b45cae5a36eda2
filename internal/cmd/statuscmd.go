package cmd

import (
	"fmt"
	"text/tabwriter"

	"github.com/jessevdk/go-flags"

	"laburnumfall/internal/message"
)

// statusCmd is "lfctl status".
type statusCmd struct {
	ctl *ctl
}

func (c *ctl) addStatus(p *flags.Parser) error {
	_, err := p.AddCommand("status", "print the state of the fleet", "Prints the leader, the number in force, the keepers, and each router with its lag.", &statusCmd{ctl: c})
	return err
}

// Execute implements flags.Commander.
func (s *statusCmd) Execute([]string) error {
	var status message.Status
	if err := s.ctl.call(ctlTimeout, message.MethodStatus, struct{}{}, &status); err != nil {
		return err
	}
	if s.ctl.JSON {
		return s.ctl.printJSON(status)
	}
	say(s.ctl.stdout, "leader %s  term %d  number %d  digest %s  claims %d\n", status.Leader, status.Term, status.Number, status.Digest, status.Claims)
	say(s.ctl.stdout, "slots %d busy of %d  service gap %.3f\n", status.SlotsBusy, status.Slots, status.ServiceGap)
	if len(status.Evacuated) > 0 {
		say(s.ctl.stdout, "evacuated: %v\n", status.Evacuated)
	}
	if status.Quarantined > 0 {
		say(s.ctl.stdout, "%d requests are suspected or held back, since targets end under them: lfctl held\n", status.Quarantined)
	}
	if status.Changing {
		say(s.ctl.stdout, "a change of the keepers is on its way: touch no other keeper until it is done\n")
	}
	w := tabwriter.NewWriter(s.ctl.stdout, 0, 0, 2, ' ', 0)
	say(w, "KEEPER\tADDRESS\tVOTES\tHOLDS\n")
	for _, k := range status.Keepers {
		say(w, "%s\t%s\t%t\t%d of %d\n", k.Name, k.Address, k.Voter, k.MatchIndex, status.CommitIndex)
	}
	say(w, "ROUTER\tZONE\tNUMBER\tLAG\tWAITING\tRUNNING\n")
	for _, r := range status.Routers {
		say(w, "%s\t%s\t%d\t%d\t%d\t%d\n", r.Name, r.Zone, r.Number, r.ConfigLag, r.Waiting, r.Running)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	return nil
}
