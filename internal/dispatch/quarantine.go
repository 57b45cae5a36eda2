package dispatch

import (
	"slices"
	"time"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/quarantine"
)

const (
	// permitTimeout is how long a request waits for a quarantine permit from the leader. It allows
	// several round trips of a report and the grant that answers it.
	permitTimeout = 600 * time.Millisecond
	// parkedReportInterval is the interval between reports while a request waits for a permit.
	parkedReportInterval = 50 * time.Millisecond
)

// Suspects returns the fingerprint of the request and, if its prompt is long enough, that of the start of
// the prompt, which other prompts may share.
func (r Request) Suspects() []quarantine.Fingerprint {
	suspects := []quarantine.Fingerprint{r.Fingerprint}
	if r.PrefixHash != 0 {
		suspects = append(suspects, quarantine.PartFingerprint(r.Event, r.PrefixHash))
	}
	return suspects
}

// checkQuarantine reports whether a request that was chosen for a slot may be sent. A request under
// which targets have terminated is parked until the leader permits or rejects it: its next run may
// terminate another target, and this router has no information about identical requests at other
// routers.
func (s *Scheduler) checkQuarantine(now time.Time, req *pendingRequest) bool {
	decision := s.Guard.Decide(now, req.Suspects())
	switch decision.Action {
	case quarantine.Allow:
		req.quarantineDecision = decision
		s.Guard.MarkSent(decision, decision.Suspect)
		return true
	case quarantine.AwaitPermit:
		s.queues.Refund(req.item)
		s.park(now, req, decision.Suspect)
	case quarantine.Reject:
		s.queues.Refund(req.item)
		s.refuse(req, quarantinedRefusal(now.Add(decision.RetryAfter), decision))
	}
	return false
}

func quarantinedRefusal(retryAt time.Time, decision quarantine.Decision) *Refuse {
	if decision.Suspect.IsPart() {
		return newNotRunRefusal(retryAt, fleet.KindQuarantined, "begin the prompt differently, or ask the operators (lfctl held)",
			"%d targets have ended under prompts that begin like this one (%s)", decision.TerminationCount, decision.Suspect)
	}
	return newNotRunRefusal(retryAt, fleet.KindQuarantined, "send other work; ask the operators about this request (lfctl held)",
		"%d targets have ended under this request", decision.TerminationCount)
}

func (s *Scheduler) park(now time.Time, req *pendingRequest, suspect quarantine.Fingerprint) {
	req.phase = phaseParked
	req.parkedUntil = now.Add(permitTimeout)
	s.parked = append(s.parked, req.ID)
	req.permitSuspect = suspect
	s.Guard.RequestPermit(suspect)
	s.requestReport(now)
}

func (s *Scheduler) unpark(req *pendingRequest) {
	if req.phase != phaseParked {
		return
	}
	req.phase = phaseWaiting
	s.Guard.CancelPermitRequest(req.permitSuspect)
	s.parked = slices.DeleteFunc(s.parked, func(id uint64) bool { return id == req.ID })
}

// resumeParked re-queues or refuses the parked requests on which the leader has decided or whose
// wait has timed out.
func (s *Scheduler) resumeParked(now time.Time) {
	for _, id := range slices.Clone(s.parked) {
		req := s.requests[id]
		decision := s.Guard.Decide(now, req.Suspects())
		switch {
		case decision.Action == quarantine.AwaitPermit && now.Before(req.parkedUntil):
			s.Guard.CancelPermitRequest(req.permitSuspect) // another suspect may need the permit now
			req.permitSuspect = decision.Suspect
			s.Guard.RequestPermit(req.permitSuspect)
		case decision.Action == quarantine.AwaitPermit:
			s.refuse(req, quarantinedRefusal(now.Add(minRetryAfter), decision))
		case decision.Action == quarantine.Reject:
			s.refuse(req, quarantinedRefusal(now.Add(decision.RetryAfter), decision))
		default:
			s.unpark(req)
			s.requeue(now, req)
		}
	}
}

// recordRun passes the result of an attempt to the quarantine guard.
func (s *Scheduler) recordRun(now time.Time, req *pendingRequest, result AttemptResult) {
	decision := req.quarantineDecision
	req.quarantineDecision = quarantine.Decision{}
	target := s.targets[req.targetName]
	switch {
	case result.Succeeded && result.Unframed:
		s.recordUnframed(now, req, target, decision)
	case result.Succeeded:
		for _, suspect := range req.Suspects() {
			s.Guard.RecordCompletion(now, suspect)
		}
	case result.TargetClosed && target != nil && !target.isLeaving(now) && target.Live():
		if s.recordInterruption(now, req, decision, false) {
			s.emit(Probe{Target: target.Target})
			return
		}
		s.requestReport(now)
	default:
		s.Guard.ReturnPermit(now, decision, decision.Suspect, !result.mayHaveRun())
	}
}

// recordUnframed records a complete response that ended with its connection. It clears the
// request only if its target still runs.
func (s *Scheduler) recordUnframed(now time.Time, req *pendingRequest, target *targetState, decision quarantine.Decision) {
	switch {
	case s.Guard.Idle():
	case target == nil || target.isLeaving(now) || !target.Live():
		s.Guard.ReturnPermit(now, decision, decision.Suspect, false)
	case s.recordInterruption(now, req, decision, true):
		s.emit(Probe{Target: target.Target})
	default:
		s.requestReport(now)
	}
}

// HandlePartCompletion handles a running request whose target has answered for MinPartRunTime, which
// clears the start of its prompt.
func (s *Scheduler) HandlePartCompletion(now time.Time, id uint64) {
	req := s.requests[id]
	if req == nil || req.phase != phaseRunning {
		return
	}
	req.partCompleted = true
	for _, part := range req.Suspects()[1:] {
		s.Guard.RecordCompletion(now, part)
	}
}

// recordInterruption records that the target of a request has closed the connection, and reports whether
// it must be probed.
func (s *Scheduler) recordInterruption(now time.Time, req *pendingRequest, decision quarantine.Decision, unframed bool) bool {
	needsProbe := false
	for _, suspect := range req.Suspects() {
		if suspect.IsPart() && req.partCompleted {
			continue
		}
		execution := quarantine.Execution{Fingerprint: suspect, Account: req.Account, Destination: req.Event, Target: fleet.Incarnation{ID: req.targetName}, SentAt: req.attemptStarted, Unframed: unframed}
		if suspect == decision.Suspect {
			execution.PermitID = decision.PermitID
		}
		needsProbe = s.Guard.RecordInterruption(now, execution) || needsProbe
	}
	return needsProbe
}

// HandleProbeResult handles the result of a Probe: the target either has terminated or was alive at
// aliveAt.
func (s *Scheduler) HandleProbeResult(now, aliveAt time.Time, targetName string, ended bool) {
	target := fleet.Incarnation{ID: targetName}
	if ended {
		s.Guard.RecordTermination(now, target)
	} else {
		s.Guard.RecordAlive(now, aliveAt, target)
		if state := s.targets[targetName]; state != nil && slices.Contains(s.Guard.UnconfirmedTargets(now), target) {
			s.emit(Probe{Target: state.Target}) // it has closed another connection since
		}
	}
	s.requestReport(now)
}
