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
func (c *core) court(now time.Time) (*quarantine.Coordinator, bool) {
	if !c.leads(now) {
		return nil, false
	}
	if c.registry == nil {
		c.registry = &quarantine.Coordinator{AvailableTargets: c.takers}
		c.registry.Load(now, c.ledger.Quarantine().Entries())
		c.reported = make(map[routerKey]quarantine.Report)
	}
	return c.registry, true
}

// takers returns the targets of a pool of routes that take new work.
func (c *core) takers(pool string) []string {
	var list []string
	for _, in := range c.routes.targets {
		if in.Pool == pool && !in.Leaving {
			list = append(list, in.ID)
		}
	}
	return list
}

// takeQuarantine takes what a router tells of ends of targets. What follows from it counts
// once a quorum has it: routers are told what the log holds.
func (c *core) takeQuarantine(now time.Time, router string, r quarantine.Report) {
	registry, ok := c.court(now)
	if !ok {
		return // it is told again
	}
	registry.HandleReport(now, router, r)
	c.putQuarantine(now, func(error) {})
}

// A toldReport is what a router of events told in its report.
type toldReport struct {
	router routerKey
	report quarantine.Report
}

// takeTold takes what routers of events told in this turn, and reports whether there was any.
// It comes after what is committed is applied: only then may this keeper answer for the state
// of the group, and the grant that follows tells the routers that they were heard.
func (c *core) takeTold(now time.Time) bool {
	if _, ok := c.court(now); !ok {
		return false
	}
	told := c.told
	c.told = nil
	for _, t := range told {
		c.takeQuarantine(now, message.ClaimOwner(t.router.name, t.router.inc), t.report)
		if c.registry != nil {
			c.reported[t.router] = t.report
		}
	}
	return len(told) > 0
}

// putQuarantine puts what the registry has decided into the log.
func (c *core) putQuarantine(now time.Time, done func(error)) {
	entries, notes := c.registry.TakeChanges()
	for _, n := range notes {
		e := n.Entry
		c.log.Warn("quarantine", "step", n.Transition, "print", e.Fingerprint, "account", e.Account, "route", e.Destination, "pool", e.Pool,
			"ends", len(e.TerminatedTargets), "trials", e.Trials, "router", e.PermitHolder, "target", e.PermitTarget, "grant", e.PermitID)
	}
	if len(entries) == 0 {
		done(nil)
		return
	}
	c.submit(now, statestore.Command{Quarantine: entries}, func(_ statestore.Result, err error) { done(err) })
}

// rulings returns what a router is told.
func (c *core) rulings(now time.Time, r quarantine.Report) *quarantine.RestrictionUpdate {
	registry, ok := c.court(now)
	if !ok {
		return nil
	}
	out := registry.UpdateFor(now, r, c.ledger.Quarantine())
	return &out
}

// held returns the requests under which targets have ended.
func (c *core) held(ctx context.Context) (message.QuarantineResult, error) {
	return await(ctx, c, func(now time.Time, done func(message.QuarantineResult, error)) {
		if !c.leads(now) {
			done(message.QuarantineResult{}, quorum.NewNotLeaderError(c.leaderAddress()))
			return
		}
		done(message.QuarantineResult{Entries: c.ledger.Quarantine().Entries(), Now: now}, nil)
	})
}

// lift frees a request. It counts as done once a quorum has it.
func (c *core) lift(ctx context.Context, p message.LiftRequest) error {
	_, err := await(ctx, c, func(now time.Time, done func(struct{}, error)) {
		registry, ok := c.court(now)
		switch {
		case !ok:
			done(struct{}{}, quorum.NewNotLeaderError(c.leaderAddress()))
		case !registry.Lift(now, p.Fingerprint):
			done(struct{}{}, fleet.NewError(fleet.KindPrecondition, "see lfctl held for those that are", "request %q is not held back", p.Fingerprint))
		default:
			c.log.Info("quarantine lifted", "print", p.Fingerprint, "operator", p.Operator)
			c.putQuarantine(now, func(err error) { done(struct{}{}, err) })
		}
	})
	return err
}
