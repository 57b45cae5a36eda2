package keeper

import (
	"context"
	"time"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/message"
	"laburnumfall/internal/quarantine"
	"laburnumfall/internal/quorum"
	"laburnumfall/internal/statestore"
)

// quarantineCoordinator returns the coordinator of the current term, or false while this keeper
// may not answer for the state of the group. At the start of a term the coordinator has the
// entries of the log. Terminations that are not in the log yet, and completions of the last
// minute, follow with the next reports of the routers.
func (c *core) quarantineCoordinator(now time.Time) (*quarantine.Coordinator, bool) {
	if !c.isReadyLeader(now) {
		return nil, false
	}
	if c.coordinator == nil {
		c.coordinator = &quarantine.Coordinator{AvailableTargets: c.availableTargets}
		c.coordinator.Load(now, c.store.Quarantine().Entries())
		c.lastReports = make(map[routerKey]quarantine.Report)
	}
	return c.coordinator, true
}

// availableTargets returns the IDs of the targets of a pool that accept new work.
func (c *core) availableTargets(pool string) []string {
	var ids []string
	for _, instance := range c.renewals.targets {
		if instance.Pool == pool && !instance.Leaving {
			ids = append(ids, instance.ID)
		}
	}
	return ids
}

// handleQuarantineReport processes the terminations in a router's report. The resulting decisions
// take effect once a quorum has them, because routers only get what the log holds.
func (c *core) handleQuarantineReport(now time.Time, router string, report quarantine.Report) {
	coordinator, ok := c.quarantineCoordinator(now)
	if !ok {
		return // the router repeats its report
	}
	coordinator.HandleReport(now, router, report)
	c.proposeQuarantine(now, func(error) {})
}

// A pendingReport is the quarantine report of a router that serves events.
type pendingReport struct {
	router routerKey
	report quarantine.Report
}

// handlePendingReports processes the quarantine reports that routers serving events have sent
// since the last iteration, and returns whether there were any. It must run after committed
// entries are applied: only then may this keeper answer for the state of the group, and the grant
// that follows acknowledges the reports.
func (c *core) handlePendingReports(now time.Time) bool {
	if _, ok := c.quarantineCoordinator(now); !ok {
		return false
	}
	reports := c.pendingReports
	c.pendingReports = nil
	for _, pending := range reports {
		c.handleQuarantineReport(now, message.ClaimOwner(pending.router.name, pending.router.incarnation), pending.report)
		if c.coordinator != nil {
			c.lastReports[pending.router] = pending.report
		}
	}
	return len(reports) > 0
}

// proposeQuarantine proposes the decisions of the coordinator to the log.
func (c *core) proposeQuarantine(now time.Time, done func(error)) {
	entries, transitions := c.coordinator.TakeChanges()
	for _, record := range transitions {
		entry := record.Entry
		c.log.Warn("quarantine", "step", record.Transition, "print", entry.Fingerprint, "account", entry.Account, "route", entry.Destination, "pool", entry.Pool,
			"ends", len(entry.TerminatedTargets), "trials", entry.Trials, "router", entry.PermitHolder, "target", entry.PermitTarget, "grant", entry.PermitID)
	}
	if len(entries) == 0 {
		done(nil)
		return
	}
	c.submit(now, statestore.Command{Quarantine: entries}, func(_ statestore.Result, err error) { done(err) })
}

// restrictionsFor returns the restrictions that a router gets in response to its report.
func (c *core) restrictionsFor(now time.Time, report quarantine.Report) *quarantine.RestrictionUpdate {
	coordinator, ok := c.quarantineCoordinator(now)
	if !ok {
		return nil
	}
	update := coordinator.UpdateFor(now, report, c.store.Quarantine())
	return &update
}

// listQuarantine returns the requests during which targets terminated.
func (c *core) listQuarantine(ctx context.Context) (message.QuarantineResult, error) {
	return await(ctx, c, func(now time.Time, done func(message.QuarantineResult, error)) {
		if !c.isReadyLeader(now) {
			done(message.QuarantineResult{}, quorum.NewNotLeaderError(c.leaderAddress()))
			return
		}
		done(message.QuarantineResult{Entries: c.store.Quarantine().Entries(), Now: now}, nil)
	})
}

// liftQuarantine ends the restriction of a request. It returns once a quorum has the change.
func (c *core) liftQuarantine(ctx context.Context, request message.LiftRequest) error {
	_, err := await(ctx, c, func(now time.Time, done func(struct{}, error)) {
		coordinator, ok := c.quarantineCoordinator(now)
		switch {
		case !ok:
			done(struct{}{}, quorum.NewNotLeaderError(c.leaderAddress()))
		case !coordinator.Lift(now, request.Fingerprint):
			done(struct{}{}, fleet.NewError(fleet.KindPrecondition, "see lfctl held for those that are", "request %q is not held back", request.Fingerprint))
		default:
			c.log.Info("quarantine lifted", "print", request.Fingerprint, "operator", request.Operator)
			c.proposeQuarantine(now, func(err error) { done(struct{}{}, err) })
		}
	})
	return err
}
