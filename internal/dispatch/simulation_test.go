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

// simulation runs real Schedulers, a real Divider and a real state store on one simulated clock.
// The network, the targets and the clients are simulated.
type simulation struct {
	now     time.Time
	random  *rand.Rand
	events  eventQueue
	seq     int
	config  fleet.Config
	divider *fairshare.Divider
	term    uint64
	store   statestore.Store
	routers []*simRouter
	targets map[string]*simTarget
	lastID  uint64

	delay        time.Duration // one-way delay of every link
	loss         float64       // fraction of reports and grants lost
	duplicated   float64       // fraction of reports delivered twice
	controlBytes int           // size of all reports and grants, as JSON

	requests []*simRequest
	onEnd    func(*simRequest)

	nextClaimFault func(sim *simulation) claimFault
}

// claimFault is the messages of one claim that are lost.
type claimFault struct {
	requestLost, answerLost bool
}

// simRouter is one router.
type simRouter struct {
	name        string
	scheduler   *dispatch.Scheduler
	unanswered  map[uint64]*simRequest
	partitioned bool
	frozen      bool
	deferred    []func() // input that arrives while the router is frozen
	nextTick    time.Time
}

// simTarget is one target.
type simTarget struct {
	fleet.Target
	running, maxRunning int
	dead                bool
	refuseRate          float64 // fraction of requests whose connection is refused
	abortRate           float64 // fraction of requests whose response breaks off
}

// simRequest is one client request. Each send of a claim key is a separate simRequest.
type simRequest struct {
	dispatch.Request
	router       *simRouter
	arrived      time.Time
	started      time.Time
	ended        time.Time
	duration     time.Duration
	cost         float64
	runs         int
	refused      *dispatch.Refuse
	complete     bool
	answers      int
	disconnected bool
	stop         func() bool // ends the attempt and reports whether it was still running
}

func newSimulation(seed uint64, config fleet.Config, routers int) *simulation {
	sim := &simulation{
		now: time.Unix(1e9, 0), random: rand.New(rand.NewPCG(seed, 11)), config: config,
		targets: map[string]*simTarget{}, delay: time.Millisecond,
	}
	for _, target := range config.Targets {
		sim.targets[target.Name] = &simTarget{Target: target}
	}
	sim.startTerm()
	for i := range routers {
		router := &simRouter{name: fmt.Sprintf("r%d", i)}
		sim.routers = append(sim.routers, router)
		sim.startRouter(router)
	}
	return sim
}

// startTerm starts a term with a new leader that has only the replicated log as its state.
func (sim *simulation) startTerm() {
	sim.term++
	divider := &fairshare.Divider{Term: sim.term, Blank: sim.term == 1}
	divider.Start(sim.now)
	divider.SetConfig(sim.now, sim.config, sim.config.JSON())
	sim.divider = divider
	sim.tickDivider(divider)
}

func (sim *simulation) tickDivider(divider *fairshare.Divider) {
	if divider != sim.divider {
		return
	}
	divider.Tick(sim.now)
	sim.sendGrants()
	sim.after(max(divider.NextTick().Sub(sim.now), time.Millisecond), func() { sim.tickDivider(divider) })
}

// startRouter starts a router without any state.
func (sim *simulation) startRouter(router *simRouter) {
	router.scheduler = &dispatch.Scheduler{Name: router.name, Zone: "z", Incarnation: uint64(sim.now.UnixNano())}
	router.unanswered = make(map[uint64]*simRequest)
	router.deferred = nil
	router.nextTick = time.Time{}
	sim.deliver(router, router.scheduler, func(s *dispatch.Scheduler) { s.Tick(sim.now) })
}

// restartRouter ends a router with all its running requests and starts it without any state.
func (sim *simulation) restartRouter(router *simRouter) {
	for _, request := range router.unanswered {
		if request.stop != nil {
			request.stop()
		}
		request.ended = sim.now
	}
	sim.startRouter(router)
}

// deliver passes an input to a router, unless that has restarted since. A frozen router gets it
// later.
func (sim *simulation) deliver(router *simRouter, scheduler *dispatch.Scheduler, handle func(s *dispatch.Scheduler)) {
	if router.scheduler != scheduler {
		return
	}
	if router.frozen {
		router.deferred = append(router.deferred, func() { sim.deliver(router, scheduler, handle) })
		return
	}
	handle(scheduler)
	for _, action := range scheduler.TakeActions() {
		sim.perform(router, scheduler, action)
	}
	if nextTick := scheduler.NextTick(); router.nextTick.IsZero() || nextTick.Before(router.nextTick) {
		router.nextTick = nextTick
		sim.after(max(nextTick.Sub(sim.now), time.Millisecond), func() {
			router.nextTick = time.Time{}
			sim.deliver(router, scheduler, func(s *dispatch.Scheduler) { s.Tick(sim.now) })
		})
	}
}

func (sim *simulation) unfreeze(router *simRouter) {
	router.frozen = false
	deferred := router.deferred
	router.deferred = nil
	for _, deliver := range deferred {
		deliver()
	}
}

func (sim *simulation) perform(router *simRouter, scheduler *dispatch.Scheduler, action dispatch.Action) {
	switch action := action.(type) {
	case dispatch.SendReport:
		sim.sendReport(router, scheduler, action.Report)
	case dispatch.Send:
		if !scheduler.HasLease(sim.now) {
			panic(fmt.Sprintf("router %s starts request %d without a lease", router.name, action.ID))
		}
		sim.after(sim.delay, func() { sim.startAttempt(router, scheduler, action) })
	case dispatch.AcquireClaim:
		sim.answerClaim(router, scheduler, action)
	case dispatch.SettleClaim:
		sim.after(sim.delay, func() {
			sim.applyCommand(statestore.Command{ProposedAt: sim.now, Settlements: []message.Settlement{action.Settlement}})
		})
	case dispatch.Refuse:
		request := router.unanswered[action.ID]
		request.refused = &action
		request.answers++
		delete(router.unanswered, action.ID)
		sim.recordEnd(request)
	case dispatch.Cancel:
		// If the attempt has ended, its result is already on its way.
		if request := router.unanswered[action.ID]; request != nil && request.stop != nil && request.stop() {
			sim.attemptEnded(router, scheduler, request, dispatch.AttemptResult{Sent: true})
		}
	}
}

func (sim *simulation) applyCommand(command statestore.Command) statestore.Result {
	result, err := sim.store.ApplyCommand(command.Encode())
	if err != nil {
		panic(err)
	}
	return result
}

func (sim *simulation) losesMessage(router *simRouter) bool {
	return router.partitioned || sim.random.Float64() < sim.loss
}

func (sim *simulation) sendReport(router *simRouter, scheduler *dispatch.Scheduler, report message.Report) {
	sim.controlBytes += jsonSize(report)
	copies := 1
	if sim.random.Float64() < sim.duplicated {
		copies = 2
	}
	for range copies {
		if sim.losesMessage(router) {
			continue
		}
		// Some of the reports arrive late and so out of order.
		extraDelay := time.Duration(0)
		if sim.loss > 0 && sim.random.IntN(10) == 0 {
			extraDelay = time.Duration(sim.random.IntN(500)) * time.Millisecond
		}
		sim.after(sim.delay+extraDelay, func() {
			sim.divider.HandleReport(sim.now, report)
			sim.sendGrants()
		})
	}
}

func (sim *simulation) sendGrants() {
	for _, routerGrant := range sim.divider.TakeGrants() {
		sim.controlBytes += jsonSize(routerGrant.Grant)
		for _, router := range sim.routers {
			if router.name != routerGrant.Router || sim.losesMessage(router) {
				continue
			}
			scheduler := router.scheduler
			sim.after(sim.delay, func() {
				sim.deliver(router, scheduler, func(s *dispatch.Scheduler) { s.HandleGrant(sim.now, routerGrant.Grant) })
			})
		}
	}
}

func (sim *simulation) answerClaim(router *simRouter, scheduler *dispatch.Scheduler, acquire dispatch.AcquireClaim) {
	fault := claimFault{}
	if sim.nextClaimFault != nil {
		fault = sim.nextClaimFault(sim)
	}
	answer := func(result message.ClaimResult, lost bool) {
		sim.deliver(router, scheduler, func(s *dispatch.Scheduler) { s.HandleClaimResult(sim.now, acquire.ID, result, lost) })
	}
	const claimTimeout = 500 * time.Millisecond
	if fault.requestLost || router.partitioned {
		sim.after(claimTimeout, func() { answer(message.ClaimResult{}, true) })
		return
	}
	sim.after(sim.delay, func() {
		result := sim.applyCommand(statestore.Command{ProposedAt: sim.now, Claims: []message.Claim{acquire.Claim}}).ClaimResults[0]
		if fault.answerLost {
			sim.after(claimTimeout, func() { answer(message.ClaimResult{}, true) })
			return
		}
		sim.after(sim.delay, func() { answer(result, false) })
	})
}

// startAttempt handles the arrival of a request at its target.
func (sim *simulation) startAttempt(router *simRouter, scheduler *dispatch.Scheduler, send dispatch.Send) {
	if router.frozen {
		router.deferred = append(router.deferred, func() { sim.startAttempt(router, scheduler, send) })
		return
	}
	request := router.unanswered[send.ID]
	if router.scheduler != scheduler || request == nil {
		return
	}
	target := sim.targets[send.Target.Name]
	if target.dead || sim.random.Float64() < target.refuseRate {
		sim.after(sim.delay, func() { sim.attemptEnded(router, scheduler, request, dispatch.AttemptResult{Failed: true}) })
		return
	}
	request.runs++
	if request.started.IsZero() {
		request.started = sim.now
	}
	target.running++
	target.maxRunning = max(target.maxRunning, target.running)
	stopped := false
	request.stop = func() bool {
		if stopped {
			return false
		}
		stopped = true
		target.running--
		return true
	}
	aborted := sim.random.Float64() < target.abortRate
	sim.after(request.duration, func() {
		if !request.stop() {
			return
		}
		result := dispatch.AttemptResult{Sent: true, ResponseStarted: true, ResponseComplete: true, Cost: request.cost}
		if aborted || target.dead {
			result = dispatch.AttemptResult{Sent: true, ResponseStarted: sim.random.IntN(2) == 0, Failed: true, Cost: request.cost}
		}
		sim.attemptEnded(router, scheduler, request, result)
	})
}

func (sim *simulation) attemptEnded(router *simRouter, scheduler *dispatch.Scheduler, request *simRequest, result dispatch.AttemptResult) {
	if router.scheduler != scheduler || router.unanswered[request.ID] == nil {
		return
	}
	sim.deliver(router, scheduler, func(s *dispatch.Scheduler) {
		if result.ResponseComplete || result.ResponseStarted {
			request.answers++
			request.complete = result.ResponseComplete
			delete(router.unanswered, request.ID)
		}
		s.HandleAttemptEnd(sim.now, request.ID, result)
	})
	if result.ResponseComplete || result.ResponseStarted {
		sim.recordEnd(request)
	}
}

func (sim *simulation) recordEnd(request *simRequest) {
	request.ended = sim.now
	if sim.onEnd != nil {
		sim.onEnd(request)
	}
}

// submit sends a client's request to a router.
func (sim *simulation) submit(router *simRouter, request *simRequest) {
	sim.lastID++
	request.ID = sim.lastID
	request.router, request.arrived = router, sim.now
	sim.requests = append(sim.requests, request)
	scheduler := router.scheduler
	sim.deliver(router, scheduler, func(s *dispatch.Scheduler) {
		router.unanswered[request.ID] = request
		s.Submit(sim.now, request.Request)
	})
}

func (sim *simulation) disconnect(request *simRequest) {
	request.disconnected = true
	router := request.router
	sim.deliver(router, router.scheduler, func(s *dispatch.Scheduler) {
		if router.unanswered[request.ID] != nil {
			s.HandleDisconnect(sim.now, request.ID)
		}
	})
}
