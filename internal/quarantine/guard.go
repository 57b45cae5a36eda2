package quarantine

import (
	"maps"
	"slices"
	"time"

	"laburnumfall/internal/fleet"
)

const (
	// tellFor is how long an end or a whole answer is told to a leader: some reports.
	tellFor = 5 * time.Second
	// memory is how long a router remembers what it has seen, to tell a leader that is new. A
	// request may come again after minutes only.
	memory = time.Hour
	// doubtFor is how long a cut exchange counts as an end while nobody can tell whether its
	// target has ended. The list of targets shows it within some seconds.
	doubtFor = 10 * time.Second
	// beginWithin is how soon a run must begin under a permit.
	beginWithin = 2 * time.Second
	// leastBack and mostBack bound when a caller may come back that finds another copy of its
	// request running: that one may take some seconds, and mostly is over sooner.
	leastBack = time.Second
	mostBack  = 5 * time.Second
	// mostTold bounds the ends and whole answers of one report.
	mostTold = 256
	// mostWatched bounds the requests that a router remembers ends of.
	mostWatched = 4096
)

// A Decision is what may be done with a request.
type Decision uint8

// The decisions.
const (
	// Run means that it may be sent to a target.
	Run Decision = iota
	// Wait means that a permit is needed, and may be granted within a report and its answer.
	Wait
	// Hold means that it is held back.
	Hold
)

// A Verdict is a decision on a request.
type Verdict struct {
	Do Decision
	// Ends is under how many ends it stands.
	Ends int
	// Grant names the permit under which it may run, 0 if it needs none, and Target where,
	// "" if anywhere.
	Grant  uint64
	Target string
	// Back is when its caller may come back, if it is held.
	Back time.Duration
}

// A Sight is a request that a target was running.
type Sight struct {
	Print                Print
	Account, Place, Pool string
	Target               fleet.Incarnation
}

// A Guard is a router's part: it notes which targets end under which requests, tells the
// leader, and decides by what the leader tells of all routers. Set the exported fields before
// its use. Times never go back.
//
// A router goes on with what it knows while no keeper leads. What needs a permit has to wait
// then: a limit that each router kept for itself would be that limit times the routers.
type Guard struct {
	// Owner names this router and its incarnation.
	Owner string
	// Named says that targets keep their IDs over their starts, and that nobody tells these.
	Named bool

	revision uint64
	term     uint64
	termAt   time.Time // when this router heard of the term first
	rulings  map[Print]ruling
	watched  map[Print]*watch
	gone     map[fleet.Incarnation]time.Time // ended, as far as this router knows
	asks     map[Print]int                   // requests that wait for a permit
	returns  []told[Return]
}

// ruling is a Ruling with its times by this router's clock.
type ruling struct {
	Ruling
	next, until, begin time.Time
	used               bool // a run has begun under the permit
	returned           bool // and it has been given back
}

// watch is what this router itself has seen of one request.
type watch struct {
	ends    []told[seen]
	cleared told[time.Time]
}

// seen is an end that this router has seen. It is a doubt until it is sure.
type seen struct {
	Sight
	sure   bool
	sureAt time.Time
}

// told is something to tell the leader.
type told[T any] struct {
	what T
	at   time.Time
	term uint64    // of the leader that has been told for long enough
	sent time.Time // in the report made then last
}

// due reports whether it is still to be told to the leader of a term.
func (t told[T]) due(now time.Time, term uint64) bool {
	age := now.Sub(t.at)
	return age <= tellFor || age <= memory && t.term != term // also a leader that is new
}

// Idle reports whether nothing is held of any request: there is nothing to check then.
func (g *Guard) Idle() bool {
	return len(g.rulings) == 0 && len(g.watched) == 0
}

// Held returns how many requests are held back.
func (g *Guard) Held() int {
	n := 0
	for _, r := range g.rulings {
		if r.Ends >= convictEnds {
			n++
		}
	}
	return n
}

// Check decides on a request that is to be sent to a target.
func (g *Guard) Check(now time.Time, p Print) Verdict {
	r, ruled := g.rulings[p]
	v := Verdict{Ends: max(r.Ends, g.own(now, p))}
	switch {
	case v.Ends < suspectEnds:
		return v
	case !ruled:
		v.Do = Wait // the leader has yet to hear of it
	case r.Holder == g.Owner && !r.used && now.Before(r.begin):
		v.Grant, v.Target = r.Grant, r.Target
	case r.Holder != "" && now.Before(r.until) && !r.returned:
		v.Do, v.Back = Hold, min(max(r.until.Sub(now), leastBack), mostBack)
	case r.Ends >= convictEnds && (r.Final || now.Before(r.next)):
		v.Do, v.Back = Hold, max(r.next.Sub(now), leastBack)
	default:
		v.Do = Wait
	}
	return v
}

// own counts the ends under a request that this router has seen itself.
func (g *Guard) own(now time.Time, p Print) int {
	w := g.watched[p]
	if w == nil {
		return 0
	}
	n := 0
	for _, e := range w.ends {
		if e.what.sure && now.Sub(e.at) <= memory || now.Sub(e.at) <= doubtFor {
			n++
		}
	}
	return n
}

// Begin notes that a request is sent under a permit.
func (g *Guard) Begin(v Verdict, p Print) {
	if r, ok := g.rulings[p]; ok && v.Grant != 0 && r.Grant == v.Grant {
		r.used = true
		g.rulings[p] = r
	}
}

// Over notes that a run under a permit showed nothing, and gives that back.
func (g *Guard) Over(now time.Time, v Verdict, p Print, unsent bool) {
	if v.Grant == 0 {
		return
	}
	if r, ok := g.rulings[p]; ok && r.Grant == v.Grant {
		r.used, r.returned = true, true
		g.rulings[p] = r
	}
	g.returns = append(g.returns, told[Return]{what: Return{Print: p, Grant: v.Grant, Unsent: unsent}, at: now})
}

// Ask notes that a request waits here for a permit, until Unask.
func (g *Guard) Ask(p Print) {
	if g.asks == nil {
		g.asks = make(map[Print]int)
	}
	g.asks[p]++
}

// Unask ends an Ask.
func (g *Guard) Unask(p Print) {
	if g.asks[p]--; g.asks[p] <= 0 {
		delete(g.asks, p)
	}
}

// Cut notes that a target cut its exchange of a request, and reports whether it is to be
// found out whether the target has ended: Gone or Alive tells then. Until then it is
// believed: the worst that follows is that the next copy waits for the leader's word.
func (g *Guard) Cut(now time.Time, s Sight) (doubt bool) {
	w := g.watch(now, s.Print)
	if w == nil {
		return false
	}
	sure := g.knownGone(now, s.Target)
	for i, e := range w.ends {
		if e.what.Target == s.Target && (!g.Named || now.Sub(e.at) < sameEnd) {
			if sure {
				w.ends[i].what.settle(now)
			}
			return !w.ends[i].what.sure
		}
	}
	end := seen{Sight: s}
	if sure {
		end.settle(now)
	}
	w.ends = append(w.ends, told[seen]{what: end, at: now})
	return !sure
}

func (s *seen) settle(now time.Time) {
	if !s.sure {
		s.sure, s.sureAt = true, now
	}
}

func (g *Guard) watch(now time.Time, p Print) *watch {
	w := g.watched[p]
	if w != nil {
		return w
	}
	if g.watched == nil {
		g.watched = make(map[Print]*watch)
	}
	if len(g.watched) >= mostWatched {
		g.forget(now)
	}
	if len(g.watched) >= mostWatched {
		return nil // the leader hears of it from others, or by the next
	}
	w = &watch{}
	g.watched[p] = w
	return w
}

func (g *Guard) knownGone(now time.Time, target fleet.Incarnation) bool {
	at, ok := g.gone[target]
	return ok && (!g.Named || now.Sub(at) < sameEnd)
}

// Gone notes that a target has ended: what it cut was its end.
func (g *Guard) Gone(now time.Time, target fleet.Incarnation) {
	if g.gone == nil {
		g.gone = make(map[fleet.Incarnation]time.Time)
	}
	g.gone[target] = now
	for _, w := range g.watched {
		for i, e := range w.ends {
			if e.what.Target == target && now.Sub(e.at) <= doubtFor {
				w.ends[i].what.settle(now)
			}
		}
	}
}

// Alive notes that a target was still there at a moment: what it cut before was no end, and a
// permit of such a run showed nothing.
func (g *Guard) Alive(now, at time.Time, target fleet.Incarnation) {
	for p, w := range g.watched {
		before := len(w.ends)
		w.ends = slices.DeleteFunc(w.ends, func(e told[seen]) bool {
			return e.what.Target == target && !e.what.sure && !e.at.After(at)
		})
		if r := g.rulings[p]; len(w.ends) < before && r.used && r.Holder == g.Owner {
			g.Over(now, Verdict{Grant: r.Grant}, p, false)
		}
		if len(w.ends) == 0 && w.cleared.at.IsZero() {
			delete(g.watched, p)
		}
	}
}

// Doubts returns the targets of which it is not known whether they have ended.
func (g *Guard) Doubts(now time.Time) []fleet.Incarnation {
	seen := make(map[fleet.Incarnation]bool)
	for _, w := range g.watched {
		for _, e := range w.ends {
			if !e.what.sure && now.Sub(e.at) <= doubtFor {
				seen[e.what.Target] = true
			}
		}
	}
	return slices.Collect(maps.Keys(seen))
}

// Whole notes the whole answer of a target that ran a request: it does not end targets.
func (g *Guard) Whole(now time.Time, p Print) {
	_, ruled := g.rulings[p]
	w := g.watched[p]
	if !ruled && w == nil {
		return
	}
	if w == nil {
		if w = g.watch(now, p); w == nil {
			return
		}
	}
	w.ends = nil
	w.cleared = told[time.Time]{what: now, at: now}
}

// Report returns what the leader is to be told, and forgets what is old.
func (g *Guard) Report(now time.Time) Report {
	g.returnUnused(now)
	g.forget(now)
	r := Report{Held: g.revision, Asks: slices.Sorted(maps.Keys(g.asks))}
	for p, w := range g.watched {
		if len(r.Ends)+len(r.Clears) >= mostTold {
			break // the next tells the rest
		}
		g.tell(now, p, w, &r)
	}
	for i, b := range g.returns {
		if b.due(now, g.term) {
			g.returns[i].sent = now
			r.Returns = append(r.Returns, b.what)
		}
	}
	return r
}

// tell adds to a report what is due of one request.
func (g *Guard) tell(now time.Time, p Print, w *watch, r *Report) {
	if !w.cleared.at.IsZero() && w.cleared.due(now, g.term) {
		w.cleared.sent = now
		r.Clears = append(r.Clears, Clear{Print: p, Age: now.Sub(w.cleared.at)})
	}
	for i, e := range w.ends {
		if !e.what.sure || !e.due(now, g.term) {
			continue
		}
		w.ends[i].sent = now
		r.Ends = append(r.Ends, End{
			Print: p, Account: e.what.Account, Place: e.what.Place, Pool: e.what.Pool,
			Target: e.what.Target, Named: g.Named, Age: now.Sub(e.at),
		})
	}
}

// returnUnused gives back permits that came too late for whoever waited.
func (g *Guard) returnUnused(now time.Time) {
	for p, r := range g.rulings {
		if r.Holder == g.Owner && !r.used && !now.Before(r.begin) {
			g.Over(now, Verdict{Grant: r.Grant}, p, true)
		}
	}
}

// Heard takes the answer of the leader of a term to a Report that was made at asked.
func (g *Guard) Heard(now, asked time.Time, term uint64, r Rulings) {
	if term < g.term || term == g.term && r.Revision < g.revision {
		return // overtaken by a later answer
	}
	if term != g.term {
		g.term, g.termAt = term, now
	}
	if !asked.Before(g.termAt) {
		g.noteTold(asked, term)
	}
	if r.Whole {
		clear(g.rulings)
	}
	g.revision = r.Revision
	if g.rulings == nil {
		g.rulings = make(map[Print]ruling)
	}
	for _, one := range r.List {
		g.rule(now, asked, one)
	}
}

// noteTold notes that the leader of a term has had the report that was made at asked. What
// was new then goes on being told: a term may end before its leader has put it into the log.
func (g *Guard) noteTold(asked time.Time, term uint64) {
	for _, w := range g.watched {
		for i, e := range w.ends {
			if e.sent.Equal(asked) && asked.Sub(e.what.sureAt) > tellFor {
				w.ends[i].term = term
			}
		}
		if w.cleared.sent.Equal(asked) && asked.Sub(w.cleared.at) > tellFor {
			w.cleared.term = term
		}
	}
	for i, b := range g.returns {
		if b.sent.Equal(asked) && asked.Sub(b.at) > tellFor {
			g.returns[i].term = term
		}
	}
}

func (g *Guard) rule(now, asked time.Time, one Ruling) {
	if one.Ends < suspectEnds {
		delete(g.rulings, one.Print)
		// What this router had told by then, the leader has counted, or knows to be cleared.
		if w := g.watched[one.Print]; w != nil {
			w.ends = slices.DeleteFunc(w.ends, func(e told[seen]) bool { return e.what.sure && e.what.sureAt.Before(asked) })
		}
		return
	}
	before := g.rulings[one.Print]
	g.rulings[one.Print] = ruling{
		Ruling: one, next: now.Add(one.Next), until: now.Add(one.Until), begin: now.Add(min(one.Until, beginWithin)),
		used: before.used && before.Grant == one.Grant, returned: before.returned && before.Grant == one.Grant,
	}
}

// forget drops what is too old to tell and to count.
func (g *Guard) forget(now time.Time) {
	for p, w := range g.watched {
		w.ends = slices.DeleteFunc(w.ends, func(e told[seen]) bool {
			return now.Sub(e.at) > memory || !e.what.sure && now.Sub(e.at) > doubtFor
		})
		if len(w.ends) == 0 && now.Sub(w.cleared.at) > memory {
			delete(g.watched, p)
		}
	}
	for target, at := range g.gone {
		if now.Sub(at) > memory {
			delete(g.gone, target)
		}
	}
	g.returns = slices.DeleteFunc(g.returns, func(b told[Return]) bool { return now.Sub(b.at) > memory })
}
