// Package router runs a router's scheduler and the I/O around it: it reads callers' requests,
// sends them to targets, and keeps the connections to the keepers.
package router

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"laburnumfall/internal/backpressure"
	"laburnumfall/internal/caller"
	"laburnumfall/internal/clock"
	"laburnumfall/internal/dispatch"
	"laburnumfall/internal/gateway"
	"laburnumfall/internal/message"
	"laburnumfall/internal/quarantine"
	"laburnumfall/internal/routing"
	"laburnumfall/internal/rpc"
	"laburnumfall/internal/settings"
	"laburnumfall/internal/target"
)

const (
	maxBodyBytes   = 8 << 20
	maxHeaderBytes = 16 << 10
	readTimeout    = 30 * time.Second // for a caller to send a whole request
	writeTimeout   = 30 * time.Second // for a caller to accept a part of a response
	idleTimeout    = 75 * time.Second
	maxCallers     = 16384
	// stopGrace is how long a stopping router still answers callers that the load balancer sends.
	stopGrace = time.Second
	// settleTimeout limits how long a stopping router tries to deliver the outcomes of claimed
	// requests.
	settleTimeout = 5 * time.Second
)

// A Router is one lf-router. Set the exported fields, then call Run.
type Router struct {
	Settings settings.Router
	Log      hclog.Logger
	Clock    clock.Clock

	rpcCounter      rpc.Counter
	loop            *schedulerLoop
	keepers         *keeperConns
	claimer         *claimer
	dialer          target.Dialer
	metrics         *metrics
	disconnects     disconnectWatcher
	backpressure    backpressure.Tracker
	routes          *routing.Service // nil if no address for callers of routes is set
	requestIDPrefix string
}

// Run serves until ctx ends, and then until no request is in progress or the grace period is over.
func (r *Router) Run(ctx context.Context) error {
	secret, err := os.ReadFile(r.Settings.Secret)
	if err != nil {
		return fmt.Errorf("read the secret (check the path in the settings): %w", err)
	}
	listener, err := listenCallers(r.Settings.Listen)
	if err != nil {
		return err
	}
	admin, err := net.Listen("tcp", r.Settings.Admin)
	if err != nil {
		return fmt.Errorf("listen for operators (free the address or change admin): %w", err)
	}
	r.assemble(secret)
	return r.serveAll(ctx, listener, admin)
}

// listenCallers listens for callers of events. The write timeout of the HTTP library would apply to
// a whole response, and streams may take longer.
func listenCallers(address string) (*caller.Listener, error) {
	listener, err := caller.Listen(address)
	if err != nil {
		return nil, err
	}
	listener.WriteTimeout = writeTimeout
	return listener, nil
}

func (r *Router) assemble(secret []byte) {
	incarnation := uint64(r.Clock.Now().UnixNano())
	r.requestIDPrefix = fmt.Sprintf("%s-%x-", r.Settings.Name, incarnation)
	r.metrics = newMetrics(&r.rpcCounter)
	r.backpressure.ByAddress = true
	r.loop = newSchedulerLoop(r.Clock, &dispatch.Scheduler{
		Name: r.Settings.Name, Zone: r.Settings.Zone, Incarnation: incarnation,
		Guard:        quarantine.Guard{Owner: message.ClaimOwner(r.Settings.Name, incarnation), IDsReused: true},
		Backpressure: &r.backpressure,
	})
	r.keepers = &keeperConns{
		addresses: r.Settings.Keepers, name: r.Settings.Name, secret: secret,
		counter: &r.rpcCounter, log: r.Log, loop: r.loop,
	}
	r.claimer = newClaimer(r.keepers, r.loop, r.Log)
	r.loop.probe = r.probe
	r.loop.report = r.keepers.report
	r.loop.claim = r.claimer.claim
	r.loop.settle = r.claimer.settle
	r.loop.metrics = r.metrics
	if r.Settings.RouteListen != "" {
		r.routes = &routing.Service{
			Settings: r.Settings, Listen: r.Settings.RouteListen, Clock: r.Clock, Log: r.Log, Secret: secret,
			Dialect: routing.DefaultDialect{}, Decode: routing.DecodeConfig, Meters: gateway.NewMetrics(), Backpressure: &r.backpressure,
		}
		r.routes.SetSeeds(r.Settings.Keepers)
	}
}

// serveAll runs the router's goroutines. They outlive ctx until the requests in progress are
// done.
func (r *Router) serveAll(ctx context.Context, listener *caller.Listener, adminListener net.Listener) error {
	tasksCtx, stopTasks := context.WithCancel(context.Background())
	defer stopTasks()
	group, tasksCtx := errgroup.WithContext(tasksCtx)
	server := r.newServer()
	admin := &fasthttp.Server{Handler: r.serveAdmin, CloseOnShutdown: true}
	group.Go(func() error { return r.loop.run(tasksCtx) })
	group.Go(func() error { return r.keepers.run(tasksCtx) })
	group.Go(func() error { return r.claimer.run(tasksCtx) })
	group.Go(func() error { return r.disconnects.run(tasksCtx, r.loop) })
	group.Go(func() error { return r.pruneConns(tasksCtx) })
	group.Go(func() error { return server.Serve(listener) })
	group.Go(func() error { return admin.Serve(adminListener) })
	routesDone := make(chan struct{})
	group.Go(func() error {
		defer close(routesDone)
		if r.routes == nil {
			return nil
		}
		return r.routes.Run(ctx)
	})
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-tasksCtx.Done():
		}
		deadline := r.Clock.Now().Add(r.gracePeriod())
		<-routesDone
		err := r.stop(server, admin, listener, deadline)
		stopTasks()
		return err
	})
	r.Log.Info("serving", "listen", r.Settings.Listen, "admin", r.Settings.Admin, "zone", r.Settings.Zone)
	err := group.Wait()
	r.dialer.Close()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// gracePeriod returns how long requests in progress may continue after a stop has begun.
func (r *Router) gracePeriod() time.Duration {
	if r.Settings.Routing != nil {
		return r.Settings.Routing.GracePeriod
	}
	return settings.DefaultRouting().GracePeriod
}

// stop refuses queued requests, waits for requests in progress until the deadline, and only then
// closes the listeners. The health check on the admin address fails at once.
func (r *Router) stop(server, admin *fasthttp.Server, listener *caller.Listener, deadline time.Time) error {
	r.Log.Info("stopping: no new requests; those in progress go on")
	minEnd := r.Clock.Now().Add(stopGrace)
	r.loop.stop()
	idle := r.loop.idle()
	for now := r.Clock.Now(); now.Before(minEnd) || !idle && now.Before(deadline); now = r.Clock.Now() {
		time.Sleep(stopPollInterval)
		idle = r.loop.idle()
	}
	if !idle {
		r.Log.Warn("the grace is over: requests in progress are cut")
	}
	r.flushClaims()
	// A deadline of its own: after a suspension during the flush, the requests that have arrived still
	// get their responses.
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	if err := shutDown(ctx, server, listener); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("shut down the server for callers: %w", err)
	}
	if err := admin.ShutdownWithContext(ctx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("shut down the server for operators: %w", err)
	}
	r.Log.Info("stopped")
	return nil
}

// flushClaims delivers the outcomes of claimed requests, for a limited time.
func (r *Router) flushClaims() {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	r.claimer.flush(ctx)
}

// shutDown closes a server for callers after what has arrived has been read: after the process was
// suspended, the server would otherwise close connections with unread requests.
func shutDown(ctx context.Context, server *fasthttp.Server, listener *caller.Listener) error {
	listener.Drain()
	return server.ShutdownWithContext(ctx)
}

const (
	stopPollInterval = 20 * time.Millisecond
	prunePeriod      = time.Second
)

func (r *Router) pruneConns(ctx context.Context) error {
	ticker := time.NewTicker(prunePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			r.dialer.Prune(now)
		}
	}
}

func (r *Router) newServer() *fasthttp.Server {
	return &fasthttp.Server{
		Handler:               r.serve,
		ErrorHandler:          r.serveError,
		MaxRequestBodySize:    maxBodyBytes,
		ReadBufferSize:        maxHeaderBytes,
		ReadTimeout:           readTimeout,
		IdleTimeout:           idleTimeout,
		Concurrency:           maxCallers,
		NoDefaultServerHeader: true,
		NoDefaultContentType:  true,
		CloseOnShutdown:       true,
		Logger:                debugLogger{r.Log},
	}
}

// debugLogger logs the HTTP library's messages about callers' broken connections at debug level.
type debugLogger struct{ log hclog.Logger }

// Printf implements fasthttp.Logger.
func (l debugLogger) Printf(format string, args ...any) {
	l.log.Debug(fmt.Sprintf(format, args...))
}
