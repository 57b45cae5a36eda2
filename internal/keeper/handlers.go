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
	// inForceTimeout bounds how long a call that applies a configuration waits for the routers.
	inForceTimeout      = 20 * time.Second
	inForcePollInterval = 20 * time.Millisecond
)

// Notify implements rpc.Handler.
func (k *Keeper) Notify(peer *rpc.Conn, method string, params json.RawMessage) {
	switch method {
	case message.MethodQuorum:
		k.core.handleQuorumMessage(params)
	case message.MethodReport:
		k.core.handleReport(peer, params)
	default:
	}
}

// Call implements rpc.Handler.
func (k *Keeper) Call(ctx context.Context, _ *rpc.Conn, method string, params json.RawMessage) (any, error) {
	switch method {
	case message.MethodFoundGroup:
		return decodeAndCall(params, k.bootstrapper.handleFoundGroup)
	case message.MethodFormGroup:
		return decodeAndCall(params, k.bootstrapper.handleFormGroup)
	case message.MethodJoinGroup:
		return decodeAndCall(params, func(request joinParams) (joinResult, error) { return k.core.join(ctx, request) })
	case message.MethodClaim:
		return decodeAndCall(params, func(request message.ClaimRequest) (message.ClaimResponse, error) { return k.core.claim(ctx, request) })
	case message.MethodSettle:
		return decodeAndCall(params, func(request message.SettleRequest) (struct{}, error) {
			return struct{}{}, k.core.settleClaims(ctx, request)
		})
	case message.MethodApply:
		return decodeAndCall(params, func(request message.ApplyRequest) (message.ApplyResult, error) {
			return k.core.applyConfig(ctx, request)
		})
	case message.MethodRenew:
		return decodeAndCall(params, func(request message.RenewRequest) (message.RenewResponse, error) {
			response, err := k.core.handleRenew(ctx, request)
			response.AcceptsPacked = true
			return response, err
		})
	case message.MethodRenewPacked:
		return decodeAndCall(params, func(request message.PackedRenewRequest) (message.RenewResponse, error) {
			renewal, err := request.Unpack()
			if err != nil {
				return message.RenewResponse{}, fleet.NewError(fleet.KindMalformed, "use a router of this version", "a renewal cannot be read: %v", err)
			}
			return k.core.handleRenew(ctx, renewal)
		})
	case message.MethodPutRoutes:
		return decodeAndCall(params, func(request message.PutRequest) (struct{}, error) { return k.core.putRoutes(ctx, request) })
	case message.MethodReadRoutes:
		return k.core.readRoutes(ctx)
	case message.MethodMembers:
		return k.core.members(ctx)
	case message.MethodListQuarantine:
		return k.core.listQuarantine(ctx)
	case message.MethodLiftQuarantine:
		return decodeAndCall(params, func(request message.LiftRequest) (struct{}, error) {
			return struct{}{}, k.core.liftQuarantine(ctx, request)
		})
	case message.MethodEvacuate:
		return decodeAndCall(params, func(request message.EvacuateRequest) (message.EvacuateResult, error) {
			return k.core.evacuate(ctx, request)
		})
	case message.MethodShow:
		return k.core.showConfig(ctx)
	case message.MethodStatus:
		return k.core.status(ctx)
	default:
		return nil, fleet.NewError(fleet.KindMalformed, "use a keeper of a newer version", "unknown method %q", method)
	}
}

// decodeAndCall decodes the parameters of a call and passes them to handler.
func decodeAndCall[P, R any](params json.RawMessage, handler func(P) (R, error)) (any, error) {
	var request P
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, fleet.NewError(fleet.KindMalformed, "send the parameters of this method", "parameters cannot be read: %v", err)
	}
	return handler(request)
}

// await runs f in the event loop and waits until f calls done, which may be after f has returned.
func await[R any](ctx context.Context, c *core, f func(now time.Time, done func(R, error))) (R, error) {
	type callResult struct {
		value R
		err   error
	}
	results := make(chan callResult, 1)
	var zero R
	err := c.runAndWait(ctx, func(now time.Time) {
		f(now, func(value R, err error) { results <- callResult{value, err} })
	})
	if err != nil {
		return zero, err
	}
	result, err := receive(ctx, results)
	if err != nil {
		return zero, errNoQuorum
	}
	return result.value, result.err
}

func (c *core) claim(ctx context.Context, request message.ClaimRequest) (message.ClaimResponse, error) {
	return await(ctx, c, func(now time.Time, done func(message.ClaimResponse, error)) {
		if !c.isReadyLeader(now) {
			done(message.ClaimResponse{}, quorum.NewNotLeaderError(c.node.LeaderID()))
			return
		}
		c.pendingClaims = append(c.pendingClaims, claimCall{claims: request.Claims, done: func(results []message.ClaimResult, err error) {
			done(message.ClaimResponse{Results: c.withUnknownFates(results)}, err)
		}})
	})
}

// withUnknownFates returns the results without their owners. The state of a running claim whose
// router's lease has expired becomes unknown, because nobody will settle it. A new leader does not
// know all routers with a lease.
func (c *core) withUnknownFates(results []message.ClaimResult) []message.ClaimResult {
	updated := make([]message.ClaimResult, len(results))
	for i, result := range results {
		if result.State == message.RunStateRunning && !c.mayHaveLease(result.Owner) {
			result.State = message.RunStateUnknown
		}
		result.Owner = 0
		updated[i] = result
	}
	return updated
}

// mayHaveLease reports whether a router may have a lease, given the hash of its name as a claim's
// owner.
func (c *core) mayHaveLease(owner uint64) bool {
	if c.divider == nil || c.divider.MayHaveUnknownLeases(c.clock.Now()) {
		return true
	}
	return c.divider.AnyLeased(func(name string, incarnation uint64) bool {
		return statestore.HashOwner(message.ClaimOwner(name, incarnation)) == owner
	})
}

func (c *core) settleClaims(ctx context.Context, request message.SettleRequest) error {
	_, err := await(ctx, c, func(now time.Time, done func(struct{}, error)) {
		if !c.isReadyLeader(now) {
			done(struct{}{}, quorum.NewNotLeaderError(c.node.LeaderID()))
			return
		}
		c.pendingSettles = append(c.pendingSettles, settleCall{settlements: request.Settlements, done: func(err error) {
			done(struct{}{}, err)
		}})
	})
	return err
}

// applyConfig validates and proposes a configuration. If the request says so, it also waits until
// the configuration is in force.
func (c *core) applyConfig(ctx context.Context, request message.ApplyRequest) (message.ApplyResult, error) {
	var config fleet.Config
	if err := json.Unmarshal(request.Config, &config); err != nil {
		return message.ApplyResult{}, fleet.NewError(fleet.KindInvalidConfig, "send a configuration", "the configuration cannot be read: %v", err)
	}
	if err := config.Validate(); err != nil {
		return message.ApplyResult{}, fleet.NewError(fleet.KindInvalidConfig, "mend the configuration", "%v", err)
	}
	applied, err := await(ctx, c, func(now time.Time, done func(message.ApplyResult, error)) {
		c.submitConfig(now, config, request.Operator, done)
	})
	if err != nil || applied.Conflict || !request.Wait {
		return applied, err
	}
	return c.waitInForce(ctx, applied)
}

func (c *core) submitConfig(now time.Time, config fleet.Config, operator string, done func(message.ApplyResult, error)) {
	if !c.isReadyLeader(now) {
		done(message.ApplyResult{}, quorum.NewNotLeaderError(c.node.LeaderID()))
		return
	}
	command := statestore.Command{ConfigUpdate: &statestore.ConfigUpdate{Config: config.JSON(), Operator: operator}}
	c.submit(now, command, func(result statestore.Result, err error) {
		if err != nil || result.ApplyResult == nil {
			done(message.ApplyResult{}, err)
			return
		}
		done(*result.ApplyResult, nil)
	})
}

// waitInForce waits until every router with a lease has the configuration.
func (c *core) waitInForce(ctx context.Context, applied message.ApplyResult) (message.ApplyResult, error) {
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	for {
		routers, inForce := 0, false
		err := c.runAndWait(ctx, func(now time.Time) {
			if c.divider != nil && c.isReadyLeader(now) {
				routers, inForce = c.divider.ConfigInForce(now, applied.Number)
			}
		})
		if err != nil {
			return applied, errNoQuorum
		}
		applied.Routers = routers
		if inForce {
			return applied, nil
		}
		if !sleep(ctx, inForcePollInterval) {
			return applied, errNoQuorum
		}
	}
}

// showConfig returns the configuration in force. Only a leader with a valid lease may answer:
// another leader could have accepted a later configuration.
func (c *core) showConfig(ctx context.Context) (message.ShowResult, error) {
	return await(ctx, c, func(now time.Time, done func(message.ShowResult, error)) {
		if !c.isReadyLeader(now) {
			done(message.ShowResult{}, quorum.NewNotLeaderError(c.node.LeaderID()))
			return
		}
		_, text := c.store.Config()
		done(message.ShowResult{Config: text, History: c.store.ConfigHistory()}, nil)
	})
}

func (c *core) status(ctx context.Context) (message.Status, error) {
	return await(ctx, c, func(now time.Time, done func(message.Status, error)) {
		if !c.isReadyLeader(now) || c.divider == nil {
			done(message.Status{}, quorum.NewNotLeaderError(c.node.LeaderID()))
			return
		}
		status := message.Status{
			Leader: c.node.ID, Term: c.node.Term(), CommitIndex: c.node.CommitIndex(),
			Number: c.store.ConfigNumber(), Digest: c.store.ConfigDigest(), Claims: c.store.ClaimCount(), Quarantined: len(c.store.Quarantine().Entries()),
			Changing: c.node.MembershipChangePending(), Evacuated: c.store.EvacuatedZones().Zones, Unconfirmed: c.unconfirmedZones(now),
			ServiceGap: c.divider.ServiceGap(), Routers: c.divider.RouterStatuses(),
		}
		status.SlotsBusy, status.Slots = c.divider.SlotUsage()
		for _, member := range c.node.Members() {
			status.Keepers = append(status.Keepers, message.KeeperStatus{
				Name: member.Name, ID: member.ID, Address: member.Address, Voter: member.Voter, MatchIndex: c.node.MatchIndex(member.ID),
			})
		}
		done(status, nil)
	})
}

// join admits a replacement: the member that it replaces is removed, then it receives the log as
// a learner, and it votes once it has the complete log. Only one membership change is made at a
// time, so the replacement may have to ask several times.
func (c *core) join(ctx context.Context, request joinParams) (joinResult, error) {
	return await(ctx, c, func(now time.Time, done func(joinResult, error)) {
		err := c.admitMember(now, request)
		done(joinResult{Members: c.node.Members()}, err)
	})
}

// markReplaced reports to the quorum node that the process of a replaced member has ended,
// whether or not this keeper leads. After a power loss of all keepers in which the leader's disk
// was lost too, the others then need not wait for its lease. Name and address must both match,
// because only one process serves at an address: with the name alone, the replaced process may
// still run on a VM that is partitioned.
func (c *core) markReplaced(now time.Time, request joinParams) {
	for _, member := range c.node.Members() {
		if member.Name == request.Name && member.Address == request.Address && member.ID != request.ID {
			c.node.MarkReplaced(now, member.ID)
		}
	}
}

// admitMember makes the next membership change that a replacement needs.
func (c *core) admitMember(now time.Time, request joinParams) error {
	c.markReplaced(now, request)
	if !c.isReadyLeader(now) {
		return quorum.NewNotLeaderError(c.node.LeaderID())
	}
	isMember := false
	for _, member := range c.node.Members() {
		isMember = isMember || member.ID == request.ID
		if member.Name != request.Name || member.ID == request.ID {
			continue
		}
		if err := c.node.Remove(now, member.ID); err != nil {
			return err
		}
		c.log.Info("keeper removed: a replacement joins", "name", member.Name, "id", member.ID)
		return quorum.ErrMembershipChangePending
	}
	if err := c.node.AddLearner(now, quorum.Member{ID: request.ID, Name: request.Name, Address: request.Address}); err != nil {
		return err
	}
	if !isMember { // a member that has lost contact with the leader asks again
		c.log.Info("keeper added as a learner", "name", request.Name, "id", request.ID)
	}
	return nil
}
