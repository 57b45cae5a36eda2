package keeper

import (
	"time"

	"laburnumfall/internal/fairshare"
	"laburnumfall/internal/fleet"
	"laburnumfall/internal/quorum"
	"laburnumfall/internal/statestore"
)

var errNoQuorum = fleet.NewError(fleet.KindNoQuorum, "send it again: the same request is carried out once",
	"the leader changed before a quorum held the request")

// updateDividerConfig passes the configuration in force to the divider.
func (c *core) updateDividerConfig() {
	if c.divider == nil {
		return
	}
	config, text := c.store.Config()
	c.divider.SetConfig(c.clock.Now(), config, text)
	c.updateUnavailableTargets()
}

// runLeader starts and ends this keeper's work as leader and sends the grants of its divider. The
// lease from the quorum is checked last, immediately before each grant is sent.
func (c *core) runLeader(now time.Time) {
	if c.node.Role() != quorum.Leader {
		c.stepDown()
		return
	}
	if !c.node.IsActiveLeader(now) {
		return // the term may continue once a quorum responds again
	}
	if c.divider == nil || c.divider.Term != c.node.Term() {
		c.log.Info("leading", "term", c.node.Term(), "number", c.store.ConfigNumber())
		c.divider = &fairshare.Divider{Term: c.node.Term(), Blank: c.store.ConfigNumber() == 0}
		c.divider.Start(now)
		c.coordinator = nil // belongs to the previous term
		c.zoneCheckDeadline = now.Add(zoneCheckTimeout)
		if c.store.ConfigNumber() > 0 {
			c.updateDividerConfig()
		}
	}
	c.divider.Tick(now)
	c.maintainMembership(now)
	for _, addressed := range c.divider.TakeGrants() {
		key := routerKey{addressed.Router, addressed.Incarnation}
		if conn := c.routers[key]; conn != nil && c.node.IsActiveLeader(c.clock.Now()) {
			addressed.Grant.Restrictions = c.restrictionsFor(now, c.lastReports[key])
			c.transport.sendGrant(conn, addressed.Grant)
		}
	}
}

// stepDown drops the state that only a leader has, and fails the waiters of entries that this
// keeper may never see committed.
func (c *core) stepDown() {
	if c.divider != nil {
		c.log.Warn("no longer leading", "term", c.divider.Term)
		c.divider, c.coordinator, c.pendingReports = nil, nil, nil
		clear(c.routers)
	}
	for index, waiter := range c.waiters {
		delete(c.waiters, index)
		waiter.done(statestore.Result{}, errNoQuorum)
	}
}

// promoteLearners makes each learner that has caught up a voter.
func (c *core) promoteLearners(now time.Time) {
	for _, member := range c.node.Members() {
		if member.Voter || c.node.MatchIndex(member.ID) < c.node.CommitIndex() {
			continue
		}
		if err := c.node.Promote(now, member.ID); err == nil {
			c.log.Info("keeper promoted", "name", member.Name, "id", member.ID)
		}
	}
}

// proposeClaims proposes the collected claims and settlements as one entry.
func (c *core) proposeClaims(now time.Time) {
	claimCalls, settleCalls := c.pendingClaims, c.pendingSettles
	if len(claimCalls)+len(settleCalls) == 0 {
		return
	}
	c.pendingClaims, c.pendingSettles = nil, nil
	command := statestore.Command{}
	for _, call := range claimCalls {
		command.Claims = append(command.Claims, call.claims...)
	}
	for _, call := range settleCalls {
		command.Settlements = append(command.Settlements, call.settlements...)
	}
	c.submit(now, command, func(result statestore.Result, err error) {
		offset := 0
		for _, call := range claimCalls {
			if err != nil {
				call.done(nil, err)
				continue
			}
			call.done(result.ClaimResults[offset:offset+len(call.claims)], nil)
			offset += len(call.claims)
		}
		for _, call := range settleCalls {
			call.done(err)
		}
	})
}

// submit proposes a command. It calls done with the outcome, at once if the command cannot be
// proposed.
func (c *core) submit(now time.Time, command statestore.Command, done func(statestore.Result, error)) {
	command.ProposedAt = now
	index, term, err := c.node.Propose(now, command.Encode())
	if err != nil {
		done(statestore.Result{}, err)
		return
	}
	c.waiters[index] = waiter{term: term, done: done}
}
