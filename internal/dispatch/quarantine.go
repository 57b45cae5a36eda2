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

// checkQuarantine reports whether a request that was chosen for a slot may be sent. A request under
// which targets have terminated is parked until the leader permits or rejects it: its next run may
// terminate another target, and this router has no information about identical requests at other
// routers.
func (s *Scheduler) checkQuarantine(now time.Time, req *pendingRequest) bool {
	decision := s.Guard.Check(now, req.Fingerprint)
	switch decision.Action {
	case quarantine.Allow:
		req.quarantineDecision = decision
		s.Guard.MarkSent(decision, req.Fingerprint)
		return true
	case quarantine.AwaitPermit:
		s.queues.Refund(req.item)
		s.park(now, req)
	case quarantine.Reject:
		s.queues.Refund(req.item)
		s.refuse(req, quarantinedRefusal(now.Add(decision.RetryAfter), decision.TerminationCount))
	}
	return false
}

func quarantinedRefusal(retryAt time.Time, terminationCount int) *Refuse {
	return newNotRunRefusal(retryAt, fleet.KindQuarantined, "send other work; ask the operators about this request (lfctl held)",
		"%d targets have ended under this request", terminationCount)
}

func (s *Scheduler) park(now time.Time, req *pendingRequest) {
	req.phase = phaseParked
	req.parkedUntil = now.Add(permitTimeout)
	s.parked = append(s.parked, req.ID)
	s.Guard.RequestPermit(req.Fingerprint)
	s.requestReport(now)
}

func (s *Scheduler) unpark(req *pendingRequest) {
	if req.phase != phaseParked {
		return
	}
	req.phase = phaseWaiting
	s.Guard.CancelPermitRequest(req.Fingerprint)
	s.parked = slices.DeleteFunc(s.parked, func(id uint64) bool { return id == req.ID })
}

// resumeParked re-queues or refuses the parked requests on which the leader has decided or whose
// wait has timed out.
func (s *Scheduler) resumeParked(now time.Time) {
	for _, id := range slices.Clone(s.parked) {
		req := s.requests[id]
		decision := s.Guard.Check(now, req.Fingerprint)
		switch {
		case decision.Action == quarantine.AwaitPermit && now.Before(req.parkedUntil):
		case decision.Action == quarantine.AwaitPermit:
			s.refuse(req, quarantinedRefusal(now.Add(minRetryAfter), decision.TerminationCount))
		case decision.Action == quarantine.Reject:
			s.refuse(req, quarantinedRefusal(now.Add(decision.RetryAfter), decision.TerminationCount))
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
	case result.Succeeded:
		s.Guard.RecordCompletion(now, req.Fingerprint)
	case result.TargetClosed && target != nil && !target.isLeaving(now) && target.Live():
		needsProbe := s.Guard.RecordInterruption(now, quarantine.Execution{
			Fingerprint: req.Fingerprint, Account: req.Account, Destination: req.Event, Target: fleet.Incarnation{ID: req.targetName}, SentAt: req.attemptStarted, PermitID: decision.PermitID,
		})
		if needsProbe {
			s.emit(Probe{Target: target.Target})
			return
		}
		s.requestReport(now)
	default:
		s.Guard.ReturnPermit(now, decision, req.Fingerprint, !result.mayHaveRun())
	}
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
