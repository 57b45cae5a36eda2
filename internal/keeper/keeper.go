// Package keeper is the program around the keepers' decisions: it holds the
// replicated state on its disk, and while it leads it divides the targets'
// slots among the routers.
package keeper

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"laburnumfall/internal/clock"
	"laburnumfall/internal/journal"
	"laburnumfall/internal/rpc"
	"laburnumfall/internal/settings"
)

// adminClose bounds how long a stopping keeper finishes operators' requests. Without a
// bound, half a request held it until it was killed.
const adminShutdownTimeout = 500 * time.Millisecond

// A Keeper is one lf-keeper. Set the exported fields, then call Run.
type Keeper struct {
	Settings settings.Keeper
	Log      hclog.Logger
	Clock    clock.Clock
	Disk     journal.Disk
	// Init founds a group on an empty data folder.
	Init bool
	// VMs is the platform's list of VMs; nil means the one of the settings.
	VMs VMList
	// TargetList is the platform's list of targets; nil where configurations
	// list the targets.
	TargetList TargetList
	// ServeControlAPI, if set, serves operators in the platform's way.
	ServeControlAPI func(ctx context.Context, client *LeaderClient) error

	counter      rpc.Counter
	secret       rpc.Secret
	journal      journal.Journal
	core         *core
	transport    *rpcTransport
	bootstrapper *bootstrapper
	// founding is found, for other goroutines than that of Run.
	sharedBootstrapper atomic.Pointer[bootstrapper]
	metrics            *keeperMetrics
}

// A DataDirInUseError says that the data folder does not fit the way of starting.
type DataDirInUseError struct {
	Dir string
}

// Error returns the folder and the remedy.
func (e *DataDirInUseError) Error() string {
	return fmt.Sprintf("data folder %s is in use (start without --init; to found anew, name an empty folder)", e.Dir)
}

// Run serves until ctx ends or the disk fails.
func (k *Keeper) Run(ctx context.Context) error {
	if err := k.readSecret(); err != nil {
		return err
	}
	if err := k.openJournal(); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", k.Settings.Listen)
	if err != nil {
		return fmt.Errorf("listen for the fleet (free the address or change listen): %w", err)
	}
	admin, err := net.Listen("tcp", k.Settings.Admin)
	if err != nil {
		return fmt.Errorf("listen for operators (free the address or change admin): %w", err)
	}
	k.assemble()
	return k.serveAll(ctx, listener, admin)
}

// SetSeeds names keepers that the settings tell of by now. It may be called at
// any time while Run runs.
func (k *Keeper) SetSeeds(addresses []string) {
	if bootstrapper := k.sharedBootstrapper.Load(); bootstrapper != nil {
		bootstrapper.seeds.Store(&addresses)
	}
}

// readSecret reads what proves the fleet's processes to each other. Where the
// settings name none, only those that say so may do without.
func (k *Keeper) readSecret() error {
	if k.Settings.Open {
		return nil
	}
	secret, err := os.ReadFile(k.Settings.Secret)
	if err != nil {
		return fmt.Errorf("read the secret: %w", err)
	}
	k.secret = secret
	return nil
}

func (k *Keeper) openJournal() error {
	k.journal.Disk = k.Disk
	used, err := k.journal.Open()
	if err != nil {
		return fmt.Errorf("open the data folder: %w", err)
	}
	if used && k.Init && !k.Settings.AutoMembers {
		return &DataDirInUseError{Dir: k.Settings.Data}
	}
	k.Init = k.Init && !used
	return nil
}

func (k *Keeper) assemble() {
	k.transport = &rpcTransport{log: k.Log, name: k.Settings.Name, secret: k.secret, counter: &k.counter, handler: k, peerSenders: make(map[string]*peerSender)}
	k.core = newCore(k.Clock, k.Log, &k.journal, k.transport)
	k.bootstrapper = &bootstrapper{
		settings: k.Settings, log: k.Log, journal: &k.journal, init: k.Init,
		dial: k.dialPeer, clock: k.Clock,
	}
	k.core.autoMembers, k.core.zones = k.Settings.AutoMembers, k.Settings.Zones
	k.sharedBootstrapper.Store(k.bootstrapper)
	k.metrics = newMetrics(&k.counter, k.core)
	if k.VMs == nil && k.Settings.List != "" {
		k.VMs = &RealVMList{URL: k.Settings.List}
	}
}

func (k *Keeper) dialPeer(ctx context.Context, address string) (*rpc.Conn, error) {
	return rpc.Dial(ctx, address, k.Settings.Name, k.secret, k, &k.counter)
}

func closeAdmin(ctx context.Context, admin *fasthttp.Server) error {
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), adminShutdownTimeout)
	defer cancel()
	err := admin.ShutdownWithContext(shutdownCtx)
	if errors.Is(err, context.DeadlineExceeded) {
		return nil // what is left ends with the process
	}
	return err
}

func (k *Keeper) serveAll(ctx context.Context, listener, adminListener net.Listener) error {
	group, ctx := errgroup.WithContext(ctx)
	// What a leader says at its end must still get out.
	transportCtx, stopTransport := context.WithCancel(context.WithoutCancel(ctx))
	defer stopTransport()
	admin := &fasthttp.Server{Handler: k.serveAdmin, CloseOnShutdown: true}
	group.Go(func() error {
		return rpc.Serve(ctx, listener, k.Settings.Name, k.secret, k, &k.counter)
	})
	group.Go(func() error { return admin.Serve(adminListener) })
	group.Go(func() error { return k.transport.run(transportCtx) })
	group.Go(func() error { return k.core.watchVMs(ctx, k.VMs) })
	group.Go(func() error {
		defer stopTransport()
		identity, err := k.bootstrapper.run(ctx)
		if err != nil {
			return err
		}
		if k.Settings.AutoMembers {
			group.Go(func() error { return k.keepMembership(ctx, identity) })
		}
		err = k.core.run(ctx, identity)
		k.transport.flush()
		return err
	})
	if k.ServeControlAPI != nil {
		group.Go(func() error { return k.ServeControlAPI(ctx, &LeaderClient{keeper: k}) })
		group.Go(func() error { return k.core.watchTargets(ctx, k.TargetList) })
	}
	group.Go(func() error {
		<-ctx.Done()
		_ = listener.Close() // ends its Serve
		return closeAdmin(ctx, admin)
	})
	k.Log.Info("serving", "listen", k.Settings.Listen, "admin", k.Settings.Admin, "zone", k.Settings.Zone)
	err := group.Wait()
	if closeErr := k.journal.Close(); err == nil {
		err = closeErr
	}
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
