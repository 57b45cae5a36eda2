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
type Action uint8

// The decisions.
const (
	// Run means that it may be sent to a target.
	Allow Action = iota
	// Wait means that a permit is needed, and may be granted within a report and its answer.
	AwaitPermit
	// Hold means that it is held back.
	Reject
)

// A Verdict is a decision on a request.
type Decision struct {
	Action Action
	// Ends is under how many ends it stands.
	TerminationCount int
	// Grant names the permit under which it may run, 0 if it needs none, and Target where,
	// "" if anywhere.
	PermitID     uint64
	PermitTarget string
	// Back is when its caller may come back, if it is held.
	RetryAfter time.Duration
}

// A Sight is a request that a target was running.
type Execution struct {
	Fingerprint                Fingerprint
	Account, Destination, Pool string
	Target                     fleet.Incarnation
	// Began is when it was sent to the target, and Grant the permit under which.
	SentAt   time.Time
	PermitID uint64
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
	IDsReused bool

	revision uint64
	term     uint64
	termAt   time.Time // when this router heard of the term first
	rulings  map[Fingerprint]ruling
	watched  map[Fingerprint]*watch
	gone     map[fleet.Incarnation]time.Time // ended, as far as this router knows
	asks     map[Fingerprint]int             // requests that wait for a permit
	returns  []told[PermitReturn]
}

// ruling is a Ruling with its times by this router's clock.
type ruling struct {
	Restriction
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
func (g *Guard) QuarantinedCount() int {
	n := 0
	for _, r := range g.rulings {
		if r.TerminationCount >= convictEnds {
			n++
		}
	}
	return n
}

// Check decides on a request that is to be sent to a target.
func (g *Guard) Check(now time.Time, p Fingerprint) Decision {
	r, ruled := g.rulings[p]
	v := Decision{TerminationCount: max(r.TerminationCount, g.own(now, p))}
	switch {
	case v.TerminationCount < suspectEnds:
		return v
	case !ruled:
		v.Action = AwaitPermit // the leader has yet to hear of it
	case r.PermitHolder == g.Owner && !r.used && now.Before(r.begin):
		v.PermitID, v.PermitTarget = r.PermitID, r.PermitTarget
	case r.PermitHolder != "" && now.Before(r.until) && !r.returned:
		v.Action, v.RetryAfter = Reject, min(max(r.until.Sub(now), leastBack), mostBack)
	case r.PoolDown && now.Before(r.absent):
		v.Action, v.RetryAfter = Reject, leastBack
	case r.TerminationCount >= convictEnds && (r.NoTrialsLeft || now.Before(r.next)):
		v.Action, v.RetryAfter = Reject, max(r.next.Sub(now), leastBack)
	default:
		v.Action = AwaitPermit
	}
	return v
}

// Begin notes that a request is sent under a permit.
func (g *Guard) MarkSent(v Decision, p Fingerprint) {
	if r, ok := g.rulings[p]; ok && v.PermitID != 0 && r.PermitID == v.PermitID {
		r.used = true
		g.rulings[p] = r
	}
}

// Over notes that a run under a permit showed nothing, and gives that back.
func (g *Guard) ReturnPermit(now time.Time, v Decision, p Fingerprint, unsent bool) {
	g.giveBack(now, PermitReturn{Fingerprint: p, PermitID: v.PermitID, NotSent: unsent})
}

// Unreached notes that the target of a permit could not be reached, and gives that back.
func (g *Guard) ReturnUnreachable(now time.Time, v Decision, p Fingerprint) {
	g.giveBack(now, PermitReturn{Fingerprint: p, PermitID: v.PermitID, NotSent: true, Unreachable: true})
}

func (g *Guard) giveBack(now time.Time, b PermitReturn) {
	if b.PermitID == 0 {
		return
	}
	if r, ok := g.rulings[b.Fingerprint]; ok && r.PermitID == b.PermitID {
		r.used, r.returned = true, true
		g.rulings[b.Fingerprint] = r
	}
	g.returns = append(g.returns, told[PermitReturn]{what: b, at: now})
}

// Ask notes that a request waits here for a permit, until Unask.
func (g *Guard) RequestPermit(p Fingerprint) {
	if g.asks == nil {
		g.asks = make(map[Fingerprint]int)
	}
	g.asks[p]++
}

// Unask ends an Ask.
func (g *Guard) CancelPermitRequest(p Fingerprint) {
	if g.asks[p]--; g.asks[p] <= 0 {
		delete(g.asks, p)
	}
}

// Report returns what the leader is to be told, and forgets what is old.
func (g *Guard) Report(now time.Time) Report {
	g.returnUnused(now)
	g.forget(now)
	r := Report{KnownRevision: g.revision, PermitRequests: slices.Sorted(maps.Keys(g.asks))}
	for p, w := range g.watched {
		if len(r.Terminations)+len(r.Completions) >= mostTold {
			break // the next tells the rest
		}
		g.tell(now, p, w, &r)
	}
	for i, b := range g.returns {
		if b.due(now, g.term) {
			g.returns[i].sent = now
			r.PermitReturns = append(r.PermitReturns, b.what)
		}
	}
	return r
}

// returnUnused gives back permits that came too late for whoever waited.
func (g *Guard) returnUnused(now time.Time) {
	for p, r := range g.rulings {
		if r.PermitHolder == g.Owner && !r.used && !now.Before(r.begin) {
			g.ReturnPermit(now, Decision{PermitID: r.PermitID}, p, true)
		}
	}
}

// Heard takes the answer of the leader of a term to a Report that was made at asked.
func (g *Guard) ApplyUpdate(now, asked time.Time, term uint64, r RestrictionUpdate) {
	if term < g.term || term == g.term && r.Revision < g.revision {
		return // overtaken by a later answer
	}
	if term != g.term {
		g.term, g.termAt = term, now
	}
	if !asked.Before(g.termAt) {
		g.noteTold(asked, term)
	}
	if r.Complete {
		clear(g.rulings)
	}
	g.revision = r.Revision
	if g.rulings == nil {
		g.rulings = make(map[Fingerprint]ruling)
	}
	for _, one := range r.Restrictions {
		g.rule(now, asked, one)
	}
}

func (g *Guard) rule(now, asked time.Time, one Restriction) {
	if one.TerminationCount < suspectEnds {
		delete(g.rulings, one.Fingerprint)
		// What this router had told by then, the leader has counted, or knows to be cleared.
		if w := g.watched[one.Fingerprint]; w != nil {
			w.ends = slices.DeleteFunc(w.ends, func(e told[seen]) bool { return e.what.sure && e.what.sureAt.Before(asked) })
		}
		return
	}
	before := g.rulings[one.Fingerprint]
	g.rulings[one.Fingerprint] = ruling{
		Restriction: one, next: now.Add(one.NextRunIn), until: now.Add(one.PermitExpiresIn), begin: now.Add(min(one.PermitExpiresIn, beginWithin)),
		absent: now.Add(absentFor),
		used:   before.used && before.PermitID == one.PermitID, returned: before.returned && before.PermitID == one.PermitID,
	}
}
