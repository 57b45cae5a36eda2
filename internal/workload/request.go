package workload

import (
	"time"

	"laburnumfall/internal/engine"
	"laburnumfall/internal/fleet"
	"laburnumfall/internal/placement"
)

// An outcome is how a request ended for its caller.
type outcome uint8

const (
	outcomePending outcome = iota
	outcomeServed
	outcomeRefused   // the caller did not retry, or was refused again
	outcomeAbandoned // the caller left at its deadline or after a long wait without an event
	outcomeFailed    // the engine crashed
)

// A request is a caller's request with all its attempts.
type request struct {
	arrival

	kind                *RequestKind
	route               *fleet.Route
	sentAt              time.Time
	callerAttempts      int // attempts by the caller, each through one router
	outcome             outcome
	firstEventAt        time.Time // when the caller received its first event
	lastEventAt         time.Time // when the caller received its last event, or began to wait
	longestGap          time.Duration
	eventCount          int
	refusedWithCapacity bool // refused at least once while engines had free capacity
	current             *attempt
}

// An attempt is a caller's attempt through one router.
type attempt struct {
	*request

	id                  uint64
	routerIndex         int
	sends               int // how many engines the router sent it to
	tried               []fleet.Incarnation
	engineIndex         int
	withinShare         bool
	choice              *placement.Choice
	ended               bool
	firstTokenGenerated bool
}

func (r *request) deadline() time.Time {
	return r.sentAt.Add(time.Duration(r.kind.Deadline))
}

// cost returns the cost of a request in tokens: a prompt token costs one, an output token two.
// Cached prompt tokens are not subtracted.
func (r *request) cost() float64 {
	const outputTokenCost = 2
	tokens := outputTokenCost * r.outputTokens
	for _, part := range r.parts {
		tokens += part.Tokens
	}
	return float64(tokens)
}

// arrive starts an attempt of a caller at one of the routers.
func (sim *simulation) arrive(r *request) {
	sim.lastAttemptID++
	a := &attempt{request: r, id: sim.lastAttemptID, routerIndex: int((r.callerID + uint64(r.callerAttempts)*7) % uint64(sim.scenario.Routers))}
	r.callerAttempts++
	r.current = a
	if r.callerAttempts == 1 {
		r.lastEventAt = sim.now
		sim.watchCaller(r)
	}
	sim.scheduleAfter(time.Duration(sim.scenario.CallerLatency), func() {
		sim.policy.RequestArrived(sim, a)
		sim.dispatch(a)
	})
}

// watchCaller makes the caller leave at its deadline, or earlier if it receives no event for the
// route's AbandonAfter time.
func (sim *simulation) watchCaller(r *request) {
	leaveAt := r.lastEventAt.Add(r.route.AbandonAfter())
	if deadline := r.deadline(); deadline.Before(leaveAt) {
		leaveAt = deadline
	}
	sim.schedule(leaveAt, func() {
		if r.outcome != outcomePending {
			return
		}
		if sim.now.Before(r.lastEventAt.Add(r.route.AbandonAfter())) && sim.now.Before(r.deadline()) {
			sim.watchCaller(r)
			return
		}
		r.outcome = outcomeAbandoned
		if a := r.current; a != nil && a.sends > 0 && !a.ended {
			sim.scheduleAfter(time.Duration(sim.scenario.CallerLatency)+sim.latency(a.routerIndex, a.engineIndex), func() { sim.cancel(a) })
		}
	})
}

// cancel ends an attempt at its engine after the caller has left.
func (sim *simulation) cancel(a *attempt) {
	if a.ended {
		return
	}
	sim.engines[a.engineIndex].Cancel(a.id)
	delete(sim.attemptsOnEngine[a.engineIndex], a.id)
	sim.endAttempt(a, placement.Canceled)
}

// endAttempt reports the end of an attempt at an engine to the policy, once.
func (sim *simulation) endAttempt(a *attempt, result placement.Result) {
	if !a.ended {
		a.ended = true
		sim.policy.AttemptEnded(sim, a, result)
	}
}

// dispatch sends an attempt to the engine that the policy chooses, or refuses it.
func (sim *simulation) dispatch(a *attempt) {
	if a.outcome != outcomePending {
		return
	}
	engineIndex, retryAfter := sim.policy.Choose(sim, a)
	switch {
	case engineIndex >= 0:
		sim.sendTo(a, engineIndex)
	case retryAfter > 0:
		sim.refuse(a, retryAfter)
	}
}

func (sim *simulation) sendTo(a *attempt, engineIndex int) {
	a.engineIndex, a.ended = engineIndex, false
	a.sends++
	a.tried = append(a.tried, fleet.Incarnation{ID: sim.engineIDs[engineIndex]})
	sim.scheduleAfter(sim.latency(a.routerIndex, engineIndex), func() { sim.submit(a) })
}

// submit hands an attempt to its engine, if the engine is up and accepts it.
func (sim *simulation) submit(a *attempt) {
	engineRequest := engine.Request{ID: a.id, Parts: a.parts, OutputTokens: a.outputTokens, CopySource: sim.copySource(a)}
	if sim.down[a.engineIndex] {
		sim.scheduleAfter(sim.latency(a.routerIndex, a.engineIndex), func() { sim.retryElsewhere(a, placement.ConnectFailed) })
		return
	}
	if a.outcome != outcomePending || !sim.engines[a.engineIndex].Submit(sim.now, engineRequest) {
		sim.scheduleAfter(sim.latency(a.routerIndex, a.engineIndex), func() { sim.retryElsewhere(a, placement.Refused) })
		return
	}
	sim.attemptsOnEngine[a.engineIndex][a.id] = a
	sim.scheduleStepEnd(a.engineIndex)
}

// copySource returns the engine from which an attempt copies cached parts, or nil.
func (sim *simulation) copySource(a *attempt) *engine.Engine {
	if a.choice == nil || a.choice.CopyFrom == "" {
		return nil
	}
	for index, id := range sim.engineIDs {
		if id == a.choice.CopyFrom && !sim.down[index] {
			return sim.engines[index]
		}
	}
	return nil
}

// retryElsewhere handles an engine that did not accept an attempt: it sends the attempt to
// another engine, or refuses it after the route's maximum number of attempts.
func (sim *simulation) retryElsewhere(a *attempt, result placement.Result) {
	sim.endAttempt(a, result)
	if a.outcome != outcomePending {
		return
	}
	if a.sends < a.route.MaxAttempts {
		sim.dispatch(a)
		return
	}
	const noCapacityRetryAfter = 300 * time.Millisecond
	sim.refuse(a, noCapacityRetryAfter)
}

// refuse answers the caller with a retry time. The caller retries if it has retries and enough
// time left.
func (sim *simulation) refuse(a *attempt, retryAfter time.Duration) {
	a.refusedWithCapacity = a.refusedWithCapacity || sim.hasCapacity()
	sim.scheduleAfter(time.Duration(sim.scenario.CallerLatency), func() {
		if a.outcome != outcomePending {
			return
		}
		// Callers wait for at most a third of the time left until their deadline.
		const maxWaitDivisor = 3
		if a.callerAttempts > a.kind.MaxRetries || retryAfter > a.deadline().Sub(sim.now)/maxWaitDivisor {
			a.outcome = outcomeRefused
			return
		}
		a.current = nil
		a.lastEventAt = sim.now.Add(retryAfter)
		sim.scheduleAfter(retryAfter, func() {
			if a.outcome == outcomePending {
				sim.arrive(a.request)
			}
		})
	})
}

// hasCapacity reports whether less than half of the engines' slots are in use and no request
// waits at an engine.
func (sim *simulation) hasCapacity() bool {
	running, waiting := 0, 0
	for _, e := range sim.engines {
		engineRunning, engineWaiting := e.Load()
		running, waiting = running+engineRunning, waiting+engineWaiting
	}
	return waiting == 0 && running*2 < sim.scenario.Engines.Slots*len(sim.engines)
}

// deliver sends an event of an engine to the router and the caller.
func (sim *simulation) deliver(a *attempt, event engine.Event) {
	latency := sim.latency(a.routerIndex, a.engineIndex)
	if !a.firstTokenGenerated {
		a.firstTokenGenerated = true
		sim.scheduleAfter(latency, func() { sim.policy.FirstByte(sim, a) })
	}
	if event.Generated >= a.eventCount*a.kind.TokensPerEvent || event.Done {
		a.recordEvent(event.At.Add(latency + time.Duration(sim.scenario.CallerLatency)))
	}
	if !event.Done {
		return
	}
	delete(sim.attemptsOnEngine[a.engineIndex], a.id)
	if a.outcome == outcomePending {
		a.outcome = outcomeServed
	}
	sim.scheduleAfter(latency, func() { sim.endAttempt(a, placement.Served) })
}

// recordEvent records an event that reaches the caller.
func (r *request) recordEvent(at time.Time) {
	r.eventCount++
	if r.firstEventAt.IsZero() {
		r.firstEventAt = at
	} else {
		r.longestGap = max(r.longestGap, at.Sub(r.lastEventAt))
	}
	r.lastEventAt = at
}

// failAttempt ends an attempt whose engine crashed.
func (sim *simulation) failAttempt(a *attempt) {
	sim.scheduleAfter(sim.latency(a.routerIndex, a.engineIndex), func() { sim.endAttempt(a, placement.Failed) })
	if a.outcome == outcomePending {
		a.outcome = outcomeFailed
	}
}

// onTime reports whether a request was served within the latency objective and the maximum event
// gap of its kind.
func (r *request) onTime() bool {
	return r.outcome == outcomeServed && r.firstEventAt.Sub(r.sentAt) <= time.Duration(r.kind.LatencyObjective) && r.longestGap <= time.Duration(r.kind.MaxEventGap)
}
