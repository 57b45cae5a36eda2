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

func (c *ctl) addStatus(parser *flags.Parser) error {
	_, err := parser.AddCommand("status", "print the state of the fleet", "Prints the leader, the number in force, the keepers, and each router with its lag.", &statusCmd{ctl: c})
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
	printf(s.ctl.stdout, "leader %s  term %d  number %d  digest %s  claims %d\n", status.Leader, status.Term, status.Number, status.Digest, status.Claims)
	printf(s.ctl.stdout, "slots %d busy of %d  service gap %.3f\n", status.SlotsBusy, status.Slots, status.ServiceGap)
	if len(status.Evacuated) > 0 {
		printf(s.ctl.stdout, "evacuated: %v\n", status.Evacuated)
	}
	if len(status.Unconfirmed) > 0 {
		printf(s.ctl.stdout, "evacuated, but no target is known there: %v (check the names; lfctl evacuate --end ZONE)\n", status.Unconfirmed)
	}
	if status.Quarantined > 0 {
		printf(s.ctl.stdout, "%d requests are suspected or held back, since targets end under them: lfctl held\n", status.Quarantined)
	}
	if status.Changing {
		printf(s.ctl.stdout, "the group of keepers is changing: do not stop or replace another keeper until it is done\n")
	}
	w := tabwriter.NewWriter(s.ctl.stdout, 0, 0, 2, ' ', 0)
	printf(w, "KEEPER\tADDRESS\tVOTES\tHOLDS\n")
	for _, keeper := range status.Keepers {
		printf(w, "%s\t%s\t%t\t%d of %d\n", keeper.Name, keeper.Address, keeper.Voter, keeper.MatchIndex, status.CommitIndex)
	}
	printf(w, "ROUTER\tZONE\tNUMBER\tLAG\tWAITING\tRUNNING\n")
	for _, router := range status.Routers {
		printf(w, "%s\t%s\t%d\t%d\t%d\t%d\n", router.Name, router.Zone, router.Number, router.ConfigLag, router.Waiting, router.Running)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("print the table: %w", err)
	}
	return nil
}
