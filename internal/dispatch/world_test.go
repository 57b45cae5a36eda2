package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"laburnumfall/internal/dispatch"
	"laburnumfall/internal/fairshare"
	"laburnumfall/internal/fleet"
	"laburnumfall/internal/message"
	"laburnumfall/internal/statestore"
)

// world is real Schedulers, a real Divider and a real Store joined by fake
// links, targets and callers on one clock.
type world struct {
	now     time.Time
	random  *rand.Rand
	agenda  agenda
	seq     int
	config  fleet.Config
	divider *fairshare.Divider
	term    uint64
	ledger  statestore.Store
	routers []*node
	targets map[string]*engine
	ids     uint64

	delay time.Duration // one way, on every link
	loss  float64       // part of reports and grants lost
	twice float64       // part of reports doubled
	bytes int           // of reports and grants, as JSON

	requests []*request
	onEnd    func(*request)

	claimed func(w *world) claimFault
}

// claimFault is what goes wrong with one claim.
type claimFault struct {
	lostBefore, lostAfter bool
}

// node is one router.
type node struct {
	name      string
	scheduler *dispatch.Scheduler
	live      map[uint64]*request
	cut       bool
	frozen    bool
	held      []func() // what arrives while it is frozen
	tickAt    time.Time
}

// engine is one target.
type engine struct {
	fleet.Target
	running, most int
	dead          bool
	refuse        float64 // part of requests that meet no connection
	breaks        float64 // part of requests that break off
}

// request is one caller's request. Each send of a key is a request of its own.
type request struct {
	dispatch.Request
	router  *node
	arrived time.Time
	started time.Time
	ended   time.Time
	took    time.Duration
	cost    float64
	runs    int
	refused *dispatch.Refuse
	whole   bool
	answers int
	gone    bool
	stop    func() bool // ends the run, unless it has ended
}

func newWorld(seed uint64, config fleet.Config, routers int) *world {
	w := &world{
		now: time.Unix(1e9, 0), random: rand.New(rand.NewPCG(seed, 11)), config: config,
		targets: map[string]*engine{}, delay: time.Millisecond,
	}
	for _, t := range config.Targets {
		w.targets[t.Name] = &engine{Target: t}
	}
	w.lead()
	for i := range routers {
		n := &node{name: fmt.Sprintf("r%d", i)}
		w.routers = append(w.routers, n)
		w.boot(n)
	}
	return w
}

// lead begins a term with a leader that knows nothing but the log.
func (w *world) lead() {
	w.term++
	d := &fairshare.Divider{Term: w.term, Blank: w.term == 1}
	d.Start(w.now)
	d.SetConfig(w.now, w.config, w.config.JSON())
	w.divider = d
	w.tickDivider(d)
}

func (w *world) tickDivider(d *fairshare.Divider) {
	if d != w.divider {
		return
	}
	d.Tick(w.now)
	w.sendGrants()
	w.at(max(d.Deadline().Sub(w.now), time.Millisecond), func() { w.tickDivider(d) })
}

// boot starts a router blank.
func (w *world) boot(n *node) {
	n.scheduler = &dispatch.Scheduler{Name: n.name, Zone: "z", Incarnation: uint64(w.now.UnixNano())}
	n.live = make(map[uint64]*request)
	n.held = nil
	n.tickAt = time.Time{}
	w.input(n, n.scheduler, func(s *dispatch.Scheduler) { s.Tick(w.now) })
}

// kill ends a router with all that it runs and starts it blank.
func (w *world) kill(n *node) {
	for _, r := range n.live {
		if r.stop != nil {
			r.stop()
		}
		r.ended = w.now
	}
	w.boot(n)
}

// input hands an input to a router, unless it was started anew since.
func (w *world) input(n *node, s *dispatch.Scheduler, f func(s *dispatch.Scheduler)) {
	if n.scheduler != s {
		return
	}
	if n.frozen {
		n.held = append(n.held, func() { w.input(n, s, f) })
		return
	}
	f(s)
	for _, a := range s.TakeActions() {
		w.carryOut(n, s, a)
	}
	if due := s.NextTick(); n.tickAt.IsZero() || due.Before(n.tickAt) {
		n.tickAt = due
		w.at(max(due.Sub(w.now), time.Millisecond), func() {
			n.tickAt = time.Time{}
			w.input(n, s, func(s *dispatch.Scheduler) { s.Tick(w.now) })
		})
	}
}

func (w *world) thaw(n *node) {
	n.frozen = false
	held := n.held
	n.held = nil
	for _, f := range held {
		f()
	}
}

func (w *world) carryOut(n *node, s *dispatch.Scheduler, a dispatch.Action) {
	switch a := a.(type) {
	case dispatch.SendReport:
		w.report(n, s, a.Report)
	case dispatch.Send:
		if !s.HasLease(w.now) {
			panic(fmt.Sprintf("router %s starts request %d without a lease", n.name, a.ID))
		}
		w.at(w.delay, func() { w.run(n, s, a) })
	case dispatch.AcquireClaim:
		w.claim(n, s, a)
	case dispatch.SettleClaim:
		w.at(w.delay, func() {
			w.do(statestore.Command{ProposedAt: w.now, Settlements: []message.Settlement{a.Settlement}})
		})
	case dispatch.Refuse:
		r := n.live[a.ID]
		r.refused = &a
		r.answers++
		delete(n.live, a.ID)
		w.end(r)
	case dispatch.Cancel:
		// A run that has ended tells its own end.
		if r := n.live[a.ID]; r != nil && r.stop != nil && r.stop() {
			w.ended(n, s, r, dispatch.AttemptResult{Sent: true})
		}
	}
}

func (w *world) do(c statestore.Command) statestore.Result {
	result, err := w.ledger.ApplyCommand(c.Encode())
	if err != nil {
		panic(err)
	}
	return result
}

func (w *world) lost(n *node) bool {
	return n.cut || w.random.Float64() < w.loss
}

func (w *world) report(n *node, s *dispatch.Scheduler, r message.Report) {
	w.bytes += size(r)
	copies := 1
	if w.random.Float64() < w.twice {
		copies = 2
	}
	for range copies {
		if w.lost(n) {
			continue
		}
		// A part of the reports comes late, and so out of order.
		late := time.Duration(0)
		if w.loss > 0 && w.random.IntN(10) == 0 {
			late = time.Duration(w.random.IntN(500)) * time.Millisecond
		}
		w.at(w.delay+late, func() {
			w.divider.Report(w.now, r)
			w.sendGrants()
		})
	}
}

func (w *world) sendGrants() {
	for _, g := range w.divider.Take() {
		w.bytes += size(g.Grant)
		for _, n := range w.routers {
			if n.name != g.Router || w.lost(n) {
				continue
			}
			s := n.scheduler
			w.at(w.delay, func() {
				w.input(n, s, func(s *dispatch.Scheduler) { s.HandleGrant(w.now, g.Grant) })
			})
		}
	}
}

func (w *world) claim(n *node, s *dispatch.Scheduler, a dispatch.AcquireClaim) {
	fault := claimFault{}
	if w.claimed != nil {
		fault = w.claimed(w)
	}
	answer := func(v message.ClaimResult, lost bool) {
		w.input(n, s, func(s *dispatch.Scheduler) { s.HandleClaimResult(w.now, a.ID, v, lost) })
	}
	const patience = 500 * time.Millisecond
	if fault.lostBefore || n.cut {
		w.at(patience, func() { answer(message.ClaimResult{}, true) })
		return
	}
	w.at(w.delay, func() {
		v := w.do(statestore.Command{ProposedAt: w.now, Claims: []message.Claim{a.Claim}}).ClaimResults[0]
		if fault.lostAfter {
			w.at(patience, func() { answer(message.ClaimResult{}, true) })
			return
		}
		w.at(w.delay, func() { answer(v, false) })
	})
}

// run is a request's arrival at its target.
func (w *world) run(n *node, s *dispatch.Scheduler, a dispatch.Send) {
	if n.frozen {
		n.held = append(n.held, func() { w.run(n, s, a) })
		return
	}
	r := n.live[a.ID]
	if n.scheduler != s || r == nil {
		return
	}
	e := w.targets[a.Target.Name]
	if e.dead || w.random.Float64() < e.refuse {
		w.at(w.delay, func() { w.ended(n, s, r, dispatch.AttemptResult{Failed: true}) })
		return
	}
	r.runs++
	if r.started.IsZero() {
		r.started = w.now
	}
	e.running++
	e.most = max(e.most, e.running)
	stopped := false
	r.stop = func() bool {
		if stopped {
			return false
		}
		stopped = true
		e.running--
		return true
	}
	broken := w.random.Float64() < e.breaks
	w.at(r.took, func() {
		if !r.stop() {
			return
		}
		end := dispatch.AttemptResult{Sent: true, ResponseStarted: true, ResponseComplete: true, Cost: r.cost}
		if broken || e.dead {
			end = dispatch.AttemptResult{Sent: true, ResponseStarted: w.random.IntN(2) == 0, Failed: true, Cost: r.cost}
		}
		w.ended(n, s, r, end)
	})
}

func (w *world) ended(n *node, s *dispatch.Scheduler, r *request, e dispatch.AttemptResult) {
	if n.scheduler != s || n.live[r.ID] == nil {
		return
	}
	w.input(n, s, func(s *dispatch.Scheduler) {
		if e.ResponseComplete || e.ResponseStarted {
			r.answers++
			r.whole = e.ResponseComplete
			delete(n.live, r.ID)
		}
		s.HandleAttemptEnd(w.now, r.ID, e)
	})
	if e.ResponseComplete || e.ResponseStarted {
		w.end(r)
	}
}

func (w *world) end(r *request) {
	r.ended = w.now
	if w.onEnd != nil {
		w.onEnd(r)
	}
}

// arrive sends a caller's request to a router.
func (w *world) arrive(n *node, r *request) {
	w.ids++
	r.ID = w.ids
	r.router, r.arrived = n, w.now
	w.requests = append(w.requests, r)
	s := n.scheduler
	w.input(n, s, func(s *dispatch.Scheduler) {
		n.live[r.ID] = r
		s.Submit(w.now, r.Request)
	})
}

func (w *world) abandon(r *request) {
	r.gone = true
	n := r.router
	w.input(n, n.scheduler, func(s *dispatch.Scheduler) {
		if n.live[r.ID] != nil {
			s.HandleDisconnect(w.now, r.ID)
		}
	})
}
