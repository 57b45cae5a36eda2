package dispatch

import (
	"time"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/message"
)

// dispatchWaiting starts waiting requests while there are free slots and the lease holds.
func (s *Scheduler) dispatchWaiting(now time.Time) {
	if !s.HasLease(now) {
		return
	}
	for {
		item, ok := s.queues.PopNext(now, func(eventName string) bool { return s.eventHasFreeSlot(now, eventName) })
		if !ok {
			return
		}
		s.start(now, s.requests[item.ID])
	}
}

func (s *Scheduler) eventHasFreeSlot(now time.Time, eventName string) bool {
	event := s.events[eventName]
	if event == nil {
		return false
	}
	for _, target := range event.targets {
		if target.canSend(now) {
			return true
		}
	}
	return false
}

// start reserves a slot for a chosen request. A request that must run at most once is claimed
// first: no byte is sent to a target before a quorum of keepers has recorded the claim.
func (s *Scheduler) start(now time.Time, req *pendingRequest) {
	if !s.checkQuarantine(now, req) {
		return
	}
	needsClaim := req.ClaimKey != "" && !req.claimed
	if needsClaim && s.claimsSlow {
		s.queues.Refund(req.item)
		s.requestClaim(req)
		return
	}
	target, reason := s.chooseTarget(now, req)
	target.busy++
	target.breaker.requestStarted(now)
	req.targetName = target.Name
	if needsClaim {
		s.slotClaims = append(s.slotClaims, slotClaim{requestID: req.ID, until: now.Add(claimSlotTimeout)})
		s.requestClaim(req)
		return
	}
	s.send(now, req, target, reason)
}

// claimSlotTimeout is how long a request keeps its slot while it waits for its claim. A claim takes
// about a millisecond, but seconds during a leader election. Requests that need no claim must not
// wait for that.
const claimSlotTimeout = 100 * time.Millisecond

// slotClaim is a request that holds a slot while it waits for its claim.
type slotClaim struct {
	requestID uint64
	until     time.Time
}

func (s *Scheduler) requestClaim(req *pendingRequest) {
	req.phase = phaseClaiming
	s.claimAttempts++
	req.claimAttempt = s.claimAttempts
	s.emit(AcquireClaim{ID: req.ID, Claim: message.Claim{Key: req.ClaimKey, Owner: s.claimOwner(), Attempt: req.claimAttempt}})
}

// releaseUnclaimedSlots releases the slots of requests whose claims are not answered in time. While
// answers are slow, further requests are claimed without holding a slot.
func (s *Scheduler) releaseUnclaimedSlots(now time.Time) {
	for len(s.slotClaims) > 0 && !now.Before(s.slotClaims[0].until) {
		req := s.requests[s.slotClaims[0].requestID]
		s.slotClaims = s.slotClaims[1:]
		if req != nil && req.phase == phaseClaiming && req.targetName != "" {
			s.claimsSlow = true
			s.releaseSlot(req)
		}
	}
}

func (s *Scheduler) send(now time.Time, req *pendingRequest, target *targetState, reason Reason) {
	req.phase, req.attemptStarted = phaseRunning, now
	req.attempts++
	s.retryBudget(req).deposit()
	s.prefixes.put(req.PrefixHash, target.Name)
	s.emit(Send{
		ID: req.ID, Target: target.Target, Reason: reason, Attempt: req.attempts,
		QueueTime: now.Sub(req.arrived), Deadline: req.Deadline, StartBy: s.leaseUntil,
	})
}

// chooseTarget chooses a target with a free slot for a request. It considers only slots that the
// router already leases, so it never waits.
func (s *Scheduler) chooseTarget(now time.Time, req *pendingRequest) (*targetState, Reason) {
	cachedTarget := s.prefixes.get(req.PrefixHash)
	var best *targetState
	for _, target := range s.events[req.Event].targets {
		if !target.canSend(now) {
			continue
		}
		if target.Name == cachedTarget && target.Name != req.failedTarget {
			return target, ReasonPrefix
		}
		if best == nil || isBetterTarget(target, best, req.failedTarget) {
			best = target
		}
	}
	if best.breaker.probing() {
		return best, ReasonProbe
	}
	return best, ReasonLeastLoaded
}

// isBetterTarget orders targets. It prefers a target other than the one that failed last, then one
// that has not failed lately, then the one with the larger fraction of its slots free, then the one
// with the lower latency.
func isBetterTarget(target, other *targetState, failedTarget string) bool {
	if (target.Name == failedTarget) != (other.Name == failedTarget) {
		return other.Name == failedTarget
	}
	if target.breaker.probing() != other.breaker.probing() {
		return other.breaker.probing()
	}
	targetLoad, otherLoad := target.busy*other.slots, other.busy*target.slots
	if targetLoad != otherLoad {
		return targetLoad < otherLoad
	}
	return target.breaker.latency() < other.breaker.latency()
}

// HandleClaimResult handles the keepers' answer to a claim. lost means that no answer came: the
// request was not sent and never will be under this claim, so it was not run.
func (s *Scheduler) HandleClaimResult(now time.Time, id uint64, result message.ClaimResult, lost bool) {
	req := s.requests[id]
	if req == nil || req.phase != phaseClaiming {
		return
	}
	s.refreshSignals()
	if !lost {
		s.claimsSlow = false
	}
	target := s.targets[req.targetName]
	switch {
	case result.Granted && !req.disconnected && s.HasLease(now) && target != nil && target.slots > 0 && !target.isLeaving(now) && !target.signals.BackingOff(now):
		req.claimed = true
		s.send(now, req, target, ReasonLeastLoaded)
	case result.Granted && !req.disconnected && s.HasLease(now) && !s.stopping:
		req.claimed = true
		s.releaseSlot(req)
		s.requeue(now, req)
	default:
		s.releaseSlot(req)
		s.refuseClaim(now, req, result, lost)
	}
	s.dispatchWaiting(now)
}

func (s *Scheduler) refuseClaim(now time.Time, req *pendingRequest, result message.ClaimResult, lost bool) {
	switch {
	case req.disconnected:
		s.refuse(req, newNotRunRefusal(time.Time{}, fleet.KindCallerLeft, "none", "the caller went away"))
	case lost || result.Granted:
		s.refuse(req, s.noLeaseRefusal(now))
	case result.ClaimsFull:
		req.claimAttempt = 0
		s.refuse(req, newNotRunRefusal(now.Add(claimsFullRetryAfter), fleet.KindCapacityExhausted, "come back later, or send it as repeatable",
			"the keepers hold as many claims as they may"))
	default:
		req.claimAttempt = 0
		s.refuse(req, claimedRefusal(result.State))
	}
}

// claimsFullRetryAfter is the time after which the keepers may accept new claims again.
const claimsFullRetryAfter = time.Minute

// claimedRefusal returns the refusal of a request whose claim key is already taken. Its outcome is
// never "not run": the client asks about the key, and an earlier request with that key may have
// run.
func claimedRefusal(state message.RunState) *Refuse {
	outcome := fleet.OutcomeUnknown
	if state == message.RunStateRan {
		outcome = fleet.OutcomeRan
	}
	return &Refuse{
		Err: fleet.NewError(fleet.KindClaimed, "look for the first answer; use a new key only for new work",
			"the request under this key: %s", state),
		Outcome:  outcome,
		RunState: state,
	}
}

// releaseSlot releases the slot of a request that was not sent, if it holds one.
func (s *Scheduler) releaseSlot(req *pendingRequest) {
	if req.targetName == "" {
		return
	}
	if target := s.targets[req.targetName]; target != nil {
		target.busy--
	}
	s.queues.Refund(req.item)
	req.targetName = ""
}

// requeue puts a request back into the queue at its old position.
func (s *Scheduler) requeue(now time.Time, req *pendingRequest) {
	req.phase = phaseWaiting
	if err := s.queues.Push(req.item); err != nil {
		s.refuse(req, newNotRunRefusal(now.Add(minRetryAfter), fleet.KindQueueFull, "come back after Retry-After", "%v", err))
	}
}

func (s *Scheduler) claimOwner() string {
	return message.ClaimOwner(s.Name, s.Incarnation)
}

// An AttemptResult is the result of sending a request to a target.
type AttemptResult struct {
	// Sent says that the target may have received a byte of the request.
	Sent bool
	// NotRun says that the target received the request and stated that it did not run it.
	NotRun bool
	// ResponseStarted says that the start of the response was sent to the client.
	ResponseStarted bool
	// ResponseComplete says that the target's response was read to its end.
	ResponseComplete bool
	// Failed says that the target failed, as opposed to the client disconnecting.
	Failed bool
	// Cost is the measured cost of the request, in units of service.
	Cost float64
	// TimeToFirstByte is the time from the start of the attempt to the first byte of the response.
	TimeToFirstByte time.Duration
	// TargetClosed says that the target closed or reset the connection before the response was
	// complete. Succeeded says that the response was complete and had a success status, and Unframed
	// that it ended with its connection.
	TargetClosed, Succeeded, Unframed bool
}

// mayHaveRun reports whether the target may have run the request.
func (r AttemptResult) mayHaveRun() bool {
	return r.Sent && !r.NotRun
}

// HandleAttemptEnd handles the end of an attempt: it releases the slot, charges the cost, and
// completes, retries or refuses the request.
func (s *Scheduler) HandleAttemptEnd(now time.Time, id uint64, result AttemptResult) {
	req := s.requests[id]
	if req == nil || req.phase != phaseRunning {
		return
	}
	s.refreshSignals()
	target := s.targets[req.targetName]
	s.recordRun(now, req, result)
	if target != nil {
		target.busy--
		target.breaker.requestEnded(now, result)
		if target.busy >= target.slots {
			// The leader has reduced the lease and waits for this slot.
			s.requestReport(now)
		}
	}
	if !result.mayHaveRun() {
		s.queues.Refund(req.item)
	} else {
		req.mayHaveRun = true
		s.queues.Settle(req.item, result.Cost)
	}
	s.finishAttempt(now, req, result)
	s.dispatchWaiting(now)
	if s.slotsShort && s.queues.WaitingCount() == 0 {
		// Another router needs the slot that was released.
		s.requestReportAfter(now, minFreeSlotReportInterval)
	}
}

// finishAttempt completes, retries or refuses a request whose attempt has ended.
func (s *Scheduler) finishAttempt(now time.Time, req *pendingRequest, result AttemptResult) {
	switch {
	case result.ResponseComplete:
		s.remove(req, message.RunStateRan)
	case result.ResponseStarted:
		s.remove(req, message.RunStateUnknown)
	case req.disconnected:
		s.refuse(req, newNotRunRefusal(time.Time{}, fleet.KindCallerLeft, "none", "the caller went away"))
	case s.mayRetry(now, req, result):
		req.failedTarget = req.targetName
		req.targetName = ""
		s.requeue(now, req)
	case !result.mayHaveRun() && !s.HasLease(now):
		s.refuse(req, s.noLeaseRefusal(now))
	case !result.mayHaveRun() && !req.Deadline.IsZero() && !now.Before(req.Deadline):
		s.refuse(req, newNotRunRefusal(now.Add(s.queues.ExpectedWait(now, req.Account)), fleet.KindDeadline,
			"allow more time", "the deadline passed before the request was sent"))
	case !result.mayHaveRun():
		if event := s.events[req.Event]; event != nil {
			if refusal := event.unavailableRefusal(now); refusal != nil {
				s.refuse(req, refusal)
				return
			}
		}
		s.refuse(req, newNotRunRefusal(now.Add(minRetryAfter), fleet.KindNoTarget, "come back after Retry-After", "target %s took no request", req.targetName))
	default:
		s.remove(req, message.RunStateUnknown)
		s.emit(Refuse{
			ID: req.ID, Outcome: fleet.OutcomeUnknown,
			Err: fleet.NewError(fleet.KindTargetFailed, "ask the target's operators; send a repeatable request again",
				"target %s failed after it was sent the request", req.targetName),
		})
	}
}
