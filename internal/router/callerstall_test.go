package router

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"laburnumfall/internal/clock"
	"laburnumfall/internal/settings"
	"laburnumfall/internal/standin"
)

const (
	// callerServerEnv names the environment variable with the address on which the test binary serves
	// callers, in place of running tests.
	callerServerEnv = "LF_TEST_CALLER_SERVER"
	// callerReadTimeout and callerIdleTimeout replace readTimeout and idleTimeout in that process.
	callerReadTimeout = time.Second
	callerIdleTimeout = 1500 * time.Millisecond
	// callerStall is how long the process is suspended. It exceeds both timeouts.
	callerStall = 2 * time.Second
	// callerStallRounds is how often the process is suspended. Whether a resumed process notices its
	// deadlines or the received data first varies.
	callerStallRounds = 3
	callersPerCase    = 6
	// readDelay is how long the process has for reading what callers send before it is suspended.
	readDelay = 400 * time.Millisecond
	// stopDelay is how long the threads of a process may still run after SIGSTOP.
	stopDelay = 100 * time.Millisecond
	// silenceMargin is how long after its timeout a silent connection may end.
	silenceMargin  = time.Second
	testTimeout    = 30 * time.Second
	largeBodyBytes = maxBodyBytes * 9 / 10
)

func TestMain(m *testing.M) {
	if address := os.Getenv(callerServerEnv); address != "" {
		fmt.Fprintln(os.Stderr, serveTestCallers(address))
		os.Exit(1)
	}
	os.Exit(m.Run())
}

// serveTestCallers serves callers with the server of a Router, but with short timeouts and a handler
// that answers each request itself.
func serveTestCallers(address string) error {
	r := &Router{Settings: settings.Router{Name: "r1"}, Log: hclog.New(&hclog.LoggerOptions{JSONFormat: true, Output: os.Stderr}), Clock: clock.NewRealClock()}
	r.assemble(nil)
	server := r.newServer()
	server.ReadTimeout, server.IdleTimeout = callerReadTimeout, callerIdleTimeout
	server.Handler = func(ctx *fasthttp.RequestCtx) {
		_, _ = fmt.Fprint(ctx, len(ctx.PostBody())) // never fails
	}
	listener, err := listenCallers(address)
	if err != nil {
		return err
	}
	return server.Serve(listener)
}

// startCallerProcess starts a process that runs serveTestCallers and returns it with its address.
func startCallerProcess(t *testing.T) (server *os.Process, address string) {
	address, err := standin.ReserveAddress()
	require.NoError(t, err)
	log, err := os.CreateTemp(t.TempDir(), "*.log")
	require.NoError(t, err)
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), callerServerEnv+"="+address)
	command.Stderr = log
	require.NoError(t, command.Start())
	t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait() // it was killed, so the exit status is not needed
		text, err := os.ReadFile(log.Name())
		if t.Failed() {
			t.Logf("log of the server, read with error %v:\n%s", err, text)
		}
		_ = log.Close() // it has been read
	})
	require.Eventually(t, func() bool {
		caller, err := standin.DialPartialCaller(address)
		if err == nil {
			caller.Close()
		}
		return err == nil
	}, testTimeout, 10*time.Millisecond)
	return command.Process, address
}

// A callerCase is a request of which a part is sent before the process is suspended, and the rest
// while it is suspended.
type callerCase struct {
	name      string
	bodyBytes int
	kept      bool // an earlier request on the connection has been answered
	cut       standin.RequestCut
	statuses  []int         // allowed; 0 for a connection that ends without a response
	silent    bool          // the rest is never sent
	timeout   time.Duration // of a silent connection
}

func (c callerCase) request() string {
	return fmt.Sprintf("POST /e/all/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: %d\r\n\r\n%s", c.bodyBytes, strings.Repeat("b", c.bodyBytes))
}

// violation returns what is wrong with the end of a request, or "". The time is when the process
// resumed.
func (c callerCase) violation(response standin.PartialResponse, resumed time.Time) string {
	took := response.Ended.Sub(resumed)
	switch {
	case !slices.Contains(c.statuses, response.Status) || response.Status == http.StatusOK && response.Err != nil:
		return fmt.Sprintf("status %d, error %v", response.Status, response.Err)
	case errors.Is(response.Err, os.ErrDeadlineExceeded) || c.silent && took > c.timeout+silenceMargin:
		return fmt.Sprintf("ended after %s, error %v", took, response.Err)
	}
	return ""
}

// startCaller connects a caller and sends the first part of its request.
func (c callerCase) startCaller(t *testing.T, address string) *standin.PartialCaller {
	caller, err := standin.DialPartialCaller(address)
	require.NoError(t, err)
	if c.kept {
		require.NoError(t, caller.Send(callerCase{}.request()))
		first := caller.ReadResponse(testTimeout)
		require.NoError(t, first.Err)
		require.Equal(t, http.StatusOK, first.Status)
	}
	before, _ := c.cut.Split(c.request())
	require.NoError(t, caller.Send(before))
	return caller
}

// playCallers starts callersPerCase callers for each case, suspends the process for a time unless it
// is 0, and returns what was wrong, by the name of the case.
func playCallers(t *testing.T, server *os.Process, address string, cases []callerCase, suspension time.Duration) map[string][]string {
	var callers []*standin.PartialCaller
	for _, tt := range cases {
		for range callersPerCase {
			callers = append(callers, tt.startCaller(t, address))
		}
	}
	resumed := time.Now()
	if suspension > 0 {
		time.Sleep(readDelay)
		require.NoError(t, server.Signal(syscall.SIGSTOP))
		time.Sleep(stopDelay)
	}
	responses := make([]standin.PartialResponse, len(callers))
	var running sync.WaitGroup
	for i, caller := range callers {
		running.Go(func() {
			if tt := cases[i/callersPerCase]; !tt.silent {
				_, rest := tt.cut.Split(tt.request())
				_ = caller.Send(rest) // the server may refuse it before its end
			}
			responses[i] = caller.ReadResponse(testTimeout)
			caller.Close()
		})
	}
	if suspension > 0 {
		time.Sleep(suspension)
		resumed = time.Now()
		require.NoError(t, server.Signal(syscall.SIGCONT))
	}
	running.Wait()
	violations := make(map[string][]string)
	for i, response := range responses {
		tt := cases[i/callersPerCase]
		if violation := tt.violation(response, resumed); violation != "" {
			violations[tt.name] = append(violations[tt.name], violation)
		}
	}
	return violations
}

// silentCases are connections on which nothing more is sent.
func silentCases() []callerCase {
	refused := []int{0, http.StatusBadRequest, http.StatusRequestTimeout}
	return []callerCase{
		{name: "silent new connection", silent: true, timeout: callerReadTimeout, statuses: refused},
		{name: "silent kept connection", kept: true, silent: true, timeout: callerIdleTimeout, statuses: []int{0}},
		{name: "silent after half a header", bodyBytes: 10, cut: standin.CutInHeaderLine, silent: true, timeout: callerReadTimeout, statuses: refused},
		{name: "silent after half a body", bodyBytes: 100, cut: standin.CutInBody, silent: true, timeout: callerReadTimeout, statuses: refused},
	}
}

// Guards against requests that arrive while their router is suspended and that it does not read when
// it resumes because a read deadline has passed: the caller gets a reset connection or a 400.
func TestRequestsSurviveStall(t *testing.T) {
	served := []int{http.StatusOK}
	cases := append(silentCases(), []callerCase{
		{name: "new connection", bodyBytes: 10, statuses: served},
		{name: "new connection, large body", bodyBytes: largeBodyBytes, statuses: served},
		{name: "kept connection", bodyBytes: 10, kept: true, statuses: served},
		{name: "half a request line", bodyBytes: 10, cut: standin.CutInRequestLine, statuses: served},
		{name: "half a header line", bodyBytes: 10, cut: standin.CutInHeaderLine, statuses: served},
		{name: "half a header", bodyBytes: 10, cut: standin.CutAfterHeaderLine, statuses: served},
		{name: "half a header, kept connection", bodyBytes: 10, kept: true, cut: standin.CutInHeaderLine, statuses: served},
		{name: "half a body", bodyBytes: 100, cut: standin.CutInBody, statuses: served},
	}...)
	server, address := startCallerProcess(t)
	violations := make(map[string][]string)
	for range callerStallRounds {
		for name, found := range playCallers(t, server, address, cases, callerStall) {
			violations[name] = append(violations[name], found...)
		}
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) { require.Empty(t, violations[tt.name]) })
	}
}

// Guards against callers that send nothing more and occupy their connections for longer than the
// timeouts.
func TestSilentCallersEnd(t *testing.T) {
	cases := silentCases()
	server, address := startCallerProcess(t)
	violations := playCallers(t, server, address, cases, 0)
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) { require.Empty(t, violations[tt.name]) })
	}
}
