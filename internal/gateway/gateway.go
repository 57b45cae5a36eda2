// Package gateway serves the requests of routes: it reads them from callers,
// sends each to a target, and passes the answer on as it comes.
//
// What may be sent again follows from the route alone. Once a byte of a request
// that must not be repeated may have been read, only the target's word that it
// did not run permits a second target.
package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"laburnumfall/internal/admission"
	"laburnumfall/internal/clock"
	"laburnumfall/internal/fleet"
	"laburnumfall/internal/message"
	"laburnumfall/internal/placement"
	"laburnumfall/internal/quarantine"
	"laburnumfall/internal/quota"
	"laburnumfall/internal/retry"
	"laburnumfall/internal/settings"
	"laburnumfall/internal/throttle"
	"laburnumfall/internal/uplink"
	"laburnumfall/internal/upstream"
	"laburnumfall/internal/warmup"
)

const (
	// sweepPeriod is how often unused connections are looked through.
	sweepPeriod = time.Second
	// connBytes is about what a caller's connection holds: a goroutine's stack
	// and buffers. connPart is the part of the memory, and of the descriptors,
	// as a divisor, that connections of callers may take.
	connBytes = 32 << 10
	connPart  = 4
	// fewestConns is the least bound on callers' connections.
	fewestConns = 64
)

// A Gateway serves one router's callers. Set the exported fields, then call Run.
type Gateway struct {
	Settings settings.Routes
	Name     string
	Zone     fleet.Zone
	Listen   string
	Clock    clock.Clock
	Log      hclog.Logger
	Dialect  Dialect
	// State is what the keepers said last.
	State  func() uplink.State
	Meters *Meters
	// Informed, if set, tells whether this router knows what the fleet does, or has to ask
	// first, after a standstill of its process.
	Informed func(now time.Time) bool
	// Guard decides which requests are held back, and Wake asks for the leader's word at
	// once. It may be full.
	Guard quarantine.Guard
	Wake  chan<- struct{}

	pool    upstream.Pool
	callers *callers

	mu        sync.Mutex // guards the decisions below
	placer    placement.Placer
	budgets   map[string]*retry.Budget
	shares    quota.Shares
	desk      admission.Desk                // set with the first choice
	throttles map[string]*throttle.Throttle // of plain services, by pool
	ruled     chan struct{}                 // closed when the leader has told of held requests
	probing   map[fleet.Incarnation]bool    // targets that are looked for after a cut

	started    time.Time   // set by Run
	ready      atomic.Bool // has a configuration and targets
	stopping   atomic.Pointer[time.Time]
	over       atomic.Bool   // its grace is over
	uninformed atomic.Int64  // until when requests wait for Informed, by Clock in Unix nanoseconds
	count      atomic.Uint64 // of requests that the router names
	active     atomic.Int64
	held       atomic.Int64 // bytes of bodies
}

// SetTargets puts a configuration and the targets in force. It may be called at
// any time.
func (g *Gateway) SetTargets(s uplink.State, targets []fleet.Instance) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.placer.Zone = g.Zone
	g.placer.Routers = s.Routers
	if s.Table != nil {
		g.placer.Warmup.Ratio, g.placer.Warmup.Slack = g.Settings.WarmupRatio, g.Settings.WarmupSlack
		g.placer.SetPools(s.Table.Pools)
	}
	g.placer.SetEvacuated(s.Evacuated)
	g.placer.SetTargets(g.Clock.Now(), targets)
	if s.Table != nil {
		g.shares.Capacity = s.Table.Capacity
	}
	g.missing(g.Clock.Now(), targets)
	g.ready.Store(s.Table != nil && len(targets) > 0)
}

// SetWarming takes until when targets are cold. It may be called at any time.
func (g *Gateway) SetWarming(until map[fleet.Incarnation]time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.placer.SetWarming(until)
}

// LeaseSeat takes the part of what cold targets get that is this router's from when it
// asked. It may be called at any time.
func (g *Gateway) LeaseSeat(asked time.Time, s warmup.Seat) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.placer.Warmup.Lease(asked, s)
}

// Seat returns that part while it holds. It may be called at any time.
func (g *Gateway) Seat(now time.Time) warmup.Seat {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.placer.Warmup.Seat(now)
}

// Absent returns the targets that this router has found to be gone. It may be called at any
// time.
func (g *Gateway) Absent(now time.Time) []fleet.Incarnation {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.placer.Found(now)
}

// SetAbsent takes the targets that any router has found to be gone. It may be called at any
// time.
func (g *Gateway) SetAbsent(targets []fleet.Incarnation) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.placer.SetAbsent(g.Clock.Now(), targets)
}

func (g *Gateway) noteAbsent(target fleet.Incarnation) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.placer.Absent(g.Clock.Now(), target)
}

// Load returns what this router's callers ask for and what waits at targets. It
// may be called at any time.
func (g *Gateway) Load(now time.Time) ([]message.Demand, []message.Backlog) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.shares.Demand(now), g.placer.Backlog()
}

// Heard takes the same of all routers, and of all others. It may be called at
// any time.
func (g *Gateway) Heard(now time.Time, demand []message.Demand, others []message.Backlog) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shares.SetFleet(demand)
	g.placer.SetOthers(now, others)
}

// Run serves until ctx ends, and then finishes what is in progress within the
// grace of the settings.
func (g *Gateway) Run(ctx context.Context) error {
	g.pool.Clock = g.Clock
	g.started = g.Clock.Now()
	// Callers' connections are ended by their idle time; probes would only cost
	// four system calls each.
	lc := net.ListenConfig{KeepAlive: -1}
	listener, err := lc.Listen(ctx, "tcp4", g.Listen)
	if err != nil {
		return fmt.Errorf("listen for callers (free the address or change listen): %w", err)
	}
	g.callers = &callers{
		handler: g, most: g.mostConns(), server: g.newServer, log: g.Log,
		closing: func() { g.over.Store(true) },
	}
	g.Meters.watch(g)
	group, sweepCtx := errgroup.WithContext(context.WithoutCancel(ctx))
	sweepCtx, stop := context.WithCancel(sweepCtx)
	group.Go(func() error {
		defer g.awaitLines()
		return g.callers.run(listener, g.limits)
	})
	if g.Settings.Ready != "" {
		group.Go(func() error { return g.tellBalancer(sweepCtx) })
	}
	group.Go(func() error { return g.sweep(sweepCtx) })
	group.Go(func() error {
		select {
		case <-ctx.Done():
			g.stop()
		case <-sweepCtx.Done():
		}
		stop()
		g.callers.letIn(listener)
		_ = listener.Close() // ends its accepting
		g.pool.Close()
		return nil
	})
	return group.Wait()
}

func (g *Gateway) newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ErrorLog: g.Log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug})}
}

// mostConns bounds the connections of callers.
func (g *Gateway) mostConns() int {
	most := g.Settings.Files / connPart
	if byMemory := int(g.Settings.Memory / connBytes / connPart); most == 0 || byMemory < most {
		most = byMemory
	}
	return max(most, fewestConns)
}

// limits returns what the configuration in force lets callers do.
func (g *Gateway) limits() fleet.CallerLimits {
	if s := g.State(); s.Table != nil {
		return s.Table.Limits
	}
	return fleet.CallerLimits{}
}

// tellBalancer answers the balancer until ctx ends.
func (g *Gateway) tellBalancer(ctx context.Context) error {
	server := g.newServer(http.HandlerFunc(g.serveReady))
	server.ReadHeaderTimeout = headerTime
	server.Addr = g.Settings.Ready
	defer context.AfterFunc(ctx, func() { _ = server.Close() })() // it holds nothing
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("listen for the balancer (free the address): %w", err)
	}
	return nil
}

func (g *Gateway) sweep(ctx context.Context) error {
	ticker := time.NewTicker(sweepPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			g.pool.Sweep(g.Clock.Now(), g.takes)
			g.callers.tellShed()
		}
	}
}

func (g *Gateway) takes(target fleet.Incarnation) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.placer.Takes(target)
}

// serveReady tells the balancer whether to send callers here. A router whose
// lease on keys has lapsed can serve few of them; others can.
func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	status := http.StatusOK
	if !g.Ready() || g.callers.behind() {
		status = http.StatusServiceUnavailable
	}
	w.WriteHeader(status)
}

// Ready reports whether callers are served here.
func (g *Gateway) Ready() bool {
	s := g.State()
	keyed := s.Table != nil && len(s.Table.Holders) > 0
	lapsed := keyed && !g.Clock.Now().Before(s.KeysUntil)
	return g.ready.Load() && g.stopping.Load() == nil && !lapsed
}
