package uplink

import (
	"context"
	"time"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/message"
	"laburnumfall/internal/packed"
	"laburnumfall/internal/quota"
)

// take puts a leader's answer in force. The lease counts from when the question
// was sent: the leader led after that moment, so a key that it still counted
// was not yet withdrawn then, however late the answer is read.
func (u *Uplink) take(asked time.Time, address string, mine []message.Backlog, r message.Renewal) {
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
	if u.Ruled != nil && r.Rulings != nil {
		u.Ruled(u.Clock.Now(), asked, r.Term, *r.Rulings)
	}
	u.state.Store(&s)
	u.takeSent(r)
	u.takeLoads(mine, r)
	if u.takeList(asked, r) || changed {
		u.Changed(s, u.roster.Targets())
	}
	u.takeAbsences(r)
}

func (u *Uplink) takeAbsences(r message.Renewal) {
	if r.Absences == nil || u.Absent == nil {
		return
	}
	u.absences = r.Absences.Revision
	u.Absent(r.Absences.Targets)
}

// takeTable never goes back to a lower number: a leader always has the highest,
// so a lower one comes from an answer that was overtaken.
func (u *Uplink) takeTable(s *State, r message.Renewal) bool {
	if len(r.Text) == 0 || r.Number <= u.number() {
		return false
	}
	text, err := packed.Unpack(r.Text)
	if err != nil {
		u.Log.Error("configuration cannot be unpacked: going on with the one before", "number", r.Number, "error", err)
		return false
	}
	table, err := u.Decode(text)
	if err != nil {
		u.Log.Error("configuration cannot be read: going on with the one before", "number", r.Number, "error", err)
		return false
	}
	u.Log.Info("configuration in force", "number", table.Number, "before", u.number(), "bytes", len(r.Text))
	s.Table = table
	return true
}

// takeEvacuations never goes back to a lower revision, for the same reason.
func (u *Uplink) takeEvacuations(s *State, r message.Renewal) bool {
	if r.Evacuations == nil || r.Evacuations.Revision <= s.Evacuated.Revision {
		return false
	}
	s.Evacuated = *r.Evacuations
	u.Log.Info("evacuated zones changed", "zones", s.Evacuated.Zones, "revision", s.Evacuated.Revision)
	return true
}

func (u *Uplink) takeWarming(asked time.Time, r message.Renewal) {
	if u.Seat != nil {
		u.Seat(asked, r.Seat)
	}
	if u.Warming == nil || len(r.Warming) == 0 {
		return
	}
	now := u.Clock.Now()
	until := make(map[fleet.Incarnation]time.Time, len(r.Warming))
	for _, w := range r.Warming {
		until[w.Of()] = now.Add(w.Left)
	}
	u.Warming(until)
}

// takeSent keeps the list of targets that the keepers sent last: what follows refers
// to its order, whichever list this router goes by.
func (u *Uplink) takeSent(r message.Renewal) {
	list := r.Targets
	if len(r.Roll) > 0 {
		var err error
		if list, err = packed.UnpackJSON[[]fleet.Instance](r.Roll); err != nil {
			u.Log.Error("the list of targets cannot be unpacked: going on with the one before", "list", r.List, "error", err)
			return
		}
	}
	if list != nil || len(r.Roll) > 0 {
		u.sent = sentList{term: r.Term, number: r.List, targets: list, damaged: r.Damaged}
	}
}

// takeLoads hands on what all other routers report.
func (u *Uplink) takeLoads(mine []message.Backlog, r message.Renewal) {
	demand, backlog := r.Demand, r.Backlog
	if len(r.Loads) > 0 {
		loads, err := packed.UnpackJSON[message.Loads](r.Loads)
		if err != nil {
			u.Log.Error("loads cannot be unpacked: going on with those before", "term", r.Term, "error", err)
			return
		}
		u.nameAccounts(&loads)
		var order []fleet.Instance
		if u.sent.is(r) {
			order = u.sent.targets
		}
		demand, backlog = quota.Rows(loads, order)
	}
	u.Heard(u.Clock.Now(), demand, quota.Without(backlog, mine))
}

// nameAccounts keeps the accounts that the leader names, and puts them in where it leaves them
// out. Demands whose accounts are not known are left out by quota.Rows.
func (u *Uplink) nameAccounts(l *message.Loads) {
	switch {
	case len(l.Accounts) > 0:
		u.accounts, u.names = l.Accounts, l.Names
	case l.Names == u.names:
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
func (s sentList) listing() fleet.Listing {
	l := fleet.Listing{Targets: s.targets}
	for _, id := range s.damaged {
		l.Damaged = append(l.Damaged, fleet.Damage{ID: id})
	}
	return l
}

func (s sentList) is(r message.Renewal) bool {
	return s.number != 0 && s.term == r.Term && s.number == r.List
}

func (u *Uplink) takeList(asked time.Time, r message.Renewal) bool {
	if r.List == 0 {
		return false
	}
	readAt := asked.Add(-max(r.Age, 0))
	if readAt.Before(u.roster.ReadAt()) {
		return false // this router has read the list since
	}
	if !u.sent.is(r) {
		return false // it could not be read
	}
	u.term, u.list = r.Term, r.List
	return u.takeTargets("keepers", readAt, u.sent.listing())
}

func (u *Uplink) takeTargets(source string, readAt time.Time, listing fleet.Listing) bool {
	before := u.roster.Targets()
	if !u.roster.Take(readAt, listing) {
		return false
	}
	born := make(map[string]int64, len(before))
	for _, in := range before {
		born[in.ID] = in.Born
	}
	leaving, again := 0, 0
	for _, in := range u.roster.Targets() {
		if in.Leaving {
			leaving++
		}
		if former, ok := born[in.ID]; ok && former != in.Born {
			again++
		}
	}
	u.Log.Info("targets changed", "source", source, "age", u.Clock.Now().Sub(readAt).Milliseconds(),
		"targets", len(u.roster.Targets()), "leaving", leaving, "again", again)
	return true
}

// readList reads the platform's list when the keepers bring no fresh one: a
// target that leaves must get no new work even then.
func (u *Uplink) readList(ctx context.Context) {
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
func (u *Uplink) ownPeriod() time.Duration {
	routers := float64(max(u.State().Routers, 1))
	spread := time.Duration(routers / (ownReads * max(u.Reads, 1)) * float64(time.Second))
	return max(spread, leastOwnPeriod)
}
