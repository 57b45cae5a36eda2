package keeper

import (
	"cmp"
	"context"
	"slices"
	"time"

	"laburnumfall/internal/codec"
	"laburnumfall/internal/fleet"
	"laburnumfall/internal/message"
	"laburnumfall/internal/quorum"
	"laburnumfall/internal/quota"
	"laburnumfall/internal/statestore"
	"laburnumfall/internal/warmup"
)

// routerMemory is how long a router counts after it last renewed. One that is cut
// off goes on sending, and using its part of what all routers share.
const routerExpiry = 30 * time.Second

// sweepPause is kept between two looks for routers that count no longer. At each renewal
// it would take a leader time with the square of the routers.
const sweepInterval = time.Second

// routes is what a leader knows for the routers of routes. All but the document
// is soft: a new leader learns it within a second.
type renewalState struct {
	lastRenewals  map[string]time.Time // when each last renewed
	sweptAt       time.Time            // when these were looked through last
	targets       []fleet.Instance
	damagedIDs    []string // IDs that damaged entries of the list name
	packedTargets []byte   // targets
	packedLoads   packedLoads
	accounts      quota.AccountList // of accounts
	// list counts the changes of targets within the term.
	listRevision uint64
	listTerm     uint64
	listReadAt   time.Time
	aggregator   quota.Aggregator
	ownDocument  statestore.Document // the product's own configuration, packed

	warming      warmingTargets
	warmupLeases warmup.LeaseTable // of seatsOf
	warmupTerm   uint64            // the term
}

// renew answers a router. The lease of the leader is looked up right here: the
// router counts its keys from when it asked, so that an answer that is held up
// afterwards renews nothing for longer.
func (c *core) renew(now time.Time, request message.RenewRequest) message.RenewResponse {
	response := message.RenewResponse{Term: c.node.Term()}
	if keepers := c.memberAddresses(); request.KeepersDigest != message.Digest(keepers) {
		response.Keepers = keepers
	}
	if !c.isReadyLeader(now) {
		response.Leader = c.leaderAddress()
		return response
	}
	c.renewals.recordRenewal(now, request.Router)
	c.renewals.aggregator.Report(now, request.Router, request.Demand, request.Backlog)
	response.Leads = true
	response.WarmupLease = c.warmupLeaseTable(now).Renew(now, request.Router, request.Incarnation, request.WarmupLease)
	if evacuations := c.store.Evacuations(); evacuations.Revision != request.EvacuationRevision {
		response.EvacuatedZones = &evacuations
	}
	if request.AcceptsColumns {
		response.PackedLoads = c.packedLoadsFor(now, request.AccountsDigest)
	} else {
		response.Demand, response.Backlog, _ = c.renewals.aggregator.Sums(now)
	}
	response.Routers = len(c.renewals.lastRenewals)
	if request.Quarantine != nil {
		c.handleQuarantineReport(now, message.ClaimOwner(request.Router, request.Incarnation), *request.Quarantine)
		response.Restrictions = c.restrictionsFor(now, *request.Quarantine)
	}
	document := c.servedDocument()
	response.Number = document.Number
	if request.Number != document.Number {
		response.PackedConfig = document.Text
	}
	if c.renewals.listRevision == 0 || c.renewals.listTerm != response.Term {
		return response
	}
	response.ListRevision = c.renewals.listRevision
	response.ListAge = now.Sub(c.renewals.listReadAt)
	if request.Term == response.Term && request.ListRevision == response.ListRevision {
		return response
	}
	response.Damaged, response.Warming = c.renewals.damagedIDs, c.renewals.warming.remaining(now)
	if request.AcceptsColumns {
		response.PackedTargets = c.renewals.packedTargets
	} else {
		response.Targets = c.renewals.targets
	}
	return response
}

// packedSums are what all routers report, summed at a time and packed, with the accounts and
// without.
type packedLoads struct {
	summedAt                      time.Time
	accountsDigest                uint32 // digest of the accounts
	withAccounts, withoutAccounts []byte
}

// loads returns the sums of what routers report, packed, for a router that holds the accounts
// of a digest. All that hold the same get the same until the sums or the targets change.
func (c *core) packedLoadsFor(now time.Time, accountsDigest uint32) []byte {
	demand, backlog, summedAt := c.renewals.aggregator.Sums(now)
	if c.renewals.packedLoads.withAccounts == nil || !summedAt.Equal(c.renewals.packedLoads.summedAt) {
		packed, err := packLoads(summedAt, quota.EncodeColumns(c.renewals.accounts.Align(demand), backlog, c.renewals.targets), c.renewals.accounts.Digest())
		if err != nil {
			c.log.Error("loads cannot be packed: routers go on with those before", "error", err)
			return nil
		}
		c.renewals.packedLoads = packed
	}
	if accountsDigest != 0 && accountsDigest == c.renewals.packedLoads.accountsDigest {
		return c.renewals.packedLoads.withoutAccounts
	}
	return c.renewals.packedLoads.withAccounts
}

func packLoads(summedAt time.Time, loads message.Loads, accountsDigest uint32) (packedLoads, error) {
	loads.AccountsDigest = accountsDigest
	withAccounts, err := codec.PackJSON(loads)
	if err != nil {
		return packedLoads{}, err
	}
	loads.Accounts = nil
	withoutAccounts, err := codec.PackJSON(loads)
	return packedLoads{summedAt: summedAt, accountsDigest: accountsDigest, withAccounts: withAccounts, withoutAccounts: withoutAccounts}, err
}

// document returns the configuration that routers of routes serve: the one in an
// operator's own form, or else the product's own.
func (c *core) servedDocument() statestore.Document {
	if document := c.store.Document(); document.Number > 0 {
		return document
	}
	config, text := c.store.Config()
	if len(config.Routes) == 0 || c.renewals.ownDocument.Number == config.Number {
		return c.renewals.ownDocument
	}
	packed, err := codec.Pack(text)
	if err != nil {
		c.log.Error("a configuration cannot be packed: its routes are not served", "number", config.Number, "error", err)
		return c.renewals.ownDocument
	}
	c.renewals.ownDocument = statestore.Document{Number: config.Number, Text: packed}
	return c.renewals.ownDocument
}

// seats returns the leases on parts of what cold targets get, of this keeper's term.
func (c *core) warmupLeaseTable(now time.Time) *warmup.LeaseTable {
	if term := c.node.Term(); c.renewals.warmupTerm != term {
		c.renewals.warmupLeases, c.renewals.warmupTerm = warmup.LeaseTable{LeaderSince: now}, term
	}
	return &c.renewals.warmupLeases
}

// A warming holds until when targets are cold, by the list that was read last.
type warmingTargets map[fleet.Incarnation]time.Time

// sameWarming is how much later a target may be said to be cold until, and nothing be new: the
// list that says so lags by turns more and less.
const warmingTolerance = time.Second

// beyond reports whether a target is cold that was not before, or for longer.
func (w warmingTargets) extends(before warmingTargets) bool {
	for target, until := range w {
		if until.Sub(before[target]) > warmingTolerance {
			return true
		}
	}
	return false
}

// at returns the targets that are cold now.
func (w warmingTargets) remaining(now time.Time) []message.WarmingTarget {
	var targets []message.WarmingTarget
	for target, until := range w {
		if left := until.Sub(now); left > 0 {
			targets = append(targets, message.WarmingTarget{Target: target.ID, StartMillis: target.StartMillis, Left: left})
		}
	}
	slices.SortFunc(targets, func(a, b message.WarmingTarget) int { return cmp.Compare(a.Target, b.Target) })
	return targets
}

func (c *core) handleRenew(ctx context.Context, request message.RenewRequest) (message.RenewResponse, error) {
	return await(ctx, c, func(now time.Time, done func(message.RenewResponse, error)) { done(c.renew(now, request), nil) })
}

func (s *renewalState) recordRenewal(now time.Time, router string) {
	if s.lastRenewals == nil {
		s.lastRenewals = make(map[string]time.Time)
	}
	s.lastRenewals[router] = now
	if now.Sub(s.sweptAt) < sweepInterval {
		return
	}
	s.sweptAt = now
	for name, renewedAt := range s.lastRenewals {
		if now.Sub(renewedAt) > routerExpiry {
			delete(s.lastRenewals, name)
		}
	}
}

// setTargets takes the platform's list of targets as it was read at a time. It goes to the
// routers as it is: what follows from a damaged entry, or from a list that is suddenly
// empty, is decided by the target list of each, or two of them would add up their patience.
func (c *core) setTargets(readAt time.Time, listing fleet.TargetListing) {
	targets, damaged := listing.Targets, listing.DamagedIDs()
	term := c.node.Term()
	if c.renewals.listTerm != term {
		c.renewals.listTerm, c.renewals.listRevision = term, 0
	}
	warming := warmingTargets(listing.WarmingUntil(readAt))
	if c.renewals.listRevision == 0 || !slices.Equal(c.renewals.targets, targets) || !slices.Equal(c.renewals.damagedIDs, damaged) || warming.extends(c.renewals.warming) {
		packed, err := codec.PackJSON(targets)
		if err != nil {
			c.log.Error("the list of targets cannot be packed: routers go on with the one before", "error", err)
			return
		}
		c.renewals.listRevision++
		c.renewals.packedTargets, c.renewals.packedLoads = packed, packedLoads{}
		c.log.Info("list of targets changed", "targets", len(targets), "damaged", len(damaged), "list", c.renewals.listRevision, "term", term)
	}
	c.renewals.targets, c.renewals.damagedIDs, c.renewals.listReadAt = targets, damaged, readAt
	c.renewals.warming = warming
}

func (c *core) memberAddresses() []string {
	members := c.node.Members()
	addresses := make([]string, 0, len(members))
	for _, member := range members {
		addresses = append(addresses, member.Address)
	}
	return addresses
}

func (c *core) leaderAddress() string {
	for _, member := range c.node.Members() {
		if member.ID == c.node.LeaderID() {
			return member.Address
		}
	}
	return ""
}

// put proposes a configuration of routes. It counts as accepted once a quorum
// has it, whether or not a higher one is in force.
func (c *core) putRoutes(ctx context.Context, request message.PutRequest) (struct{}, error) {
	return await(ctx, c, func(now time.Time, done func(struct{}, error)) {
		if !c.isReadyLeader(now) {
			done(struct{}{}, quorum.NewNotLeaderError(c.leaderAddress()))
			return
		}
		if request.Number <= c.store.Document().Number {
			done(struct{}{}, nil) // overtaken, or sent again: it changes nothing
			return
		}
		command := statestore.Command{Document: &statestore.Document{Number: request.Number, Text: request.PackedConfig}}
		c.submit(now, command, func(_ statestore.Result, err error) { done(struct{}{}, err) })
	})
}

// read returns the newest configuration of routes. Only a leader whose lease
// holds may tell: another could have accepted a later one.
func (c *core) readRoutes(ctx context.Context) (message.RoutesDocument, error) {
	return await(ctx, c, func(now time.Time, done func(message.RoutesDocument, error)) {
		if !c.isReadyLeader(now) {
			done(message.RoutesDocument{}, quorum.NewNotLeaderError(c.leaderAddress()))
			return
		}
		document := c.store.Document()
		done(message.RoutesDocument{Number: document.Number, PackedConfig: document.Text}, nil)
	})
}

func (c *core) members(ctx context.Context) (message.MembersResult, error) {
	return await(ctx, c, func(_ time.Time, done func(message.MembersResult, error)) {
		done(message.MembersResult{Keepers: c.memberAddresses(), Leader: c.leaderAddress()}, nil)
	})
}
