package soak

import (
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/standin"
)

// targetSlots is the number of requests that a target runs concurrently.
const targetSlots = 8

// The last bytes of the addresses in a fleet's loopback network.
const (
	firstKeeperHost       = 1   // a keeper's address for the fleet: its proxy
	firstKeeperListenHost = 51  // a keeper's listen address behind its proxy
	firstRouterHost       = 101 // up to 254
)

// A testFleet is a fleet of real processes, each on its own loopback address, with a stand-in for the
// platform, which provides the targets, and proxies in front of keepers, routers and targets.
type testFleet struct {
	t             *testing.T
	size          fleetSize
	folder        string
	port          int
	platform      *standin.Platform
	keepers       []*process
	routers       []*process
	keeperProxies []*standin.Proxy // in front of keepers
	routerProxies []*standin.Proxy // in front of routers
	violations    *violations

	mu            sync.Mutex
	targetProxies []*standin.Proxy          // in front of targets, the oldest first
	liveTargets   []*standin.PlatformTarget // added and not replaced, the oldest first
	addedTargets  int
}

func newTestFleet(t *testing.T, size fleetSize) *testFleet {
	f := &testFleet{t: t, size: size, folder: t.TempDir(), violations: &violations{}}
	var err error
	f.port, err = standin.ReservePorts(standin.PortsPerProcess)
	require.NoError(t, err)
	f.platform, err = standin.StartPlatform(f.ip(firstKeeperHost) + ":0")
	require.NoError(t, err)
	t.Cleanup(f.close)
	for i := range size.Keepers {
		f.addKeeper(i)
	}
	for i := range size.Routers {
		proc := f.newProcess("lf-router", fmt.Sprintf("r%d", i), firstRouterHost+i)
		f.routers = append(f.routers, proc)
		f.routerProxies = append(f.routerProxies, f.startProxy(f.ip(firstKeeperHost)+":0", proc.settings.Address(standin.CallerPort)))
	}
	for range size.Targets {
		require.NoError(t, f.addTarget())
	}
	return f
}

func (f *testFleet) addKeeper(i int) {
	proc := f.newProcess("lf-keeper", fmt.Sprintf("k%d", i), firstKeeperHost+i)
	proc.listenAddress = fmt.Sprintf("%s:%d", f.ip(firstKeeperListenHost+i), f.port)
	f.keepers = append(f.keepers, proc)
	f.keeperProxies = append(f.keeperProxies, f.startProxy(proc.settings.Address(0), proc.listenAddress))
}

// ip returns a loopback address that only this fleet uses: it is derived from the fleet's port, which is
// reserved.
func (f *testFleet) ip(host int) string {
	return fmt.Sprintf("127.%d.%d.%d", 1+f.port>>8, f.port&0xff, host)
}

func (f *testFleet) startProxy(address, target string) *standin.Proxy {
	proxy, err := standin.StartProxy(address, target)
	require.NoError(f.t, err)
	return proxy
}

func (f *testFleet) newProcess(program, name string, host int) *process {
	return &process{program: program, folder: f.folder, violations: f.violations, settings: standin.ProcessSettings{
		Name: name, IP: f.ip(host), Zone: fmt.Sprintf("z%d", 1+host%2), Port: f.port, Seeds: f.seedAddresses(0, 1, 2), FirstStart: true,
		DataDir: filepath.Join(f.folder, name), ListAddress: f.platform.Address(),
	}}
}

// seedAddresses returns the operator addresses of keepers.
func (f *testFleet) seedAddresses(keepers ...int) []string {
	var addresses []string
	for _, i := range keepers {
		addresses = append(addresses, standin.ProcessSettings{IP: f.ip(firstKeeperHost + i), Port: f.port}.Address(standin.OperatorPort))
	}
	return addresses
}

func (f *testFleet) operator() *standin.Operator {
	operator := &standin.Operator{}
	for i := range f.keepers {
		operator.Keepers = append(operator.Keepers, f.seedAddresses(i)...)
	}
	return operator
}

func (f *testFleet) addTarget() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	target, err := f.platform.Add(fmt.Sprintf("t-%d", f.addedTargets), "plain", zoneName(f.addedTargets%max(f.size.Zones, 1)), f.ip(firstKeeperHost)+":0", targetSlots)
	if err != nil {
		return err
	}
	proxy, err := standin.StartProxy(f.ip(firstKeeperHost)+":0", target.Address)
	if err != nil {
		return err
	}
	target.SetListedAddress(proxy.Address())
	target.SetVersion(versionOf(f.addedTargets))
	f.addedTargets++
	f.liveTargets, f.targetProxies = append(f.liveTargets, target), append(f.targetProxies, proxy)
	return nil
}

// targetProxy returns the proxy in front of a target, counted from the one added last.
func (f *testFleet) targetProxy(i int) *standin.Proxy {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.targetProxies[len(f.targetProxies)-1-i]
}

const (
	// serviceTime is how long a target runs a request, so that faults hit requests in progress.
	serviceTime = 120 * time.Millisecond
	// streamPath is the path of streams.
	streamPath = "/flow/stream"
	// streamEventInterval is the pause after each event of a stream.
	streamEventInterval = 60 * time.Millisecond
)

// delayResponse answers a request to a target with a delay, turns it away, or crashes the target if the
// request asks for that. It reports false for other paths, which the target answers at once: among them are the
// routes that show the version of the configuration.
func (d *driver) delayResponse(target *standin.PlatformTarget, w http.ResponseWriter, r *http.Request) bool {
	if d.backpressure.turnAway(target, w, r) {
		return true
	}
	switch r.URL.Path {
	case streamPath:
		if d.breakOff(target, w, r) {
			return true
		}
		target.RecordRun(r)
		target.WriteHeaders(w, r)
		for i := 1; i <= standin.StreamEvents; i++ {
			target.WriteEvents(w, i, i)
			time.Sleep(streamEventInterval)
		}
		return true
	case lettersPath:
		d.serveLetters(target, w, r)
		return true
	case "/once/x", "/keyed/x", draftsPath:
		run := target.RecordRun(r)
		if d.crashIfRequested(target, run) {
			return true
		}
		time.Sleep(serviceTime)
		target.WriteHeaders(w, r)
		_, _ = io.WriteString(w, "ran "+run.RequestID+" "+run.Body) // the router may have closed the connection
		return true
	}
	return false
}

// processes returns all keepers and routers.
func (f *testFleet) processes() []*process {
	return append(append([]*process(nil), f.keepers...), f.routers...)
}

// close ends all processes, the platform and the proxies, and keeps the logs of a failed test.
func (f *testFleet) close() {
	for _, proc := range f.processes() {
		proc.signal(syscall.SIGCONT, true) // a paused process cannot exit
		proc.kill()
	}
	f.platform.Close()
	for _, proxies := range [][]*standin.Proxy{f.keeperProxies, f.routerProxies, f.targetProxies} {
		for _, proxy := range proxies {
			proxy.Close()
		}
	}
	if f.t.Failed() {
		f.keepLogs()
	}
}

// keepLogs copies the logs of all processes to a folder that outlasts the test.
func (f *testFleet) keepLogs() {
	folder, err := "", error(nil)
	if *logFolder == "" {
		folder, err = standin.SaveLogs(f.t.Name(), f.folder)
	} else {
		folder, err = standin.SaveLogsIn(*logFolder, f.t.Name(), f.folder)
	}
	f.t.Logf("logs are kept in %q, error: %v", folder, err)
}
