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
	Data    string `long:"data" value-name:"DIR" description:"data folder (default: a temporary folder)"`
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
	var options localOptions
	if _, code, exit := parse("lf-local", &options, args, stdout, stderr); exit {
		return code
	}
	if options.Version {
		return printVersion("lf-local", stdout)
	}
	ctx, cancel := signalContext()
	defer cancel()
	demo := &localFleet{options: options, stdout: stdout}
	if err := demo.run(ctx); err != nil {
		return fail(stderr, exitFailure, err)
	}
	return exitOK
}

// localFleet is a small fleet on loopback that runs in one process.
type localFleet struct {
	options         localOptions
	stdout          io.Writer
	dataDir         string
	secretFile      string
	keeperAddress   string
	routerAddresses []string
	routeAddresses  []string // where the routers serve routes
	targets         []fleet.Target
	standins        []*standin.Standin
}

func (l *localFleet) run(ctx context.Context) error {
	if err := l.prepare(); err != nil {
		return err
	}
	if l.options.Data == "" {
		defer func() { _ = os.RemoveAll(l.dataDir) }() // It is a temporary folder.
	}
	// The stand-ins and the keeper run longer than the routers, which first finish their requests
	// in progress.
	backendCtx, stopBackends := context.WithCancel(context.Background())
	defer stopBackends()
	backends, backendCtx := errgroup.WithContext(backendCtx)
	for _, server := range l.standins {
		backends.Go(func() error { return server.Run(backendCtx) })
	}
	backends.Go(func() error { return l.runKeeper(backendCtx) })
	frontends, frontendCtx := errgroup.WithContext(ctx)
	for index, address := range l.routerAddresses {
		frontends.Go(func() error { return l.runRouter(frontendCtx, index, address) })
	}
	frontends.Go(func() error { return l.applyConfig(frontendCtx) })
	err := frontends.Wait()
	stopBackends()
	if backendErr := backends.Wait(); err == nil {
		err = backendErr
	}
	return err
}

// prepare creates the data folder and the secret, and chooses free addresses.
func (l *localFleet) prepare() error {
	var err error
	l.dataDir = l.options.Data
	if l.dataDir == "" {
		if l.dataDir, err = os.MkdirTemp("", "lf-local-"); err != nil {
			return fmt.Errorf("create a temporary folder: %w", err)
		}
	}
	l.secretFile = filepath.Join(l.dataDir, "secret")
	if _, err := os.Stat(l.secretFile); err != nil {
		if err := os.MkdirAll(l.dataDir, 0o700); err != nil {
			return fmt.Errorf("create the data folder: %w", err)
		}
		if err := os.WriteFile(l.secretFile, []byte(rand.Text()), 0o600); err != nil {
			return fmt.Errorf("write the secret: %w", err)
		}
	}
	if l.keeperAddress, err = standin.FreeAddress(); err != nil {
		return err
	}
	const routerCount = 2
	for range routerCount {
		address, err := standin.FreeAddress()
		if err != nil {
			return err
		}
		l.routerAddresses = append(l.routerAddresses, address)
		if address, err = standin.FreeAddress(); err != nil {
			return err
		}
		l.routeAddresses = append(l.routeAddresses, address)
	}
	return l.prepareStandins()
}

func (l *localFleet) prepareStandins() error {
	for _, kind := range []fleet.TargetKind{fleet.TargetEngine, fleet.TargetService} {
		server := &standin.Standin{Settings: standin.Settings{
			Name: string(kind) + "-1", Listen: "127.0.0.1:0", Kind: kind,
			Tokens: localTokens, Pace: fleet.Duration(localPace), Delay: fleet.Duration(localPace),
		}}
		address, err := server.Listen()
		if err != nil {
			return err
		}
		l.standins = append(l.standins, server)
		l.targets = append(l.targets, fleet.Target{
			Name: server.Settings.Name, Address: address, Zone: "regina", Kind: kind, Slots: localSlots, State: fleet.TargetLive,
		})
	}
	return nil
}

func (l *localFleet) runKeeper(ctx context.Context) error {
	admin, err := standin.FreeAddress()
	if err != nil {
		return err
	}
	keeperSettings := settings.Keeper{
		Name: "k1", Zone: "regina", Listen: l.keeperAddress, Admin: admin,
		Data: filepath.Join(l.dataDir, "k1"), Peers: []string{"k1=" + l.keeperAddress}, Secret: l.secretFile,
	}
	disk := &journal.RealDisk{Folder: keeperSettings.Data}
	files, err := disk.List()
	if err != nil {
		return err
	}
	node := &keeper.Keeper{
		Settings: keeperSettings, Log: settings.Logger("k1", l.options.Level, ""), Clock: clock.NewRealClock(),
		Disk: disk, Init: len(files) == 0,
	}
	return node.Run(ctx)
}

func (l *localFleet) runRouter(ctx context.Context, index int, address string) error {
	admin, err := standin.FreeAddress()
	if err != nil {
		return err
	}
	name := fmt.Sprintf("r%d", index+1)
	node := &router.Router{
		Settings: settings.Router{
			Name: name, Zone: "regina", Listen: address, Admin: admin, Keepers: []string{l.keeperAddress}, Secret: l.secretFile,
			Hosts: l.routeAddresses[index], Routes: settings.DefaultRoutes(),
		},
		Log:   settings.Logger(name, l.options.Level, ""),
		Clock: clock.NewRealClock(),
	}
	return node.Run(ctx)
}

// applyConfig applies the configuration and prints example commands.
func (l *localFleet) applyConfig(ctx context.Context) error {
	client := ctl{Keepers: l.keeperAddress, Secret: l.secretFile}
	current, _, err := client.activeConfig()
	if err != nil {
		return err
	}
	config := fleet.Config{
		Number:   current.Number + 1,
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
	secret, err := os.ReadFile(l.secretFile)
	if err != nil {
		return fmt.Errorf("read the secret: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, localTimeout)
	defer cancel()
	var applied message.ApplyResult
	params := message.ApplyRequest{Config: json.RawMessage(config.JSON()), Operator: "lf-local", Wait: true}
	for applied.Routers < len(l.routerAddresses) {
		err := callKeeper(ctx, l.keeperAddress, rpc.Secret(secret), message.MethodApply, params, &applied)
		if ctx.Err() != nil {
			return nil // The fleet was stopped before it was ready.
		}
		if err != nil && isFinal(err) {
			return err
		}
		time.Sleep(ctlRetryInterval)
	}
	l.printExamples()
	return nil
}

func (l *localFleet) printExamples() {
	printf(l.stdout, "laburnumfall is running: 1 keeper, %d routers, %d stand-ins. Stop it with Ctrl-C. Commands to try:\n\n", len(l.routerAddresses), len(l.standins))
	printf(l.stdout, "curl -sN http://%s/e/%s/v1/chat/completions -H 'Authorization: Bearer %s' -d '{\"model\":\"m\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'\n\n", l.routerAddresses[0], localEvent, localKey)
	printf(l.stdout, "curl -s http://%s/e/sheets/sheets/1 -H 'Authorization: Bearer %s'\n\n", l.routerAddresses[1], localKey)
	printf(l.stdout, "curl -s http://%s/sheets/1 -H 'Host: %s' -H 'Authorization: Bearer %s'\n\n", l.routeAddresses[0], localHost, localKey)
	printf(l.stdout, "go run ./cmd/lfctl --keepers %s --secret %s status\n", l.keeperAddress, l.secretFile)
}
