package keeper

import (
	"time"

	"laburnumfall/internal/fairshare"
	"laburnumfall/internal/fleet"
	"laburnumfall/internal/quorum"
	"laburnumfall/internal/statestore"
)

var errLost = fleet.NewError(fleet.KindNoQuorum, "send it again: the same request is carried out once",
	"the leader changed before a quorum held the request")

func (c *core) giveConfig() {
	if c.divider == nil {
		return
	}
	config, text := c.ledger.Config()
	c.divider.SetConfig(c.clock.Now(), config, text)
	c.giveGone()
}

// lead begins and ends this keeper's part as leader, and sends what its
// divider grants. The lease is looked up last, right before sending.
func (c *core) lead(now time.Time) {
	if c.node.Role() != quorum.Leader {
		c.stepDown()
		return
	}
	if !c.node.IsActiveLeader(now) {
		return // the term may go on once a quorum answers again
	}
	if c.divider == nil || c.divider.Term != c.node.Term() {
		c.log.Info("leading", "term", c.node.Term(), "number", c.ledger.Number())
		c.divider = &fairshare.Divider{Term: c.node.Term(), Blank: c.ledger.Number() == 0}
		c.divider.Start(now)
		c.registry = nil // of the term before
		if c.ledger.Number() > 0 {
			c.giveConfig()
		}
	}
	c.divider.Tick(now)
	c.keepMembers(now)
	for _, a := range c.divider.Take() {
		key := routerKey{a.Router, a.Inc}
		if conn := c.routers[key]; conn != nil && c.node.IsActiveLeader(c.clock.Now()) {
			a.Grant.Restrictions = c.rulings(now, c.reported[key])
			c.carrier.grant(conn, a.Grant)
		}
	}
}

// stepDown forgets what only a leader knows, and answers those who wait for
// entries that this keeper may never see committed.
func (c *core) stepDown() {
	if c.divider != nil {
		c.log.Warn("no longer leading", "term", c.divider.Term)
		c.divider, c.registry, c.told = nil, nil, nil
		clear(c.routers)
	}
	for index, w := range c.waiters {
		delete(c.waiters, index)
		w.done(statestore.Result{}, errLost)
	}
}

// promote makes a learner that has caught up a voter.
func (c *core) promote(now time.Time) {
	for _, m := range c.node.Members() {
		if m.Voter || c.node.MatchIndex(m.ID) < c.node.CommitIndex() {
			continue
		}
		if err := c.node.Promote(now, m.ID); err == nil {
			c.log.Info("keeper promoted", "name", m.Name, "id", m.ID)
		}
	}
}

// propose puts the claims and settlements that were collected into one entry.
func (c *core) propose(now time.Time) {
	claims, settles := c.claims, c.settles
	if len(claims)+len(settles) == 0 {
		return
	}
	c.claims, c.settles = nil, nil
	cmd := statestore.Command{}
	for _, call := range claims {
		cmd.Claims = append(cmd.Claims, call.claims...)
	}
	for _, call := range settles {
		cmd.Settlements = append(cmd.Settlements, call.settlements...)
	}
	c.submit(now, cmd, func(r statestore.Result, err error) {
		at := 0
		for _, call := range claims {
			if err != nil {
				call.done(nil, err)
				continue
			}
			call.done(r.Verdicts[at:at+len(call.claims)], nil)
			at += len(call.claims)
		}
		for _, call := range settles {
			call.done(err)
		}
	})
}

// submit proposes a command and has done told what became of it.
func (c *core) submit(now time.Time, cmd statestore.Command, done func(statestore.Result, error)) {
	cmd.At = now
	index, term, err := c.node.Propose(now, cmd.Encode())
	if err != nil {
		done(statestore.Result{}, err)
		return
	}
	c.waiters[index] = waiter{term: term, done: done}
}
