package workload

import (
	"time"

	"laburnumfall/internal/engine"
	"laburnumfall/internal/fleet"
	"laburnumfall/internal/placement"
)

// A fate is how a request ended for its caller.
type fate uint8

const (
	pending fate = iota
	served
	refused // and did not come back, or was refused again
	left    // nothing came for too long
	failed  // its engine was lost
)

// A request is one of a caller, with all its attempts.
type request struct {
	arrival

	kind     *RequestKind
	route    *fleet.Route
	sentAt   time.Time
	tries    int // of the caller
	fate     fate
	first    time.Time // first event at the caller
	last     time.Time // last event there
	pause    time.Duration
	events   int
	withRoom bool // refused while engines had room
	held     *attempt
}

// An attempt is a request at one router.
type attempt struct {
	*request

	id     uint64
	router int
	sent   int // targets
	tried  []fleet.Incarnation
	engine int
	within bool
	choice *placement.Choice
	ended  bool
	begun  bool // the router has seen its first event
}

func (r *request) until() time.Time {
	return r.sentAt.Add(time.Duration(r.kind.Deadline))
}

// tokens is what a request costs: one each to read, two to generate, at most.
func (r *request) tokens() float64 {
	const generated = 2
	sum := generated * r.output
	for _, p := range r.parts {
		sum += p.Tokens
	}
	return float64(sum)
}

// arrive brings a request to a router.
func (w *world) arrive(r *request) {
	w.attempts++
	a := &attempt{request: r, id: w.attempts, router: int((r.caller + uint64(r.tries)*7) % uint64(w.Scenario.Routers))}
	r.tries++
	r.held = a
	if r.tries == 1 {
		r.last = w.now
		w.watch(r)
	}
	w.after(time.Duration(w.Scenario.CallerLatency), func() {
		w.Policy.Ask(w, a)
		w.send(a)
	})
}

// watch lets a caller leave once nothing has come for too long.
func (w *world) watch(r *request) {
	gone := r.last.Add(r.route.AbandonAfter())
	if until := r.until(); until.Before(gone) {
		gone = until
	}
	w.at(gone, func() {
		if r.fate != pending {
			return
		}
		if w.now.Before(r.last.Add(r.route.AbandonAfter())) && w.now.Before(r.until()) {
			w.watch(r)
			return
		}
		r.fate = left
		if a := r.held; a != nil && a.sent > 0 && !a.ended {
			w.after(time.Duration(w.Scenario.CallerLatency)+w.hop(a.router, a.engine), func() { w.cancel(a) })
		}
	})
}

func (w *world) cancel(a *attempt) {
	if a.ended {
		return
	}
	w.engines[a.engine].Cancel(a.id)
	delete(w.jobs[a.engine], a.id)
	w.end(a, placement.Canceled)
}

// end tells the policy once how an attempt ended.
func (w *world) end(a *attempt, r placement.Result) {
	if !a.ended {
		a.ended = true
		w.Policy.Ended(w, a, r)
	}
}

// send sends an attempt to the engine that the policy chooses, or refuses it.
func (w *world) send(a *attempt) {
	if a.fate != pending {
		return
	}
	i, back := w.Policy.Choose(w, a)
	switch {
	case i >= 0:
		w.sendTo(a, i)
	case back > 0:
		w.refuse(a, back)
	}
}

func (w *world) sendTo(a *attempt, i int) {
	a.engine, a.ended = i, false
	a.sent++
	a.tried = append(a.tried, fleet.Incarnation{ID: w.ids[i]})
	w.after(w.hop(a.router, i), func() { w.offer(a) })
}

func (w *world) offer(a *attempt) {
	job := engine.Request{ID: a.id, Parts: a.parts, OutputTokens: a.output, CopySource: w.source(a)}
	if w.away[a.engine] {
		w.after(w.hop(a.router, a.engine), func() { w.elsewhere(a, placement.ConnectFailed) })
		return
	}
	if a.fate != pending || !w.engines[a.engine].Submit(w.now, job) {
		w.after(w.hop(a.router, a.engine), func() { w.elsewhere(a, placement.Refused) })
		return
	}
	w.jobs[a.engine][a.id] = a
	w.stir(a.engine)
}

// source returns the engine that an attempt's parts are copied from, or nil.
func (w *world) source(a *attempt) *engine.Engine {
	if a.choice == nil || a.choice.CopyFrom == "" {
		return nil
	}
	for i, id := range w.ids {
		if id == a.choice.CopyFrom && !w.away[i] {
			return w.engines[i]
		}
	}
	return nil
}

// elsewhere goes on after an engine that did not take the request.
func (w *world) elsewhere(a *attempt, r placement.Result) {
	w.end(a, r)
	if a.fate != pending {
		return
	}
	if a.sent < a.route.MaxAttempts {
		w.send(a)
		return
	}
	const moment = 300 * time.Millisecond
	w.refuse(a, moment)
}

// refuse answers the caller, who comes back once that is worth it.
func (w *world) refuse(a *attempt, back time.Duration) {
	a.withRoom = a.withRoom || w.hasRoom()
	w.after(time.Duration(w.Scenario.CallerLatency), func() {
		if a.fate != pending {
			return
		}
		// Callers heed the time to come back up to a third of what they have left.
		const heed = 3
		if a.tries > a.kind.MaxRetries || back > a.until().Sub(w.now)/heed {
			a.fate = refused
			return
		}
		a.held = nil
		a.last = w.now.Add(back)
		w.after(back, func() {
			if a.fate == pending {
				w.arrive(a.request)
			}
		})
	})
}

// hasRoom reports whether under half of the engines' slots are taken, and nothing waits.
func (w *world) hasRoom() bool {
	taken, waiting := 0, 0
	for _, e := range w.engines {
		r, q := e.Load()
		taken, waiting = taken+r, waiting+q
	}
	return waiting == 0 && taken*2 < w.Scenario.Engines.Slots*len(w.engines)
}

// made brings what an engine made to the router and the caller.
func (w *world) made(a *attempt, ev engine.Event) {
	hop := w.hop(a.router, a.engine)
	if !a.begun {
		a.begun = true
		w.after(hop, func() { w.Policy.First(w, a) })
	}
	if ev.Generated >= a.events*a.kind.TokensPerEvent || ev.Done {
		a.event(ev.At.Add(hop + time.Duration(w.Scenario.CallerLatency)))
	}
	if !ev.Done {
		return
	}
	delete(w.jobs[a.engine], a.id)
	if a.fate == pending {
		a.fate = served
	}
	w.after(hop, func() { w.end(a, placement.Served) })
}

// event notes an event at the caller.
func (r *request) event(at time.Time) {
	r.events++
	if r.first.IsZero() {
		r.first = at
	} else {
		r.pause = max(r.pause, at.Sub(r.last))
	}
	r.last = at
}

// broken ends an attempt whose engine was lost.
func (w *world) broken(a *attempt) {
	w.after(w.hop(a.router, a.engine), func() { w.end(a, placement.Failed) })
	if a.fate == pending {
		a.fate = failed
	}
}

// onTime reports whether a request was served as its kind wants it.
func (r *request) onTime() bool {
	return r.fate == served && r.first.Sub(r.sentAt) <= time.Duration(r.kind.LatencyObjective) && r.pause <= time.Duration(r.kind.MaxEventGap)
}
