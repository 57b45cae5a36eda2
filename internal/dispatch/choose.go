package dispatch

import (
	"time"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/message"
)

// pump starts requests while there are free slots and the lease holds.
func (s *Scheduler) pump(now time.Time) {
	if !s.HasLease(now) {
		return
	}
	for {
		it, ok := s.queues.Choose(now, func(name string) bool { return s.hasFree(now, name) })
		if !ok {
			return
		}
		s.start(now, s.requests[it.ID])
	}
}

func (s *Scheduler) hasFree(now time.Time, name string) bool {
	e := s.events[name]
	if e == nil {
		return false
	}
	for _, t := range e.targets {
		if t.free() && t.breaker.allows(now, t.use) {
			return true
		}
	}
	return false
}

// start takes a slot for a chosen request. One that must run at most once is
// claimed first: no byte goes to a target before a quorum holds the claim.
func (s *Scheduler) start(now time.Time, p *pending) {
	if !s.allow(now, p) {
		return
	}
	needsClaim := p.ClaimKey != "" && !p.claimed
	if needsClaim && s.slow {
		s.queues.Refund(p.item)
		s.askClaim(p)
		return
	}
	t, reason := s.pick(now, p)
	t.use++
	t.breaker.start(now)
	p.target = t.Name
	if needsClaim {
		s.claiming = append(s.claiming, claiming{id: p.ID, until: now.Add(claimHold)})
		s.askClaim(p)
		return
	}
	s.send(now, p, t, reason)
}

// claimHold is how long a request keeps its slot while its claim is on its way.
// A claim takes a millisecond; at a change of leader, seconds. Requests that
// need no claim must not wait for that.
const claimHold = 100 * time.Millisecond

// claiming is a request that holds a slot for its claim.
type claiming struct {
	id    uint64
	until time.Time
}

func (s *Scheduler) askClaim(p *pending) {
	p.phase = phaseClaiming
	s.attempts++
	p.attempt = s.attempts
	s.act(AcquireClaim{ID: p.ID, Claim: message.Claim{Key: p.ClaimKey, Owner: s.owner(), Attempt: p.attempt}})
}

// releaseSlow takes the slots back that requests held for their claims too
// long. While answers are slow, others are claimed without a slot.
func (s *Scheduler) releaseSlow(now time.Time) {
	for len(s.claiming) > 0 && !now.Before(s.claiming[0].until) {
		p := s.requests[s.claiming[0].id]
		s.claiming = s.claiming[1:]
		if p != nil && p.phase == phaseClaiming && p.target != "" {
			s.slow = true
			s.letGo(p)
		}
	}
}

func (s *Scheduler) send(now time.Time, p *pending, t *slots, reason Reason) {
	p.phase, p.began = phaseRunning, now
	p.tries++
	s.budget(p).earn()
	s.prefixes.put(p.PrefixHash, t.Name)
	s.act(Send{
		ID: p.ID, Target: t.Target, Reason: reason, Attempt: p.tries,
		QueueTime: now.Sub(p.arrived), Deadline: p.Deadline,
	})
}

// pick chooses a target with a free slot for a request. The choice is among
// the slots held, so it never waits.
func (s *Scheduler) pick(now time.Time, p *pending) (*slots, Reason) {
	warm := s.prefixes.get(p.PrefixHash)
	var best *slots
	for _, t := range s.events[p.Event].targets {
		if !t.free() || !t.breaker.allows(now, t.use) {
			continue
		}
		if t.Name == warm && t.Name != p.avoid {
			return t, ReasonPrefix
		}
		if best == nil || better(t, best, p.avoid) {
			best = t
		}
	}
	if best.breaker.probing() {
		return best, ReasonProbe
	}
	return best, ReasonLeastLoaded
}

// better prefers a target other than the one that failed before, then one that
// has not failed lately, then the one with the largest part of its lease free,
// then the one that answers faster.
func better(t, than *slots, avoid string) bool {
	if (t.Name == avoid) != (than.Name == avoid) {
		return than.Name == avoid
	}
	if t.breaker.probing() != than.breaker.probing() {
		return than.breaker.probing()
	}
	mine, other := t.use*than.cap, than.use*t.cap
	if mine != other {
		return mine < other
	}
	return t.breaker.pace() < than.breaker.pace()
}

// HandleClaimResult takes the keepers' answer to a claim. Lost means that no answer came:
// the request was not sent and now never will be, so it was not run.
func (s *Scheduler) HandleClaimResult(now time.Time, id uint64, v message.ClaimResult, lost bool) {
	p := s.requests[id]
	if p == nil || p.phase != phaseClaiming {
		return
	}
	if !lost {
		s.slow = false
	}
	t := s.targets[p.target]
	switch {
	case v.Granted && !p.gone && s.HasLease(now) && t != nil && !t.gone && t.cap > 0:
		p.claimed = true
		s.send(now, p, t, ReasonLeastLoaded)
	case v.Granted && !p.gone && s.HasLease(now) && !s.stopping:
		p.claimed = true
		s.letGo(p)
		s.requeue(now, p)
	default:
		s.letGo(p)
		s.refuseClaim(now, p, v, lost)
	}
	s.pump(now)
}

func (s *Scheduler) refuseClaim(now time.Time, p *pending, v message.ClaimResult, lost bool) {
	switch {
	case p.gone:
		s.refuse(p, unrun(time.Time{}, fleet.KindCallerLeft, "none", "the caller went away"))
	case lost || v.Granted:
		s.refuse(p, s.noLease(now))
	case v.ClaimsFull:
		p.attempt = 0
		s.refuse(p, unrun(now.Add(claimsFullPause), fleet.KindCapacityExhausted, "come back later, or send it as repeatable",
			"the keepers hold as many claims as they may"))
	default:
		p.attempt = 0
		s.refuse(p, claimedRefusal(v.State))
	}
}

// claimsFullPause is when claims may have room again.
const claimsFullPause = time.Minute

// claimedRefusal answers a request whose key is taken. It never says unrun:
// what the caller asks about is the key, and that may have run.
func claimedRefusal(fate message.RunState) *Refuse {
	outcome := fleet.OutcomeUnknown
	if fate == message.RunStateRan {
		outcome = fleet.OutcomeRan
	}
	return &Refuse{
		Err: fleet.NewError(fleet.KindClaimed, "look for the first answer; use a new key only for new work",
			"the request under this key: %s", fate),
		Outcome: outcome,
		Fate:    fate,
	}
}

// letGo gives the slot of a request back that no target has taken, if it has
// one.
func (s *Scheduler) letGo(p *pending) {
	if p.target == "" {
		return
	}
	if t := s.targets[p.target]; t != nil {
		t.use--
	}
	s.queues.Refund(p.item)
	p.target = ""
}

// requeue lets a request wait again in its old place.
func (s *Scheduler) requeue(now time.Time, p *pending) {
	p.phase = phaseWaiting
	if err := s.queues.Push(p.item); err != nil {
		s.refuse(p, unrun(now.Add(retrySoon), fleet.KindQueueFull, "come back after Retry-After", "%v", err))
	}
}

func (s *Scheduler) owner() string {
	return message.ClaimOwner(s.Name, s.Incarnation)
}

// An AttemptResult is what became of a request that was sent to a target.
type AttemptResult struct {
	// Sent says that a byte may have reached the target.
	Sent bool
	// ResponseStarted says that the caller has been given the start of an answer.
	ResponseStarted bool
	// ResponseComplete says that the target's answer was read to its end.
	ResponseComplete bool
	// Failed says that the target failed, as opposed to the caller leaving.
	Failed bool
	// Cost is what the answer cost, in units.
	Cost float64
	// TimeToFirstByte is the time to the first byte of the answer.
	TimeToFirstByte time.Duration
	// TargetClosed says that the target cut the exchange, and Succeeded that it answered in whole and
	// told of no failure.
	TargetClosed, Succeeded bool
}

// HandleAttemptEnd takes the end of a request.
func (s *Scheduler) HandleAttemptEnd(now time.Time, id uint64, e AttemptResult) {
	p := s.requests[id]
	if p == nil || p.phase != phaseRunning {
		return
	}
	t := s.targets[p.target]
	s.learn(now, p, e)
	if t != nil {
		t.use--
		t.breaker.end(now, e)
		if t.use >= t.cap {
			// A reduced lease drains: the leader waits for this slot.
			s.wantReport(now)
		}
	}
	if !e.Sent {
		s.queues.Refund(p.item)
	} else {
		p.sent = true
		s.queues.Settle(p.item, e.Cost)
	}
	s.conclude(now, p, e)
	s.pump(now)
	if s.short && s.queues.Waiting() == 0 {
		// A slot came free that another router needs.
		s.reportWithin(now, idlePause)
	}
}

func (s *Scheduler) conclude(now time.Time, p *pending, e AttemptResult) {
	switch {
	case e.ResponseComplete:
		s.drop(p, message.RunStateRan)
	case e.ResponseStarted:
		s.drop(p, message.RunStateUnknown)
	case p.gone:
		s.refuse(p, unrun(time.Time{}, fleet.KindCallerLeft, "none", "the caller went away"))
	case s.mayRetry(now, p, e):
		p.avoid = p.target
		p.target = ""
		s.requeue(now, p)
	case !e.Sent:
		s.refuse(p, unrun(now.Add(retrySoon), fleet.KindNoTarget, "come back after Retry-After", "target %s cannot be reached", p.target))
	default:
		s.drop(p, message.RunStateUnknown)
		s.act(Refuse{
			ID: p.ID, Outcome: fleet.OutcomeUnknown,
			Err: fleet.NewError(fleet.KindTargetFailed, "ask the target's operators; send a repeatable request again",
				"target %s failed after it was sent the request", p.target),
		})
	}
}
