package quarantine

import (
	"maps"
	"slices"
	"time"

	"laburnumfall/internal/fleet"
)

const (
	// beginWithin is how soon a run must begin under a permit.
	beginWithin = 2 * time.Second
	// leastBack and mostBack bound when a caller may come back that finds another copy of its
	// request running: that one may take some seconds, and mostly is over sooner.
	leastBack = time.Second
	mostBack  = 5 * time.Second
	// absentFor is how long a request whose targets are all gone is refused without asking the
	// leader again: its list of targets is read anew meanwhile.
	absentFor = 500 * time.Millisecond
	// mostTold bounds the ends and whole answers of one report.
	mostTold = 256
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
	// Began is when it was sent to the target, and Grant the permit under which.
	Began time.Time
	Grant uint64
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
	absent             time.Time // until when no target counts as there
	used               bool      // a run has begun under the permit
	returned           bool      // and it has been given back
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
	case r.Absent && now.Before(r.absent):
		v.Do, v.Back = Hold, leastBack
	case r.Ends >= convictEnds && (r.Final || now.Before(r.next)):
		v.Do, v.Back = Hold, max(r.next.Sub(now), leastBack)
	default:
		v.Do = Wait
	}
	return v
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
	g.giveBack(now, Return{Print: p, Grant: v.Grant, Unsent: unsent})
}

// Unreached notes that the target of a permit could not be reached, and gives that back.
func (g *Guard) Unreached(now time.Time, v Verdict, p Print) {
	g.giveBack(now, Return{Print: p, Grant: v.Grant, Unsent: true, Unreached: true})
}

func (g *Guard) giveBack(now time.Time, b Return) {
	if b.Grant == 0 {
		return
	}
	if r, ok := g.rulings[b.Print]; ok && r.Grant == b.Grant {
		r.used, r.returned = true, true
		g.rulings[b.Print] = r
	}
	g.returns = append(g.returns, told[Return]{what: b, at: now})
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
		absent: now.Add(absentFor),
		used:   before.used && before.Grant == one.Grant, returned: before.returned && before.Grant == one.Grant,
	}
}
