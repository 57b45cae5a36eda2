package cmd

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/standin"
)

const standstillConfig = `{"version":1,"routes":[
{"name":"keyed","hostname":"h.example","path_prefix":"/keyed/","route_type":"idempotent","timeout_ms":1000,"target_latency_ms":500,"service":"plain","max_attempts":2},
{"name":"once","hostname":"h.example","path_prefix":"/once/","route_type":"non_idempotent","timeout_ms":1000,"target_latency_ms":500,"service":"plain","max_attempts":1},
{"name":"silent","hostname":"h.example","path_prefix":"/silent/","route_type":"non_idempotent","timeout_ms":1000,"target_latency_ms":500,"service":"plain","max_attempts":1},
{"name":"flow","hostname":"h.example","path_prefix":"/flow/","route_type":"streaming","timeout_ms":1000,"target_latency_ms":500,"service":"plain","max_attempts":1,"itl_target_ms":300},
{"name":"open","hostname":"h.example","path_prefix":"/open1/","route_type":"idempotent","timeout_ms":2000,"target_latency_ms":500,"service":"plain","max_attempts":2,"anonymous":true}],
"services":[{"name":"plain","health_path":"/healthz","max_conns":50}],
"limits":{"max_header_bytes":16384,"max_body_bytes":100000,"header_timeout_ms":3000,"idle_timeout_ms":15000,"tokens_per_s":100000},
"tenants":[{"name":"acme","api_keys":["good-key"],"priority":1}]}`

// standstillTime is how long the router of the test stands still: beyond the timeout of its
// routes, and the time that callers have to read after it.
const standstillTime = 2500 * time.Millisecond

// Guards against answers that were ready before a router's standstill ended and never reach
// their callers, because a deadline passed meanwhile.
func TestAnswersOutlastAStandstillOfTheirRouter(t *testing.T) {
	g := newGround(t)
	for i := range groundKeepers {
		g.keeper(i, true)
	}
	g.router(0)
	require.Eventually(t, func() bool {
		status, _ := g.operator().Put(0, standstillConfig)
		return status == http.StatusOK
	}, patience, poll)
	require.Eventually(t, func() bool {
		return g.request(0, "/open1/x") == http.StatusOK && g.request(0, "/keyed/x") == http.StatusOK
	}, patience, poll)

	var stream strings.Builder
	for i := 1; i <= standin.SiteEvents; i++ {
		stream.WriteString(event(i))
	}
	tests := []struct {
		path   string
		status int
		body   string
	}{
		{path: "/flow/stream", status: http.StatusOK, body: stream.String()},
		{path: "/keyed/x", status: http.StatusOK, body: "ran /keyed/x "},
		{path: "/once/x", status: http.StatusOK, body: "ran /once/x "},
		{path: "/silent/x", status: http.StatusGatewayTimeout},
	}
	p := newPaused(g.site, len(tests))
	type answer struct {
		status int
		body   string
		err    error
	}
	answers := make([]answer, len(tests))
	var asked sync.WaitGroup
	for i, tt := range tests {
		asked.Go(func() {
			answers[i].status, answers[i].body, answers[i].err = g.fetch(0, tt.path)
		})
	}
	p.begun.Wait()
	require.NoError(t, g.running["r0"].Process.Signal(syscall.SIGSTOP))
	close(p.stopped)
	time.Sleep(standstillTime)
	require.NoError(t, g.running["r0"].Process.Signal(syscall.SIGCONT))
	asked.Wait()
	close(p.over)
	require.Eventually(t, func() bool { return strings.Count(g.logs(), `"done"`) >= len(tests) }, patience, poll)
	for i, tt := range tests {
		t.Run(strings.Split(tt.path, "/")[1], func(t *testing.T) {
			require.NoError(t, answers[i].err)
			require.Equal(t, tt.status, answers[i].status)
			if tt.body != "" {
				require.Equal(t, tt.body, answers[i].body)
			}
		})
	}
	for _, target := range g.site.All() {
		for _, run := range target.Runs() {
			p.runs[run.ID]++
		}
	}
	for id, n := range p.runs {
		require.Equal(t, 1, n, id)
	}
}

// A paused site begins requests, and ends them once the router stands still. One of
// /silent/ gets no answer.
type paused struct {
	begun   sync.WaitGroup
	stopped chan struct{} // closed once the router stands still
	over    chan struct{} // closed at the end
	runs    map[string]int
}

func newPaused(site *standin.Site, requests int) *paused {
	p := &paused{stopped: make(chan struct{}), over: make(chan struct{}), runs: make(map[string]int)}
	p.begun.Add(requests)
	site.Fault = func(target *standin.SiteTarget, w http.ResponseWriter, r *http.Request) bool {
		p.serve(target, w, r)
		return true
	}
	return p
}

func (p *paused) serve(target *standin.SiteTarget, w http.ResponseWriter, r *http.Request) {
	target.Ran(r)
	target.Head(w, r)
	switch {
	case strings.HasPrefix(r.RequestURI, "/silent/"):
		p.begun.Done()
		<-p.over
	case strings.HasPrefix(r.RequestURI, "/flow/"):
		target.Stream(w, 1, 2)
		p.begun.Done()
		<-p.stopped
		target.Stream(w, 3, standin.SiteEvents)
	default:
		p.begun.Done()
		<-p.stopped
		_, _ = io.WriteString(w, "ran "+r.RequestURI+" ") // the router reads it when it goes on
	}
}

// event is one event of a stand-in's stream.
func event(i int) string {
	n := string(rune('0' + i))
	return "id: " + n + "\ndata: piece " + n + "\n\n"
}

// fetch sends a request to a router and returns the whole answer.
func (g *ground) fetch(router int, path string) (status int, body string, err error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+g.address(g.routerIP(router), standin.CallerPort)+path, nil)
	if err != nil {
		return 0, "", err
	}
	req.Host = "h.example"
	req.Header.Set("X-Attempt-Id", "fetch"+strings.ReplaceAll(path, "/", "-"))
	req.Header.Set("Authorization", "Bearer good-key")
	client := http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }() // it is read
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), err
}

// Guards against work that a router sends, when it goes on after a standstill, to a target that
// left meanwhile.
func TestARouterThatWakesAsksBeforeItSends(t *testing.T) {
	const callers = 12
	g := newGround(t)
	for i := range groundKeepers {
		g.keeper(i, true)
	}
	g.router(0)
	require.Eventually(t, func() bool {
		status, _ := g.operator().Put(0, standstillConfig)
		return status == http.StatusOK
	}, patience, poll)
	require.Eventually(t, func() bool {
		return g.request(0, "/open1/x") == http.StatusOK && g.request(0, "/keyed/x") == http.StatusOK
	}, patience, poll)
	for range 20 { // both targets are known to be good
		require.Equal(t, http.StatusOK, g.request(0, "/keyed/x"))
	}
	require.NoError(t, g.running["r0"].Process.Signal(syscall.SIGSTOP))
	left := g.site.All()[0]
	left.Drain()
	time.Sleep(leftTime)
	before := len(left.Runs())
	var asked sync.WaitGroup
	statuses := make([]int, callers)
	for i := range callers {
		asked.Go(func() { statuses[i], _, _ = g.fetch(0, "/keyed/"+string(rune('a'+i))) })
	}
	time.Sleep(time.Second / 2) // they wait in the router's socket
	require.NoError(t, g.running["r0"].Process.Signal(syscall.SIGCONT))
	asked.Wait()
	for _, status := range statuses {
		require.Equal(t, http.StatusOK, status)
	}
	require.Len(t, left.Runs(), before, "it has left")
}

// leftTime is how long after the list shows it as leaving no router may send to a target.
const leftTime = 5 * time.Second
