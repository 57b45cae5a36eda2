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

// routerExpiry is how long a router counts after its last renewal. A partitioned router continues
// to send requests and to use its part of what all routers share.
const routerExpiry = 30 * time.Second

// sweepInterval is the time between two searches for expired routers. A search at each renewal
// would take the leader time quadratic in the number of routers.
const sweepInterval = time.Second

// renewalState is the leader's state for the routers that serve routes. Only ownDocument follows
// from the log. The rest is not replicated; a new leader collects it within a second.
type renewalState struct {
	lastRenewals  map[string]time.Time // by router
	peers         peerList
	sweptAt       time.Time // when expired routers were last removed
	targets       []fleet.Instance
	damagedIDs    []string // target IDs in damaged entries of the list
	packedTargets []byte   // packed form of targets
	packedLoads   packedLoads
	accounts      quota.AccountList // in the order of the packed columns
	// listRevision counts the changes of targets within listTerm.
	listRevision uint64
	listTerm     uint64
	listReadAt   time.Time
	aggregator   quota.Aggregator
	paces        quota.Paces
	ownDocument  statestore.RouteConfig // packed configuration in the product's own format

	prefixLog    prefixLog
	warming      warmingTargets
	warmupLeases warmup.LeaseTable // of warmupTerm
	warmupTerm   uint64
}

// renew returns the response to a router. The leader checks its lease from the quorum here: the
// router's lease on its keys starts when it sent the request, so a response that is delayed
// afterwards extends nothing.
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
	c.renewals.paces.Report(now, request.Paces)
	response.Leads = true
	response.WarmupLease = c.warmupLeaseTable(now).Renew(now, request.Router, request.Incarnation, request.WarmupLease)
	if evacuations := c.store.EvacuatedZones(); evacuations.Revision != request.EvacuationRevision {
		response.EvacuatedZones = &evacuations
	}
	if request.AcceptsColumns {
		response.PackedLoads = c.packedLoadsFor(now, request.AccountsDigest)
	} else {
		response.Demand, response.Backlog, _ = c.renewals.aggregator.Sums(now)
	}
	response.Routers = len(c.renewals.lastRenewals)
	if request.PeerAddress != "" {
		c.renewals.peers.record(now, response.Term, request)
		response.PackedPeers, response.PeersDigest = c.renewals.peers.forRouter(now, request)
	}
	if request.Quarantine != nil {
		c.handleQuarantineReport(now, message.ClaimOwner(request.Router, request.Incarnation), *request.Quarantine)
		response.Restrictions = c.restrictionsFor(now, *request.Quarantine)
	}
	c.exchangeKept(now, request, &response)
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
	response.HasVersions = true
	response.Damaged, response.Warming = c.renewals.damagedIDs, c.renewals.warming.remaining(now)
	if request.AcceptsColumns {
		response.PackedTargets = c.renewals.packedTargets
	} else {
		response.Targets = c.renewals.targets
	}
	return response
}

// packedLoads are the loads that all routers report, summed and packed, both with and without the
// names of the accounts.
type packedLoads struct {
	summedAt                      time.Time
	accountsDigest                uint32 // digest of the account names
	withAccounts, withoutAccounts []byte
}

// packedLoadsFor returns the packed loads for a router that has the accounts with a digest.
// Routers with the same accounts get the same bytes until the sums or the targets change.
func (c *core) packedLoadsFor(now time.Time, accountsDigest uint32) []byte {
	demand, backlog, summedAt := c.renewals.aggregator.Sums(now)
	if c.renewals.packedLoads.withAccounts == nil || !summedAt.Equal(c.renewals.packedLoads.summedAt) {
		loads := quota.EncodeColumns(c.renewals.accounts.Align(demand), backlog, c.renewals.targets)
		loads.Paces = c.renewals.paces.Column(now, len(c.renewals.lastRenewals), c.renewals.targets)
		packed, err := packLoads(summedAt, loads, c.renewals.accounts.Digest())
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
	withAccounts, err := codec.CompressJSON(loads)
	if err != nil {
		return packedLoads{}, err
	}
	loads.Accounts = nil
	withoutAccounts, err := codec.CompressJSON(loads)
	return packedLoads{summedAt: summedAt, accountsDigest: accountsDigest, withAccounts: withAccounts, withoutAccounts: withoutAccounts}, err
}

// servedDocument returns the configuration that the routers serve: the operator's document of
// routes if there is one, otherwise the configuration in the product's own format.
func (c *core) servedDocument() statestore.RouteConfig {
	if document := c.store.RouteConfig(); document.Number > 0 {
		return document
	}
	config, text := c.store.Config()
	if len(config.Routes) == 0 || c.renewals.ownDocument.Number == config.Number {
		return c.renewals.ownDocument
	}
	packed, err := codec.Compress(text)
	if err != nil {
		c.log.Error("a configuration cannot be packed: its routes are not served", "number", config.Number, "error", err)
		return c.renewals.ownDocument
	}
	c.renewals.ownDocument = statestore.RouteConfig{Number: config.Number, Text: packed}
	return c.renewals.ownDocument
}

// warmupLeaseTable returns this term's leases on parts of the load that cold targets may get.
func (c *core) warmupLeaseTable(now time.Time) *warmup.LeaseTable {
	if term := c.node.Term(); c.renewals.warmupTerm != term {
		c.renewals.warmupLeases, c.renewals.warmupTerm = warmup.LeaseTable{LeaderSince: now}, term
	}
	return &c.renewals.warmupLeases
}

// warmingTargets maps each cold target of the newest list to the time until which it stays cold.
type warmingTargets map[fleet.Incarnation]time.Time

// warmingTolerance is how much later than before a target may become warm without counting as a
// change. The lag of the list varies from reading to reading.
const warmingTolerance = time.Second

// extends reports whether a target is cold that was not cold before, or stays cold for longer.
func (w warmingTargets) extends(before warmingTargets) bool {
	for target, until := range w {
		if until.Sub(before[target]) > warmingTolerance {
			return true
		}
	}
	return false
}

// remaining returns the targets that are cold at now.
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

// recordRenewal records a router's renewal, and removes expired routers once per sweepInterval.
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
			s.peers.remove(name)
		}
	}
}

// setTargets processes a reading of the platform's list of targets. Routers get the list as it
// is: each router's own target list decides how to treat a damaged entry, or a list that is
// suddenly empty. If the leader decided too, both waiting times would add up.
func (c *core) setTargets(readAt time.Time, listing fleet.TargetListing) {
	targets, damaged := listing.Targets, listing.DamagedIDs()
	term := c.node.Term()
	if c.renewals.listTerm != term {
		c.renewals.listTerm, c.renewals.listRevision = term, 0
	}
	warming := warmingTargets(listing.WarmingUntil(readAt))
	if c.renewals.listRevision == 0 || !slices.Equal(c.renewals.targets, targets) || !slices.Equal(c.renewals.damagedIDs, damaged) || warming.extends(c.renewals.warming) {
		packed, err := codec.CompressJSON(targets)
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

// putRoutes proposes a configuration of routes. It succeeds once a quorum has the configuration,
// even if one with a higher number is in force.
func (c *core) putRoutes(ctx context.Context, request message.PutRequest) (struct{}, error) {
	return await(ctx, c, func(now time.Time, done func(struct{}, error)) {
		if !c.isReadyLeader(now) {
			done(struct{}{}, quorum.NewNotLeaderError(c.leaderAddress()))
			return
		}
		if request.Number <= c.store.RouteConfig().Number {
			done(struct{}{}, nil) // repeated, or a higher number is in force
			return
		}
		command := statestore.Command{RouteConfig: &statestore.RouteConfig{Number: request.Number, Text: request.PackedConfig}}
		c.submit(now, command, func(_ statestore.Result, err error) { done(struct{}{}, err) })
	})
}

// readRoutes returns the newest configuration of routes. Only a leader with a valid lease may
// answer: another leader could have accepted a later configuration.
func (c *core) readRoutes(ctx context.Context) (message.RoutesDocument, error) {
	return await(ctx, c, func(now time.Time, done func(message.RoutesDocument, error)) {
		if !c.isReadyLeader(now) {
			done(message.RoutesDocument{}, quorum.NewNotLeaderError(c.leaderAddress()))
			return
		}
		document := c.store.RouteConfig()
		done(message.RoutesDocument{Number: document.Number, PackedConfig: document.Text}, nil)
	})
}

func (c *core) members(ctx context.Context) (message.MembersResult, error) {
	return await(ctx, c, func(_ time.Time, done func(message.MembersResult, error)) {
		done(message.MembersResult{Keepers: c.memberAddresses(), Leader: c.leaderAddress()}, nil)
	})
}
