package standin

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// A Site stands in for the users' platform: the list of targets, and targets
// with incarnations and signatures. Faults are ordered by setting Fault. It
// speaks the platform's names, so that the adapter is tested against them.
type Platform struct {
	// Fault, if set, may answer a request in a target's place. It reports
	// whether it did.
	Fault func(t *PlatformTarget, w http.ResponseWriter, r *http.Request) bool

	mu      sync.Mutex
	targets []*PlatformTarget
	all     []*PlatformTarget
	damage  damage
	reads   atomic.Int64
	server  *http.Server
	address string
}

// A SiteTarget is one incarnation of a target of a Site.
type PlatformTarget struct {
	ID string
	// Born is the Unix millisecond of its start.
	StartMillis int64
	Pool        string
	Zone        string
	Address     string
	Slots       int

	site     *Platform
	server   *http.Server
	listener net.Listener
	listen   string // where it listens itself
	shown    string // in place of its entry, if any
	draining atomic.Bool
	mu       sync.Mutex
	runs     []TargetRun
	conns    atomic.Int64
}

// A SiteRun is one request that a target ran.
type TargetRun struct {
	At        time.Time
	RequestID string
	Header    http.Header
	Path      string
	Body      string
}

// StartSite serves the list on an address.
func StartPlatform(address string) (*Platform, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, fmt.Errorf("listen for the list: %w", err)
	}
	s := &Platform{address: l.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", s.serveList)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = s.server.Serve(l) }() // ends at Close
	return s, nil
}

// Address returns where the list is served.
func (s *Platform) Address() string {
	return s.address
}

// Reads returns how often a page of the list was read.
func (s *Platform) ListReads() int {
	return int(s.reads.Load())
}

// Add starts a target on an address.
func (s *Platform) Add(id, pool, zone, address string, slots int) (*PlatformTarget, error) {
	t := &PlatformTarget{ID: id, Pool: pool, Zone: zone, Slots: slots, StartMillis: time.Now().UnixMilli(), site: s}
	if err := t.start(address); err != nil {
		return nil, err
	}
	t.Address = t.listen
	s.mu.Lock()
	defer s.mu.Unlock()
	s.targets, s.all = append(s.targets, t), append(s.all, t)
	return t, nil
}

const (
	// listenTime bounds how long a target waits for its address; a process takes some
	// milliseconds to start.
	listenTime = time.Second
	listenPoll = time.Millisecond
)

// listen listens at an address that may just have been given up: a process that is being
// started holds a copy of each socket until it runs its program.
func listen(address string) (net.Listener, error) {
	for end := time.Now().Add(listenTime); ; time.Sleep(listenPoll) {
		l, err := net.Listen("tcp4", address)
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(end) {
			return l, err
		}
	}
}

func (t *PlatformTarget) start(address string) error {
	l, err := listen(address)
	if err != nil {
		return fmt.Errorf("listen for a target: %w", err)
	}
	t.listener, t.listen = l, l.Addr().String()
	t.server = &http.Server{Handler: t, ReadHeaderTimeout: time.Second, ConnState: func(_ net.Conn, st http.ConnState) {
		if st == http.StateNew {
			t.conns.Add(1)
		}
	}}
	go func() { _ = t.server.Serve(l) }() // ends at Close
	return nil
}

// Restart ends a target as in a crash, if it still runs, and starts it again under
// its ID on its address. The new incarnation takes the place of the former one on the
// list, or comes back to it.
func (s *Platform) Restart(t *PlatformTarget) (*PlatformTarget, error) {
	s.Remove(t)
	born := max(time.Now().UnixMilli(), t.StartMillis+1)
	next := &PlatformTarget{ID: t.ID, Pool: t.Pool, Zone: t.Zone, Address: t.Address, Slots: t.Slots, StartMillis: born, site: s}
	if err := next.startAgain(t.listen); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.targets, s.all = append(s.targets, next), append(s.all, next)
	return next, nil
}

// startAgain waits for the address: while nobody listens there, a connection to somewhere
// else may have taken its port for a moment.
func (t *PlatformTarget) startAgain(address string) error {
	const tries, pause = 50, 20 * time.Millisecond
	var err error
	for range tries {
		if err = t.start(address); err == nil {
			return nil
		}
		time.Sleep(pause)
	}
	return err
}

// All returns every target that there ever was.
func (s *Platform) AllIncarnations() []*PlatformTarget {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*PlatformTarget(nil), s.all...)
}

// Remove stops a target and takes it off the list.
func (s *Platform) Remove(t *PlatformTarget) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, other := range s.targets {
		if other == t {
			s.targets = append(s.targets[:i:i], s.targets[i+1:]...)
			break
		}
	}
	_ = t.listener.Close() // the server may not hold it yet
	_ = t.server.Close()   // what it runs is cut, as in a crash
}

// Close stops everything.
func (s *Platform) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.targets {
		_ = t.server.Close() // nothing is left to lose
	}
	_ = s.server.Close() // nothing is left to lose
}

// sitePage is how many targets stand on one page of the list.
const sitePage = 2

func (s *Platform) serveList(w http.ResponseWriter, r *http.Request) {
	s.reads.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.damage.body != "" {
		_, _ = io.WriteString(w, s.damage.body) // a reader that left reads again
		return
	}
	entries := s.entries()
	from, _ := strconv.Atoi(r.URL.Query().Get("page_token")) // none is the first page
	to := min(from+sitePage, len(entries))
	next := "null"
	if to < len(entries) {
		next = strconv.Quote(strconv.Itoa(to))
	}
	list := strings.Join(entries[min(from, to):to], ",")
	_, _ = io.WriteString(w, `{"instances":[`+list+`],"next":`+next+`}`) // a reader that left reads again
}

// Behind lets the list show another address of the target, as that of a proxy.
func (t *PlatformTarget) SetListedAddress(address string) {
	t.site.mu.Lock()
	defer t.site.mu.Unlock()
	t.Address = address
}

// Drain shows the target as leaving.
func (t *PlatformTarget) Drain() {
	t.draining.Store(true)
}

// Runs returns what the target ran.
func (t *PlatformTarget) Runs() []TargetRun {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]TargetRun(nil), t.runs...)
}

// Conns returns how many connections were made to the target.
func (t *PlatformTarget) ConnectionCount() int {
	return int(t.conns.Load())
}

// Signature returns what the target signs the answer to a request by.
func (t *PlatformTarget) Signature(id string) string {
	return t.ID + "." + id
}

// SiteEvents is how many events a stream of a SiteTarget has.
const StreamEvents = 5

// Ran notes a request as run. A Fault that runs a request calls it.
func (t *PlatformTarget) RecordRun(r *http.Request) TargetRun {
	body, _ := io.ReadAll(r.Body) // a caller that left sends no more
	run := TargetRun{At: time.Now(), RequestID: r.Header.Get("X-Attempt-Id"), Header: r.Header.Clone(), Path: r.RequestURI, Body: string(body)}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs = append(t.runs, run)
	return run
}

// Head writes the headers that every answer to a request bears.
func (t *PlatformTarget) WriteHeaders(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set("X-Server-Signature", t.Signature(id))
	w.Header().Set("X-Server-Load", "1,0,"+strconv.Itoa(t.Slots))
}

// ServeHTTP runs a request: one that ends in "/stream" is answered by events,
// any other by its own body.
func (t *PlatformTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != t.ID {
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if fault := t.site.Fault; fault != nil && fault(t, w, r) {
		return
	}
	run := t.RecordRun(r)
	t.WriteHeaders(w, r)
	const suffix = "/stream"
	if len(run.Path) < len(suffix) || run.Path[len(run.Path)-len(suffix):] != suffix {
		_, _ = io.WriteString(w, "ran "+run.RequestID+" "+run.Body) // a caller that left takes none
		return
	}
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // none is the start
	t.WriteEvents(w, first+1, StreamEvents)
}

// Stream writes the events of a stream from one to another.
func (t *PlatformTarget) WriteEvents(w http.ResponseWriter, from, to int) {
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	for i := from; i <= to; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i) // a caller that left takes none
		_ = rc.Flush()
	}
}
