package keeperclient

import (
	"context"
	"time"

	"laburnumfall/internal/codec"
	"laburnumfall/internal/fleet"
	"laburnumfall/internal/message"
	"laburnumfall/internal/quota"
)

// applyLeaderResponse puts a leader's response in force. The key lease counts from sentAt: the
// leader led after that time, so a key that it still accepted was not yet revoked then, however
// late the response is read.
func (c *Client) applyLeaderResponse(sentAt time.Time, address string, ownBacklog []message.Backlog, response message.RenewResponse) {
	if c.leader != address {
		c.Log.Info("keepers: leader found", "leader", address, "term", response.Term, "number", response.Number)
		c.leader, c.likelyLeader = address, address
	}
	c.renewedAt = sentAt
	defer func() { c.stalls.renewedAt.Store(sentAt.UnixNano()) }() // once all of it is in force
	if len(response.Keepers) > 0 {
		c.keepers, c.keepersDigest = response.Keepers, message.Digest(response.Keepers)
	}
	state := c.State()
	state.Routers = response.Routers
	changed := c.applyConfig(&state, response)
	changed = c.applyEvacuations(&state, response) || changed
	c.applyWarmup(sentAt, response)
	if state.Table != nil && state.Table.Number == response.Number {
		state.KeyLeaseExpiry = sentAt.Add(c.KeyLease)
		if c.ConfigLease > 0 {
			state.ConfigLeaseExpiry = sentAt.Add(c.ConfigLease)
		}
	}
	// The restrictions are applied before the first configuration is stored. Otherwise a router
	// that has just started would send requests that are held back.
	if c.OnRestrictions != nil && response.Restrictions != nil {
		c.OnRestrictions(c.Clock.Now(), sentAt, response.Term, *response.Restrictions)
	}
	c.applyPeers(response)
	c.state.Store(&state)
	c.storeSentTargets(response)
	c.applyLoads(ownBacklog, response)
	if c.OnKept != nil && response.Kept != nil {
		c.OnKept(c.Clock.Now(), response.Term, *response.Kept)
	}
	if c.applySentTargets(sentAt, response) || changed {
		c.OnChange(state, c.knownTargets.Targets())
	}
}

// applyConfig never returns to a lower configuration number. A leader always has the highest, so
// a lower one is from a response that was overtaken.
func (c *Client) applyConfig(state *State, response message.RenewResponse) bool {
	if len(response.PackedConfig) == 0 || response.Number <= c.configNumber() {
		return false
	}
	text, err := codec.Decompress(response.PackedConfig)
	if err != nil {
		c.Log.Error("configuration cannot be unpacked: going on with the one before", "number", response.Number, "error", err)
		return false
	}
	table, err := c.Decode(text)
	if err != nil {
		c.Log.Error("configuration cannot be read: going on with the one before", "number", response.Number, "error", err)
		return false
	}
	c.Log.Info("configuration in force", "number", table.Number, "before", c.configNumber(), "bytes", len(response.PackedConfig))
	state.Table = table
	return true
}

// applyEvacuations never returns to a lower revision, because a lower one is from a response that
// was overtaken.
func (c *Client) applyEvacuations(state *State, response message.RenewResponse) bool {
	if response.EvacuatedZones == nil || response.EvacuatedZones.Revision <= state.Evacuated.Revision {
		return false
	}
	state.Evacuated = *response.EvacuatedZones
	c.Log.Info("evacuated zones changed", "zones", state.Evacuated.Zones, "revision", state.Evacuated.Revision)
	return true
}

func (c *Client) applyWarmup(sentAt time.Time, response message.RenewResponse) {
	if c.OnWarmupLease != nil {
		c.OnWarmupLease(sentAt, response.WarmupLease)
	}
	if c.OnColdTargets == nil || len(response.Warming) == 0 {
		return
	}
	now := c.Clock.Now()
	coldUntil := make(map[fleet.Incarnation]time.Time, len(response.Warming))
	for _, target := range response.Warming {
		coldUntil[target.Incarnation()] = now.Add(target.Left)
	}
	c.OnColdTargets(coldUntil)
}

// applyPeers passes on the addresses of all routers.
func (c *Client) applyPeers(response message.RenewResponse) {
	if c.OnPeers == nil || len(response.PackedPeers) == 0 {
		return
	}
	peers, err := codec.DecompressJSON[map[fleet.Zone][]string](response.PackedPeers)
	if err != nil {
		c.Log.Error("the list of routers cannot be unpacked: going on with the one before", "term", response.Term, "error", err)
		return
	}
	c.peersDigest = response.PeersDigest
	count := 0
	for _, addresses := range peers {
		count += len(addresses)
	}
	c.Log.Info("routers changed", "routers", count, "zones", len(peers), "term", response.Term)
	c.OnPeers(peers)
}

// storeSentTargets keeps the list of targets that the keepers sent last. Later responses refer to
// its order, even if this router uses another list.
func (c *Client) storeSentTargets(response message.RenewResponse) {
	targets := response.Targets
	if len(response.PackedTargets) > 0 {
		var err error
		if targets, err = codec.DecompressJSON[[]fleet.Instance](response.PackedTargets); err != nil {
			c.Log.Error("the list of targets cannot be unpacked: going on with the one before", "list", response.ListRevision, "error", err)
			return
		}
	}
	if !response.HasVersions {
		for i := range targets {
			targets[i].Version = fleet.UnknownVersion
		}
	}
	if targets != nil || len(response.PackedTargets) > 0 {
		c.sentTargets = sentTargetList{term: response.Term, revision: response.ListRevision, targets: targets, damaged: response.Damaged}
	}
}

// applyLoads passes on the load of all other routers.
func (c *Client) applyLoads(ownBacklog []message.Backlog, response message.RenewResponse) {
	demand, backlog := response.Demand, response.Backlog
	if len(response.PackedLoads) > 0 {
		loads, err := codec.DecompressJSON[message.Loads](response.PackedLoads)
		if err != nil {
			c.Log.Error("loads cannot be unpacked: going on with those before", "term", response.Term, "error", err)
			return
		}
		c.resolveAccounts(&loads)
		var targetOrder []fleet.Instance
		if c.sentTargets.matches(response) {
			targetOrder = c.sentTargets.targets
		}
		demand, backlog = quota.DecodeColumns(loads, targetOrder)
		if statements := quota.DecodePaces(c.Clock.Now(), loads.Paces, targetOrder); len(statements) > 0 && c.OnPaces != nil {
			c.OnPaces(c.Clock.Now(), statements)
		}
	}
	c.OnFleetLoad(c.Clock.Now(), demand, quota.ExcludeOwn(backlog, ownBacklog))
}

// resolveAccounts stores the accounts that the leader names, and fills them in where it omits
// them. quota.DecodeColumns leaves out the demand of unknown accounts.
func (c *Client) resolveAccounts(loads *message.Loads) {
	switch {
	case len(loads.Accounts) > 0:
		c.loadAccounts, c.accountsDigest = loads.Accounts, loads.AccountsDigest
	case loads.AccountsDigest == c.accountsDigest:
		loads.Accounts = c.loadAccounts
	}
}

// A sentTargetList is a list of targets as the keepers sent it.
type sentTargetList struct {
	term, revision uint64
	targets        []fleet.Instance
	damaged        []string // target IDs
}

// listing returns the list in the form of a read from the platform.
func (s sentTargetList) listing() fleet.TargetListing {
	listing := fleet.TargetListing{Targets: s.targets}
	for _, id := range s.damaged {
		listing.Damaged = append(listing.Damaged, fleet.DamagedEntry{ID: id})
	}
	return listing
}

func (s sentTargetList) matches(response message.RenewResponse) bool {
	return s.revision != 0 && s.term == response.Term && s.revision == response.ListRevision
}

func (c *Client) applySentTargets(sentAt time.Time, response message.RenewResponse) bool {
	if response.ListRevision == 0 {
		return false
	}
	readAt := sentAt.Add(-max(response.ListAge, 0))
	if readAt.Before(c.knownTargets.ReadAt()) {
		return false // this router has read the list since
	}
	if !c.sentTargets.matches(response) {
		return false // the list could not be decoded
	}
	c.listTerm, c.listRevision = response.Term, response.ListRevision
	return c.applyTargets("keepers", readAt, c.sentTargets.listing())
}

func (c *Client) applyTargets(source string, readAt time.Time, listing fleet.TargetListing) bool {
	before := c.knownTargets.Targets()
	if !c.knownTargets.Update(readAt, listing) {
		return false
	}
	startMillis := make(map[string]int64, len(before))
	for _, target := range before {
		startMillis[target.ID] = target.StartMillis
	}
	leavingCount, restartedCount := 0, 0
	for _, target := range c.knownTargets.Targets() {
		if target.Leaving {
			leavingCount++
		}
		if previousStart, ok := startMillis[target.ID]; ok && previousStart != target.StartMillis {
			restartedCount++
		}
	}
	c.Log.Info("targets changed", "source", source, "age", c.Clock.Now().Sub(readAt).Milliseconds(),
		"targets", len(c.knownTargets.Targets()), "leaving", leavingCount, "again", restartedCount)
	return true
}

// readPlatformList reads the platform's list when the keepers send no fresh one: a leaving target
// must get no new work even then.
func (c *Client) readPlatformList(ctx context.Context) {
	now := c.Clock.Now()
	if c.List == nil || now.Sub(c.knownTargets.ReadAt()) < maxListAge || now.Sub(c.lastOwnRead) < c.ownReadPeriod() {
		return
	}
	c.lastOwnRead = now
	ctx, cancel := context.WithTimeout(ctx, listReadTimeout)
	defer cancel()
	listing, err := c.List.Read(ctx)
	if err != nil {
		c.Log.Warn("the list of targets cannot be read: going on with what is known", "error", err,
			"age", now.Sub(c.knownTargets.ReadAt()).Milliseconds())
		return
	}
	c.damageNotes.Record(now, listing)
	if c.OnColdTargets != nil && len(listing.Warming) > 0 {
		c.OnColdTargets(listing.WarmingUntil(now))
	}
	// The list in use is no longer the one from the keepers.
	c.listRevision = 0
	if c.applyTargets("own reading", now, listing) {
		c.OnChange(c.State(), c.knownTargets.Targets())
	}
}

// ownReadPeriod returns the period at which every router may read the list so that all of them
// together stay within their share of the platform's read rate.
func (c *Client) ownReadPeriod() time.Duration {
	routers := float64(max(c.State().Routers, 1))
	period := time.Duration(routers / (ownReadShare * max(c.ReadRate, 1)) * float64(time.Second))
	return max(period, minOwnReadPeriod)
}
