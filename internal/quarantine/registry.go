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
type Step string

// The steps.
const (
	Suspected Step = "suspected" // its copies run one at a time
	Convicted Step = "convicted" // it is held back
	EndedAnew Step = "ended"     // another target ended under it
	Granted   Step = "granted"   // one run is allowed
	Returned  Step = "returned"  // that run showed nothing
	Cleared   Step = "cleared"   // it was answered in whole
	Lapsed    Step = "lapsed"    // nothing was heard of it for long
	Lifted    Step = "lifted"    // by an operator
)

// A Note is one step, for the log.
type Note struct {
	Step  Step
	Entry Entry
}

// A Registry is the leader's part: it takes what all routers report, and decides. Set the
// exported field, call Load, then the other methods with times that never go back. What it
// decides is in force once its entries are in the log.
//
// An end counts by its incarnation, whoever reports it and however often; a whole answer wipes
// out the ends before it. So reports may come doubled, late and in any order.
type Registry struct {
	// Targets returns the targets of a pool that take new work, in any order.
	Targets func(pool string) []string

	cases map[Print]*suit
	gone  map[string]time.Time // targets that ended a moment ago, by ID
	put   []Entry
	notes []Note
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
func (r *Registry) Load(now time.Time, entries []Entry) {
	r.cases = make(map[Print]*suit, len(entries))
	r.gone = make(map[string]time.Time)
	for _, e := range entries {
		r.cases[e.Print] = &suit{Entry: e, heardAt: now, logged: true}
	}
}

// Report takes a router's report.
func (r *Registry) Report(now time.Time, router string, m Report) {
	for _, c := range m.Clears {
		r.clear(now, c)
	}
	for _, e := range m.Ends {
		r.end(now, router, e)
	}
	for _, b := range m.Returns {
		r.giveBack(now, router, b)
	}
	for _, p := range m.Asks {
		r.ask(now, router, p)
	}
	r.sweep(now)
}

// Take returns the entries to be put into the log, in order, and the steps that they make.
func (r *Registry) Take() ([]Entry, []Note) {
	put, notes := r.put, r.notes
	r.put, r.notes = nil, nil
	return put, notes
}

// Lift frees a request by an operator's word.
func (r *Registry) Lift(now time.Time, p Print) bool {
	s := r.cases[p]
	if s == nil || !s.logged {
		return false
	}
	s.clearedAt = now
	r.drop(s, Lifted)
	return true
}

// Ends returns under how many ends a request stands.
func (r *Registry) Ends(p Print) int {
	if s := r.cases[p]; s != nil {
		return len(s.Ended)
	}
	return 0
}

func (r *Registry) suit(now time.Time, p Print) *suit {
	s := r.cases[p]
	if s == nil {
		if len(r.cases) >= mostCases {
			r.forgetOldest()
		}
		s = &suit{Entry: Entry{Print: p}}
		r.cases[p] = s
	}
	s.heardAt = now
	return s
}

// forgetOldest makes room by what was heard of least lately and is not in the log.
func (r *Registry) forgetOldest() {
	dropOldest(r.cases, mostCases/yieldPart, func(s *suit) (time.Time, bool) { return s.heardAt, !s.logged })
}

func (r *Registry) end(now time.Time, router string, e End) {
	at := now.Add(-max(e.Age, 0))
	s := r.suit(now, e.Print)
	if !e.Named || e.Age < sameEnd {
		r.gone[e.Target.ID] = at
	}
	// Its run under a permit is over, also where another router told of this end first.
	over := s.Holder == router && at.After(s.Until.Add(-permitFor))
	if over {
		s.Holder = ""
	}
	if !at.After(s.clearedAt) || s.has(e, at) {
		if over {
			r.save(s, Returned)
		}
		return
	}
	s.Account, s.Place, s.Pool = e.Account, e.Place, e.Pool
	before := len(s.Ended)
	s.Ended = append(slices.Clone(s.Ended), Ended{Target: e.Target, At: at})
	if len(s.Ended) > mostEnded {
		s.Ended = s.Ended[1:]
	}
	switch {
	case before < suspectEnds && len(s.Ended) >= suspectEnds:
		r.save(s, Suspected)
	case before < convictEnds && len(s.Ended) >= convictEnds:
		s.Next = now.Add(firstTrial)
		r.save(s, Convicted)
	case s.logged:
		r.save(s, EndedAnew)
	}
}

// has reports whether an end is known.
func (s *suit) has(e End, at time.Time) bool {
	return slices.ContainsFunc(s.Ended, func(known Ended) bool {
		same := !e.Named || at.Sub(known.At).Abs() < sameEnd && !s.before(known, e)
		return known.Target.MayEqual(e.Target) && same
	})
}

// before reports whether a known end was before the permit under which another one ran.
func (s *suit) before(known Ended, e End) bool {
	return e.Grant != 0 && e.Grant == s.Grant && known.At.Before(s.Until.Add(-permitFor))
}

func (r *Registry) clear(now time.Time, c Clear) {
	at := now.Add(-max(c.Age, 0))
	s := r.suit(now, c.Print)
	if !at.After(s.clearedAt) {
		return
	}
	s.clearedAt = at
	left := slices.DeleteFunc(slices.Clone(s.Ended), func(e Ended) bool { return !e.At.After(at) })
	if len(left) == len(s.Ended) {
		return
	}
	s.Ended = left
	if !s.logged {
		return
	}
	if len(left) < suspectEnds {
		r.drop(s, Cleared)
		s.Ended = left
		return
	}
	r.save(s, Cleared)
}

func (r *Registry) giveBack(now time.Time, router string, b Return) {
	s := r.cases[b.Print]
	if s == nil || s.Holder != router || s.Grant != b.Grant {
		return
	}
	s.Holder = ""
	if b.Unreached && s.Target != "" {
		r.gone[s.Target] = now // nobody else may have noticed, if it ran nothing
	}
	if b.Unsent && s.Convicted() && s.Trials > 0 {
		s.Trials--
	}
	r.save(s, Returned)
}

// ask grants a permit, if one is free.
func (r *Registry) ask(now time.Time, router string, p Print) {
	s := r.cases[p]
	if s == nil || len(s.Ended) < suspectEnds || s.Holder != "" && now.Before(s.Until) {
		return
	}
	if s.Convicted() {
		if s.Trials >= mostTrials || now.Before(s.Next) {
			return
		}
		s.Trials++
		s.Next = now.Add(nextTrial)
	}
	target, ok := r.apart(now, s)
	if !ok {
		if r.absent(s.Pool) {
			s.absentAt = now
		}
		return
	}
	s.Grant++
	s.Holder, s.Until, s.Target = router, now.Add(permitFor), target
	r.save(s, Granted)
}

// apart picks a target on which no other request runs under a permit: the next end then
// tells which of them it was. "" is any, where the targets of a pool are not known.
func (r *Registry) apart(now time.Time, s *suit) (string, bool) {
	var targets []string
	if r.Targets != nil {
		targets = r.Targets(s.Pool)
	}
	if len(targets) == 0 {
		return "", true
	}
	taken := make(map[string]bool)
	for target := range r.gone {
		taken[target] = true // the list that shows it lags
	}
	for _, other := range r.cases {
		if other.Holder != "" && now.Before(other.Until) && other != s {
			taken[other.Target] = true
		}
	}
	first := xxhash.Sum64String(string(s.Print)) + s.Grant
	for i := range uint64(len(targets)) {
		if t := targets[(first+i)%uint64(len(targets))]; !taken[t] {
			return t, true
		}
	}
	return "", false
}

// absent reports whether all targets of a pool have just ended.
func (r *Registry) absent(pool string) bool {
	return !slices.ContainsFunc(r.Targets(pool), func(target string) bool {
		_, gone := r.gone[target]
		return !gone
	})
}

func (r *Registry) save(s *suit, step Step) {
	s.logged = true
	r.put = append(r.put, s.Entry)
	r.notes = append(r.notes, Note{Step: step, Entry: s.Entry})
}

// drop takes an entry out of the log. When its request was cleared is kept for a while:
// ends before that may still be told.
func (r *Registry) drop(s *suit, step Step) {
	r.notes = append(r.notes, Note{Step: step, Entry: s.Entry})
	s.Entry = Entry{Print: s.Print, Account: s.Account, Place: s.Place, Pool: s.Pool, Grant: s.Grant}
	s.logged = false
	r.put = append(r.put, Entry{Print: s.Print})
}

// sweep forgets what has lapsed.
func (r *Registry) sweep(now time.Time) {
	if now.Sub(r.swept) < time.Second {
		return
	}
	r.swept = now
	maps.DeleteFunc(r.gone, func(_ string, at time.Time) bool { return now.Sub(at) > listLag })
	for p, s := range r.cases {
		switch {
		case !s.logged && now.Sub(s.heardAt) > convictFor:
			delete(r.cases, p)
		case s.logged && !now.Before(s.Lapses()):
			r.drop(s, Lapsed)
		}
	}
}

// RulingsFor returns what a router that reported is told: what the log holds beyond what it
// holds itself, and what it asked for that the log does not hold.
func (r *Registry) RulingsFor(now time.Time, m Report, b *Book) Rulings {
	list, whole := b.Since(m.Held)
	out := Rulings{Revision: b.Revision(), Whole: whole && b.Revision() > 0}
	for _, e := range list {
		out.List = append(out.List, e.Ruling(now))
	}
	for _, p := range m.Asks {
		e, ok := b.Entry(p)
		s := r.cases[p]
		switch {
		case !ok && r.Ends(p) < suspectEnds:
			out.List = append(out.List, Ruling{Print: p, Ends: r.Ends(p)})
		case ok && s != nil && s.absentAt.Equal(now):
			ruling := e.Ruling(now)
			ruling.Absent = true
			out.List = append(out.List, ruling)
		}
	}
	return out
}
