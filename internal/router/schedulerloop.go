package router

import (
	"context"
	"net"
	"sync"
	"time"

	"laburnumfall/internal/clock"
	"laburnumfall/internal/dispatch"
	"laburnumfall/internal/fleet"
	"laburnumfall/internal/message"
)

// queueSize is the capacity of the queues between the router's goroutines.
const queueSize = 4096

// A schedulerLoop owns the scheduler. It runs one input after the other and performs the
// resulting actions.
type schedulerLoop struct {
	clock     clock.Clock
	scheduler *dispatch.Scheduler
	inputs    chan input
	done      chan struct{} // closed when run returns
	requests  map[uint64]*pendingRequest
	metrics   *metrics

	keysMu           sync.RWMutex
	accountsByKey    map[string]string // by digest of the API key
	keysConfigNumber uint64            // number of the configuration of accountsByKey

	probe  func(fleet.Target)
	report func(message.Report)
	claim  func(dispatch.AcquireClaim)
	settle func(message.Settlement)
}

// An input is an operation on the scheduler.
type input func(now time.Time, scheduler *dispatch.Scheduler)

// A pendingRequest is a caller's request in progress.
type pendingRequest struct {
	id uint64
	// decisions carries Send and Refuse actions to the goroutine that serves the request. Its
	// capacity exceeds the largest number of actions for one request, so the loop never waits for
	// a caller.
	decisions  chan dispatch.Action
	callerConn net.Conn

	mu         sync.Mutex
	targetConn net.Conn
	cancelled  bool
}

const maxDecisions = 8

func newSchedulerLoop(clk clock.Clock, scheduler *dispatch.Scheduler) *schedulerLoop {
	return &schedulerLoop{
		clock: clk, scheduler: scheduler, inputs: make(chan input, queueSize), done: make(chan struct{}), requests: make(map[uint64]*pendingRequest),
	}
}

func (l *schedulerLoop) run(ctx context.Context) error {
	defer close(l.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case handle := <-l.inputs:
			handle(l.clock.Now(), l.scheduler)
		case <-timer.C:
			l.scheduler.Tick(l.clock.Now())
		}
		l.refreshKeys()
		l.performActions()
		timer.Reset(max(l.scheduler.NextTick().Sub(l.clock.Now()), minTickDelay))
	}
}

// minTickDelay keeps the loop from spinning on a deadline that has passed.
const minTickDelay = time.Millisecond

func (l *schedulerLoop) performActions() {
	for _, action := range l.scheduler.TakeActions() {
		switch action := action.(type) {
		case dispatch.Send:
			l.deliver(action.ID, action, false)
		case dispatch.Refuse:
			l.deliver(action.ID, action, true)
		case dispatch.Cancel:
			if pending := l.requests[action.ID]; pending != nil {
				pending.cancel()
			}
		case dispatch.AcquireClaim:
			l.claim(action)
		case dispatch.SettleClaim:
			l.settle(action.Settlement)
		case dispatch.Probe:
			l.probe(action.Target)
		case dispatch.SendReport:
			l.metrics.observeReport(action.Report)
			l.report(action.Report)
		}
	}
}

func (l *schedulerLoop) deliver(id uint64, action dispatch.Action, last bool) {
	pending := l.requests[id]
	if pending == nil {
		return
	}
	if last {
		delete(l.requests, id)
	}
	pending.decisions <- action
}

func (l *schedulerLoop) submit(pending *pendingRequest, request dispatch.Request) {
	l.inputs <- func(now time.Time, scheduler *dispatch.Scheduler) {
		l.requests[pending.id] = pending
		scheduler.Submit(now, request)
	}
}

func (l *schedulerLoop) disconnect(id uint64) {
	l.inputs <- func(now time.Time, scheduler *dispatch.Scheduler) { scheduler.HandleDisconnect(now, id) }
}

// attemptEnded reports the end of an attempt to the scheduler. A request with a started or
// complete response gets no further decision.
func (l *schedulerLoop) attemptEnded(id uint64, result dispatch.AttemptResult) {
	l.inputs <- func(now time.Time, scheduler *dispatch.Scheduler) {
		if result.ResponseComplete || result.ResponseStarted {
			delete(l.requests, id)
		}
		scheduler.HandleAttemptEnd(now, id, result)
	}
}

// partCompleted reports that the target of a request has answered for MinPartRunTime, which clears the
// start of its prompt.
func (l *schedulerLoop) partCompleted(id uint64) {
	l.inputs <- func(now time.Time, scheduler *dispatch.Scheduler) { scheduler.HandlePartCompletion(now, id) }
}

// turnedAway asks the scheduler about a request that a target has turned away. It returns the time at
// which the client may come back if the response is to be forwarded.
func (l *schedulerLoop) turnedAway(id uint64, response dispatch.TurnedAway) (forward bool, retryAt time.Time) {
	forward = true // unless the loop has ended
	l.runAndWait(func(now time.Time, scheduler *dispatch.Scheduler) {
		forward, retryAt = scheduler.HandleTurnedAway(now, id, response)
	})
	return forward, retryAt
}

func (l *schedulerLoop) claimDone(id uint64, result message.ClaimResult, lost bool) {
	l.inputs <- func(now time.Time, scheduler *dispatch.Scheduler) { scheduler.HandleClaimResult(now, id, result, lost) }
}

func (l *schedulerLoop) applyGrant(grant message.Grant, done func(inForce bool)) {
	l.inputs <- func(now time.Time, scheduler *dispatch.Scheduler) { done(scheduler.HandleGrant(now, grant)) }
}

func (l *schedulerLoop) stop() {
	l.runAndWait(func(now time.Time, scheduler *dispatch.Scheduler) { scheduler.Stop(now) })
}

// idle reports whether no request is in progress. It returns true after the loop has ended.
func (l *schedulerLoop) idle() bool {
	idle := true
	l.runAndWait(func(_ time.Time, scheduler *dispatch.Scheduler) { idle = scheduler.Idle() })
	return idle
}

// hasLease reports whether the router has a lease. It returns false after the loop has ended.
func (l *schedulerLoop) hasLease() bool {
	leased := false
	l.runAndWait(func(now time.Time, scheduler *dispatch.Scheduler) { leased = scheduler.HasLease(now) })
	return leased
}

// runAndWait runs an input in the loop and waits until it has run or the loop has ended.
// Goroutines that outlive the loop must not block on it.
func (l *schedulerLoop) runAndWait(handle input) {
	handled := make(chan struct{})
	wrapped := func(now time.Time, scheduler *dispatch.Scheduler) {
		defer close(handled)
		handle(now, scheduler)
	}
	select {
	case l.inputs <- wrapped:
	case <-l.done:
		return
	}
	select {
	case <-handled:
	case <-l.done:
	}
}

// attach records the connection of an attempt, so that cancel can close it. It returns false if
// the request was cancelled already.
func (p *pendingRequest) attach(targetConn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.targetConn = targetConn
	return !p.cancelled
}

// cancel aborts the attempt in progress.
func (p *pendingRequest) cancel() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cancelled = true
	if p.targetConn != nil {
		_ = p.targetConn.Close() // fails the pending read of the response
	}
}

func (p *pendingRequest) isCancelled() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cancelled
}

// accountForKey returns the account that an API key belongs to.
func (l *schedulerLoop) accountForKey(key string) (string, bool) {
	digest := fleet.KeyDigest(key)
	l.keysMu.RLock()
	defer l.keysMu.RUnlock()
	account, ok := l.accountsByKey[digest]
	return account, ok
}

// hasNoConfig reports whether the router has no configuration yet.
func (l *schedulerLoop) hasNoConfig() bool {
	l.keysMu.RLock()
	defer l.keysMu.RUnlock()
	return l.accountsByKey == nil
}

// refreshKeys copies the API keys for the serving goroutines when the configuration has changed.
func (l *schedulerLoop) refreshKeys() {
	if l.keysConfigNumber == l.scheduler.ConfigNumber() {
		return
	}
	l.keysConfigNumber = l.scheduler.ConfigNumber()
	l.keysMu.Lock()
	defer l.keysMu.Unlock()
	l.accountsByKey = l.scheduler.AccountsByKeyDigest()
}
