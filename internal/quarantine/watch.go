package quarantine

import (
	"maps"
	"slices"
	"time"

	"laburnumfall/internal/fleet"
)

const (
	// memory is how long a router remembers what it has seen, to tell a leader that is new. A
	// request may come again after minutes only.
	memory = time.Hour
	// doubtFor is how long a cut exchange counts as an end while nobody can tell whether its
	// target has ended. The list of targets shows it within some seconds.
	doubtFor = 10 * time.Second
	// mostWatched bounds the requests that a router remembers ends of.
	mostWatched = 4096
	// yieldPart is the part, as a divisor, of what is remembered that goes where it is full.
	yieldPart = 4
)

// watch is what this router itself has seen of one request.
type watch struct {
	since   time.Time
	ends    []told[seen]
	cleared told[time.Time]
}

// seen is an end that this router has seen. It is a doubt until it is sure.
type seen struct {
	Execution
	sure   bool
	sureAt time.Time
}

// told is something to tell the leader.
type told[T any] struct {
	what T
	at   time.Time
	term uint64    // of the leader that has answered a report with it, 0 if none has
	sent time.Time // when the last such report was made
}

// due reports whether it is to be told to the leader of a term. One that is new knows what the
// log holds, and nothing else.
func (t told[T]) due(now time.Time, term uint64) bool {
	return now.Sub(t.at) <= memory && (t.term == 0 || t.term != term)
}

// answered notes that the leader of a term has had the report that was made at asked.
func (t *told[T]) answered(asked time.Time, term uint64) {
	if t.sent.Equal(asked) {
		t.term = term
	}
}

// own counts the ends under a request that this router has seen itself.
func (g *Guard) own(now time.Time, p Fingerprint) int {
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

// Cut notes that a target cut its exchange of a request, and reports whether it is to be
// found out whether the target has ended: Gone or Alive tells then. Until then it is
// believed: the worst that follows is that the next copy waits for the leader's word.
func (g *Guard) RecordInterruption(now time.Time, s Execution) (doubt bool) {
	w := g.watch(now, s.Fingerprint)
	sure := g.knownGone(now, s)
	for i, e := range w.ends {
		if e.what.Target == s.Target && g.sameEnd(now, e.at, s) {
			if sure {
				w.ends[i].what.settle(now)
			}
			return !w.ends[i].what.sure
		}
	}
	end := seen{Execution: s}
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

func (g *Guard) watch(now time.Time, p Fingerprint) *watch {
	w := g.watched[p]
	if w != nil {
		return w
	}
	if g.watched == nil {
		g.watched = make(map[Fingerprint]*watch)
	}
	if len(g.watched) >= mostWatched {
		g.forget(now)
		if len(g.watched) >= mostWatched {
			dropOldest(g.watched, mostWatched/yieldPart, func(w *watch) (time.Time, bool) { return w.since, true })
		}
	}
	w = &watch{since: now}
	g.watched[p] = w
	return w
}

// dropOldest drops some entries of a map, the oldest first, of those that age tells may go.
// Many go at a time, so that a full map is not looked through for each that comes.
func dropOldest[K comparable, V any](m map[K]V, some int, age func(V) (since time.Time, may bool)) {
	type aged struct {
		key   K
		since time.Time
	}
	list := make([]aged, 0, len(m))
	for k, v := range m {
		if since, may := age(v); may {
			list = append(list, aged{key: k, since: since})
		}
	}
	slices.SortFunc(list, func(a, b aged) int { return a.since.Compare(b.since) })
	for _, a := range list[:min(some, len(list))] {
		delete(m, a.key)
	}
}

func (g *Guard) knownGone(now time.Time, s Execution) bool {
	at, ok := g.gone[s.Target]
	return ok && g.sameEnd(now, at, s)
}

// sameEnd reports whether an end of the target at a moment is the one that cut an exchange. A
// target that is known by its name alone was back if the exchange began after that.
func (g *Guard) sameEnd(now, at time.Time, s Execution) bool {
	return !g.IDsReused || now.Sub(at) < sameEnd && !at.Before(s.SentAt)
}

// Gone notes that a target has ended: what it cut was its end.
func (g *Guard) RecordTermination(now time.Time, target fleet.Incarnation) {
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
func (g *Guard) RecordAlive(now, at time.Time, target fleet.Incarnation) {
	for p, w := range g.watched {
		before := len(w.ends)
		w.ends = slices.DeleteFunc(w.ends, func(e told[seen]) bool {
			return e.what.Target == target && !e.what.sure && !e.at.After(at)
		})
		if r := g.rulings[p]; len(w.ends) < before && r.used && r.PermitHolder == g.Owner {
			g.ReturnPermit(now, Decision{PermitID: r.PermitID}, p, false)
		}
		if len(w.ends) == 0 && w.cleared.at.IsZero() {
			delete(g.watched, p)
		}
	}
}

// Doubts returns the targets of which it is not known whether they have ended.
func (g *Guard) UnconfirmedTargets(now time.Time) []fleet.Incarnation {
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
func (g *Guard) RecordCompletion(now time.Time, p Fingerprint) {
	_, ruled := g.rulings[p]
	w := g.watched[p]
	if !ruled && w == nil {
		return
	}
	w = g.watch(now, p)
	w.ends = nil
	w.cleared = told[time.Time]{what: now, at: now}
}

// tell adds to a report what is due of one request.
func (g *Guard) tell(now time.Time, p Fingerprint, w *watch, r *Report) {
	if !w.cleared.at.IsZero() && w.cleared.due(now, g.term) {
		w.cleared.sent = now
		r.Completions = append(r.Completions, Completion{Fingerprint: p, Age: now.Sub(w.cleared.at)})
	}
	for i, e := range w.ends {
		if !e.what.sure || !e.due(now, g.term) {
			continue
		}
		w.ends[i].sent = now
		r.Terminations = append(r.Terminations, Termination{
			Fingerprint: p, Account: e.what.Account, Destination: e.what.Destination, Pool: e.what.Pool,
			Target: e.what.Target, IDReused: g.IDsReused, PermitID: e.what.PermitID, Age: now.Sub(e.at),
		})
	}
}

// noteTold notes that the leader of a term has had the report that was made at asked.
func (g *Guard) noteTold(asked time.Time, term uint64) {
	for _, w := range g.watched {
		for i := range w.ends {
			w.ends[i].answered(asked, term)
		}
		w.cleared.answered(asked, term)
	}
	for i := range g.returns {
		g.returns[i].answered(asked, term)
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
	g.returns = slices.DeleteFunc(g.returns, func(b told[PermitReturn]) bool { return now.Sub(b.at) > memory })
}
