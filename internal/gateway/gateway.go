// Package gateway serves the requests of routes: it reads them from callers, sends each to a
// target, and forwards the response while it arrives.
//
// The route alone decides whether a request may be retried. Once a target may have read a byte of a
// request that must run at most once, the request goes to a second target only if the first one
// confirms that it did not run it.
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
	"laburnumfall/internal/backpressure"
	"laburnumfall/internal/caller"
	"laburnumfall/internal/clock"
	"laburnumfall/internal/fleet"
	"laburnumfall/internal/intake"
	"laburnumfall/internal/keeperclient"
	"laburnumfall/internal/message"
	"laburnumfall/internal/origin"
	"laburnumfall/internal/placement"
	"laburnumfall/internal/quarantine"
	"laburnumfall/internal/quota"
	"laburnumfall/internal/retry"
	"laburnumfall/internal/settings"
	"laburnumfall/internal/throttle"
	"laburnumfall/internal/upstream"
	"laburnumfall/internal/waitlist"
	"laburnumfall/internal/warmup"
)

const (
	// sweepPeriod is the interval between sweeps of unused connections to targets.
	sweepPeriod = time.Second
	// connMemory is the approximate memory of a caller's connection: a goroutine's stack and
	// buffers. Callers' connections may take one part in connBudgetDivisor of the memory and of the
	// file descriptors.
	connMemory        = 32 << 10
	connBudgetDivisor = 4
	// minConns is the smallest limit on callers' connections.
	minConns = 64
)

// A Gateway serves the callers of one router. Set the exported fields, then call Run.
type Gateway struct {
	Settings settings.Routing
	Name     string
	Zone     fleet.Zone
	Listen   string
	Clock    clock.Clock
	Log      hclog.Logger
	Dialect  Dialect
	// State returns the most recent state received from the keepers.
	State   func() keeperclient.State
	Metrics *Metrics
	// StateIsFresh, if set, reports whether State is up to date. After the process was suspended it
	// is false until the keepers have answered.
	StateIsFresh func(now time.Time) bool
	// Backpressure holds what targets have said about further requests. It may be shared with other
	// parts of the router; if it is nil, the gateway has its own.
	Backpressure *backpressure.Tracker
	// Origins keeps where streams began; if it is nil, no stream is known that a caller resumes by name.
	Origins Origins
	// Places keeps the places of refused requests; if it is nil, there are none.
	Places Places
	// Guard decides which requests are quarantined. A send on PollLeader makes the router contact
	// the leader at once; sends are skipped while the channel is full.
	Guard      quarantine.Guard
	PollLeader chan<- struct{}

	ownBackpressure backpressure.Tracker // used if Backpressure is nil

	connPool upstream.Pool
	conns    *caller.Manager

	mu                  sync.Mutex // guards the fields down to probing, and Guard
	placer              placement.Placer
	versions            origin.History // of the software of targets
	retryBudgets        map[string]*retry.Budget
	shares              quota.Shares
	controller          admission.Controller          // set by the first call of chooseTarget
	places              waitlist.Book                 // of this router
	throttles           map[string]*throttle.Throttle // of pools without engines, by pool
	restrictionsChanged chan struct{}                 // closed when the leader's restrictions arrive
	probing             map[fleet.Incarnation]bool    // targets that are probed after an interruption

	startedAt         time.Time   // set by Run
	ready             atomic.Bool // a configuration and targets are in force
	stoppingSince     atomic.Pointer[time.Time]
	graceExpired      atomic.Bool   // the grace period of a shutdown is over
	freshnessDeadline atomic.Int64  // end of the latest wait for fresh state, by Clock in Unix nanoseconds
	requestCount      atomic.Uint64 // requests that got an ID from this router
	activeRequests    atomic.Int64

	bodyMu sync.Mutex
	bodies intake.Limiter
}

// SetTargets applies the latest configuration and list of targets. It may be called at any time.
func (g *Gateway) SetTargets(state keeperclient.State, targets []fleet.Instance) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.placer.Zone = g.Zone
	g.placer.Routers = state.Routers
	g.placer.Backpressure = g.backpressure()
	g.placer.MemoryPressure = g.Settings.MemoryPressure
	if state.Table != nil {
		g.placer.Warmup.Ratio, g.placer.Warmup.Slack = g.Settings.WarmupRatio, g.Settings.WarmupSlack
		g.placer.SetPools(state.Table.Pools)
	}
	g.placer.SetEvacuated(state.Evacuated)
	g.placer.SetTargets(g.Clock.Now(), targets)
	g.versions.Observe(g.Clock.Now(), targets)
	if state.Table != nil {
		g.shares.Capacity = state.Table.Capacity
	}
	g.recordUnlistedTargets(g.Clock.Now(), targets)
	g.ready.Store(state.Table != nil && len(targets) > 0)
}

// SetColdUntil sets until when targets are cold. It may be called at any time.
func (g *Gateway) SetColdUntil(coldUntil map[fleet.Incarnation]time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.placer.SetColdUntil(coldUntil)
}

// SetWarmupLease sets this router's lease on a part of the requests that cold targets may get. The
// lease begins at requestedAt, when the router asked for it. It may be called at any time.
func (g *Gateway) SetWarmupLease(requestedAt time.Time, lease warmup.Lease) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.placer.Warmup.SetLease(requestedAt, lease)
}

// WarmupLease returns the lease that SetWarmupLease set, as long as it has not expired. It may be
// called at any time.
func (g *Gateway) WarmupLease(now time.Time) warmup.Lease {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.placer.Warmup.CurrentLease(now)
}

// Load returns the demand of this router's callers and its backlog at targets. It may be called at
// any time.
func (g *Gateway) Load(now time.Time) ([]message.Demand, []message.Backlog) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.shares.Demand(now), g.placer.Backlog()
}

// SetFleetLoad sets the demand at all routers and the backlog of all other routers. It may be
// called at any time.
func (g *Gateway) SetFleetLoad(now time.Time, demand []message.Demand, others []message.Backlog) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shares.SetFleetDemand(demand)
	offered, sent := quota.TotalRates(demand)
	g.placer.SetFleetRates(now, offered, sent)
	g.placer.SetRemoteBacklog(now, others)
}

// Run serves until ctx ends, and then drains: requests in progress have until the end of the
// configured grace period.
func (g *Gateway) Run(ctx context.Context) error {
	g.connPool.Clock = g.Clock
	g.startedAt = g.Clock.Now()
	g.bodies.Limit = bodyMemory(g.Settings)
	// The idle timeout closes callers' connections. TCP keep-alive would only cost four system
	// calls per connection.
	listenConfig := net.ListenConfig{KeepAlive: -1}
	listener, err := listenConfig.Listen(ctx, "tcp4", g.Listen)
	if err != nil {
		return fmt.Errorf("listen for callers (free the address or change listen): %w", err)
	}
	g.conns = &caller.Manager{
		Handler: g, MaxConns: g.maxConns(), Limits: g.callerLimits, NewServer: g.newServer, Log: g.Log,
		OnClose: func() { g.graceExpired.Store(true) },
	}
	g.Metrics.registerGauges(g)
	group, helperCtx := errgroup.WithContext(context.WithoutCancel(ctx))
	helperCtx, cancelHelpers := context.WithCancel(helperCtx)
	group.Go(func() error {
		defer g.awaitEndLogs()
		return g.conns.Run(listener)
	})
	if g.Settings.ReadinessListen != "" {
		group.Go(func() error { return g.serveReadiness(helperCtx) })
	}
	group.Go(func() error { return g.sweep(helperCtx) })
	group.Go(func() error {
		select {
		case <-ctx.Done():
			g.drain()
		case <-helperCtx.Done():
		}
		cancelHelpers()
		g.conns.DrainAcceptQueue(listener)
		_ = listener.Close() // stops accepting
		g.connPool.Close()
		return nil
	})
	return group.Wait()
}

func (g *Gateway) newServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ErrorLog: g.Log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug})}
}

// maxConns returns the limit on callers' connections.
func (g *Gateway) maxConns() int {
	limit := g.Settings.MaxSockets / connBudgetDivisor
	if byMemory := int(g.Settings.MemoryLimit / connMemory / connBudgetDivisor); limit == 0 || byMemory < limit {
		limit = byMemory
	}
	return max(limit, minConns)
}

// callerLimits returns the limits of the configuration in force.
func (g *Gateway) callerLimits() fleet.CallerLimits {
	if state := g.State(); state.Table != nil {
		return state.Table.Limits
	}
	return fleet.CallerLimits{}
}

// serveReadiness answers the load balancer's readiness checks until ctx ends.
func (g *Gateway) serveReadiness(ctx context.Context) error {
	server := g.newServer(http.HandlerFunc(g.handleReadiness))
	server.ReadHeaderTimeout = caller.DefaultHeaderTimeout
	server.Addr = g.Settings.ReadinessListen
	defer context.AfterFunc(ctx, func() { _ = server.Close() })() // no request is in progress that matters
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("listen for readiness checks of the load balancer (free the address): %w", err)
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
			g.connPool.Prune(g.Clock.Now(), g.accepts)
			g.conns.LogShed()
		}
	}
}

func (g *Gateway) accepts(target fleet.Incarnation) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.placer.Accepts(target)
}

// handleReadiness answers a readiness check of the load balancer. A router whose lease on API keys
// has lapsed can serve few callers, while others can serve them, so it is not ready.
func (g *Gateway) handleReadiness(w http.ResponseWriter, _ *http.Request) {
	status := http.StatusOK
	if !g.Ready() || g.conns.IsOverloaded() {
		status = http.StatusServiceUnavailable
	}
	w.WriteHeader(status)
}

// Ready reports whether this router can serve callers: it has a configuration, targets and a valid
// lease on API keys, and is not shutting down.
func (g *Gateway) Ready() bool {
	state := g.State()
	hasKeys := state.Table != nil && len(state.Table.KeyOwners) > 0
	leaseLapsed := hasKeys && !g.Clock.Now().Before(state.KeyLeaseExpiry)
	return g.ready.Load() && g.stoppingSince.Load() == nil && !leaseLapsed
}
