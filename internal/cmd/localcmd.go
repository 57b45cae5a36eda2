package cmd

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"golang.org/x/sync/errgroup"

	"laburnumfall/internal/clock"
	"laburnumfall/internal/fleet"
	"laburnumfall/internal/journal"
	"laburnumfall/internal/keeper"
	"laburnumfall/internal/message"
	"laburnumfall/internal/router"
	"laburnumfall/internal/rpc"
	"laburnumfall/internal/settings"
	"laburnumfall/internal/standin"
)

// localOptions are the options of lf-local.
type localOptions struct {
	Data    string `long:"data" value-name:"DIR" description:"keep the data folder here instead of a temporary one"`
	Level   string `long:"level" default:"warn" description:"log level"`
	Version bool   `long:"version" description:"print the version and exit"`
}

const (
	localKey     = "demo-key"
	localEvent   = "tender"
	localHost    = "viewer.example"
	localTokens  = 24
	localPace    = 20 * time.Millisecond
	localSlots   = 8
	localTimeout = 20 * time.Second
)

// Local runs lf-local and returns its exit code.
func Local(args []string, stdout, stderr io.Writer) int {
	var o localOptions
	if _, code, ended := parse("lf-local", &o, args, stdout, stderr); ended {
		return code
	}
	if o.Version {
		return printVersion("lf-local", stdout)
	}
	ctx, cancel := untilSignal()
	defer cancel()
	l := &local{options: o, stdout: stdout}
	if err := l.run(ctx); err != nil {
		return fail(stderr, exitFail, err)
	}
	return exitDone
}

// local is a whole small fleet in one process, on loopback.
type local struct {
	options  localOptions
	stdout   io.Writer
	folder   string
	secret   string
	keeper   string // address
	routers  []string
	hosts    []string // the routers' addresses for callers of routes
	targets  []fleet.Target
	standins []*standin.Standin
}

func (l *local) run(ctx context.Context) error {
	if err := l.prepare(); err != nil {
		return err
	}
	if l.options.Data == "" {
		defer func() { _ = os.RemoveAll(l.folder) }() // a temporary folder
	}
	// The stand-ins and the keeper outlive the routers, which finish what is
	// in progress.
	back, stopBack := context.WithCancel(context.Background())
	defer stopBack()
	g, back := errgroup.WithContext(back)
	for _, s := range l.standins {
		g.Go(func() error { return s.Run(back) })
	}
	g.Go(func() error { return l.runKeeper(back) })
	front, front2 := errgroup.WithContext(ctx)
	for i, address := range l.routers {
		front.Go(func() error { return l.runRouter(front2, i, address) })
	}
	front.Go(func() error { return l.open(front2) })
	err := front.Wait()
	stopBack()
	if backErr := g.Wait(); err == nil {
		err = backErr
	}
	return err
}

// prepare lays out the folder, the secret and free addresses.
func (l *local) prepare() error {
	var err error
	l.folder = l.options.Data
	if l.folder == "" {
		if l.folder, err = os.MkdirTemp("", "lf-local-"); err != nil {
			return fmt.Errorf("make a folder: %w", err)
		}
	}
	l.secret = filepath.Join(l.folder, "secret")
	if _, err := os.Stat(l.secret); err != nil {
		if err := os.MkdirAll(l.folder, 0o700); err != nil {
			return fmt.Errorf("make the data folder: %w", err)
		}
		if err := os.WriteFile(l.secret, []byte(rand.Text()), 0o600); err != nil {
			return fmt.Errorf("write the secret: %w", err)
		}
	}
	if l.keeper, err = standin.ReserveAddress(); err != nil {
		return err
	}
	const routerCount = 2
	for range routerCount {
		address, err := standin.ReserveAddress()
		if err != nil {
			return err
		}
		l.routers = append(l.routers, address)
		if address, err = standin.ReserveAddress(); err != nil {
			return err
		}
		l.hosts = append(l.hosts, address)
	}
	return l.prepareStandins()
}

func (l *local) prepareStandins() error {
	for _, kind := range []fleet.TargetKind{fleet.TargetEngine, fleet.TargetService} {
		s := &standin.Standin{Settings: standin.Settings{
			Name: string(kind) + "-1", Listen: "127.0.0.1:0", Kind: kind,
			Tokens: localTokens, TokenInterval: fleet.Duration(localPace), Delay: fleet.Duration(localPace),
		}}
		address, err := s.Listen()
		if err != nil {
			return err
		}
		l.standins = append(l.standins, s)
		l.targets = append(l.targets, fleet.Target{
			Name: s.Settings.Name, Address: address, Zone: "regina", Kind: kind, Slots: localSlots, State: fleet.TargetLive,
		})
	}
	return nil
}

func (l *local) runKeeper(ctx context.Context) error {
	admin, err := standin.ReserveAddress()
	if err != nil {
		return err
	}
	s := settings.Keeper{
		Name: "k1", Zone: "regina", Listen: l.keeper, Admin: admin,
		Data: filepath.Join(l.folder, "k1"), Peers: []string{"k1=" + l.keeper}, Secret: l.secret,
	}
	disk := &journal.RealDisk{Folder: s.Data}
	names, err := disk.List()
	if err != nil {
		return err
	}
	k := &keeper.Keeper{
		Settings: s, Log: settings.Logger("k1", l.options.Level, ""), Clock: clock.NewRealClock(),
		Disk: disk, Init: len(names) == 0,
	}
	return k.Run(ctx)
}

func (l *local) runRouter(ctx context.Context, i int, address string) error {
	admin, err := standin.ReserveAddress()
	if err != nil {
		return err
	}
	name := fmt.Sprintf("r%d", i+1)
	r := &router.Router{
		Settings: settings.Router{
			Name: name, Zone: "regina", Listen: address, Admin: admin, Keepers: []string{l.keeper}, Secret: l.secret,
			Hosts: l.hosts[i], Routes: settings.DefaultRoutes(),
		},
		Log:   settings.Logger(name, l.options.Level, ""),
		Clock: clock.NewRealClock(),
	}
	return r.Run(ctx)
}

// open applies the configuration and prints what to paste.
func (l *local) open(ctx context.Context) error {
	c := ctl{Keepers: l.keeper, Secret: l.secret}
	now, _, err := c.inForce()
	if err != nil {
		return err
	}
	config := fleet.Config{
		Number:   now.Number + 1,
		Accounts: []fleet.Account{{Name: "demo", Share: 1, Keys: []string{fleet.KeyDigest(localKey)}}},
		Targets:  l.targets,
		Events: []fleet.Event{
			{Name: localEvent, Accounts: []string{"demo"}, Targets: []string{l.targets[0].Name}},
			{Name: "sheets", Accounts: []string{"demo"}, Targets: []string{l.targets[1].Name}},
		},
		Pools: []fleet.PoolSpec{{Name: "viewers", Targets: []string{l.targets[1].Name}}},
		Routes: []fleet.RouteSpec{{
			Name: "sheets", Host: localHost, Prefix: "/sheets/", Kind: fleet.RouteIdempotent, Timeout: fleet.Duration(localTimeout),
			MaxAttempts: 2, Pools: []fleet.PoolWeightSpec{{Pool: "viewers", Weight: 1}},
		}},
	}
	secret, err := os.ReadFile(l.secret)
	if err != nil {
		return fmt.Errorf("read the secret: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, localTimeout)
	defer cancel()
	var applied message.ApplyResult
	params := message.ApplyRequest{Config: json.RawMessage(config.JSON()), Operator: "lf-local", Wait: true}
	for applied.Routers < len(l.routers) {
		err := callOne(ctx, l.keeper, rpc.Secret(secret), message.MethodApply, params, &applied)
		if ctx.Err() != nil {
			return nil // stopped before the fleet was up
		}
		if err != nil && final(err) {
			return err
		}
		time.Sleep(ctlPause)
	}
	l.printHelp()
	return nil
}

func (l *local) printHelp() {
	say(l.stdout, "laburnumfall runs: 1 keeper, %d routers, %d stand-ins. Stop it with Ctrl-C. Paste to try it:\n\n", len(l.routers), len(l.standins))
	say(l.stdout, "curl -sN http://%s/e/%s/v1/chat/completions -H 'Authorization: Bearer %s' -d '{\"model\":\"m\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'\n\n", l.routers[0], localEvent, localKey)
	say(l.stdout, "curl -s http://%s/e/sheets/sheets/1 -H 'Authorization: Bearer %s'\n\n", l.routers[1], localKey)
	say(l.stdout, "curl -s http://%s/sheets/1 -H 'Host: %s' -H 'Authorization: Bearer %s'\n\n", l.hosts[0], localHost, localKey)
	say(l.stdout, "go run ./cmd/lfctl --keepers %s --secret %s status\n", l.keeper, l.secret)
}
