package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"laburnumfall/internal/clock"
	"laburnumfall/internal/fleet"
	"laburnumfall/internal/gateway"
	"laburnumfall/internal/settings"
	"laburnumfall/internal/standin"
	"laburnumfall/internal/uplink"
	"laburnumfall/platform"
)

const testConfig = `{"version":7,"routes":[
{"name":"whole","hostname":"h.example","path_prefix":"/whole/","route_type":"idempotent","timeout_ms":2000,"target_latency_ms":500,"service":"plain","max_attempts":2,"anonymous":true},
{"name":"once","hostname":"h.example","path_prefix":"/once/","route_type":"non_idempotent","timeout_ms":2000,"target_latency_ms":500,"service":"plain","max_attempts":1,"anonymous":true},
{"name":"brief","hostname":"h.example","path_prefix":"/brief/","route_type":"non_idempotent","timeout_ms":150,"target_latency_ms":50,"service":"plain","max_attempts":1,"anonymous":true},
{"name":"twice","hostname":"h.example","path_prefix":"/twice/","route_type":"non_idempotent","timeout_ms":2000,"target_latency_ms":500,"service":"plain","max_attempts":2,"anonymous":true},
{"name":"stream","hostname":"h.example","path_prefix":"/stream/","route_type":"streaming","timeout_ms":5000,"target_latency_ms":500,"service":"plain","max_attempts":1,"sticky":true,"itl_target_ms":300},
{"name":"resume","hostname":"h.example","path_prefix":"/resume/","route_type":"streaming","timeout_ms":5000,"target_latency_ms":500,"service":"plain","max_attempts":2,"sticky":true,"resumable":true}],
"services":[{"name":"plain","health_path":"/healthz","max_conns":50}],
"limits":{"max_header_bytes":16384,"max_body_bytes":100000,"header_timeout_ms":3000,"idle_timeout_ms":15000,"tokens_per_s":100000},
"tenants":[{"name":"acme","api_keys":["good-key"],"priority":1}]}`

// bed is a gateway before two targets of a stand-in platform.
type bed struct {
	t       testing.TB
	site    *standin.Site
	targets []*standin.SiteTarget
	gateway *gateway.Gateway
	address string
	ready   string
	state   atomic.Pointer[uplink.State]
	stop    context.CancelFunc
	stopped chan error
	client  *http.Client
	ids     int
}

func newBed(t testing.TB) *bed {
	site, err := standin.StartSite("127.0.0.1:0")
	require.NoError(t, err)
	b := &bed{t: t, site: site, address: freeAddress(t), ready: freeAddress(t), stopped: make(chan error, 1)}
	for i := range 2 {
		target, err := site.Add(fmt.Sprintf("i-%d", i), "plain", "z1", "127.0.0.1:0", 4)
		require.NoError(t, err)
		b.targets = append(b.targets, target)
	}
	table, err := platform.Decode([]byte(testConfig))
	require.NoError(t, err)
	real := clock.NewRealClock()
	b.state.Store(&uplink.State{Table: table, KeysUntil: real.Now().Add(time.Hour), Routers: 1})
	b.gateway = &gateway.Gateway{
		Settings: settings.Routes{
			Ready: b.ready, Grace: 5 * time.Second, Memory: 1 << 28,
			RetryRatio: 0.2, RetrySlack: 50, RetryWindow: 10 * time.Second,
		},
		Zone: "z1", Listen: b.address, Clock: real, Log: hclog.NewNullLogger(), Dialect: platform.Headers{},
		State: func() uplink.State { return *b.state.Load() }, Meters: gateway.NewMeters(),
	}
	b.apply()
	ctx, cancel := context.WithCancel(context.Background())
	b.stop = cancel
	go func() { b.stopped <- b.gateway.Run(ctx) }()
	b.client = &http.Client{Transport: &http.Transport{DisableCompression: true}}
	t.Cleanup(func() {
		b.client.CloseIdleConnections()
		cancel()
		site.Close()
	})
	require.Eventually(t, func() bool { return b.isReady() == http.StatusOK }, 5*time.Second, 5*time.Millisecond)
	return b
}

func freeAddress(t testing.TB) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }() // only its port is wanted
	return l.Addr().String()
}

func (b *bed) apply() {
	var list []fleet.Instance
	for _, t := range b.targets {
		list = append(list, fleet.Instance{ID: t.ID, Pool: t.Pool, Address: t.Address, Zone: fleet.Zone(t.Zone), Slots: t.Slots})
	}
	b.gateway.SetTargets(*b.state.Load(), list)
}

func (b *bed) isReady() int {
	resp, err := http.Get("http://" + b.ready)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close() // only the status counts
	return resp.StatusCode
}

// request makes a request with an ID of its own.
func (b *bed) request(ctx context.Context, method, path, body string, header ...string) *http.Request {
	var reader io.Reader
	if body != "" {
		reader = strings.NewReader(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+b.address+path, reader)
	require.NoError(b.t, err)
	req.Host = "h.example"
	b.ids++
	req.Header.Set("X-Attempt-Id", fmt.Sprintf("id-%d", b.ids))
	req.Header.Set("X-Deadline-Ms", "4000")
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	return req
}

func (b *bed) do(method, path, body string, header ...string) (*http.Response, string, error) {
	resp, err := b.client.Do(b.request(context.Background(), method, path, body, header...))
	require.NoError(b.t, err)
	defer func() { _ = resp.Body.Close() }() // it was read
	text, err := io.ReadAll(resp.Body)
	return resp, string(text), err
}

func (b *bed) runs() (all []standin.SiteRun) {
	for _, t := range b.targets {
		all = append(all, t.Runs()...)
	}
	return all
}

func TestAnswerIsPassedOnUnchanged(t *testing.T) {
	b := newBed(t)
	resp, text, err := b.do(http.MethodPost, "/once/a/b?c=%20d", "hello", "X-Tenant", "forged", "X-Pin-Ms", "9", "X-Other", "kept", "Te", "trailers")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Equal(t, "ran id-1 hello", text)
	require.Empty(t, resp.Header.Get("Keep-Alive"))
	runs := b.runs()
	require.Len(t, runs, 1)
	require.Equal(t, "/once/a/b?c=%20d", runs[0].Path)
	h := runs[0].Header
	require.Empty(t, h.Get("X-Tenant"), "a caller cannot name its account")
	require.Empty(t, h.Get("X-Pin-Ms"))
	require.Empty(t, h.Get("Te"))
	require.Equal(t, "kept", h.Get("X-Other"))
	require.Contains(t, resp.Header.Get("X-Server-Signature"), h.Get("X-Expect-Instance"))
}

func TestKeys(t *testing.T) {
	b := newBed(t)
	resp, _, _ := b.do(http.MethodPost, "/stream/stream", "x", "Authorization", "Bearer bad-key")
	require.Equal(t, http.StatusUnauthorized, resp.StatusCode)
	resp, text, err := b.do(http.MethodPost, "/stream/stream", "x", "Authorization", "Bearer good-key")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Equal(t, standin.SiteEvents, strings.Count(text, "data: piece"))
	run := b.runs()[0]
	require.Equal(t, "acme", run.Header.Get("X-Tenant"))
	require.Empty(t, run.Header.Get("Authorization"))
	require.NotEmpty(t, run.Header.Get("X-Deadline-Ms"))
}

// Symptom: a withdrawn key goes on working at a router that is cut off.
// Sequence: the router's lease on keys lapses.
// Cause: the router judges keys by a configuration that may have been replaced.
func TestWithoutALeaseNoKeyCountsAndKeylessRoutesGoOn(t *testing.T) {
	b := newBed(t)
	s := *b.state.Load()
	s.KeysUntil = time.Time{}
	b.state.Store(&s)
	resp, _, _ := b.do(http.MethodPost, "/stream/stream", "x", "Authorization", "Bearer good-key")
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	resp, _, _ = b.do(http.MethodGet, "/whole/x", "")
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Equal(t, http.StatusServiceUnavailable, b.isReady(), "callers are better off elsewhere")
	require.Len(t, b.runs(), 1)
}

func TestRefusals(t *testing.T) {
	b := newBed(t)
	resp, _, _ := b.do(http.MethodGet, "/nowhere/", "")
	require.Equal(t, http.StatusNotFound, resp.StatusCode)
	resp, _, _ = b.do(http.MethodPost, "/once/x", strings.Repeat("x", 100001))
	require.Equal(t, http.StatusRequestEntityTooLarge, resp.StatusCode)
	s := *b.state.Load()
	b.state.Store(&uplink.State{})
	resp, _, _ = b.do(http.MethodGet, "/nowhere/", "")
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode, "what is not known is not denied")
	b.state.Store(&s)
	require.Empty(t, b.runs())
}

// TestFaultsOfTargets plays what a target may do wrong, and checks what the
// caller gets and how often the request ran.
func TestFaultsOfTargets(t *testing.T) {
	cut := func(w http.ResponseWriter) {
		if h, ok := w.(http.Hijacker); ok {
			c, _, err := h.Hijack()
			if err == nil {
				_ = c.Close() // that is the fault
			}
		}
	}
	lost := func(s *standin.SiteTarget, w http.ResponseWriter, r *http.Request) { s.Ran(r); cut(w) }
	full := func(_ *standin.SiteTarget, w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	failed := func(s *standin.SiteTarget, w http.ResponseWriter, r *http.Request) {
		s.Ran(r)
		s.Head(w, r)
		w.WriteHeader(http.StatusInternalServerError)
	}
	foreign := func(s *standin.SiteTarget, w http.ResponseWriter, r *http.Request) {
		s.Ran(r)
		s.Head(w, r)
		w.Header().Set("X-Attempt-Id", "of-another")
		_, _ = io.WriteString(w, "not yours") // the caller must not get it
	}
	unsigned := func(s *standin.SiteTarget, w http.ResponseWriter, r *http.Request) {
		s.Ran(r)
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		_, _ = io.WriteString(w, "unsigned") // the caller must not get it
	}
	short := func(s *standin.SiteTarget, w http.ResponseWriter, r *http.Request) {
		s.Ran(r)
		s.Head(w, r)
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "short") // the rest never comes
	}
	tests := []struct {
		name   string
		path   string
		fault  func(*standin.SiteTarget, http.ResponseWriter, *http.Request)
		times  int // sendings that meet the fault
		status int
		runs   int
	}{
		{name: "answer lost, idempotent", path: "/whole/x", fault: lost, times: 1, status: 200, runs: 2},
		{name: "answer lost, once", path: "/once/x", fault: lost, times: 1, status: 502, runs: 1},
		{name: "answer lost, once with two attempts", path: "/twice/x", fault: lost, times: 1, status: 502, runs: 1},
		{name: "answers lost, idempotent", path: "/whole/x", fault: lost, times: 2, status: 502, runs: 2},
		{name: "full, once with two attempts", path: "/twice/x", fault: full, times: 1, status: 200, runs: 1},
		{name: "full, once", path: "/once/x", fault: full, times: 1, status: 503, runs: 0},
		{name: "full everywhere", path: "/whole/x", fault: full, times: 9, status: 503, runs: 0},
		{name: "failed, idempotent", path: "/whole/x", fault: failed, times: 1, status: 200, runs: 2},
		{name: "failed, once", path: "/once/x", fault: failed, times: 1, status: 500, runs: 1},
		{name: "foreign answer, idempotent", path: "/whole/x", fault: foreign, times: 1, status: 200, runs: 2},
		{name: "foreign answer, once", path: "/once/x", fault: foreign, times: 1, status: 502, runs: 1},
		{name: "unsigned answer, once", path: "/once/x", fault: unsigned, times: 1, status: 502, runs: 1},
		{name: "short answer, idempotent", path: "/whole/x", fault: short, times: 1, status: 200, runs: 2},
		{name: "short answer, once", path: "/once/x", fault: short, times: 1, status: 502, runs: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBed(t)
			var met atomic.Int64
			b.site.Fault = func(s *standin.SiteTarget, w http.ResponseWriter, r *http.Request) bool {
				if met.Add(1) > int64(tt.times) {
					return false
				}
				tt.fault(s, w, r)
				return true
			}
			resp, text, err := b.do(http.MethodPost, tt.path, "x")
			require.NoError(t, err)
			require.Equal(t, tt.status, resp.StatusCode, text)
			require.Len(t, b.runs(), tt.runs)
			if tt.status == http.StatusOK {
				require.Equal(t, "ran id-1 x", text)
			}
			if tt.status == http.StatusServiceUnavailable {
				require.Zero(t, tt.runs, "the status promises that it has not run")
				require.NotEmpty(t, resp.Header.Get("Retry-After"))
			}
		})
	}
}

// Symptom: a stream lacks an event, has one twice, or looks whole though it is
// not.
// Sequence: the target breaks off, also in the middle of an event.
// Cause: bytes are passed on as they come.
func TestBrokenStreamGoesOnOrLooksBroken(t *testing.T) {
	b := newBed(t)
	var met atomic.Int64
	b.site.Fault = func(s *standin.SiteTarget, w http.ResponseWriter, r *http.Request) bool {
		if met.Add(1)%2 == 0 {
			return false
		}
		s.Ran(r)
		s.Head(w, r)
		s.Stream(w, 1, 3)
		_, _ = io.WriteString(w, "id: 4\ndata: pie") // broken off here
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	resp, text, err := b.do(http.MethodPost, "/resume/stream", "x", "Authorization", "Bearer good-key")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	want := ""
	for i := 1; i <= standin.SiteEvents; i++ {
		want += fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i)
	}
	require.Equal(t, want, text)
	runs := b.runs()
	require.Len(t, runs, 2)
	signature := resp.Header.Get("X-Server-Signature")
	require.Len(t, b.runs(), 2)
	_, text, err = b.do(http.MethodPost, "/stream/stream", "x", "Authorization", "Bearer good-key")
	require.Error(t, err, "it must not look whole")
	require.NotContains(t, text, "id: 4")
	require.NotEmpty(t, signature)
}

// Symptom: targets work for callers that are gone.
// Sequence: a caller leaves before, or within, the answer.
func TestCallerThatLeavesEndsItsRunAtTheTarget(t *testing.T) {
	b := newBed(t)
	ended := make(chan struct{}, 2)
	b.site.Fault = func(s *standin.SiteTarget, w http.ResponseWriter, r *http.Request) bool {
		s.Ran(r)
		if strings.HasPrefix(r.RequestURI, "/stream/") {
			s.Head(w, r)
			s.Stream(w, 1, 1)
		}
		<-r.Context().Done()
		ended <- struct{}{}
		return true
	}
	for _, path := range []string{"/once/x", "/stream/stream"} {
		ctx, cancel := context.WithCancel(context.Background())
		req := b.request(ctx, http.MethodPost, path, "x", "Authorization", "Bearer good-key")
		go func() {
			require.Eventually(t, func() bool { return len(b.runs()) > 0 }, 5*time.Second, time.Millisecond)
			time.Sleep(20 * time.Millisecond)
			cancel()
		}()
		resp, err := b.client.Do(req)
		if err == nil {
			_, _ = io.ReadAll(resp.Body) // ends with the context
			_ = resp.Body.Close()        // likewise
		}
		select {
		case <-ended:
		case <-time.After(5 * time.Second):
			require.Fail(t, "the run went on", path)
		}
	}
}

// Symptom: a caller waits far beyond its route's time.
func TestTimeoutOfARouteIsKept(t *testing.T) {
	b := newBed(t)
	b.site.Fault = func(s *standin.SiteTarget, _ http.ResponseWriter, r *http.Request) bool {
		s.Ran(r)
		<-r.Context().Done()
		return true
	}
	resp, _, err := b.do(http.MethodPost, "/brief/x", "x")
	require.NoError(t, err)
	require.Equal(t, http.StatusGatewayTimeout, resp.StatusCode, "it may have run")
}

func TestConnectionsAreKeptAtCleanBoundariesOnly(t *testing.T) {
	b := newBed(t)
	b.targets = b.targets[:1]
	b.apply()
	for range 10 {
		resp, _, err := b.do(http.MethodPost, "/once/x", strings.Repeat("y", 20000))
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, resp.StatusCode)
	}
	require.Equal(t, 1, b.targets[0].Conns())
	b.site.Fault = func(s *standin.SiteTarget, w http.ResponseWriter, r *http.Request) bool {
		s.Ran(r)
		s.Head(w, r)
		w.Header().Set("Connection", "close")
		_, _ = io.WriteString(w, "bye") // the last answer of this connection
		return true
	}
	for range 3 {
		_, _, err := b.do(http.MethodPost, "/once/x", "z")
		require.NoError(t, err)
	}
	require.Equal(t, 3, b.targets[0].Conns())
}

// Symptom: a caller gets the answer to another caller's request.
// Sequence: a target sends a second answer after a whole one; the connection is
// used again.
// Cause: the second answer is taken for that of the next request.
func TestAnExtraAnswerReachesNobody(t *testing.T) {
	b := newBed(t)
	b.targets = b.targets[:1]
	b.apply()
	b.site.Fault = func(s *standin.SiteTarget, w http.ResponseWriter, r *http.Request) bool {
		run := s.Ran(r)
		h, ok := w.(http.Hijacker)
		if !ok {
			return false
		}
		c, rw, err := h.Hijack()
		if err != nil {
			return false
		}
		go func() {
			defer func() { _ = c.Close() }() // the test is over
			for id := run.ID; ; {
				for range 2 { // each answer comes twice, the second late
					_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Signature: s\r\nContent-Length: %d\r\n\r\n%s", id, len(id), id)
					if err != nil {
						return
					}
					time.Sleep(10 * time.Millisecond)
				}
				next, err := http.ReadRequest(rw.Reader)
				if err != nil {
					return
				}
				id = s.Ran(next).ID
			}
		}()
		return true
	}
	for i := range 20 {
		if i%2 == 1 {
			time.Sleep(15 * time.Millisecond)
		}
		resp, text, err := b.do(http.MethodPost, "/once/x", "x")
		require.NoError(t, err)
		if resp.StatusCode == http.StatusOK {
			require.Equal(t, fmt.Sprintf("id-%d", i+1), text)
		}
	}
}

// Symptom: a graceful stop cuts requests.
// Sequence: the router is told to stop while a stream runs and callers hold open
// connections.
func TestStopCutsNothing(t *testing.T) {
	b := newBed(t)
	release := make(chan struct{})
	b.site.Fault = func(s *standin.SiteTarget, w http.ResponseWriter, r *http.Request) bool {
		if !strings.HasPrefix(r.RequestURI, "/stream/") {
			return false
		}
		s.Ran(r)
		s.Head(w, r)
		s.Stream(w, 1, 2)
		<-release
		s.Stream(w, 3, standin.SiteEvents)
		return true
	}
	resp, err := b.client.Do(b.request(context.Background(), http.MethodPost, "/stream/stream", "x", "Authorization", "Bearer good-key"))
	require.NoError(t, err)
	reader := bufio.NewReader(resp.Body)
	_, err = reader.ReadString('\n')
	require.NoError(t, err)
	b.stop()
	require.Eventually(t, func() bool { return b.isReady() == http.StatusServiceUnavailable }, time.Second, time.Millisecond)
	other, _, err := b.do(http.MethodGet, "/whole/x", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, other.StatusCode, "callers still come until the balancer has noticed")
	require.True(t, other.Close, "and are told to open new connections")
	close(release)
	rest, err := io.ReadAll(reader)
	require.NoError(t, err)
	require.Contains(t, string(rest), fmt.Sprintf("piece %d", standin.SiteEvents))
	select {
	case err := <-b.stopped:
		require.NoError(t, err)
	case <-time.After(10 * time.Second):
		require.Fail(t, "the gateway did not stop")
	}
}

func TestChunkedBodyIsFramedAnew(t *testing.T) {
	b := newBed(t)
	req := b.request(context.Background(), http.MethodPost, "/once/x", "")
	req.Body = io.NopCloser(io.MultiReader(strings.NewReader("one "), strings.NewReader("two")))
	req.ContentLength = -1
	resp, err := b.client.Do(req)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }() // it is read to its end
	text, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, "ran id-1 one two", string(text))
}

// Symptom: callers see a reset where they were refused.
// Sequence: a request with a body of usual size, on a connection that it does not
// want kept, is refused without its body.
// Cause: the connection closes with unread bytes.
func TestARefusedCallerSeesItsAnswer(t *testing.T) {
	b := newBed(t)
	body := strings.Repeat("x", 90000)
	for range 200 {
		c, err := net.Dial("tcp4", b.address)
		require.NoError(t, err)
		_, err = fmt.Fprintf(c, "POST /stream/stream HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: id\r\n"+
			"Authorization: Bearer bad-key\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		require.NoError(t, err)
		text, err := io.ReadAll(c)
		require.NoError(t, err)
		require.Contains(t, string(text), "HTTP/1.1 401")
		require.NoError(t, c.Close())
	}
}
