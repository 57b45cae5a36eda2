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

// court returns the registry of the term, and false while this keeper may not answer for the
// state of the group. A term begins with what the log holds; first ends and whole answers of
// the last minute come with the routers' next reports.
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

// takers returns the targets of a pool of routes that take new work.
func (c *core) availableTargets(pool string) []string {
	var ids []string
	for _, instance := range c.renewals.targets {
		if instance.Pool == pool && !instance.Leaving {
			ids = append(ids, instance.ID)
		}
	}
	return ids
}

// takeQuarantine takes what a router tells of ends of targets. What follows from it counts
// once a quorum has it: routers are told what the log holds.
func (c *core) handleQuarantineReport(now time.Time, router string, report quarantine.Report) {
	coordinator, ok := c.quarantineCoordinator(now)
	if !ok {
		return // it is told again
	}
	coordinator.HandleReport(now, router, report)
	c.proposeQuarantine(now, func(error) {})
}

// A toldReport is what a router of events told in its report.
type pendingReport struct {
	router routerKey
	report quarantine.Report
}

// takeTold takes what routers of events told in this turn, and reports whether there was any.
// It comes after what is committed is applied: only then may this keeper answer for the state
// of the group, and the grant that follows tells the routers that they were heard.
func (c *core) handlePendingReports(now time.Time) bool {
	if _, ok := c.quarantineCoordinator(now); !ok {
		return false
	}
	pending := c.pendingReports
	c.pendingReports = nil
	for _, p := range pending {
		c.handleQuarantineReport(now, message.ClaimOwner(p.router.name, p.router.incarnation), p.report)
		if c.coordinator != nil {
			c.lastReports[p.router] = p.report
		}
	}
	return len(pending) > 0
}

// putQuarantine puts what the registry has decided into the log.
func (c *core) proposeQuarantine(now time.Time, done func(error)) {
	entries, notes := c.coordinator.TakeChanges()
	for _, note := range notes {
		entry := note.Entry
		c.log.Warn("quarantine", "step", note.Transition, "print", entry.Fingerprint, "account", entry.Account, "route", entry.Destination, "pool", entry.Pool,
			"ends", len(entry.TerminatedTargets), "trials", entry.Trials, "router", entry.PermitHolder, "target", entry.PermitTarget, "grant", entry.PermitID)
	}
	if len(entries) == 0 {
		done(nil)
		return
	}
	c.submit(now, statestore.Command{Quarantine: entries}, func(_ statestore.Result, err error) { done(err) })
}

// rulings returns what a router is told.
func (c *core) restrictionsFor(now time.Time, report quarantine.Report) *quarantine.RestrictionUpdate {
	coordinator, ok := c.quarantineCoordinator(now)
	if !ok {
		return nil
	}
	update := coordinator.UpdateFor(now, report, c.store.Quarantine())
	return &update
}

// held returns the requests under which targets have ended.
func (c *core) listQuarantine(ctx context.Context) (message.QuarantineResult, error) {
	return await(ctx, c, func(now time.Time, done func(message.QuarantineResult, error)) {
		if !c.isReadyLeader(now) {
			done(message.QuarantineResult{}, quorum.NewNotLeaderError(c.leaderAddress()))
			return
		}
		done(message.QuarantineResult{Entries: c.store.Quarantine().Entries(), Now: now}, nil)
	})
}

// lift frees a request. It counts as done once a quorum has it.
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
