// Package router is the program around a router's decisions: it takes callers'
// requests, carries them to targets, and keeps the links to the keepers.
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
	maxBody    = 8 << 20
	maxHeader  = 16 << 10
	readLimit  = 30 * time.Second // for a caller to send a whole request
	writeLimit = 30 * time.Second // for a caller to take a piece of an answer
	idleLimit  = 75 * time.Second
	maxCallers = 16384
	// stopGrace is how long a stopping router goes on answering callers that
	// the balancer still sends.
	stopGrace = time.Second
	// settleGrace bounds how long a stopping router tries to hand over what
	// became of claimed requests.
	settleGrace = 5 * time.Second
)

// A Router is one lf-router. Set the exported fields, then call Run.
type Router struct {
	Settings settings.Router
	Log      hclog.Logger
	Clock    clock.Clock

	count   rpc.Counter
	desk    *desk
	keepers *keepers
	claimer *claimer
	dialer  target.Dialer
	meters  *meters
	watch   watcher
	routes  *routing.Service // nil where no address for callers of routes is set
	prefix  string           // of request IDs
}

// Run serves until ctx ends, and then until no request is in progress.
func (r *Router) Run(ctx context.Context) error {
	secret, err := os.ReadFile(r.Settings.Secret)
	if err != nil {
		return fmt.Errorf("read the secret: %w", err)
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

func (r *Router) assemble(secret []byte) {
	inc := uint64(r.Clock.Now().UnixNano())
	r.prefix = fmt.Sprintf("%s-%x-", r.Settings.Name, inc)
	r.meters = newMeters(&r.count)
	r.desk = newDesk(r.Clock, &dispatch.Scheduler{
		Name: r.Settings.Name, Zone: r.Settings.Zone, Incarnation: inc,
		Guard: quarantine.Guard{Owner: message.ClaimOwner(r.Settings.Name, inc), IDsReused: true},
	})
	r.keepers = &keepers{
		addresses: r.Settings.Keepers, name: r.Settings.Name, secret: secret,
		count: &r.count, log: r.Log, desk: r.desk,
	}
	r.claimer = newClaimer(r.keepers, r.desk, r.Log)
	r.desk.probe = r.probe
	r.desk.report = r.keepers.report
	r.desk.claim = r.claimer.ask
	r.desk.settle = r.claimer.settle
	r.desk.meters = r.meters
	if r.Settings.Hosts != "" {
		r.routes = &routing.Service{
			Settings: r.Settings, Listen: r.Settings.Hosts, Clock: r.Clock, Log: r.Log, Secret: secret,
			Dialect: routing.DefaultDialect{}, Decode: routing.DecodeConfig, Meters: gateway.NewMetrics(),
		}
		r.routes.SetSeeds(r.Settings.Keepers)
	}
}

// serveAll runs one goroutine per duty. The duties outlive ctx until the
// requests in progress are done.
func (r *Router) serveAll(ctx context.Context, listener, adminListener net.Listener) error {
	duties, stopDuties := context.WithCancel(context.Background())
	defer stopDuties()
	g, duties := errgroup.WithContext(duties)
	server := r.newServer()
	admin := &fasthttp.Server{Handler: r.serveAdmin, CloseOnShutdown: true}
	g.Go(func() error { return r.desk.run(duties) })
	g.Go(func() error { return r.keepers.run(duties) })
	g.Go(func() error { return r.claimer.run(duties) })
	g.Go(func() error { return r.watch.run(duties, r.desk) })
	g.Go(func() error { return r.sweep(duties) })
	g.Go(func() error { return server.Serve(listener) })
	g.Go(func() error { return admin.Serve(adminListener) })
	routed := make(chan struct{})
	g.Go(func() error {
		defer close(routed)
		if r.routes == nil {
			return nil
		}
		return r.routes.Run(ctx)
	})
	g.Go(func() error {
		select {
		case <-ctx.Done():
		case <-duties.Done():
		}
		end := r.Clock.Now().Add(r.grace())
		<-routed
		err := r.stop(server, admin, end)
		stopDuties()
		return err
	})
	r.Log.Info("serving", "listen", r.Settings.Listen, "admin", r.Settings.Admin, "zone", r.Settings.Zone)
	err := g.Wait()
	r.dialer.Close()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// grace is how long requests in progress may go on after a stop has begun.
func (r *Router) grace() time.Duration {
	if r.Settings.Routes != nil {
		return r.Settings.Routes.Grace
	}
	return settings.DefaultRoutes().Grace
}

// stop answers what waits, lets what runs end, until the end of the grace at most, and
// only then closes. The admin address tells the balancer at once.
func (r *Router) stop(server, admin *fasthttp.Server, end time.Time) error {
	r.Log.Info("stopping: no new requests; those in progress go on")
	until := r.Clock.Now().Add(stopGrace)
	r.desk.stop()
	idle := r.desk.idle()
	for now := r.Clock.Now(); now.Before(until) || !idle && now.Before(end); now = r.Clock.Now() {
		time.Sleep(stopPoll)
		idle = r.desk.idle()
	}
	if !idle {
		r.Log.Warn("the grace is over: requests in progress are cut")
	}
	ctx, cancel := context.WithTimeout(context.Background(), settleGrace)
	defer cancel()
	r.claimer.flush(ctx)
	if err := server.ShutdownWithContext(ctx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("close the callers' address: %w", err)
	}
	if err := admin.ShutdownWithContext(ctx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("close the operators' address: %w", err)
	}
	r.Log.Info("stopped")
	return nil
}

const (
	stopPoll    = 20 * time.Millisecond
	sweepPeriod = time.Second
)

func (r *Router) sweep(ctx context.Context) error {
	t := time.NewTicker(sweepPeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-t.C:
			r.dialer.Prune(now)
		}
	}
}

func (r *Router) newServer() *fasthttp.Server {
	return &fasthttp.Server{
		Handler:               r.serve,
		ErrorHandler:          r.serveError,
		MaxRequestBodySize:    maxBody,
		ReadBufferSize:        maxHeader,
		ReadTimeout:           readLimit,
		IdleTimeout:           idleLimit,
		Concurrency:           maxCallers,
		NoDefaultServerHeader: true,
		NoDefaultContentType:  true,
		CloseOnShutdown:       true,
		Logger:                quietLogger{r.Log},
	}
}

// quietLogger takes the HTTP library's lines on callers' broken connections.
type quietLogger struct{ log hclog.Logger }

// Printf implements fasthttp.Logger.
func (l quietLogger) Printf(format string, args ...any) {
	l.log.Debug(fmt.Sprintf(format, args...))
}
