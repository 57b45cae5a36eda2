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

// ringSize bounds what waits between two duties.
const ringSize = 4096

// A desk is the duty that owns the scheduler: it hands it one input after the
// other and carries its actions to the other duties.
type desk struct {
	clock     clock.Clock
	scheduler *dispatch.Scheduler
	inputs    chan input
	over      chan struct{} // closed when run has ended
	calls     map[uint64]*call
	meters    *meters

	keysMu sync.RWMutex
	keys   map[string]string // key digest to account
	keysOf uint64            // number of the configuration that they are of

	probe  func(fleet.Target)
	report func(message.Report)
	claim  func(dispatch.AcquireClaim)
	settle func(message.Settlement)
}

// An input is one message to the scheduler.
type input func(now time.Time, s *dispatch.Scheduler)

// A call is a caller's request in progress.
type call struct {
	id uint64
	// verdicts brings Send and Refuse actions to the serving goroutine. Its
	// size exceeds the most that one request can get, so that the desk never
	// waits for a caller.
	verdicts chan dispatch.Action
	caller   net.Conn

	mu       sync.Mutex
	upstream net.Conn
	gone     bool
}

const maxVerdicts = 8

func newDesk(c clock.Clock, s *dispatch.Scheduler) *desk {
	return &desk{
		clock: c, scheduler: s, inputs: make(chan input, ringSize), over: make(chan struct{}), calls: make(map[uint64]*call),
	}
}

func (d *desk) run(ctx context.Context) error {
	defer close(d.over)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case in := <-d.inputs:
			in(d.clock.Now(), d.scheduler)
		case <-timer.C:
			d.scheduler.Tick(d.clock.Now())
		}
		d.refreshKeys()
		d.carryOut()
		timer.Reset(max(d.scheduler.NextTick().Sub(d.clock.Now()), minTick))
	}
}

// minTick keeps a deadline that cannot be met from spinning the desk.
const minTick = time.Millisecond

func (d *desk) carryOut() {
	for _, a := range d.scheduler.TakeActions() {
		switch a := a.(type) {
		case dispatch.Send:
			d.verdict(a.ID, a, false)
		case dispatch.Refuse:
			d.verdict(a.ID, a, true)
		case dispatch.Cancel:
			if c := d.calls[a.ID]; c != nil {
				c.cancel()
			}
		case dispatch.AcquireClaim:
			d.claim(a)
		case dispatch.SettleClaim:
			d.settle(a.Settlement)
		case dispatch.Probe:
			d.probe(a.Target)
		case dispatch.SendReport:
			d.meters.observe(a.Report)
			d.report(a.Report)
		}
	}
}

func (d *desk) verdict(id uint64, a dispatch.Action, last bool) {
	c := d.calls[id]
	if c == nil {
		return
	}
	if last {
		delete(d.calls, id)
	}
	c.verdicts <- a
}

func (d *desk) arrive(c *call, r dispatch.Request) {
	d.inputs <- func(now time.Time, s *dispatch.Scheduler) {
		d.calls[c.id] = c
		s.Submit(now, r)
	}
}

func (d *desk) abandon(id uint64) {
	d.inputs <- func(now time.Time, s *dispatch.Scheduler) { s.HandleDisconnect(now, id) }
}

// ended tells the end of a try. A whole or answered request gets no verdict
// more.
func (d *desk) ended(id uint64, e dispatch.AttemptResult) {
	d.inputs <- func(now time.Time, s *dispatch.Scheduler) {
		if e.ResponseComplete || e.ResponseStarted {
			delete(d.calls, id)
		}
		s.HandleAttemptEnd(now, id, e)
	}
}

func (d *desk) claimed(id uint64, v message.ClaimResult, lost bool) {
	d.inputs <- func(now time.Time, s *dispatch.Scheduler) { s.HandleClaimResult(now, id, v, lost) }
}

func (d *desk) granted(g message.Grant, done func(inForce bool)) {
	d.inputs <- func(now time.Time, s *dispatch.Scheduler) { done(s.HandleGrant(now, g)) }
}

func (d *desk) stop() {
	d.ask(func(now time.Time, s *dispatch.Scheduler) { s.Stop(now) })
}

// idle reports whether nothing is in progress, as where the scheduler has ended.
func (d *desk) idle() bool {
	idle := true
	d.ask(func(_ time.Time, s *dispatch.Scheduler) { idle = s.Idle() })
	return idle
}

// ask has the desk do f and waits until it is done, or the desk has ended: duties that
// outlive it must not wait for it.
func (d *desk) ask(f input) {
	done := make(chan struct{})
	wrapped := func(now time.Time, s *dispatch.Scheduler) {
		defer close(done)
		f(now, s)
	}
	select {
	case d.inputs <- wrapped:
	case <-d.over:
		return
	}
	select {
	case <-done:
	case <-d.over:
	}
}

// attach notes the connection of a try, so that the caller's leaving can end
// it. It reports whether the caller is still there.
func (c *call) attach(upstream net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.upstream = upstream
	return !c.gone
}

// cancel ends the try in progress.
func (c *call) cancel() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gone = true
	if c.upstream != nil {
		_ = c.upstream.Close() // the reader of the answer sees it
	}
}

func (c *call) left() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gone
}

// accountOf returns the account that a key names.
func (d *desk) accountOf(key string) (string, bool) {
	digest := fleet.KeyDigest(key)
	d.keysMu.RLock()
	defer d.keysMu.RUnlock()
	name, ok := d.keys[digest]
	return name, ok
}

// blank reports whether the router has no configuration yet.
func (d *desk) blank() bool {
	d.keysMu.RLock()
	defer d.keysMu.RUnlock()
	return d.keys == nil
}

// refreshKeys copies the keys for the serving goroutines when the
// configuration has changed.
func (d *desk) refreshKeys() {
	if d.keysOf == d.scheduler.ConfigNumber() {
		return
	}
	d.keysOf = d.scheduler.ConfigNumber()
	d.keysMu.Lock()
	defer d.keysMu.Unlock()
	d.keys = d.scheduler.AccountsByKeyDigest()
}
