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

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/gateway"
	"laburnumfall/internal/standin"
)

// TestTargetFaults checks, for each fault of a target, which response the caller gets and how often
// the request runs.
func TestTargetFaults(t *testing.T) {
	tests := []struct {
		name           string
		path           string
		fault          string // key of targetFaults
		faultyAttempts int    // how many attempts meet the fault
		status         int
		runs           int
	}{
		{name: "response lost, idempotent", path: "/whole/x", fault: "lost", faultyAttempts: 1, status: 200, runs: 2},
		{name: "response lost, at most once", path: "/once/x", fault: "lost", faultyAttempts: 1, status: 502, runs: 1},
		{name: "response lost, at most once with two attempts", path: "/twice/x", fault: "lost", faultyAttempts: 1, status: 502, runs: 1},
		{name: "both responses lost, idempotent", path: "/whole/x", fault: "lost", faultyAttempts: 2, status: 502, runs: 2},
		{name: "full, at most once with two attempts", path: "/twice/x", fault: "full", faultyAttempts: 1, status: 200, runs: 1},
		{name: "full, at most once", path: "/once/x", fault: "full", faultyAttempts: 1, status: 503, runs: 0},
		{name: "full everywhere", path: "/whole/x", fault: "full", faultyAttempts: 9, status: 503, runs: 0},
		{name: "failed, idempotent", path: "/whole/x", fault: "failed", faultyAttempts: 1, status: 200, runs: 2},
		{name: "failed, at most once", path: "/once/x", fault: "failed", faultyAttempts: 1, status: 500, runs: 1},
		{name: "response of another request, idempotent", path: "/whole/x", fault: "foreign", faultyAttempts: 1, status: 200, runs: 2},
		{name: "response of another request, at most once", path: "/once/x", fault: "foreign", faultyAttempts: 1, status: 502, runs: 1},
		{name: "unsigned response, at most once", path: "/once/x", fault: "unsigned", faultyAttempts: 1, status: 502, runs: 1},
		{name: "truncated response, idempotent", path: "/whole/x", fault: "short", faultyAttempts: 1, status: 200, runs: 2},
		{name: "truncated response, at most once", path: "/once/x", fault: "short", faultyAttempts: 1, status: 502, runs: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			bed := newTestbed(t)
			var faultCount atomic.Int64
			bed.site.Fault = func(target *standin.PlatformTarget, w http.ResponseWriter, r *http.Request) bool {
				if faultCount.Add(1) > int64(tt.faultyAttempts) {
					return false
				}
				targetFaults[tt.fault](target, w, r)
				return true
			}
			resp, body, err := bed.do(http.MethodPost, tt.path, "x")
			require.NoError(t, err)
			require.Equal(t, tt.status, resp.StatusCode, body)
			require.Len(t, bed.runs(), tt.runs)
			if tt.status == http.StatusOK {
				require.Equal(t, "ran id-1 x", body)
			}
			if tt.status == http.StatusServiceUnavailable {
				require.Zero(t, tt.runs, "status 503 means that it has not run")
				require.NotEmpty(t, resp.Header.Get("Retry-After"))
			}
		})
	}
}

// Guards against streams that lack an event, repeat one, or look complete although they are not.
// The target ends the stream early, also in the middle of an event.
func TestResumesOrAbortsInterruptedStream(t *testing.T) {
	bed := newTestbed(t)
	var faultCount atomic.Int64
	bed.site.Fault = func(target *standin.PlatformTarget, w http.ResponseWriter, r *http.Request) bool {
		if faultCount.Add(1)%2 == 0 {
			return false
		}
		target.RecordRun(r)
		target.WriteHeaders(w, r)
		target.WriteEvents(w, 1, 3)
		_, _ = io.WriteString(w, "id: 4\ndata: pie") // the stream ends early here
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	resp, body, err := bed.do(http.MethodPost, "/resume/stream", "x", "Authorization", "Bearer good-key")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	want := ""
	for i := 1; i <= standin.StreamEvents; i++ {
		want += fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i)
	}
	require.Equal(t, want, body)
	runs := bed.runs()
	require.Len(t, runs, 2)
	signature := resp.Header.Get("X-Server-Signature")
	require.Len(t, bed.runs(), 2)
	_, body, err = bed.do(http.MethodPost, "/stream/stream", "x", "Authorization", "Bearer good-key")
	require.Error(t, err, "the response must not look complete")
	require.NotContains(t, body, "id: 4")
	require.NotEmpty(t, signature)
}

// Guards against targets that keep running requests whose callers left before or during the
// response.
func TestCancelsRunWhenCallerLeaves(t *testing.T) {
	bed := newTestbed(t)
	runEnded := make(chan struct{}, 2)
	bed.site.Fault = func(target *standin.PlatformTarget, w http.ResponseWriter, r *http.Request) bool {
		target.RecordRun(r)
		if strings.HasPrefix(r.RequestURI, "/stream/") {
			target.WriteHeaders(w, r)
			target.WriteEvents(w, 1, 1)
		}
		<-r.Context().Done()
		runEnded <- struct{}{}
		return true
	}
	for _, path := range []string{"/once/x", "/stream/stream"} {
		ctx, cancel := context.WithCancel(context.Background())
		req := bed.newRequest(ctx, http.MethodPost, path, "x", "Authorization", "Bearer good-key")
		go func() {
			require.Eventually(t, func() bool { return len(bed.runs()) > 0 }, 5*time.Second, time.Millisecond)
			time.Sleep(20 * time.Millisecond)
			cancel()
		}()
		resp, err := bed.client.Do(req)
		if err == nil {
			_, _ = io.ReadAll(resp.Body) // ends when the context is canceled
			_ = resp.Body.Close()        // it has been read
		}
		select {
		case <-runEnded:
		case <-time.After(5 * time.Second):
			require.Fail(t, "the run was not canceled", path)
		}
	}
}

// Guards against targets that get a request long after its caller has left. The router found the
// caller connected, and then waited for the state of the fleet or for processor time before it sent
// the request.
func TestSendsNothingForCallerThatLeft(t *testing.T) {
	var checks atomic.Int32 // of the state by the request
	waiting, resume := make(chan struct{}), make(chan struct{})
	checks.Store(-2) // the first request checks twice
	bed := newTestbed(t, func(g *gateway.Gateway) {
		g.StateIsFresh = func(time.Time) bool {
			if checks.Add(1) == 2 {
				close(waiting)
				<-resume
			}
			return true
		}
	})
	bed.targets = bed.targets[:1]
	bed.applyTargets()
	_, _, err := bed.do(http.MethodGet, "/whole/first", "")
	require.NoError(t, err)
	caller, err := net.Dial("tcp4", bed.address)
	require.NoError(t, err)
	_, err = io.WriteString(caller, "GET /whole/second HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: second\r\n\r\n")
	require.NoError(t, err)
	<-waiting
	require.NoError(t, caller.Close())
	time.Sleep(500 * time.Millisecond)
	close(resume)
	require.Eventually(t, func() bool {
		return strings.Contains(bed.metrics(), `reason="the caller left"`) || len(bed.runs()) > 1
	}, 5*time.Second, time.Millisecond)
	require.Len(t, bed.runs(), 1)
}

// Guards against callers that wait much longer than the timeout of their route.
func TestEnforcesRouteTimeout(t *testing.T) {
	bed := newTestbed(t)
	bed.site.Fault = func(target *standin.PlatformTarget, _ http.ResponseWriter, r *http.Request) bool {
		target.RecordRun(r)
		<-r.Context().Done()
		return true
	}
	resp, _, err := bed.do(http.MethodPost, "/brief/x", "x")
	require.NoError(t, err)
	require.Equal(t, http.StatusGatewayTimeout, resp.StatusCode, "it may have run")
}

func TestReusesConnectionsUnlessTargetCloses(t *testing.T) {
	bed := newTestbed(t)
	bed.targets = bed.targets[:1]
	bed.applyTargets()
	for range 10 {
		resp, _, err := bed.do(http.MethodPost, "/once/x", strings.Repeat("y", 20000))
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, resp.StatusCode)
	}
	require.Equal(t, 1, bed.targets[0].ConnectionCount())
	bed.site.Fault = func(target *standin.PlatformTarget, w http.ResponseWriter, r *http.Request) bool {
		target.RecordRun(r)
		target.WriteHeaders(w, r)
		w.Header().Set("Connection", "close")
		_, _ = io.WriteString(w, "bye") // the last response on this connection
		return true
	}
	for range 3 {
		_, _, err := bed.do(http.MethodPost, "/once/x", "z")
		require.NoError(t, err)
	}
	require.Equal(t, 3, bed.targets[0].ConnectionCount())
}

// Guards against forwarding a response to the wrong caller. A target sends a second response after
// a complete one, and it must not be taken for the response to the next request on the connection.
func TestDropsUnsolicitedResponse(t *testing.T) {
	bed := newTestbed(t)
	bed.targets = bed.targets[:1]
	bed.applyTargets()
	bed.site.Fault = func(target *standin.PlatformTarget, w http.ResponseWriter, r *http.Request) bool {
		run := target.RecordRun(r)
		hijacker, ok := w.(http.Hijacker)
		if !ok {
			return false
		}
		conn, rw, err := hijacker.Hijack()
		if err != nil {
			return false
		}
		go func() {
			defer func() { _ = conn.Close() }() // the test is over
			for id := run.RequestID; ; {
				for range 2 { // each response comes twice, the second one late
					_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Signature: s\r\nContent-Length: %d\r\n\r\n%s", id, len(id), id)
					if err != nil {
						return
					}
					time.Sleep(10 * time.Millisecond)
				}
				next, err := http.ReadRequest(rw.Reader)
				if err != nil {
					return
				}
				id = target.RecordRun(next).RequestID
			}
		}()
		return true
	}
	for i := range 20 {
		if i%2 == 1 {
			time.Sleep(15 * time.Millisecond)
		}
		resp, body, err := bed.do(http.MethodPost, "/once/x", "x")
		require.NoError(t, err)
		if resp.StatusCode == http.StatusOK {
			require.Equal(t, fmt.Sprintf("id-%d", i+1), body)
		}
	}
}

// Guards against a graceful shutdown that interrupts requests. A stream is in progress and callers
// have open connections.
func TestGracefulShutdownCompletesRequests(t *testing.T) {
	bed := newTestbed(t)
	release := make(chan struct{})
	bed.site.Fault = func(target *standin.PlatformTarget, w http.ResponseWriter, r *http.Request) bool {
		if !strings.HasPrefix(r.RequestURI, "/stream/") {
			return false
		}
		target.RecordRun(r)
		target.WriteHeaders(w, r)
		target.WriteEvents(w, 1, 2)
		<-release
		target.WriteEvents(w, 3, standin.StreamEvents)
		return true
	}
	resp, err := bed.client.Do(bed.newRequest(context.Background(), http.MethodPost, "/stream/stream", "x", "Authorization", "Bearer good-key"))
	require.NoError(t, err)
	reader := bufio.NewReader(resp.Body)
	_, err = reader.ReadString('\n')
	require.NoError(t, err)
	bed.cancel()
	require.Eventually(t, func() bool { return bed.readyStatus() == http.StatusServiceUnavailable }, time.Second, time.Millisecond)
	second, _, err := bed.do(http.MethodGet, "/whole/x", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, second.StatusCode, "requests are served until the load balancer has noticed")
	require.True(t, second.Close, "the response closes the connection")
	close(release)
	rest, err := io.ReadAll(reader)
	require.NoError(t, err)
	require.Contains(t, string(rest), fmt.Sprintf("piece %d", standin.StreamEvents))
	select {
	case err := <-bed.stopped:
		require.NoError(t, err)
	case <-time.After(10 * time.Second):
		require.Fail(t, "gateway did not stop within 10 seconds")
	}
}

// Guards against a truncated response that looks complete. A stream lasts longer than the grace
// period of a shutdown.
func TestShutdownAbortsStreamAfterGrace(t *testing.T) {
	bed := newTestbed(t)
	release := make(chan struct{})
	defer close(release)
	bed.site.Fault = func(target *standin.PlatformTarget, w http.ResponseWriter, r *http.Request) bool {
		target.RecordRun(r)
		target.WriteHeaders(w, r)
		target.WriteEvents(w, 1, 2)
		<-release
		return true
	}
	resp, err := bed.client.Do(bed.newRequest(context.Background(), http.MethodPost, "/stream/stream", "x", "Authorization", "Bearer good-key", "X-Deadline-Ms", "9000"))
	require.NoError(t, err)
	bed.cancel()
	_, err = io.ReadAll(resp.Body)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	require.NoError(t, <-bed.stopped)
}

// Guards against new callers being sent to a router that cannot read the requests it already has,
// while other routers are idle. More requests arrive than may be read at a time.
func TestOverloadedRouterIsNotReady(t *testing.T) {
	bed := newTestbed(t)
	require.Equal(t, http.StatusOK, bed.readyStatus())
	_, _, err := bed.do(http.MethodGet, "/whole/x", "") // its connection stays open
	require.NoError(t, err)
	for range 400 { // their bodies never arrive
		conn, err := net.Dial("tcp4", bed.address)
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() }) // it is only needed until the test ends
		_, err = io.WriteString(conn, "POST /whole/x HTTP/1.1\r\nHost: h.example\r\nX-Deadline-Ms: 2000\r\nContent-Length: 9\r\n\r\n")
		require.NoError(t, err)
	}
	require.Eventually(t, func() bool { return bed.readyStatus() == http.StatusServiceUnavailable }, 10*time.Second, 5*time.Millisecond)
	resp, _, err := bed.do(http.MethodGet, "/whole/x", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode, "an open connection is still served")
	require.True(t, resp.Close, "the response closes the connection")
}

func TestForwardsResponsesWithoutBody(t *testing.T) {
	bed := newTestbed(t)
	bed.site.Fault = func(target *standin.PlatformTarget, w http.ResponseWriter, r *http.Request) bool {
		target.RecordRun(r)
		target.WriteHeaders(w, r)
		if r.Method == http.MethodHead {
			w.Header().Set("Content-Length", "77")
			return true
		}
		w.WriteHeader(http.StatusNoContent)
		return true
	}
	for range 2 { // the second time on a reused connection
		resp, body, err := bed.do(http.MethodHead, "/whole/x", "")
		require.NoError(t, err)
		require.Equal(t, int64(77), resp.ContentLength)
		require.Empty(t, body)
		resp, body, err = bed.do(http.MethodGet, "/whole/x", "")
		require.NoError(t, err)
		require.Equal(t, http.StatusNoContent, resp.StatusCode)
		require.Empty(t, body)
	}
}

// Guards against reporting a request as malformed, which makes the caller give up, when its body is
// only late. Part of the body does not arrive within the route's timeout.
func TestRefusesIncompleteBody(t *testing.T) {
	bed := newTestbed(t)
	conn, err := net.Dial("tcp4", bed.address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }() // the test is over
	_, err = io.WriteString(conn, "POST /brief/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: id\r\nContent-Length: 9\r\n\r\npart")
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusRequestTimeout, resp.StatusCode)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	require.Empty(t, bed.runs())
}

// Guards against targets that stream forever to a caller that does not read. Writes to the caller
// must time out.
func TestAbortsResponseToCallerThatDoesNotRead(t *testing.T) {
	bed := newTestbed(t)
	runEnded := make(chan struct{})
	bed.site.Fault = func(target *standin.PlatformTarget, w http.ResponseWriter, r *http.Request) bool {
		target.RecordRun(r)
		target.WriteHeaders(w, r)
		w.Header().Set("Content-Type", "text/event-stream")
		event := "data: " + strings.Repeat("x", 60000) + "\n\n"
		for r.Context().Err() == nil {
			if _, err := io.WriteString(w, event); err != nil {
				break
			}
		}
		close(runEnded)
		return true
	}
	conn, err := net.Dial("tcp4", bed.address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }() // the test is over
	_, err = io.WriteString(conn, "POST /brief/stream HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: id\r\nContent-Length: 0\r\n\r\n")
	require.NoError(t, err)
	select {
	case <-runEnded:
	case <-time.After(20 * time.Second):
		require.Fail(t, "the target still writes the response")
	}
}
