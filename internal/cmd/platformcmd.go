package cmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"laburnumfall/internal/asynclog"
	"laburnumfall/internal/clock"
	"laburnumfall/internal/gateway"
	"laburnumfall/internal/journal"
	"laburnumfall/internal/keeper"
	"laburnumfall/internal/routing"
	"laburnumfall/internal/stall"
	"laburnumfall/platform"
)

const (
	// rereadPeriod is how often the settings file is looked at: the platform may
	// change it without a signal.
	rereadPeriod = 2 * time.Second
	// metricsClose bounds how long the metrics server may take to stop.
	metricsClose = 100 * time.Millisecond
	metricsRead  = 5 * time.Second
	// garbageGrowth is how much the heap may grow between two collections, in
	// percent. Requests leave much garbage and little memory behind; a router that is
	// short of processor time needs tens of megabytes more while it collects, beyond the
	// memory limit.
	garbageGrowth = 200
)

// A platformProgram is a program whose settings come from the users' platform.
type platformProgram struct {
	name     string
	settings platform.Settings
	log      hclog.Logger
	ring     *asynclog.Writer
	hups     chan os.Signal // the settings file has changed
	stalled  atomic.Int64   // for how long the process has stood still, in nanoseconds
}

// watchStalls logs and counts the stalls of this process until ctx ends.
func (p *platformProgram) watchStalls(ctx context.Context) {
	w := &stall.Monitor{Log: p.log, OnStall: func(s stall.Stall) { p.stalled.Add(int64(s.Duration())) }}
	go func() { _ = w.Run(ctx) }() // it ends with ctx only
}

// runPlatform reads the platform's settings and runs a program under them.
func runPlatform(name string, check bool, stdout, stderr io.Writer, run func(ctx context.Context, p *platformProgram) error) int {
	// This signal ends a process that does not wait for it. It is taken from the start
	// to the end: the platform may change the settings of one that starts or stops.
	hups := make(chan os.Signal, 1)
	signal.Notify(hups, syscall.SIGHUP)
	s, err := platform.ReadSettings()
	if err != nil {
		return fail(stderr, exitUsage, err)
	}
	if check {
		say(stdout, "settings are good\n")
		return exitDone
	}
	debug.SetMemoryLimit(s.Memory)
	debug.SetGCPercent(garbageGrowth)
	p := &platformProgram{name: name, settings: s, ring: asynclog.New(stdout), hups: hups}
	p.log = asynclog.NewLogger(hclog.LoggerOptions{Name: name, Level: hclog.Info, JSONFormat: true, Output: p.ring})
	endLog := p.startLog()
	ctx, cancel := untilSignal()
	defer cancel()
	p.log.Info("start", "version", Version, "memory", s.Memory)
	p.watchStalls(ctx)
	graceEnd, err := p.runBounded(ctx, run)
	p.log.Info("stop", "error", err)
	endLog(graceEnd)
	var wrong *platform.SettingsError
	switch {
	case errors.As(err, &wrong):
		return fail(stderr, exitUsage, err)
	case err != nil:
		return fail(stderr, exitFail, err)
	}
	return exitDone
}

// watch is the duty that heeds changes of the settings file.
func (p *platformProgram) watch(ctx context.Context, changed func(s platform.Settings)) error {
	ticker := time.NewTicker(rereadPeriod)
	defer ticker.Stop()
	last := p.settings.Keepers()
	for {
		source := "file"
		select {
		case <-ctx.Done():
			return nil
		case <-p.hups:
			source = "signal"
		case <-ticker.C:
		}
		s, err := p.settings.Reread()
		if err != nil {
			p.log.Warn("settings cannot be read: going on with those before", "source", source, "error", err)
			continue
		}
		if source == "file" && fmt.Sprint(s.Keepers()) == fmt.Sprint(last) {
			continue
		}
		last = s.Keepers()
		p.log.Info("reload", "source", source, "keepers", last)
		changed(s)
	}
}

// platformRouter runs a router of routes.
func (h Host) platformRouter(ctx context.Context, p *platformProgram) error {
	s, err := p.settings.Router()
	if err != nil {
		return err
	}
	r := &routing.Service{
		Settings: s, Listen: s.Listen, Clock: clock.NewRealClock(), Log: p.log, Dialect: platform.Headers{},
		Decode: platform.Decode, List: platform.NewList(p.settings.List), Meters: gateway.NewMetrics(),
	}
	r.Meters.AddCounter("lf_log_dropped_total", "Log lines that were left out.", func() float64 { return float64(p.ring.Dropped()) })
	r.Meters.AddCounter("lf_stalled_seconds_total", "For how long this process did not run.", func() float64 {
		return time.Duration(p.stalled.Load()).Seconds()
	})
	r.SetSeeds(s.Keepers)
	if h.Router != nil {
		h.Router(r)
	}
	// The other duties go on while requests in progress finish.
	duties, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	group, duties := errgroup.WithContext(duties)
	group.Go(func() error {
		// A router without metrics still serves: an error here would end the duties
		// beside this one, and be heard of only when all have ended.
		if err := serveMetrics(duties, s.Admin, r.Meters.Handler()); err != nil {
			p.log.Error("no metrics: going on without", "error", err)
		}
		return nil
	})
	group.Go(func() error { return p.watch(duties, func(s platform.Settings) { r.SetSeeds(s.Keepers()) }) })
	group.Go(func() error {
		defer end()
		return r.Run(ctx)
	})
	return group.Wait()
}

// serveMetrics serves a process's metrics until ctx ends.
func serveMetrics(ctx context.Context, address string, h http.Handler) error {
	mux := http.NewServeMux()
	mux.Handle("/metrics", h)
	server := &http.Server{Addr: address, Handler: mux, ReadHeaderTimeout: metricsRead}
	go func() {
		<-ctx.Done()
		limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), metricsClose)
		defer cancel()
		_ = server.Shutdown(limited) // the process ends next
	}()
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve metrics (free the address): %w", err)
	}
	return nil
}

// platformKeeper runs a keeper.
func (h Host) platformKeeper(ctx context.Context, p *platformProgram) error {
	s, founds, err := p.settings.Keeper()
	if err != nil {
		return err
	}
	k := &keeper.Keeper{
		Settings: s, Log: p.log, Clock: clock.NewRealClock(), Disk: &journal.RealDisk{Folder: s.Data},
		Init: founds, TargetList: platform.NewList(p.settings.List),
	}
	k.ServeControlAPI = func(ctx context.Context, c *keeper.LeaderClient) error {
		control := &platform.Control{Keeper: c, Log: p.log}
		return control.Run(ctx, p.settings.Operators)
	}
	if h.Keeper != nil {
		h.Keeper(k)
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return k.Run(ctx) })
	group.Go(func() error { return p.watch(ctx, func(s platform.Settings) { k.SetSeeds(s.Keepers()) }) })
	return group.Wait()
}
