// Package dispatch makes a router's scheduling decisions: admission, the choice of the next request
// and of its target, claims of requests that must run at most once, retries, and refusals.
//
// A Scheduler is deterministic. Each call takes the current time and one event and emits Actions,
// which the router carries out.
package dispatch

import (
	"time"

	"laburnumfall/internal/backpressure"
	"laburnumfall/internal/fairshare"
	"laburnumfall/internal/fleet"
	"laburnumfall/internal/message"
	"laburnumfall/internal/quarantine"
)

// A Request is the part of a client's request that the Scheduler needs.
type Request struct {
	ID      uint64
	Account string
	Event   string
	// Deadline is the time after which the client no longer wants the answer; zero means no
	// deadline.
	Deadline time.Time
	// CostHint is the client's estimate of the cost, or 0 if it gave none.
	CostHint float64
	// ClaimKey is the idempotency key of a request that must run at most once in the whole fleet.
	// It is empty if the request may be repeated.
	ClaimKey string
	// BodyBytes is the length of the body, which stays in memory while the request waits.
	BodyBytes int
	// PrefixHash is a hash of the start of the prompt, or 0 if there is none.
	PrefixHash uint64
	// Fingerprint identifies requests with the same content, for the quarantine.
	Fingerprint quarantine.Fingerprint
}

// phase is the processing stage of a pending request.
type phase uint8

const (
	phaseWaiting phase = iota
	phaseClaiming
	phaseRunning
	phaseParked // waits for a quarantine permit from the leader
)

// pendingRequest is a request that has not been answered in full.
type pendingRequest struct {
	Request
	item               *fairshare.Item
	phase              phase
	targetName         string
	arrived            time.Time
	attempts           int
	failedTarget       string // target of the last failed attempt
	claimed            bool
	claimAttempt       uint64
	mayHaveRun         bool                   // a target may have run the request
	parkedUntil        time.Time              // when the wait for the quarantine permit times out
	permitSuspect      quarantine.Fingerprint // what that permit is for
	quarantineDecision quarantine.Decision    // the decision under which the current attempt runs
	attemptStarted     time.Time              // when the current attempt was sent
	partCompleted      bool                   // the start of the prompt does not terminate targets
	disconnected       bool                   // the client disconnected
}

// A Scheduler holds a router's scheduling state. Set the exported fields before the first call.
type Scheduler struct {
	Name string
	Zone fleet.Zone
	// Incarnation distinguishes the runs of a router. It grows with each start.
	Incarnation uint64
	// Guard decides which requests are held back because targets terminate while they run them.
	Guard quarantine.Guard
	// Backpressure holds what targets have said about further requests; nil if nothing is known. Other
	// goroutines may record signals in it. A call of the Scheduler sees them as of its start.
	Backpressure *backpressure.Tracker

	queues        fairshare.Queues
	requests      map[uint64]*pendingRequest
	deadlines     deadlineHeap
	claimAttempts uint64
	slotClaims    []slotClaim // ordered by timeout
	parked        []uint64    // request IDs, ordered by timeout
	claimsSlow    bool        // the keepers do not answer claims in time
	retryBudgets  map[retryBudgetKey]*retryBudget
	prefixes      prefixTargets
	stopping      bool
	actions       []Action
	// signalRevision is the revision of Backpressure when its signals were last applied.
	signalRevision uint64

	config        fleet.Config
	configDigest  string
	accountsByKey map[string]string // account names by digest of the API key
	events        map[string]*eventState
	targets       map[string]*targetState

	term       uint64
	grantSeq   uint64 // Seq of the newest grant in force
	leaseUntil time.Time
	reportSeq  uint64
	lastReport time.Time
	nextReport time.Time
	echoedSeq  uint64 // Seq of the newest report that the leader has answered
	echoedAt   time.Time
	slotsShort bool // some router in the fleet lacks slots
	history    reportHistory
}

// eventState is an event of the configuration with its live targets.
type eventState struct {
	fleet.Event
	targets []*targetState
}

// targetState is a target, the slots of it that the router leases, and its circuit breaker.
type targetState struct {
	fleet.Target
	slots   int  // slots that the router leases
	busy    int  // slots in use; above slots while a reduced lease drains
	leaving bool // the platform's list of VMs shows the target as leaving
	breaker breaker
	// signals is what the target has signaled, as of the current call of the Scheduler.
	signals backpressure.Status
}

func (s *targetState) hasFreeSlot() bool {
	return s.busy < s.slots && !s.leaving
}

// TakeActions returns and clears the actions emitted since the last call.
func (s *Scheduler) TakeActions() []Action {
	actions := s.actions
	s.actions = nil
	return actions
}

func (s *Scheduler) emit(action Action) {
	s.actions = append(s.actions, action)
}

// AccountsByKeyDigest returns the account names by the digest of their API keys. The map is never
// modified after it is returned.
func (s *Scheduler) AccountsByKeyDigest() map[string]string {
	return s.accountsByKey
}

// ConfigNumber returns the number of the configuration in force, or 0 if there is none.
func (s *Scheduler) ConfigNumber() uint64 {
	return s.config.Number
}

// HasLease reports whether the router holds a lease at now. Without one it must not start requests.
func (s *Scheduler) HasLease(now time.Time) bool {
	return now.Before(s.leaseUntil)
}

// Ready reports whether a load balancer should send clients to this router.
func (s *Scheduler) Ready(now time.Time) bool {
	return s.HasLease(now) && !s.stopping
}

// Idle reports whether every request has been answered.
func (s *Scheduler) Idle() bool {
	return len(s.requests) == 0
}

// Submit admits a new request, or refuses it at once.
func (s *Scheduler) Submit(now time.Time, request Request) {
	if s.requests == nil {
		s.requests = make(map[uint64]*pendingRequest)
	}
	s.refreshSignals()
	req := &pendingRequest{Request: request, arrived: now}
	if refusal := s.admit(now, req); refusal != nil {
		refusal.ID = request.ID
		s.emit(*refusal)
		return
	}
	s.requests[request.ID] = req
	if !request.Deadline.IsZero() {
		s.deadlines.push(request.Deadline, request.ID, func(id uint64) bool { return s.requests[id] != nil })
	}
	s.dispatchWaiting(now)
	if s.queues.Contains(request.ID) && s.queues.WaitingCount() == 1 {
		// Only the first waiting request justifies an early report; the others appear in the next
		// one.
		s.requestReport(now)
	}
}

// HandleDisconnect handles a client that closed its connection. A waiting request is dropped; a
// running one is canceled.
func (s *Scheduler) HandleDisconnect(now time.Time, id uint64) {
	req := s.requests[id]
	if req == nil || req.disconnected {
		return
	}
	s.refreshSignals()
	req.disconnected = true
	switch req.phase {
	case phaseWaiting:
		s.refuse(req, newNotRunRefusal(time.Time{}, fleet.KindCallerLeft, "none", "the caller went away"))
		s.dispatchWaiting(now)
	case phaseParked:
		s.refuse(req, newNotRunRefusal(time.Time{}, fleet.KindCallerLeft, "none", "the caller went away"))
	case phaseRunning:
		s.emit(Cancel{ID: id})
	case phaseClaiming:
		// The answer to the claim decides.
	}
}

// refuse ends a request with a refusal. If an earlier attempt may have run it, the outcome is
// reported as unknown and never as "not run".
func (s *Scheduler) refuse(req *pendingRequest, refusal *Refuse) {
	s.queues.Remove(req.ID)
	s.unpark(req)
	if req.mayHaveRun {
		refusal.Outcome = fleet.OutcomeUnknown
		s.remove(req, message.RunStateUnknown)
	} else {
		s.remove(req, message.RunStateNotRun)
	}
	refusal.ID = req.ID
	s.emit(*refusal)
}

// remove deletes a request and settles its claim, if it has one.
func (s *Scheduler) remove(req *pendingRequest, state message.RunState) {
	delete(s.requests, req.ID)
	if req.claimAttempt == 0 {
		return
	}
	s.emit(SettleClaim{Settlement: message.Settlement{Key: req.ClaimKey, Owner: s.claimOwner(), Attempt: req.claimAttempt, State: state}})
}

// Stop begins a graceful shutdown: the router is no longer ready and refuses all waiting requests.
// Running requests go on.
func (s *Scheduler) Stop(now time.Time) {
	s.stopping = true
	s.refuseWaiting(func() *Refuse {
		return newNotRunRefusal(now.Add(minRetryAfter), fleet.KindStopping, "ask another router", "this router is stopping")
	})
	s.requestReport(now)
	s.Tick(now)
}

func (s *Scheduler) refuseWaiting(newRefusal func() *Refuse) {
	for _, id := range append(s.queues.WaitingIDs(), s.parked...) {
		s.refuse(s.requests[id], newRefusal())
	}
}

// Tick handles everything that is due at now: an expired lease, deadlines, timeouts and reports.
func (s *Scheduler) Tick(now time.Time) {
	s.refreshSignals()
	if !s.leaseUntil.IsZero() && !s.HasLease(now) {
		s.loseLease(now)
	}
	for _, id := range s.deadlines.due(now) {
		if req := s.requests[id]; req != nil && (req.phase == phaseWaiting || req.phase == phaseParked) {
			s.refuse(req, newNotRunRefusal(now.Add(s.queues.ExpectedWait(now, req.Account)), fleet.KindDeadline,
				"allow more time", "the deadline passed while the request waited"))
		}
	}
	s.refuseUnavailable(now)
	s.releaseUnclaimedSlots(now)
	s.resumeParked(now)
	s.dispatchWaiting(now)
	if !now.Before(s.nextReport) {
		s.sendReport(now)
	}
}

// NextTick returns when Tick must be called next.
func (s *Scheduler) NextTick() time.Time {
	next := s.nextReport
	if !s.leaseUntil.IsZero() && s.leaseUntil.Before(next) {
		next = s.leaseUntil
	}
	if len(s.slotClaims) > 0 && s.slotClaims[0].until.Before(next) {
		next = s.slotClaims[0].until
	}
	if len(s.parked) > 0 {
		if until := s.requests[s.parked[0]].parkedUntil; until.Before(next) {
			next = until
		}
	}
	if deadline, ok := s.deadlines.first(); ok && deadline.Before(next) {
		next = deadline
	}
	return next
}
