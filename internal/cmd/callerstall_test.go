package cmd

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/standin"
)

const callerStallConfig = `{"version":1,"routes":[
{"name":"short","hostname":"h.example","path_prefix":"/short/","route_type":"non_idempotent","timeout_ms":1000,"target_latency_ms":500,"service":"plain","max_attempts":1},
{"name":"long","hostname":"h.example","path_prefix":"/long/","route_type":"non_idempotent","timeout_ms":10000,"target_latency_ms":500,"service":"plain","max_attempts":1}],
"services":[{"name":"plain","health_path":"/healthz","max_conns":200}],
"limits":{"max_header_bytes":16384,"max_body_bytes":1000000,"header_timeout_ms":1000,"idle_timeout_ms":1500,"tokens_per_s":100000},
"tenants":[{"name":"acme","api_keys":["good-key"],"priority":1}]}`

const (
	callerHeaderTimeout = time.Second             // header_timeout_ms in callerStallConfig, and timeout_ms of /short/
	callerIdleTimeout   = 1500 * time.Millisecond // idle_timeout_ms in callerStallConfig
	// largeBodyBytes is near max_body_bytes in callerStallConfig. Such a body does not fit into the
	// receive buffer of a socket: while the router is suspended, a part of it stays at the caller.
	largeBodyBytes = 950_000
	callersPerCase = 6
	// callerStall is how long a router is suspended. It exceeds all timeouts in callerStallConfig but
	// that of /long/.
	callerStall = 2 * time.Second
	// callerStallRounds is how often a router is suspended. Whether a resumed process notices its
	// deadlines or the received data first varies.
	callerStallRounds = 3
	// readDelay is how long a router has for reading what callers send before it is suspended.
	readDelay = 400 * time.Millisecond
	// stopDelay is how long the threads of a process may still run after SIGSTOP.
	stopDelay = 100 * time.Millisecond
	// refusalTimeout is how long after the router resumes a refusal may take, and how long after the
	// timeout a silent connection may end.
	refusalTimeout = time.Second
)

// A callerCase is a request of which a part is sent before the router is suspended, and the rest
// while it is suspended.
type callerCase struct {
	name      string
	path      string
	bodyBytes int
	chunked   bool // the body is sent without Content-Length
	kept      bool // an earlier request on the connection has been answered
	cut       standin.RequestCut
	statuses  []int         // allowed; 0 for a connection that ends without a response
	silent    bool          // the rest is never sent
	timeout   time.Duration // of a silent connection
}

// request returns the text of a request.
func (c callerCase) request(id string) string {
	header := "POST " + c.path + " HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + id + "\r\nAuthorization: Bearer good-key\r\n"
	body := strings.Repeat("b", c.bodyBytes)
	if c.chunked {
		return header + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", c.bodyBytes, body)
	}
	return header + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", c.bodyBytes, body)
}

// A stalledCaller is one caller of a callerCase.
type stalledCaller struct {
	*standin.PartialCaller
	id       string
	rest     string // of its request
	response standin.PartialResponse
}

// startStalledCaller opens a connection and sends the first part of a request.
func (f *platformFleet) startStalledCaller(tt callerCase) *stalledCaller {
	f.requestCount++
	caller := &stalledCaller{id: fmt.Sprint("caller-", f.requestCount)}
	var err error
	caller.PartialCaller, err = standin.DialPartialCaller(f.address(f.routerIP(0), standin.CallerPort))
	require.NoError(f.t, err)
	if tt.kept {
		require.NoError(f.t, caller.Send(callerCase{path: "/short/x"}.request(caller.id+"-first")))
		first := caller.ReadResponse(waitTimeout)
		require.NoError(f.t, first.Err)
		require.Equal(f.t, http.StatusOK, first.Status)
	}
	before, rest := tt.cut.Split(tt.request(caller.id))
	require.NoError(f.t, caller.Send(before))
	if !tt.silent {
		caller.rest = rest
	}
	return caller
}

// violation returns what is wrong with the end of a request, or "". The time is when the router
// resumed.
func (c *stalledCaller) violation(tt callerCase, runs int, resumed time.Time) string {
	response, took := c.response, c.response.Ended.Sub(resumed)
	refused := response.Status == http.StatusServiceUnavailable || response.Status == http.StatusRequestTimeout
	switch {
	case !slices.Contains(tt.statuses, response.Status):
		return fmt.Sprintf("status %d, error %v", response.Status, response.Err)
	case response.Status == http.StatusOK && response.Err != nil:
		return fmt.Sprintf("incomplete response: %v", response.Err)
	case response.Status == http.StatusOK && runs != 1 || response.Status != http.StatusOK && runs != 0:
		return fmt.Sprintf("status %d, although targets ran it %d times", response.Status, runs)
	case refused && response.Header.Get("Retry-After") == "":
		return fmt.Sprintf("status %d without Retry-After", response.Status)
	case refused && !tt.silent && took > refusalTimeout:
		return fmt.Sprintf("refused after %s", took)
	case tt.silent && took > tt.timeout+refusalTimeout:
		return fmt.Sprintf("ended after %s", took)
	}
	return ""
}

// startCallerFleet starts a fleet with one router and callerStallConfig.
func startCallerFleet(t *testing.T) *platformFleet {
	processes := newPlatformFleet(t)
	for i := range platformKeepers {
		processes.startKeeper(i, true)
	}
	processes.startRouter(0)
	require.Eventually(t, func() bool {
		status, _ := processes.operator().PutConfig(0, callerStallConfig)
		return status == http.StatusOK
	}, waitTimeout, pollInterval)
	require.Eventually(t, func() bool { return processes.requestStatus(0, "/long/x") == http.StatusOK }, waitTimeout, pollInterval)
	return processes
}

// playCallers starts callersPerCase callers for each case, suspends the router for a time unless it is
// 0, and returns what was wrong, by the name of the case.
func (f *platformFleet) playCallers(cases []callerCase, suspension time.Duration) map[string][]string {
	callers := make([][]*stalledCaller, len(cases))
	for i, tt := range cases {
		for range callersPerCase {
			callers[i] = append(callers[i], f.startStalledCaller(tt))
		}
	}
	resumed := time.Now()
	if suspension > 0 {
		time.Sleep(readDelay)
		require.NoError(f.t, f.running["r0"].Process.Signal(syscall.SIGSTOP))
		time.Sleep(stopDelay)
	}
	var running sync.WaitGroup
	for _, caller := range slices.Concat(callers...) {
		running.Go(func() {
			_ = caller.Send(caller.rest) // the router may refuse it before its end
			caller.response = caller.ReadResponse(waitTimeout)
		})
	}
	if suspension > 0 {
		time.Sleep(suspension)
		resumed = time.Now()
		require.NoError(f.t, f.running["r0"].Process.Signal(syscall.SIGCONT))
	}
	running.Wait()
	runs, violations := f.runCounts(), make(map[string][]string)
	for i, tt := range cases {
		for _, caller := range callers[i] {
			caller.Close()
			if violation := caller.violation(tt, runs[caller.id], resumed); violation != "" {
				violations[tt.name] = append(violations[tt.name], caller.id+": "+violation)
			}
		}
	}
	return violations
}

// runCounts returns how often targets ran each request, by its ID.
func (f *platformFleet) runCounts() map[string]int {
	counts := make(map[string]int)
	for _, target := range f.platform.AllIncarnations() {
		for _, run := range target.Runs() {
			counts[run.RequestID]++
		}
	}
	return counts
}

// Guards against requests that arrive while their router is suspended and that it does not read when
// it resumes because a read deadline has passed: the caller gets a reset connection, a 400, or a 408
// although its body has arrived.
func TestRequestsSurviveRouterStall(t *testing.T) {
	served := []int{http.StatusOK}
	timeUp := []int{http.StatusServiceUnavailable, http.StatusOK} // its time begins when the router reads the header
	largeTimeUp := append(timeUp, http.StatusRequestTimeout)      // the rest is not in the router's socket
	cases := append(silentCases(), []callerCase{
		{name: "new connection", path: "/short/x", bodyBytes: 10, statuses: served},
		{name: "new connection, large body", path: "/short/x", bodyBytes: largeBodyBytes, statuses: served},
		{name: "kept connection", path: "/short/x", bodyBytes: 10, kept: true, statuses: served},
		{name: "half a request line", path: "/short/x", bodyBytes: 10, cut: standin.CutInRequestLine, statuses: served},
		{name: "half a header line", path: "/short/x", bodyBytes: 10, cut: standin.CutInHeaderLine, statuses: served},
		{name: "half a header", path: "/short/x", bodyBytes: 10, cut: standin.CutAfterHeaderLine, statuses: served},
		{name: "half a header, kept connection", path: "/short/x", bodyBytes: 10, kept: true, cut: standin.CutInHeaderLine, statuses: served},
		{name: "half a body", path: "/long/x", bodyBytes: 100, cut: standin.CutInBody, statuses: served},
		{name: "half a large body", path: "/long/x", bodyBytes: largeBodyBytes, cut: standin.CutInBody, statuses: served},
		{name: "half a body, time up", path: "/short/x", bodyBytes: 100, cut: standin.CutInBody, statuses: timeUp},
		{name: "half a chunked body, time up", path: "/short/x", bodyBytes: 100, chunked: true, cut: standin.CutInBody, statuses: timeUp},
		{name: "half a large body, time up", path: "/short/x", bodyBytes: largeBodyBytes, cut: standin.CutInBody, statuses: largeTimeUp},
	}...)
	processes, violations := startCallerFleet(t), make(map[string][]string)
	for range callerStallRounds {
		for name, found := range processes.playCallers(cases, callerStall) {
			violations[name] = append(violations[name], found...)
		}
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) { require.Empty(t, violations[tt.name]) })
	}
}

// silentCases are connections on which nothing more is sent.
func silentCases() []callerCase {
	closed := []int{0}
	incompleteHeader := []int{0, http.StatusBadRequest, http.StatusRequestTimeout}
	incompleteBody := []int{http.StatusRequestTimeout}
	return []callerCase{
		{name: "silent new connection", path: "/short/x", silent: true, timeout: callerHeaderTimeout, statuses: closed},
		{name: "silent kept connection", path: "/short/x", kept: true, silent: true, timeout: callerIdleTimeout, statuses: closed},
		{name: "silent after half a header", path: "/short/x", bodyBytes: 10, cut: standin.CutInHeaderLine, silent: true, timeout: callerHeaderTimeout, statuses: incompleteHeader},
		{name: "silent after half a body", path: "/short/x", bodyBytes: 100, cut: standin.CutInBody, silent: true, timeout: callerHeaderTimeout, statuses: incompleteBody},
	}
}

// Guards against callers that send nothing more and occupy their connections for longer than the
// timeouts.
func TestSilentCallersEnd(t *testing.T) {
	cases := silentCases()
	violations := startCallerFleet(t).playCallers(cases, 0)
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) { require.Empty(t, violations[tt.name]) })
	}
}
