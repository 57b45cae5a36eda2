package gateway_test

import (
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
	"laburnumfall/internal/keeperclient"
	"laburnumfall/internal/settings"
	"laburnumfall/internal/standin"
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
	state   atomic.Pointer[keeperclient.State]
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
	b.state.Store(&keeperclient.State{Table: table, KeysUntil: real.Now().Add(time.Hour), Routers: 1})
	b.gateway = &gateway.Gateway{
		Settings: settings.Routes{
			Ready: b.ready, Grace: 5 * time.Second, Memory: 1 << 28,
			RetryRatio: 0.2, RetrySlack: 50, RetryWindow: 10 * time.Second,
		},
		Zone: "z1", Listen: b.address, Clock: real, Log: hclog.NewNullLogger(), Dialect: platform.Headers{},
		State: func() keeperclient.State { return *b.state.Load() }, Metrics: gateway.NewMetrics(),
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
	require.Eventually(t, func() bool { return len(b.stopped) > 0 || b.isReady() == http.StatusOK }, 5*time.Second, 5*time.Millisecond)
	require.Empty(t, b.stopped, "it ended before it was asked to")
	return b
}

func freeAddress(t testing.TB) string {
	address, err := standin.FreeAddress()
	require.NoError(t, err)
	return address
}

func (b *bed) apply() {
	var list []fleet.Instance
	for _, t := range b.targets {
		list = append(list, fleet.Instance{Incarnation: fleet.Incarnation{ID: t.ID, StartMillis: t.Born}, Pool: t.Pool, Address: t.Address, Zone: fleet.Zone(t.Zone), Slots: t.Slots})
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
	b.state.Store(&keeperclient.State{})
	resp, _, _ = b.do(http.MethodGet, "/nowhere/", "")
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode, "what is not known is not denied")
	b.state.Store(&s)
	require.Empty(t, b.runs())
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
