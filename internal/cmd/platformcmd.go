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
	// settingsPollInterval is how often the settings file is read. The platform may change it
	// without a signal.
	settingsPollInterval = 2 * time.Second
	// metricsShutdownTimeout limits how long the metrics server may take to stop.
	metricsShutdownTimeout = 100 * time.Millisecond
	metricsReadTimeout     = 5 * time.Second
	// gcPercent is how much the heap may grow between two garbage collections, in percent.
	// Requests allocate many short-lived objects and retain little memory. A router that is short
	// of processor time needs tens of megabytes above the memory limit while it collects garbage.
	gcPercent = 200
)

// A platformProgram is a program whose settings are provided by the users' platform.
type platformProgram struct {
	name               string
	settings           platform.Settings
	log                hclog.Logger
	logWriter          *asynclog.Writer
	reloadSignals      chan os.Signal // receives SIGHUP: the settings file has changed
	stalledNanoseconds atomic.Int64   // total duration of the stalls of this process
}

// watchStalls logs the stalls of this process and adds up their durations until ctx ends.
func (p *platformProgram) watchStalls(ctx context.Context) {
	monitor := &stall.Monitor{Log: p.log, OnStall: func(stalled stall.Stall) { p.stalledNanoseconds.Add(int64(stalled.Duration())) }}
	go func() { _ = monitor.Run(ctx) }() // It returns only when ctx ends.
}

// runPlatform reads the platform's settings and runs a program with them.
func runPlatform(name string, check bool, stdout, stderr io.Writer, run func(ctx context.Context, p *platformProgram) error) int {
	// SIGHUP terminates a process that does not handle it. It is handled from the start to the
	// end, because the platform may change the settings of a process that is starting or
	// stopping.
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	platformSettings, err := platform.ReadSettings()
	if err != nil {
		return fail(stderr, exitUsage, err)
	}
	if check {
		printf(stdout, "settings are good\n")
		return exitOK
	}
	debug.SetMemoryLimit(platformSettings.Memory)
	debug.SetGCPercent(gcPercent)
	p := &platformProgram{name: name, settings: platformSettings, logWriter: asynclog.New(stdout), reloadSignals: reloadSignals}
	p.log = asynclog.NewLogger(hclog.LoggerOptions{Name: name, Level: hclog.Info, JSONFormat: true, Output: p.logWriter})
	flushLog := p.startLogWriter()
	ctx, cancel := signalContext()
	defer cancel()
	p.log.Info("start", "version", Version, "memory", platformSettings.Memory)
	p.watchStalls(ctx)
	graceEnd, err := p.runWithinGrace(ctx, run)
	p.log.Info("stop", "error", err)
	flushLog(graceEnd)
	var settingsErr *platform.SettingsError
	switch {
	case errors.As(err, &settingsErr):
		return fail(stderr, exitUsage, err)
	case err != nil:
		return fail(stderr, exitFailure, err)
	}
	return exitOK
}

// watchSettings reads the settings file again at each SIGHUP and at regular intervals, and calls
// onChange if a signal arrived or the keepers changed. It ends with ctx.
func (p *platformProgram) watchSettings(ctx context.Context, onChange func(updated platform.Settings)) error {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	lastKeepers := p.settings.Keepers()
	for {
		source := "file"
		select {
		case <-ctx.Done():
			return nil
		case <-p.reloadSignals:
			source = "signal"
		case <-ticker.C:
		}
		reread, err := p.settings.Reread()
		if err != nil {
			p.log.Warn("settings cannot be read: going on with those before", "source", source, "error", err)
			continue
		}
		if source == "file" && fmt.Sprint(reread.Keepers()) == fmt.Sprint(lastKeepers) {
			continue
		}
		lastKeepers = reread.Keepers()
		p.log.Info("reload", "source", source, "keepers", lastKeepers)
		onChange(reread)
	}
}

// runPlatformRouter runs a router that serves routes.
func (h Hooks) runPlatformRouter(ctx context.Context, p *platformProgram) error {
	routerSettings, err := p.settings.Router()
	if err != nil {
		return err
	}
	service := &routing.Service{
		Settings: routerSettings, Listen: routerSettings.Listen, Clock: clock.NewRealClock(), Log: p.log, Dialect: platform.Headers{},
		Decode: platform.Decode, List: platform.NewList(p.settings.List), Meters: gateway.NewMetrics(),
	}
	service.Meters.AddCounter("lf_log_dropped_total", "Log lines that were left out.", func() float64 { return float64(p.logWriter.Dropped()) })
	service.Meters.AddCounter("lf_stalled_seconds_total", "For how long this process did not run.", func() float64 {
		return time.Duration(p.stalledNanoseconds.Load()).Seconds()
	})
	service.SetSeeds(routerSettings.Keepers)
	if h.ConfigureRouter != nil {
		h.ConfigureRouter(service)
	}
	// The other tasks continue while requests in progress finish.
	taskCtx, stopTasks := context.WithCancel(context.WithoutCancel(ctx))
	defer stopTasks()
	group, taskCtx := errgroup.WithContext(taskCtx)
	group.Go(func() error {
		// A router without metrics can still serve requests. An error returned here would stop
		// the other tasks of the group, and would be reported only after all of them have
		// stopped.
		if err := serveMetrics(taskCtx, routerSettings.Admin, service.Meters.Handler()); err != nil {
			p.log.Error("no metrics: going on without", "error", err)
		}
		return nil
	})
	group.Go(func() error {
		return p.watchSettings(taskCtx, func(updated platform.Settings) { service.SetSeeds(updated.Keepers()) })
	})
	group.Go(func() error {
		defer stopTasks()
		return service.Run(ctx)
	})
	return group.Wait()
}

// serveMetrics serves the metrics of a process until ctx ends.
func serveMetrics(ctx context.Context, address string, handler http.Handler) error {
	mux := http.NewServeMux()
	mux.Handle("/metrics", handler)
	server := &http.Server{Addr: address, Handler: mux, ReadHeaderTimeout: metricsReadTimeout}
	go func() {
		<-ctx.Done()
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), metricsShutdownTimeout)
		defer cancel()
		_ = server.Shutdown(shutdownCtx) // The process exits next.
	}()
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve metrics (free the address): %w", err)
	}
	return nil
}

// runPlatformKeeper runs a keeper.
func (h Hooks) runPlatformKeeper(ctx context.Context, p *platformProgram) error {
	keeperSettings, foundsGroup, err := p.settings.Keeper()
	if err != nil {
		return err
	}
	node := &keeper.Keeper{
		Settings: keeperSettings, Log: p.log, Clock: clock.NewRealClock(), Disk: &journal.RealDisk{Folder: keeperSettings.Data},
		Init: foundsGroup, TargetList: platform.NewList(p.settings.List),
	}
	node.ServeControlAPI = func(ctx context.Context, client *keeper.LeaderClient) error {
		control := &platform.Control{Keeper: client, Log: p.log}
		return control.Run(ctx, p.settings.Operators)
	}
	if h.ConfigureKeeper != nil {
		h.ConfigureKeeper(node)
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return node.Run(ctx) })
	group.Go(func() error {
		return p.watchSettings(ctx, func(updated platform.Settings) { node.SetSeeds(updated.Keepers()) })
	})
	return group.Wait()
}
