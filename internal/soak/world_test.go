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

// targetSlots is how many requests a target takes at a time.
const targetSlots = 8

// Hosts within a world's loopback network.
const (
	firstKeeper = 1   // as the fleet knows it
	firstHidden = 51  // behind its proxy
	firstRouter = 101 // routers follow to 254
)

// A world is a fleet of real processes, each on a loopback address of its own, before a
// stand-in of the platform, with proxies before keepers, routers and targets.
type world struct {
	t       *testing.T
	size    size
	folder  string
	port    int
	site    *standin.Platform
	keepers []*process
	routers []*process
	peers   []*standin.Proxy // before keepers
	doors   []*standin.Proxy // before routers
	notes   *notes

	mu    sync.Mutex
	links []*standin.Proxy // before targets, the oldest first
	live  []*standin.PlatformTarget
	added int
}

func newWorld(t *testing.T, of size) *world {
	w := &world{t: t, size: of, folder: t.TempDir(), notes: &notes{}}
	var err error
	w.port, err = standin.ReservePorts(standin.PortsPerProcess)
	require.NoError(t, err)
	w.site, err = standin.StartPlatform(w.ip(firstKeeper) + ":0")
	require.NoError(t, err)
	t.Cleanup(w.close)
	for i := range of.Keepers {
		w.addKeeper(i)
	}
	for i := range of.Routers {
		p := w.process("lf-router", fmt.Sprintf("r%d", i), firstRouter+i)
		w.routers = append(w.routers, p)
		w.doors = append(w.doors, w.proxy(w.ip(firstKeeper)+":0", p.settings.Address(standin.CallerPort)))
	}
	for range of.Targets {
		require.NoError(t, w.addTarget())
	}
	return w
}

func (w *world) addKeeper(i int) {
	p := w.process("lf-keeper", fmt.Sprintf("k%d", i), firstKeeper+i)
	p.listen = fmt.Sprintf("%s:%d", w.ip(firstHidden+i), w.port)
	w.keepers = append(w.keepers, p)
	w.peers = append(w.peers, w.proxy(p.settings.Address(0), p.listen))
}

// ip is a loopback address of this world alone: the port is claimed for it.
func (w *world) ip(host int) string {
	return fmt.Sprintf("127.%d.%d.%d", 1+w.port>>8, w.port&0xff, host)
}

func (w *world) proxy(address, target string) *standin.Proxy {
	p, err := standin.StartProxy(address, target)
	require.NoError(w.t, err)
	return p
}

func (w *world) process(program, name string, host int) *process {
	return &process{program: program, folder: w.folder, notes: w.notes, settings: standin.ProcessSettings{
		Name: name, IP: w.ip(host), Zone: fmt.Sprintf("z%d", 1+host%2), Port: w.port, Seeds: w.seeds(0, 1, 2), FirstStart: true,
		DataDir: filepath.Join(w.folder, name), ListAddress: w.site.Address(),
	}}
}

// seeds returns the operators' addresses of some keepers.
func (w *world) seeds(keepers ...int) []string {
	var list []string
	for _, i := range keepers {
		list = append(list, standin.ProcessSettings{IP: w.ip(firstKeeper + i), Port: w.port}.Address(standin.OperatorPort))
	}
	return list
}

func (w *world) operator() *standin.Operator {
	o := &standin.Operator{}
	for i := range w.keepers {
		o.Keepers = append(o.Keepers, w.seeds(i)...)
	}
	return o
}

func (w *world) addTarget() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	target, err := w.site.Add(fmt.Sprintf("t-%d", w.added), "plain", zoneName(w.added%max(w.size.Zones, 1)), w.ip(firstKeeper)+":0", targetSlots)
	if err != nil {
		return err
	}
	link, err := standin.StartProxy(w.ip(firstKeeper)+":0", target.Address)
	if err != nil {
		return err
	}
	target.SetListedAddress(link.Address())
	w.added++
	w.live, w.links = append(w.live, target), append(w.links, link)
	return nil
}

// link is the proxy before a target, counted from the one added last.
func (w *world) link(i int) *standin.Proxy {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.links[len(w.links)-1-i]
}

const (
	// workTime is how long a target works on a request, so that faults find some at work.
	workTime = 120 * time.Millisecond
	// flowPath is where callers ask for streams.
	flowPath = "/flow/stream"
	// eventTime is between two events of a stream.
	eventTime = 60 * time.Millisecond
)

// slowly has targets answer as they do, but not at once. Routes that show which
// configuration is in force are answered at once, and some requests end their target.
func (p *player) slowly(t *standin.PlatformTarget, w http.ResponseWriter, r *http.Request) bool {
	switch r.URL.Path {
	case flowPath:
		t.RecordRun(r)
		t.WriteHeaders(w, r)
		for i := 1; i <= standin.StreamEvents; i++ {
			t.WriteEvents(w, i, i)
			time.Sleep(eventTime)
		}
		return true
	case "/once/x", "/keyed/x":
		run := t.RecordRun(r)
		if p.crashes(t, run) {
			return true
		}
		time.Sleep(workTime)
		t.WriteHeaders(w, r)
		_, _ = io.WriteString(w, "ran "+run.RequestID+" "+run.Body) // a router that left takes none
		return true
	}
	return false
}

func (w *world) all() []*process {
	return append(append([]*process(nil), w.keepers...), w.routers...)
}

// close ends what is left, and keeps what a failure has to be traced by.
func (w *world) close() {
	for _, p := range w.all() {
		p.signal(syscall.SIGCONT, true) // one that stands still cannot end
		p.kill()
	}
	w.site.Close()
	for _, list := range [][]*standin.Proxy{w.peers, w.doors, w.links} {
		for _, p := range list {
			p.Close()
		}
	}
	if w.t.Failed() {
		w.keepLogs()
	}
}

func (w *world) keepLogs() {
	place, err := "", error(nil)
	if *keep == "" {
		place, err = standin.SaveLogs(w.t.Name(), w.folder)
	} else {
		place, err = standin.SaveLogsIn(*keep, w.t.Name(), w.folder)
	}
	w.t.Logf("logs are in %q: %v", place, err)
}
