package keeper

import (
	"context"
	"encoding/json"
	"time"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/message"
	"laburnumfall/internal/quorum"
	"laburnumfall/internal/rpc"
	"laburnumfall/internal/statestore"
)

const (
	// forceWait bounds how long an apply waits for the routers.
	forceWait = 20 * time.Second
	forcePoll = 20 * time.Millisecond
)

// Notice implements rpc.Handler.
func (k *Keeper) Notice(peer *rpc.Conn, method string, params json.RawMessage) {
	switch method {
	case message.MethodQuorum:
		k.core.onQuorum(params)
	case message.MethodReport:
		k.core.onReport(peer, params)
	default:
	}
}

// Call implements rpc.Handler.
func (k *Keeper) Call(ctx context.Context, _ *rpc.Conn, method string, params json.RawMessage) (any, error) {
	switch method {
	case message.MethodFoundGroup:
		return serve(params, k.found.answer)
	case message.MethodFormGroup:
		return serve(params, k.found.form)
	case message.MethodJoinGroup:
		return serve(params, func(p joinParams) (joinResult, error) { return k.core.join(ctx, p) })
	case message.MethodClaim:
		return serve(params, func(p message.ClaimRequest) (message.ClaimResponse, error) { return k.core.claim(ctx, p) })
	case message.MethodSettle:
		return serve(params, func(p message.SettleRequest) (struct{}, error) { return struct{}{}, k.core.settleClaims(ctx, p) })
	case message.MethodApply:
		return serve(params, func(p message.ApplyRequest) (message.ApplyResult, error) { return k.core.applyConfig(ctx, p) })
	case message.MethodRenew:
		return serve(params, func(p message.RenewRequest) (message.RenewResponse, error) {
			r, err := k.core.renewCall(ctx, p)
			r.AcceptsPacked = true
			return r, err
		})
	case message.MethodRenewPacked:
		return serve(params, func(p message.PackedRenewRequest) (message.RenewResponse, error) {
			ask, err := p.Unpack()
			if err != nil {
				return message.RenewResponse{}, fleet.NewError(fleet.KindMalformed, "use a router of this version", "a renewal cannot be read: %v", err)
			}
			return k.core.renewCall(ctx, ask)
		})
	case message.MethodPutRoutes:
		return serve(params, func(p message.PutRequest) (struct{}, error) { return k.core.put(ctx, p) })
	case message.MethodReadRoutes:
		return k.core.read(ctx)
	case message.MethodMembers:
		return k.core.known(ctx)
	case message.MethodListQuarantine:
		return k.core.held(ctx)
	case message.MethodLiftQuarantine:
		return serve(params, func(p message.LiftRequest) (struct{}, error) { return struct{}{}, k.core.lift(ctx, p) })
	case message.MethodEvacuate:
		return serve(params, func(p message.EvacuateRequest) (message.EvacuateResult, error) { return k.core.evacuate(ctx, p) })
	case message.MethodShow:
		return k.core.show(ctx)
	case message.MethodStatus:
		return k.core.status(ctx)
	default:
		return nil, fleet.NewError(fleet.KindMalformed, "use a keeper of a newer version", "unknown method %q", method)
	}
}

// serve reads a call's parameters and carries it out.
func serve[P, R any](params json.RawMessage, do func(P) (R, error)) (any, error) {
	var p P
	if err := json.Unmarshal(params, &p); err != nil {
		return nil, fleet.NewError(fleet.KindMalformed, "send the parameters of this method", "parameters cannot be read: %v", err)
	}
	return do(p)
}

// await runs f in the core and waits for the answer that f has sent.
func await[R any](ctx context.Context, c *core, f func(now time.Time, done func(R, error))) (R, error) {
	type answer struct {
		result R
		err    error
	}
	answers := make(chan answer, 1)
	var none R
	err := c.ask(ctx, func(now time.Time) {
		f(now, func(r R, err error) { answers <- answer{r, err} })
	})
	if err != nil {
		return none, err
	}
	select {
	case a := <-answers:
		return a.result, a.err
	case <-ctx.Done():
		return none, errLost
	}
}

func (c *core) claim(ctx context.Context, p message.ClaimRequest) (message.ClaimResponse, error) {
	return await(ctx, c, func(now time.Time, done func(message.ClaimResponse, error)) {
		if !c.leads(now) {
			done(message.ClaimResponse{}, quorum.NewNotLeaderError(c.node.LeaderID()))
			return
		}
		c.claims = append(c.claims, claimCall{claims: p.Claims, done: func(v []message.ClaimResult, err error) {
			done(message.ClaimResponse{Results: c.withLiveness(v)}, err)
		}})
	})
}

// withLiveness tells that a claim's fate is unknown once its router's lease
// has lapsed: nobody will settle it.
func (c *core) withLiveness(verdicts []message.ClaimResult) []message.ClaimResult {
	out := make([]message.ClaimResult, len(verdicts))
	for i, v := range verdicts {
		if v.State == message.RunStateRunning && (c.divider == nil || !c.ownerAlive(v.Owner)) {
			v.State = message.RunStateUnknown
		}
		v.Owner = 0
		out[i] = v
	}
	return out
}

func (c *core) ownerAlive(owner uint64) bool {
	return c.divider.AnyAlive(func(name string, inc uint64) bool {
		return statestore.HashOwner(message.ClaimOwner(name, inc)) == owner
	})
}

func (c *core) settleClaims(ctx context.Context, p message.SettleRequest) error {
	_, err := await(ctx, c, func(now time.Time, done func(struct{}, error)) {
		if !c.leads(now) {
			done(struct{}{}, quorum.NewNotLeaderError(c.node.LeaderID()))
			return
		}
		c.settles = append(c.settles, settleCall{settlements: p.Settlements, done: func(err error) {
			done(struct{}{}, err)
		}})
	})
	return err
}

// applyConfig puts a configuration in force.
func (c *core) applyConfig(ctx context.Context, p message.ApplyRequest) (message.ApplyResult, error) {
	var config fleet.Config
	if err := json.Unmarshal(p.Config, &config); err != nil {
		return message.ApplyResult{}, fleet.NewError(fleet.KindInvalidConfig, "send a configuration", "the configuration cannot be read: %v", err)
	}
	if err := config.Validate(); err != nil {
		return message.ApplyResult{}, fleet.NewError(fleet.KindInvalidConfig, "mend the configuration", "%v", err)
	}
	applied, err := await(ctx, c, func(now time.Time, done func(message.ApplyResult, error)) {
		c.submitConfig(now, config, p.Operator, done)
	})
	if err != nil || applied.Conflict || !p.Wait {
		return applied, err
	}
	return c.waitInForce(ctx, applied)
}

func (c *core) submitConfig(now time.Time, config fleet.Config, operator string, done func(message.ApplyResult, error)) {
	if !c.leads(now) {
		done(message.ApplyResult{}, quorum.NewNotLeaderError(c.node.LeaderID()))
		return
	}
	cmd := statestore.Command{Apply: &statestore.Apply{Config: config.JSON(), Operator: operator}}
	c.submit(now, cmd, func(r statestore.Result, err error) {
		if err != nil || r.Applied == nil {
			done(message.ApplyResult{}, err)
			return
		}
		done(*r.Applied, nil)
	})
}

// waitInForce waits until every router with a lease has the configuration.
func (c *core) waitInForce(ctx context.Context, applied message.ApplyResult) (message.ApplyResult, error) {
	ctx, cancel := context.WithTimeout(ctx, forceWait)
	defer cancel()
	for {
		have, all := 0, false
		err := c.ask(ctx, func(now time.Time) {
			if c.divider != nil && c.leads(now) {
				have, all = c.divider.InForce(now, applied.Number)
			}
		})
		if err != nil {
			return applied, errLost
		}
		applied.Routers = have
		if all {
			return applied, nil
		}
		if !sleep(ctx, forcePoll) {
			return applied, errLost
		}
	}
}

// show returns the configuration in force. Only a leader whose lease holds may
// tell: another could have accepted a later one.
func (c *core) show(ctx context.Context) (message.ShowResult, error) {
	return await(ctx, c, func(now time.Time, done func(message.ShowResult, error)) {
		if !c.leads(now) {
			done(message.ShowResult{}, quorum.NewNotLeaderError(c.node.LeaderID()))
			return
		}
		_, text := c.ledger.Config()
		done(message.ShowResult{Config: text, History: c.ledger.History()}, nil)
	})
}

func (c *core) status(ctx context.Context) (message.Status, error) {
	return await(ctx, c, func(now time.Time, done func(message.Status, error)) {
		if !c.leads(now) || c.divider == nil {
			done(message.Status{}, quorum.NewNotLeaderError(c.node.LeaderID()))
			return
		}
		s := message.Status{
			Leader: c.node.ID, Term: c.node.Term(), CommitIndex: c.node.CommitIndex(),
			Number: c.ledger.Number(), Digest: c.ledger.Digest(), Claims: c.ledger.Claims(), Quarantined: len(c.ledger.Quarantine().Entries()),
			Changing: c.node.MembershipChangePending(), Evacuated: c.ledger.Evacuations().Zones,
			ServiceGap: c.divider.Gap(), Routers: c.divider.Routers(),
		}
		s.SlotsBusy, s.Slots = c.divider.Load()
		for _, m := range c.node.Members() {
			s.Keepers = append(s.Keepers, message.KeeperStatus{
				Name: m.Name, ID: m.ID, Address: m.Address, Voter: m.Voter, MatchIndex: c.node.MatchIndex(m.ID),
			})
		}
		done(s, nil)
	})
}

// join takes a replacement in: its former self goes first, then it learns the
// log, and votes once it holds all of it. One change is made at a time, so a
// join may have to be asked for several times.
func (c *core) join(ctx context.Context, p joinParams) (joinResult, error) {
	return await(ctx, c, func(now time.Time, done func(joinResult, error)) {
		err := c.takeIn(now, p)
		done(joinResult{Members: c.node.Members()}, err)
	})
}

// noteReplaced tells the agreement that a keeper's former self has ended, whether or not
// this one leads: after a loss of all power in which the leader's disk went too, the others
// need not wait for it. Only one process serves at an address; under its name alone the
// former self may still run on a VM that is cut off.
func (c *core) noteReplaced(now time.Time, p joinParams) {
	for _, m := range c.node.Members() {
		if m.Name == p.Name && m.Address == p.Address && m.ID != p.ID {
			c.node.MarkReplaced(now, m.ID)
		}
	}
}

// takeIn makes the next change that a replacement needs.
func (c *core) takeIn(now time.Time, p joinParams) error {
	c.noteReplaced(now, p)
	if !c.leads(now) {
		return quorum.NewNotLeaderError(c.node.LeaderID())
	}
	member := false
	for _, m := range c.node.Members() {
		member = member || m.ID == p.ID
		if m.Name != p.Name || m.ID == p.ID {
			continue
		}
		if err := c.node.Remove(now, m.ID); err != nil {
			return err
		}
		c.log.Info("keeper removed: a replacement joins", "name", m.Name, "id", m.ID)
		return quorum.ErrMembershipChangePending
	}
	if err := c.node.AddLearner(now, quorum.Member{ID: p.ID, Name: p.Name, Address: p.Address}); err != nil {
		return err
	}
	if !member { // one that hears no leader asks again, though it is a member
		c.log.Info("keeper added as a learner", "name", p.Name, "id", p.ID)
	}
	return nil
}
