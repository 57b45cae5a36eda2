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

const stallConfig = `{"version":1,"routes":[
{"name":"keyed","hostname":"h.example","path_prefix":"/keyed/","route_type":"idempotent","timeout_ms":1000,"target_latency_ms":500,"service":"plain","max_attempts":2},
{"name":"once","hostname":"h.example","path_prefix":"/once/","route_type":"non_idempotent","timeout_ms":1000,"target_latency_ms":500,"service":"plain","max_attempts":1},
{"name":"silent","hostname":"h.example","path_prefix":"/silent/","route_type":"non_idempotent","timeout_ms":1000,"target_latency_ms":500,"service":"plain","max_attempts":1},
{"name":"flow","hostname":"h.example","path_prefix":"/flow/","route_type":"streaming","timeout_ms":1000,"target_latency_ms":500,"service":"plain","max_attempts":1,"itl_target_ms":300},
{"name":"open","hostname":"h.example","path_prefix":"/open1/","route_type":"idempotent","timeout_ms":2000,"target_latency_ms":500,"service":"plain","max_attempts":2,"anonymous":true}],
"services":[{"name":"plain","health_path":"/healthz","max_conns":50}],
"limits":{"max_header_bytes":16384,"max_body_bytes":100000,"header_timeout_ms":3000,"idle_timeout_ms":15000,"tokens_per_s":100000},
"tenants":[{"name":"acme","api_keys":["good-key"],"priority":1}]}`

// stallDuration is how long the router is suspended. It exceeds the timeout of the routes plus
// the time that callers have to read a response after it.
const stallDuration = 2500 * time.Millisecond

// Guards against responses that were ready before a suspended router resumed but never reach
// their callers, because a deadline passed in the meantime.
func TestResponsesSurviveRouterStall(t *testing.T) {
	processes := newPlatformFleet(t)
	for i := range platformKeepers {
		processes.startKeeper(i, true)
	}
	processes.startRouter(0)
	require.Eventually(t, func() bool {
		status, _ := processes.operator().PutConfig(0, stallConfig)
		return status == http.StatusOK
	}, waitTimeout, pollInterval)
	require.Eventually(t, func() bool {
		return processes.requestStatus(0, "/open1/x") == http.StatusOK && processes.requestStatus(0, "/keyed/x") == http.StatusOK
	}, waitTimeout, pollInterval)

	var streamBody strings.Builder
	for i := 1; i <= standin.StreamEvents; i++ {
		streamBody.WriteString(streamEvent(i))
	}
	tests := []struct {
		path   string
		status int
		body   string
	}{
		{path: "/flow/stream", status: http.StatusOK, body: streamBody.String()},
		{path: "/keyed/x", status: http.StatusOK, body: "ran /keyed/x "},
		{path: "/once/x", status: http.StatusOK, body: "ran /once/x "},
		{path: "/silent/x", status: http.StatusGatewayTimeout},
	}
	paused := newPausedTargets(processes.platform, len(tests))
	type response struct {
		status int
		body   string
		err    error
	}
	responses := make([]response, len(tests))
	var callers sync.WaitGroup
	for i, tt := range tests {
		callers.Go(func() {
			responses[i].status, responses[i].body, responses[i].err = processes.sendRequest(0, tt.path)
		})
	}
	paused.begun.Wait()
	require.NoError(t, processes.running["r0"].Process.Signal(syscall.SIGSTOP))
	close(paused.routerSuspended)
	time.Sleep(stallDuration)
	require.NoError(t, processes.running["r0"].Process.Signal(syscall.SIGCONT))
	callers.Wait()
	close(paused.testEnded)
	require.Eventually(t, func() bool { return strings.Count(processes.logs(), `"done"`) >= len(tests) }, waitTimeout, pollInterval)
	for i, tt := range tests {
		t.Run(strings.Split(tt.path, "/")[1], func(t *testing.T) {
			require.NoError(t, responses[i].err)
			require.Equal(t, tt.status, responses[i].status)
			if tt.body != "" {
				require.Equal(t, tt.body, responses[i].body)
			}
		})
	}
	for _, target := range processes.platform.AllIncarnations() {
		for _, run := range target.Runs() {
			paused.runsByID[run.RequestID]++
		}
	}
	for id, runs := range paused.runsByID {
		require.Equal(t, 1, runs, id)
	}
}

// pausedTargets are targets that begin each request at once and complete it while the router is
// suspended. Requests to /silent/ get no response until the end of the test.
type pausedTargets struct {
	begun           sync.WaitGroup
	routerSuspended chan struct{} // closed once the router is suspended
	testEnded       chan struct{} // closed at the end of the test
	runsByID        map[string]int
}

func newPausedTargets(platform *standin.Platform, requests int) *pausedTargets {
	paused := &pausedTargets{routerSuspended: make(chan struct{}), testEnded: make(chan struct{}), runsByID: make(map[string]int)}
	paused.begun.Add(requests)
	platform.Fault = func(target *standin.PlatformTarget, w http.ResponseWriter, r *http.Request) bool {
		paused.serve(target, w, r)
		return true
	}
	return paused
}

func (p *pausedTargets) serve(target *standin.PlatformTarget, w http.ResponseWriter, r *http.Request) {
	target.RecordRun(r)
	target.WriteHeaders(w, r)
	switch {
	case strings.HasPrefix(r.RequestURI, "/silent/"):
		p.begun.Done()
		<-p.testEnded
	case strings.HasPrefix(r.RequestURI, "/flow/"):
		target.WriteEvents(w, 1, 2)
		p.begun.Done()
		<-p.routerSuspended
		target.WriteEvents(w, 3, standin.StreamEvents)
	default:
		p.begun.Done()
		<-p.routerSuspended
		_, _ = io.WriteString(w, "ran "+r.RequestURI+" ") // The router reads it when it resumes.
	}
}

// streamEvent returns event i of a stream of the stand-in.
func streamEvent(i int) string {
	digit := string(rune('0' + i))
	return "id: " + digit + "\ndata: piece " + digit + "\n\n"
}

// sendRequest sends a request to a router and returns the complete response.
func (f *platformFleet) sendRequest(router int, path string) (status int, body string, err error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+f.address(f.routerIP(router), standin.CallerPort)+path, nil)
	if err != nil {
		return 0, "", err
	}
	req.Host = "h.example"
	req.Header.Set("X-Attempt-Id", "fetch"+strings.ReplaceAll(path, "/", "-"))
	req.Header.Set("Authorization", "Bearer good-key")
	client := http.Client{Timeout: waitTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }() // It has been read.
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), err
}

// Guards against a router that, after a stall, sends requests to a target that has left during
// the stall.
func TestRouterRefreshesTargetsAfterStall(t *testing.T) {
	const callerCount = 12
	processes := newPlatformFleet(t)
	for i := range platformKeepers {
		processes.startKeeper(i, true)
	}
	processes.startRouter(0)
	require.Eventually(t, func() bool {
		status, _ := processes.operator().PutConfig(0, stallConfig)
		return status == http.StatusOK
	}, waitTimeout, pollInterval)
	require.Eventually(t, func() bool {
		return processes.requestStatus(0, "/open1/x") == http.StatusOK && processes.requestStatus(0, "/keyed/x") == http.StatusOK
	}, waitTimeout, pollInterval)
	for range 20 { // The router learns that both targets are good.
		require.Equal(t, http.StatusOK, processes.requestStatus(0, "/keyed/x"))
	}
	require.NoError(t, processes.running["r0"].Process.Signal(syscall.SIGSTOP))
	leavingTarget := processes.platform.AllIncarnations()[0]
	leavingTarget.Drain()
	time.Sleep(drainDelay)
	before := len(leavingTarget.Runs())
	var running sync.WaitGroup
	statuses := make([]int, callerCount)
	for i := range callerCount {
		running.Go(func() { statuses[i], _, _ = processes.sendRequest(0, "/keyed/"+string(rune('a'+i))) })
	}
	time.Sleep(time.Second / 2) // The requests wait in the socket of the suspended router.
	require.NoError(t, processes.running["r0"].Process.Signal(syscall.SIGCONT))
	running.Wait()
	for _, status := range statuses {
		require.Equal(t, http.StatusOK, status)
	}
	require.Len(t, leavingTarget.Runs(), before, "the target has left")
}

// drainDelay is how long routers may still send work to a target after the list shows it as
// leaving.
const drainDelay = 5 * time.Second
