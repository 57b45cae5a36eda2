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
	switch v.Do {
	case quarantine.Run:
		p.verdict = v
		s.Guard.Begin(v, p.Fingerprint)
		return true
	case quarantine.Wait:
		s.queues.Refund(p.item)
		s.park(now, p)
	case quarantine.Hold:
		s.queues.Refund(p.item)
		s.refuse(p, heldBack(now.Add(v.Back), v.Ends))
	}
	return false
}

func heldBack(back time.Time, ends int) *Refuse {
	return unrun(back, fleet.KindHeld, "send other work; ask the operators about this request (lfctl held)",
		"%d targets have ended under this request", ends)
}

func (s *Scheduler) park(now time.Time, p *pending) {
	p.phase = phaseParked
	p.parked = now.Add(rulingTime)
	s.parked = append(s.parked, p.ID)
	s.Guard.Ask(p.Fingerprint)
	s.wantReport(now)
}

func (s *Scheduler) unpark(p *pending) {
	if p.phase != phaseParked {
		return
	}
	p.phase = phaseWaiting
	s.Guard.Unask(p.Fingerprint)
	s.parked = slices.DeleteFunc(s.parked, func(id uint64) bool { return id == p.ID })
}

// resume lets parked requests go on that the leader has had its word on, or not in time.
func (s *Scheduler) resume(now time.Time) {
	for _, id := range slices.Clone(s.parked) {
		p := s.requests[id]
		v := s.Guard.Check(now, p.Fingerprint)
		switch {
		case v.Do == quarantine.Wait && now.Before(p.parked):
		case v.Do == quarantine.Wait:
			s.refuse(p, heldBack(now.Add(retrySoon), v.Ends))
		case v.Do == quarantine.Hold:
			s.refuse(p, heldBack(now.Add(v.Back), v.Ends))
		default:
			s.unpark(p)
			s.requeue(now, p)
		}
	}
}

// learn takes from the end of a run what it shows of its request.
func (s *Scheduler) learn(now time.Time, p *pending, e AttemptResult) {
	v := p.verdict
	p.verdict = quarantine.Verdict{}
	t := s.targets[p.target]
	switch {
	case e.Succeeded:
		s.Guard.Whole(now, p.Fingerprint)
	case e.TargetClosed && t != nil && !t.gone && t.Live():
		doubt := s.Guard.Cut(now, quarantine.Sight{
			Print: p.Fingerprint, Account: p.Account, Place: p.Event, Target: fleet.Incarnation{ID: p.target}, Began: p.began, Grant: v.Grant,
		})
		if doubt {
			s.act(Probe{Target: t.Target})
			return
		}
		s.wantReport(now)
	default:
		s.Guard.Over(now, v, p.Fingerprint, !e.Sent)
	}
}

// HandleProbeResult takes what the looking for a target has shown: whether it has ended, or else was
// there at a moment.
func (s *Scheduler) HandleProbeResult(now, here time.Time, name string, ended bool) {
	target := fleet.Incarnation{ID: name}
	if ended {
		s.Guard.Gone(now, target)
	} else {
		s.Guard.Alive(now, here, target)
		if t := s.targets[name]; t != nil && slices.Contains(s.Guard.Doubts(now), target) {
			s.act(Probe{Target: t.Target}) // it has cut another one since
		}
	}
	s.wantReport(now)
}
