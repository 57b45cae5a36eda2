// Package dispatch is a router's decisions: admission, the choice of the next
// request and its target, claims, retries, and what callers are told.
//
// A Scheduler is deterministic. Each call takes the time and one message and
// leaves Actions; the router's program carries them out.
package dispatch

import (
	"time"

	"laburnumfall/internal/fairshare"
	"laburnumfall/internal/fleet"
	"laburnumfall/internal/message"
	"laburnumfall/internal/quarantine"
)

// A Request is what the scheduler needs to know of a caller's request.
type Request struct {
	ID      uint64
	Account string
	Event   string
	// Deadline is when the caller no longer wants the answer; zero is never.
	Deadline time.Time
	CostHint float64
	// ClaimKey names a request that must run at most once, fleet-wide; "" means
	// that it may be repeated.
	ClaimKey string
	// BodyBytes is the length of the body, which is kept while the request waits.
	BodyBytes int
	// PrefixHash is a hash of the start of the prompt, or 0.
	PrefixHash uint64
	// Fingerprint is the fingerprint of the request.
	Fingerprint quarantine.Fingerprint
}

// phase is how far a request has come.
type phase uint8

const (
	phaseWaiting phase = iota
	phaseClaiming
	phaseRunning
	phaseParked // it waits for the leader's word on requests like it
)

// pending is a request that the router has not yet answered in full.
type pending struct {
	Request
	item    *fairshare.Item
	phase   phase
	target  string
	arrived time.Time
	tries   int
	avoid   string // target of the failed try before
	claimed bool
	attempt uint64
	sent    bool                // some target may have run it
	parked  time.Time           // until when it waits for the leader's word
	verdict quarantine.Decision // by which it runs
	began   time.Time           // when that run did
	gone    bool                // the caller went away
}

// A Scheduler holds a router's state. Set the exported fields before its use.
type Scheduler struct {
	Name string
	Zone fleet.Zone
	// Incarnation is the incarnation: it grows with each start of the router.
	Incarnation uint64
	// Guard decides which requests are held back because targets end under them.
	Guard quarantine.Guard

	queues    fairshare.Queues
	requests  map[uint64]*pending
	deadlines deadlineHeap
	attempts  uint64
	claiming  []claiming // in the order of their deadlines
	parked    []uint64   // requests, in the order of their deadlines
	slow      bool       // claims get no answer in time
	budgets   map[budgetKey]*budget
	prefixes  prefixIndex
	stopping  bool
	out       []Action

	config  fleet.Config
	digest  string
	keys    map[string]string // key digest to account
	events  map[string]*event
	targets map[string]*slots

	term      uint64
	granted   uint64 // Seq of the newest grant in force
	lease     time.Time
	reports   uint64
	reported  time.Time
	reportDue time.Time
	echo      uint64 // newest report that the leader has answered
	echoedAt  time.Time
	short     bool // some router lacks slots
	history   usageHistory
}

// event is an event with its live targets.
type event struct {
	fleet.Event
	targets []*slots
}

// slots is a target and the router's lease on it.
type slots struct {
	fleet.Target
	cap     int
	use     int
	gone    bool
	breaker breaker
}

func (s *slots) free() bool {
	return s.use < s.cap && !s.gone
}

// TakeActions returns the actions since the last TakeActions.
func (s *Scheduler) TakeActions() []Action {
	out := s.out
	s.out = nil
	return out
}

func (s *Scheduler) act(a Action) {
	s.out = append(s.out, a)
}

// AccountsByKeyDigest returns the accounts by the digests of their keys. The map is never
// changed.
func (s *Scheduler) AccountsByKeyDigest() map[string]string {
	return s.keys
}

// ConfigNumber returns the number of the configuration in force, or 0.
func (s *Scheduler) ConfigNumber() uint64 {
	return s.config.Number
}

// HasLease reports whether the router may start requests at now.
func (s *Scheduler) HasLease(now time.Time) bool {
	return now.Before(s.lease)
}

// Ready reports whether the balancer should send callers here.
func (s *Scheduler) Ready(now time.Time) bool {
	return s.HasLease(now) && !s.stopping
}

// Idle reports whether no request is unanswered.
func (s *Scheduler) Idle() bool {
	return len(s.requests) == 0
}

// Submit takes a new request.
func (s *Scheduler) Submit(now time.Time, r Request) {
	if s.requests == nil {
		s.requests = make(map[uint64]*pending)
	}
	p := &pending{Request: r, arrived: now}
	if refusal := s.admit(now, p); refusal != nil {
		refusal.ID = r.ID
		s.act(*refusal)
		return
	}
	s.requests[r.ID] = p
	if !r.Deadline.IsZero() {
		s.deadlines.push(r.Deadline, r.ID, func(id uint64) bool { return s.requests[id] != nil })
	}
	s.pump(now)
	if s.queues.Waits(r.ID) && s.queues.Waiting() == 1 {
		// Only the first to wait is news: the rest shows in the next report.
		s.wantReport(now)
	}
}

// HandleDisconnect tells that a caller went away. What waits is dropped; what runs is
// cancelled.
func (s *Scheduler) HandleDisconnect(now time.Time, id uint64) {
	p := s.requests[id]
	if p == nil || p.gone {
		return
	}
	p.gone = true
	switch p.phase {
	case phaseWaiting:
		s.refuse(p, unrun(time.Time{}, fleet.KindCallerLeft, "none", "the caller went away"))
		s.pump(now)
	case phaseParked:
		s.refuse(p, unrun(time.Time{}, fleet.KindCallerLeft, "none", "the caller went away"))
	case phaseRunning:
		s.act(Cancel{ID: id})
	case phaseClaiming:
		// The claim's answer decides.
	}
}

// refuse gives a request up with its final answer, at once. One that an
// earlier try may have run is never told unrun.
func (s *Scheduler) refuse(p *pending, r *Refuse) {
	s.queues.Remove(p.ID)
	s.unpark(p)
	if p.sent {
		r.Outcome = fleet.OutcomeUnknown
		s.drop(p, message.RunStateUnknown)
	} else {
		s.drop(p, message.RunStateNotRun)
	}
	r.ID = p.ID
	s.act(*r)
}

// drop forgets a request and settles its claim, if it has one.
func (s *Scheduler) drop(p *pending, fate message.RunState) {
	delete(s.requests, p.ID)
	if p.attempt == 0 {
		return
	}
	s.act(SettleClaim{Settlement: message.Settlement{Key: p.ClaimKey, Owner: s.owner(), Attempt: p.attempt, State: fate}})
}

// Stop makes the router unhealthy and answers all that waits. What runs goes on.
func (s *Scheduler) Stop(now time.Time) {
	s.stopping = true
	s.refuseWaiting(func() *Refuse {
		return unrun(now.Add(retrySoon), fleet.KindStopping, "ask another router", "this router is stopping")
	})
	s.wantReport(now)
	s.Tick(now)
}

func (s *Scheduler) refuseWaiting(reason func() *Refuse) {
	for _, id := range append(s.queues.All(), s.parked...) {
		s.refuse(s.requests[id], reason())
	}
}

// Tick tells the time.
func (s *Scheduler) Tick(now time.Time) {
	if !s.lease.IsZero() && !s.HasLease(now) {
		s.loseLease(now)
	}
	for _, id := range s.deadlines.due(now) {
		if p := s.requests[id]; p != nil && (p.phase == phaseWaiting || p.phase == phaseParked) {
			s.refuse(p, unrun(now.Add(s.queues.Wait(now, p.Account)), fleet.KindDeadline,
				"allow more time", "the deadline passed while the request waited"))
		}
	}
	s.refuseBroken(now)
	s.releaseSlow(now)
	s.resume(now)
	s.pump(now)
	if !now.Before(s.reportDue) {
		s.report(now)
	}
}

// refuseBroken answers what waits for events whose targets all fail: waiting
// on would only hide that from the callers.
func (s *Scheduler) refuseBroken(now time.Time) {
	if s.queues.Waiting() == 0 {
		return
	}
	for _, e := range s.events {
		until, broken := e.brokenUntil(now)
		if !broken {
			continue
		}
		for _, id := range s.queues.All() {
			if p := s.requests[id]; p.Event == e.Name {
				s.refuse(p, allFailing(e.Name, until))
			}
		}
	}
}

// NextTick returns when the next Tick is due.
func (s *Scheduler) NextTick() time.Time {
	next := s.reportDue
	if !s.lease.IsZero() && s.lease.Before(next) {
		next = s.lease
	}
	if len(s.claiming) > 0 && s.claiming[0].until.Before(next) {
		next = s.claiming[0].until
	}
	if len(s.parked) > 0 {
		if until := s.requests[s.parked[0]].parked; until.Before(next) {
			next = until
		}
	}
	if first, ok := s.deadlines.first(); ok && first.Before(next) {
		next = first
	}
	return next
}
