package quarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// sameEnd is how far apart two ends of a target may be told that is known by its name
	// alone and be one: routers see a connection close within milliseconds of each other, and
	// a target takes longer to come back.
	sameEnd = 1500 * time.Millisecond
	// suspectFor and convictFor are how long after the last end an entry stays. Who sends such
	// a request mostly sends it for as long as it fails; a day is until somebody has looked.
	suspectFor = 10 * time.Minute
	convictFor = 24 * time.Hour
	// permitFor bounds a run under a permit, in case its router never tells of its end: the
	// longest that routes let a caller wait is some ten seconds.
	permitFor = 20 * time.Second
	// firstTrial and nextTrial are how long after the end before a trial is granted. The
	// first is soon: who was only there at three ends is owed an answer.
	firstTrial = 10 * time.Second
	nextTrial  = time.Minute
	// listLag is how long a target that ended may stay on the list of targets: some seconds.
	listLag = 10 * time.Second
	// mostEnded bounds the incarnations that are remembered of one request.
	mostEnded = 8
	// mostCases bounds what the leader remembers beside the log, first ends and whole answers:
	// some 300 bytes each. Beyond it what was heard of least lately goes first.
	mostCases = 8192
)

// A Step is what has become of a request, for the log.
type Transition string

// The steps.
const (
	Suspected       Transition = "suspected" // its copies run one at a time
	Quarantined     Transition = "convicted" // it is held back
	TerminatedAgain Transition = "ended"     // another target ended under it
	PermitGranted   Transition = "granted"   // one run is allowed
	PermitReturned  Transition = "returned"  // that run showed nothing
	Cleared         Transition = "cleared"   // it was answered in whole
	Expired         Transition = "lapsed"    // nothing was heard of it for long
	Lifted          Transition = "lifted"    // by an operator
)

// A Note is one step, for the log.
type TransitionRecord struct {
	Transition Transition
	Entry      Entry
}

// A Registry is the leader's part: it takes what all routers report, and decides. Set the
// exported field, call Load, then the other methods with times that never go back. What it
// decides is in force once its entries are in the log.
//
// An end counts by its incarnation, whoever reports it and however often; a whole answer wipes
// out the ends before it. So reports may come doubled, late and in any order.
type Coordinator struct {
	// Targets returns the targets of a pool that take new work, in any order.
	AvailableTargets func(pool string) []string

	cases map[Fingerprint]*suit
	gone  map[string]time.Time // targets that ended a moment ago, by ID
	put   []Entry
	notes []TransitionRecord
	swept time.Time
}

// A suit is all that is known of one request.
type suit struct {
	Entry

	clearedAt time.Time
	heardAt   time.Time
	absentAt  time.Time // when no target of its pool was there
	logged    bool      // it is, or will be, in the log
}

// Load takes over what the log holds.
func (r *Coordinator) Load(now time.Time, entries []Entry) {
	r.cases = make(map[Fingerprint]*suit, len(entries))
	r.gone = make(map[string]time.Time)
	for _, e := range entries {
		r.cases[e.Fingerprint] = &suit{Entry: e, heardAt: now, logged: true}
	}
}

// Report takes a router's report.
func (r *Coordinator) HandleReport(now time.Time, router string, m Report) {
	for _, c := range m.Completions {
		r.clear(now, c)
	}
	for _, e := range m.Terminations {
		r.end(now, router, e)
	}
	for _, b := range m.PermitReturns {
		r.giveBack(now, router, b)
	}
	for _, p := range m.PermitRequests {
		r.ask(now, router, p)
	}
	r.sweep(now)
}

// Take returns the entries to be put into the log, in order, and the steps that they make.
func (r *Coordinator) TakeChanges() ([]Entry, []TransitionRecord) {
	put, notes := r.put, r.notes
	r.put, r.notes = nil, nil
	return put, notes
}

// Lift frees a request by an operator's word.
func (r *Coordinator) Lift(now time.Time, p Fingerprint) bool {
	s := r.cases[p]
	if s == nil || !s.logged {
		return false
	}
	s.clearedAt = now
	r.drop(s, Lifted)
	return true
}

// Ends returns under how many ends a request stands.
func (r *Coordinator) TerminationCount(p Fingerprint) int {
	if s := r.cases[p]; s != nil {
		return len(s.TerminatedTargets)
	}
	return 0
}

func (r *Coordinator) suit(now time.Time, p Fingerprint) *suit {
	s := r.cases[p]
	if s == nil {
		if len(r.cases) >= mostCases {
			r.forgetOldest()
		}
		s = &suit{Entry: Entry{Fingerprint: p}}
		r.cases[p] = s
	}
	s.heardAt = now
	return s
}

// forgetOldest makes room by what was heard of least lately and is not in the log.
func (r *Coordinator) forgetOldest() {
	dropOldest(r.cases, mostCases/yieldPart, func(s *suit) (time.Time, bool) { return s.heardAt, !s.logged })
}

func (r *Coordinator) end(now time.Time, router string, e Termination) {
	at := now.Add(-max(e.Age, 0))
	s := r.suit(now, e.Fingerprint)
	if !e.IDReused || e.Age < sameEnd {
		r.gone[e.Target.ID] = at
	}
	// Its run under a permit is over, also where another router told of this end first.
	over := s.PermitHolder == router && at.After(s.PermitExpiresAt.Add(-permitFor))
	if over {
		s.PermitHolder = ""
	}
	if !at.After(s.clearedAt) || s.has(e, at) {
		if over {
			r.save(s, PermitReturned)
		}
		return
	}
	s.Account, s.Destination, s.Pool = e.Account, e.Destination, e.Pool
	before := len(s.TerminatedTargets)
	s.TerminatedTargets = append(slices.Clone(s.TerminatedTargets), TerminatedTarget{Target: e.Target, At: at})
	if len(s.TerminatedTargets) > mostEnded {
		s.TerminatedTargets = s.TerminatedTargets[1:]
	}
	switch {
	case before < suspectEnds && len(s.TerminatedTargets) >= suspectEnds:
		r.save(s, Suspected)
	case before < convictEnds && len(s.TerminatedTargets) >= convictEnds:
		s.NextTrialAt = now.Add(firstTrial)
		r.save(s, Quarantined)
	case s.logged:
		r.save(s, TerminatedAgain)
	}
}

// has reports whether an end is known.
func (s *suit) has(e Termination, at time.Time) bool {
	return slices.ContainsFunc(s.TerminatedTargets, func(known TerminatedTarget) bool {
		same := !e.IDReused || at.Sub(known.At).Abs() < sameEnd && !s.before(known, e)
		return known.Target.MayEqual(e.Target) && same
	})
}

// before reports whether a known end was before the permit under which another one ran.
func (s *suit) before(known TerminatedTarget, e Termination) bool {
	return e.PermitID != 0 && e.PermitID == s.PermitID && known.At.Before(s.PermitExpiresAt.Add(-permitFor))
}

func (r *Coordinator) clear(now time.Time, c Completion) {
	at := now.Add(-max(c.Age, 0))
	s := r.suit(now, c.Fingerprint)
	if !at.After(s.clearedAt) {
		return
	}
	s.clearedAt = at
	left := slices.DeleteFunc(slices.Clone(s.TerminatedTargets), func(e TerminatedTarget) bool { return !e.At.After(at) })
	if len(left) == len(s.TerminatedTargets) {
		return
	}
	s.TerminatedTargets = left
	if !s.logged {
		return
	}
	if len(left) < suspectEnds {
		r.drop(s, Cleared)
		s.TerminatedTargets = left
		return
	}
	r.save(s, Cleared)
}

func (r *Coordinator) giveBack(now time.Time, router string, b PermitReturn) {
	s := r.cases[b.Fingerprint]
	if s == nil || s.PermitHolder != router || s.PermitID != b.PermitID {
		return
	}
	s.PermitHolder = ""
	if b.Unreachable && s.PermitTarget != "" {
		r.gone[s.PermitTarget] = now // nobody else may have noticed, if it ran nothing
	}
	if b.NotSent && s.Quarantined() && s.Trials > 0 {
		s.Trials--
	}
	r.save(s, PermitReturned)
}

// ask grants a permit, if one is free.
func (r *Coordinator) ask(now time.Time, router string, p Fingerprint) {
	s := r.cases[p]
	if s == nil || len(s.TerminatedTargets) < suspectEnds || s.PermitHolder != "" && now.Before(s.PermitExpiresAt) {
		return
	}
	if s.Quarantined() {
		if s.Trials >= mostTrials || now.Before(s.NextTrialAt) {
			return
		}
		s.Trials++
		s.NextTrialAt = now.Add(nextTrial)
	}
	target, ok := r.apart(now, s)
	if !ok {
		if r.absent(s.Pool) {
			s.absentAt = now
		}
		return
	}
	s.PermitID++
	s.PermitHolder, s.PermitExpiresAt, s.PermitTarget = router, now.Add(permitFor), target
	r.save(s, PermitGranted)
}

// apart picks a target on which no other request runs under a permit: the next end then
// tells which of them it was. "" is any, where the targets of a pool are not known.
func (r *Coordinator) apart(now time.Time, s *suit) (string, bool) {
	var targets []string
	if r.AvailableTargets != nil {
		targets = r.AvailableTargets(s.Pool)
	}
	if len(targets) == 0 {
		return "", true
	}
	taken := make(map[string]bool)
	for target := range r.gone {
		taken[target] = true // the list that shows it lags
	}
	for _, other := range r.cases {
		if other.PermitHolder != "" && now.Before(other.PermitExpiresAt) && other != s {
			taken[other.PermitTarget] = true
		}
	}
	first := xxhash.Sum64String(string(s.Fingerprint)) + s.PermitID
	for i := range uint64(len(targets)) {
		if t := targets[(first+i)%uint64(len(targets))]; !taken[t] {
			return t, true
		}
	}
	return "", false
}

// absent reports whether all targets of a pool have just ended.
func (r *Coordinator) absent(pool string) bool {
	return !slices.ContainsFunc(r.AvailableTargets(pool), func(target string) bool {
		_, gone := r.gone[target]
		return !gone
	})
}

func (r *Coordinator) save(s *suit, step Transition) {
	s.logged = true
	r.put = append(r.put, s.Entry)
	r.notes = append(r.notes, TransitionRecord{Transition: step, Entry: s.Entry})
}

// drop takes an entry out of the log. When its request was cleared is kept for a while:
// ends before that may still be told.
func (r *Coordinator) drop(s *suit, step Transition) {
	r.notes = append(r.notes, TransitionRecord{Transition: step, Entry: s.Entry})
	s.Entry = Entry{Fingerprint: s.Fingerprint, Account: s.Account, Destination: s.Destination, Pool: s.Pool, PermitID: s.PermitID}
	s.logged = false
	r.put = append(r.put, Entry{Fingerprint: s.Fingerprint})
}

// sweep forgets what has lapsed.
func (r *Coordinator) sweep(now time.Time) {
	if now.Sub(r.swept) < time.Second {
		return
	}
	r.swept = now
	maps.DeleteFunc(r.gone, func(_ string, at time.Time) bool { return now.Sub(at) > listLag })
	for p, s := range r.cases {
		switch {
		case !s.logged && now.Sub(s.heardAt) > convictFor:
			delete(r.cases, p)
		case s.logged && !now.Before(s.ExpiresAt()):
			r.drop(s, Expired)
		}
	}
}

// RulingsFor returns what a router that reported is told: what the log holds beyond what it
// holds itself, and what it asked for that the log does not hold.
func (r *Coordinator) UpdateFor(now time.Time, m Report, b *EntryStore) RestrictionUpdate {
	list, whole := b.ChangedSince(m.KnownRevision)
	out := RestrictionUpdate{Revision: b.Revision(), Complete: whole && b.Revision() > 0}
	for _, e := range list {
		out.Restrictions = append(out.Restrictions, e.Restriction(now))
	}
	for _, p := range m.PermitRequests {
		e, ok := b.Entry(p)
		s := r.cases[p]
		switch {
		case !ok && r.TerminationCount(p) < suspectEnds:
			out.Restrictions = append(out.Restrictions, Restriction{Fingerprint: p, TerminationCount: r.TerminationCount(p)})
		case ok && s != nil && s.absentAt.Equal(now):
			ruling := e.Restriction(now)
			ruling.PoolDown = true
			out.Restrictions = append(out.Restrictions, ruling)
		}
	}
	return out
}
