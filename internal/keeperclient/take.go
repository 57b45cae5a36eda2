package keeperclient

import (
	"context"
	"time"

	"laburnumfall/internal/codec"
	"laburnumfall/internal/fleet"
	"laburnumfall/internal/message"
	"laburnumfall/internal/quota"
)

// take puts a leader's answer in force. The lease counts from when the question
// was sent: the leader led after that moment, so a key that it still counted
// was not yet withdrawn then, however late the answer is read.
func (u *Client) take(asked time.Time, address string, mine []message.Backlog, r message.RenewResponse) {
	if u.leader != address {
		u.Log.Info("keepers: leader found", "leader", address, "term", r.Term, "number", r.Number)
		u.leader, u.last = address, address
	}
	u.renewed = asked
	defer func() { u.pulse.heard.Store(asked.UnixNano()) }() // once all of it is in force
	if len(r.Keepers) > 0 {
		u.keepers, u.members = r.Keepers, message.Digest(r.Keepers)
	}
	s := u.State()
	s.Routers = r.Routers
	changed := u.takeTable(&s, r)
	changed = u.takeEvacuations(&s, r) || changed
	u.takeWarming(asked, r)
	if s.Table != nil && s.Table.Number == r.Number {
		s.KeysUntil = asked.Add(u.Lease)
	}
	// Before the first configuration is there to serve by: a router that has just started
	// would send what is held back.
	if u.Ruled != nil && r.Restrictions != nil {
		u.Ruled(u.Clock.Now(), asked, r.Term, *r.Restrictions)
	}
	u.state.Store(&s)
	u.takeSent(r)
	u.takeLoads(mine, r)
	if u.takeList(asked, r) || changed {
		u.Changed(s, u.roster.Targets())
	}
}

// takeTable never goes back to a lower number: a leader always has the highest,
// so a lower one comes from an answer that was overtaken.
func (u *Client) takeTable(s *State, r message.RenewResponse) bool {
	if len(r.PackedConfig) == 0 || r.Number <= u.number() {
		return false
	}
	text, err := codec.Unpack(r.PackedConfig)
	if err != nil {
		u.Log.Error("configuration cannot be unpacked: going on with the one before", "number", r.Number, "error", err)
		return false
	}
	table, err := u.Decode(text)
	if err != nil {
		u.Log.Error("configuration cannot be read: going on with the one before", "number", r.Number, "error", err)
		return false
	}
	u.Log.Info("configuration in force", "number", table.Number, "before", u.number(), "bytes", len(r.PackedConfig))
	s.Table = table
	return true
}

// takeEvacuations never goes back to a lower revision, for the same reason.
func (u *Client) takeEvacuations(s *State, r message.RenewResponse) bool {
	if r.EvacuatedZones == nil || r.EvacuatedZones.Revision <= s.Evacuated.Revision {
		return false
	}
	s.Evacuated = *r.EvacuatedZones
	u.Log.Info("evacuated zones changed", "zones", s.Evacuated.Zones, "revision", s.Evacuated.Revision)
	return true
}

func (u *Client) takeWarming(asked time.Time, r message.RenewResponse) {
	if u.Seat != nil {
		u.Seat(asked, r.WarmupLease)
	}
	if u.Warming == nil || len(r.Warming) == 0 {
		return
	}
	now := u.Clock.Now()
	until := make(map[fleet.Incarnation]time.Time, len(r.Warming))
	for _, w := range r.Warming {
		until[w.Incarnation()] = now.Add(w.Left)
	}
	u.Warming(until)
}

// takeSent keeps the list of targets that the keepers sent last: what follows refers
// to its order, whichever list this router goes by.
func (u *Client) takeSent(r message.RenewResponse) {
	list := r.Targets
	if len(r.PackedTargets) > 0 {
		var err error
		if list, err = codec.UnpackJSON[[]fleet.Instance](r.PackedTargets); err != nil {
			u.Log.Error("the list of targets cannot be unpacked: going on with the one before", "list", r.ListRevision, "error", err)
			return
		}
	}
	if list != nil || len(r.PackedTargets) > 0 {
		u.sent = sentList{term: r.Term, number: r.ListRevision, targets: list, damaged: r.Damaged}
	}
}

// takeLoads hands on what all other routers report.
func (u *Client) takeLoads(mine []message.Backlog, r message.RenewResponse) {
	demand, backlog := r.Demand, r.Backlog
	if len(r.PackedLoads) > 0 {
		loads, err := codec.UnpackJSON[message.Loads](r.PackedLoads)
		if err != nil {
			u.Log.Error("loads cannot be unpacked: going on with those before", "term", r.Term, "error", err)
			return
		}
		u.nameAccounts(&loads)
		var order []fleet.Instance
		if u.sent.is(r) {
			order = u.sent.targets
		}
		demand, backlog = quota.DecodeColumns(loads, order)
	}
	u.Heard(u.Clock.Now(), demand, quota.ExcludeOwn(backlog, mine))
}

// nameAccounts keeps the accounts that the leader names, and puts them in where it leaves them
// out. Demands whose accounts are not known are left out by quota.Rows.
func (u *Client) nameAccounts(l *message.Loads) {
	switch {
	case len(l.Accounts) > 0:
		u.accounts, u.names = l.Accounts, l.AccountsDigest
	case l.AccountsDigest == u.names:
		l.Accounts = u.accounts
	}
}

// A sentList is a list of targets as the keepers sent it.
type sentList struct {
	term, number uint64
	targets      []fleet.Instance
	damaged      []string // IDs
}

// listing returns the list as it was read.
func (s sentList) listing() fleet.TargetListing {
	l := fleet.TargetListing{Targets: s.targets}
	for _, id := range s.damaged {
		l.Damaged = append(l.Damaged, fleet.DamagedEntry{ID: id})
	}
	return l
}

func (s sentList) is(r message.RenewResponse) bool {
	return s.number != 0 && s.term == r.Term && s.number == r.ListRevision
}

func (u *Client) takeList(asked time.Time, r message.RenewResponse) bool {
	if r.ListRevision == 0 {
		return false
	}
	readAt := asked.Add(-max(r.ListAge, 0))
	if readAt.Before(u.roster.ReadAt()) {
		return false // this router has read the list since
	}
	if !u.sent.is(r) {
		return false // it could not be read
	}
	u.term, u.list = r.Term, r.ListRevision
	return u.takeTargets("keepers", readAt, u.sent.listing())
}

func (u *Client) takeTargets(source string, readAt time.Time, listing fleet.TargetListing) bool {
	before := u.roster.Targets()
	if !u.roster.Take(readAt, listing) {
		return false
	}
	born := make(map[string]int64, len(before))
	for _, in := range before {
		born[in.ID] = in.StartMillis
	}
	leaving, again := 0, 0
	for _, in := range u.roster.Targets() {
		if in.Leaving {
			leaving++
		}
		if former, ok := born[in.ID]; ok && former != in.StartMillis {
			again++
		}
	}
	u.Log.Info("targets changed", "source", source, "age", u.Clock.Now().Sub(readAt).Milliseconds(),
		"targets", len(u.roster.Targets()), "leaving", leaving, "again", again)
	return true
}

// readList reads the platform's list when the keepers bring no fresh one: a
// target that leaves must get no new work even then.
func (u *Client) readList(ctx context.Context) {
	now := u.Clock.Now()
	if u.List == nil || now.Sub(u.roster.ReadAt()) < listPatience || now.Sub(u.readOwn) < u.ownPeriod() {
		return
	}
	u.readOwn = now
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	listing, err := u.List.Read(ctx)
	if err != nil {
		u.Log.Warn("the list of targets cannot be read: going on with what is known", "error", err,
			"age", now.Sub(u.roster.ReadAt()).Milliseconds())
		return
	}
	u.notes.Take(now, listing)
	if u.Warming != nil && len(listing.Warming) > 0 {
		u.Warming(listing.WarmingUntil(now))
	}
	// What the keepers brought is not what this router holds any more.
	u.list = 0
	if u.takeTargets("own reading", now, listing) {
		u.Changed(u.State(), u.roster.Targets())
	}
}

// ownPeriod spreads the reads of all routers over what the platform takes.
func (u *Client) ownPeriod() time.Duration {
	routers := float64(max(u.State().Routers, 1))
	spread := time.Duration(routers / (ownReads * max(u.Reads, 1)) * float64(time.Second))
	return max(spread, leastOwnPeriod)
}
