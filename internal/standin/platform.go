package standin

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// A Platform stands in for the users' platform. It serves the list of targets and runs targets
// with incarnations and signatures. It uses the platform's own names for paths, headers and
// fields, so that the platform adapter is tested against them. Set Fault to inject faults.
type Platform struct {
	// Fault, if set, may respond to a request in place of the target. It returns whether it did.
	Fault func(target *PlatformTarget, w http.ResponseWriter, r *http.Request) bool

	// Slowdown, if set, returns how long work takes at a target in percent of the usual, which its
	// responses then state. Set it before the first request.
	Slowdown func(target *PlatformTarget) int

	mu              sync.Mutex
	targets         []*PlatformTarget
	allIncarnations []*PlatformTarget
	damage          listDamage
	listReads       atomic.Int64
	server          *http.Server
	address         string
}

// A PlatformTarget is one incarnation of a target of a Platform.
type PlatformTarget struct {
	ID string
	// StartMillis is the start time in Unix milliseconds.
	StartMillis int64
	Pool        string
	Zone        string
	Address     string
	Slots       int

	platform        *Platform
	server          *http.Server
	listener        net.Listener
	ownAddress      string // the address on which the target listens
	version         string // of its software
	listEntry       string // replaces the entry in the list unless ""
	draining        atomic.Bool
	mu              sync.Mutex
	runs            []TargetRun
	connectionCount atomic.Int64
}

// A TargetRun is a request that a target executed.
type TargetRun struct {
	At        time.Time
	RequestID string
	Header    http.Header
	Path      string
	Body      string
}

// StartPlatform starts a platform that serves its list of targets on an address.
func StartPlatform(address string) (*Platform, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, fmt.Errorf("listen for requests of the target list: %w", err)
	}
	platform := &Platform{address: listener.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", platform.serveList)
	platform.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = platform.server.Serve(listener) }() // ends with Close
	return platform, nil
}

// Address returns the address of the list of targets.
func (p *Platform) Address() string {
	return p.address
}

// ListReads returns how many pages of the list were read.
func (p *Platform) ListReads() int {
	return int(p.listReads.Load())
}

// Add starts a target on an address and adds it to the list.
func (p *Platform) Add(id, pool, zone, address string, slots int) (*PlatformTarget, error) {
	target := &PlatformTarget{ID: id, Pool: pool, Zone: zone, Slots: slots, StartMillis: time.Now().UnixMilli(), platform: p}
	if err := target.start(address); err != nil {
		return nil, err
	}
	target.Address = target.ownAddress
	p.mu.Lock()
	defer p.mu.Unlock()
	p.targets, p.allIncarnations = append(p.targets, target), append(p.allIncarnations, target)
	return target, nil
}

const (
	// maxListenWait bounds how long a target waits until its address is free. A child process
	// takes some milliseconds from fork to exec.
	maxListenWait      = time.Second
	listenPollInterval = time.Millisecond
)

// listenWhenFree listens on an address, and retries while it is in use: between fork and exec, a
// child process holds copies of sockets that this process has closed.
func listenWhenFree(address string) (net.Listener, error) {
	for deadline := time.Now().Add(maxListenWait); ; time.Sleep(listenPollInterval) {
		listener, err := net.Listen("tcp4", address)
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(deadline) {
			return listener, err
		}
	}
}

// start listens on an address and serves requests.
func (t *PlatformTarget) start(address string) error {
	listener, err := listenWhenFree(address)
	if err != nil {
		return fmt.Errorf("start a target: %w", err)
	}
	t.listener, t.ownAddress = listener, listener.Addr().String()
	t.server = &http.Server{Handler: t, ReadHeaderTimeout: time.Second, ConnState: func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			t.connectionCount.Add(1)
		}
	}}
	go func() { _ = t.server.Serve(listener) }() // ends with Close or Remove
	return nil
}

// Restart stops a target as in a crash, unless it has stopped, and starts a new incarnation with
// the same ID and address. The new incarnation replaces the previous one in the list.
func (p *Platform) Restart(target *PlatformTarget) (*PlatformTarget, error) {
	p.Remove(target)
	startMillis := max(time.Now().UnixMilli(), target.StartMillis+1)
	restarted := &PlatformTarget{ID: target.ID, Pool: target.Pool, Zone: target.Zone, Address: target.Address, Slots: target.Slots, StartMillis: startMillis, platform: p, version: target.Version()}
	if err := restarted.startWithRetries(target.ownAddress); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.targets, p.allIncarnations = append(p.targets, restarted), append(p.allIncarnations, restarted)
	return restarted, nil
}

// startWithRetries retries while the port is taken. An outgoing connection may use it for a short
// time while no listener is open.
func (t *PlatformTarget) startWithRetries(address string) error {
	const maxTries, pause = 50, 20 * time.Millisecond
	var err error
	for range maxTries {
		if err = t.start(address); err == nil {
			return nil
		}
		time.Sleep(pause)
	}
	return err
}

// AllIncarnations returns all targets since the start, also those that were removed.
func (p *Platform) AllIncarnations() []*PlatformTarget {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]*PlatformTarget(nil), p.allIncarnations...)
}

// IsListed reports whether a target is in the list.
func (p *Platform) IsListed(target *PlatformTarget) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Contains(p.targets, target)
}

// Remove stops a target and removes it from the list.
func (p *Platform) Remove(target *PlatformTarget) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, other := range p.targets {
		if other == target {
			p.targets = append(p.targets[:i:i], p.targets[i+1:]...)
			break
		}
	}
	_ = target.listener.Close() // the server may not have registered it yet
	_ = target.server.Close()   // interrupts running requests, as in a crash
}

// Close stops all targets and the list.
func (p *Platform) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, target := range p.targets {
		_ = target.server.Close() // requests in progress do not matter any more
	}
	_ = p.server.Close() // requests in progress do not matter any more
}

// listPageSize is the number of targets on a page of the list.
const listPageSize = 2

func (p *Platform) serveList(w http.ResponseWriter, r *http.Request) {
	p.listReads.Add(1)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.damage.wholeBody != "" {
		_, _ = io.WriteString(w, p.damage.wholeBody) // a disconnected client reads the list again
		return
	}
	entries := p.entryTexts()
	from, _ := strconv.Atoi(r.URL.Query().Get("page_token")) // without a token, the first page
	to := min(from+listPageSize, len(entries))
	next := "null"
	if to < len(entries) {
		next = strconv.Quote(strconv.Itoa(to))
	}
	list := strings.Join(entries[min(from, to):to], ",")
	_, _ = io.WriteString(w, `{"instances":[`+list+`],"next":`+next+`}`) // a disconnected client reads the list again
}

// SetListedAddress changes the address of the target in the list, for example to that of a proxy.
func (t *PlatformTarget) SetListedAddress(address string) {
	t.platform.mu.Lock()
	defer t.platform.mu.Unlock()
	t.Address = address
}

// Drain marks the target as draining in the list.
func (t *PlatformTarget) Drain() {
	t.draining.Store(true)
}

// Runs returns a copy of the requests that the target has executed.
func (t *PlatformTarget) Runs() []TargetRun {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]TargetRun(nil), t.runs...)
}

// ConnectionCount returns how many connections the target has accepted.
func (t *PlatformTarget) ConnectionCount() int {
	return int(t.connectionCount.Load())
}

// Signature returns the target's signature of the response to a request.
func (t *PlatformTarget) Signature(requestID string) string {
	return t.ID + "." + requestID
}

// StreamEvents is the number of events of a complete stream.
const StreamEvents = 5

// RecordRun records that the target executed a request. A Fault that executes a request has to
// call it.
func (t *PlatformTarget) RecordRun(r *http.Request) TargetRun {
	body, _ := io.ReadAll(r.Body) // the client may have disconnected
	run := TargetRun{At: time.Now(), RequestID: r.Header.Get("X-Attempt-Id"), Header: r.Header.Clone(), Path: r.RequestURI, Body: string(body)}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs = append(t.runs, run)
	return run
}

// WriteHeaders sets the headers that every response of a target has.
func (t *PlatformTarget) WriteHeaders(w http.ResponseWriter, r *http.Request) {
	requestID := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", requestID)
	w.Header().Set("X-Server-Signature", t.Signature(requestID))
	load := "1,0," + strconv.Itoa(t.Slots)
	if slowdown := t.platform.Slowdown; slowdown != nil {
		load += "," + strconv.Itoa(slowdown(t))
	}
	w.Header().Set("X-Server-Load", load)
}

// ServeHTTP executes a request. If its path ends in "/stream", the response is a stream of
// events, and otherwise repeats the request's body.
func (t *PlatformTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expectedID := r.Header.Get("X-Expect-Instance"); expectedID != "" && expectedID != t.ID {
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if fault := t.platform.Fault; fault != nil && fault(t, w, r) {
		return
	}
	run := t.RecordRun(r)
	t.WriteHeaders(w, r)
	const streamSuffix = "/stream"
	if len(run.Path) < len(streamSuffix) || run.Path[len(run.Path)-len(streamSuffix):] != streamSuffix {
		_, _ = io.WriteString(w, "ran "+run.RequestID+" "+run.Body) // the client may have disconnected
		return
	}
	lastEventID, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // without the header, the stream begins at event 1
	t.WriteEvents(w, lastEventID+1, StreamEvents)
}

// WriteEvents writes the events of a stream numbered from one number to another, both included.
func (t *PlatformTarget) WriteEvents(w http.ResponseWriter, from, to int) {
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	for i := from; i <= to; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i) // the client may have disconnected
		_ = controller.Flush()
	}
}
