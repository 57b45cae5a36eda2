package dispatch

import (
	"slices"
	"time"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/quarantine"
)

const (
	// rulingTime is how long a request waits for the leader's word on requests like it: the
	// time of a report and the grant that answers it, several times over.
	rulingTime = 600 * time.Millisecond
	// rulingPoll is how often a router reports meanwhile.
	rulingPoll = 50 * time.Millisecond
)

// allow reports whether a request that was chosen for a slot may be sent. One under which
// targets have ended is parked until the leader has had its word: its next copy may take
// another target away from everybody, and the copies at other routers are not known here.
func (s *Scheduler) allow(now time.Time, p *pending) bool {
	v := s.Guard.Check(now, p.Fingerprint)
	switch v.Action {
	case quarantine.Allow:
		p.verdict = v
		s.Guard.MarkSent(v, p.Fingerprint)
		return true
	case quarantine.AwaitPermit:
		s.queues.Refund(p.item)
		s.park(now, p)
	case quarantine.Reject:
		s.queues.Refund(p.item)
		s.refuse(p, heldBack(now.Add(v.RetryAfter), v.TerminationCount))
	}
	return false
}

func heldBack(back time.Time, ends int) *Refuse {
	return unrun(back, fleet.KindQuarantined, "send other work; ask the operators about this request (lfctl held)",
		"%d targets have ended under this request", ends)
}

func (s *Scheduler) park(now time.Time, p *pending) {
	p.phase = phaseParked
	p.parked = now.Add(rulingTime)
	s.parked = append(s.parked, p.ID)
	s.Guard.RequestPermit(p.Fingerprint)
	s.wantReport(now)
}

func (s *Scheduler) unpark(p *pending) {
	if p.phase != phaseParked {
		return
	}
	p.phase = phaseWaiting
	s.Guard.CancelPermitRequest(p.Fingerprint)
	s.parked = slices.DeleteFunc(s.parked, func(id uint64) bool { return id == p.ID })
}

// resume lets parked requests go on that the leader has had its word on, or not in time.
func (s *Scheduler) resume(now time.Time) {
	for _, id := range slices.Clone(s.parked) {
		p := s.requests[id]
		v := s.Guard.Check(now, p.Fingerprint)
		switch {
		case v.Action == quarantine.AwaitPermit && now.Before(p.parked):
		case v.Action == quarantine.AwaitPermit:
			s.refuse(p, heldBack(now.Add(retrySoon), v.TerminationCount))
		case v.Action == quarantine.Reject:
			s.refuse(p, heldBack(now.Add(v.RetryAfter), v.TerminationCount))
		default:
			s.unpark(p)
			s.requeue(now, p)
		}
	}
}

// learn takes from the end of a run what it shows of its request.
func (s *Scheduler) learn(now time.Time, p *pending, e AttemptResult) {
	v := p.verdict
	p.verdict = quarantine.Decision{}
	t := s.targets[p.target]
	switch {
	case e.Succeeded:
		s.Guard.RecordCompletion(now, p.Fingerprint)
	case e.TargetClosed && t != nil && !t.gone && t.Live():
		doubt := s.Guard.RecordInterruption(now, quarantine.Execution{
			Fingerprint: p.Fingerprint, Account: p.Account, Destination: p.Event, Target: fleet.Incarnation{ID: p.target}, SentAt: p.began, PermitID: v.PermitID,
		})
		if doubt {
			s.act(Probe{Target: t.Target})
			return
		}
		s.wantReport(now)
	default:
		s.Guard.ReturnPermit(now, v, p.Fingerprint, !e.Sent)
	}
}

// HandleProbeResult takes what the looking for a target has shown: whether it has ended, or else was
// there at a moment.
func (s *Scheduler) HandleProbeResult(now, here time.Time, name string, ended bool) {
	target := fleet.Incarnation{ID: name}
	if ended {
		s.Guard.RecordTermination(now, target)
	} else {
		s.Guard.RecordAlive(now, here, target)
		if t := s.targets[name]; t != nil && slices.Contains(s.Guard.UnconfirmedTargets(now), target) {
			s.act(Probe{Target: t.Target}) // it has cut another one since
		}
	}
	s.wantReport(now)
}
