// Package keeper runs a keeper, a replica of the control plane. A keeper stores the replicated
// state on its disk. The leader also divides the slots of the targets among the routers.
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

// adminShutdownTimeout bounds how long a stopping keeper finishes the requests of operators.
// Without a bound, an incomplete request kept the keeper running until it was killed.
const adminShutdownTimeout = 500 * time.Millisecond

// A Keeper is one lf-keeper process. Set the exported fields, then call Run.
type Keeper struct {
	Settings settings.Keeper
	Log      hclog.Logger
	Clock    clock.Clock
	Disk     journal.Disk
	// Init founds a new group if the data folder is empty.
	Init bool
	// VMList is the platform's list of VMs. If it is nil, the list in the settings is used.
	VMList VMList
	// TargetList is the platform's list of targets. It is nil if configurations list the targets.
	TargetList TargetList
	// ServeControlAPI, if set, serves the platform's control API for operators.
	ServeControlAPI func(ctx context.Context, client *LeaderClient) error

	counter      rpc.Counter
	secret       rpc.Secret
	journal      journal.Journal
	core         *core
	transport    *rpcTransport
	bootstrapper *bootstrapper
	// sharedBootstrapper is bootstrapper, for goroutines other than that of Run.
	sharedBootstrapper atomic.Pointer[bootstrapper]
	metrics            *keeperMetrics
}

// A DataDirInUseError means that a group is to be founded on a data folder that already holds
// data.
type DataDirInUseError struct {
	Dir string
}

// Error returns the folder and the remedy.
func (e *DataDirInUseError) Error() string {
	return fmt.Sprintf("data folder %s already holds data (start without --init, or set an empty data folder to found a new group)", e.Dir)
}

// Run runs the keeper until ctx ends or the disk fails.
func (k *Keeper) Run(ctx context.Context) error {
	if err := k.readSecret(); err != nil {
		return err
	}
	if err := k.openJournal(); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", k.Settings.Listen)
	if err != nil {
		return fmt.Errorf("listen for routers and keepers (free the address or change the setting listen): %w", err)
	}
	admin, err := net.Listen("tcp", k.Settings.Admin)
	if err != nil {
		return fmt.Errorf("listen for operators (free the address or change the setting admin): %w", err)
	}
	k.assemble()
	return k.serveAll(ctx, listener, admin)
}

// SetSeeds sets the addresses of the keepers in the newest settings. It may be called at any time
// while Run runs.
func (k *Keeper) SetSeeds(addresses []string) {
	if bootstrapper := k.sharedBootstrapper.Load(); bootstrapper != nil {
		bootstrapper.seeds.Store(&addresses)
	}
}

// readSecret reads the secret that authenticates the fleet's processes to each other. Only
// settings that are explicitly open may do without one.
func (k *Keeper) readSecret() error {
	if k.Settings.AllowUnauthenticated {
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
	k.core.readsTargetList = k.ServeControlAPI != nil && k.TargetList != nil
	k.sharedBootstrapper.Store(k.bootstrapper)
	k.metrics = newMetrics(&k.counter, k.core)
	if k.VMList == nil && k.Settings.VMListURL != "" {
		k.VMList = &RealVMList{URL: k.Settings.VMListURL}
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
		return nil // the remaining requests end with the process
	}
	return err
}

func (k *Keeper) serveAll(ctx context.Context, listener, adminListener net.Listener) error {
	group, ctx := errgroup.WithContext(ctx)
	// The transport outlives ctx, because a leader that resigns still has messages to send.
	transportCtx, stopTransport := context.WithCancel(context.WithoutCancel(ctx))
	defer stopTransport()
	admin := &fasthttp.Server{Handler: k.serveAdmin, CloseOnShutdown: true}
	group.Go(func() error {
		return rpc.Serve(ctx, listener, k.Settings.Name, k.secret, k, &k.counter)
	})
	group.Go(func() error { return admin.Serve(adminListener) })
	group.Go(func() error { return k.transport.run(transportCtx) })
	group.Go(func() error { return k.core.watchVMs(ctx, k.VMList) })
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
		_ = listener.Close() // makes rpc.Serve return
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
