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

	"laburnumfall/internal/standin"
)

// TestFaultsOfTargets plays what a target may do wrong, and checks what the
// caller gets and how often the request ran.
func TestFaultsOfTargets(t *testing.T) {
	tests := []struct {
		name   string
		path   string
		fault  string // of misdeeds
		times  int    // attempts that meet the fault
		status int
		runs   int
	}{
		{name: "answer lost, idempotent", path: "/whole/x", fault: "lost", times: 1, status: 200, runs: 2},
		{name: "answer lost, once", path: "/once/x", fault: "lost", times: 1, status: 502, runs: 1},
		{name: "answer lost, once with two attempts", path: "/twice/x", fault: "lost", times: 1, status: 502, runs: 1},
		{name: "answers lost, idempotent", path: "/whole/x", fault: "lost", times: 2, status: 502, runs: 2},
		{name: "full, once with two attempts", path: "/twice/x", fault: "full", times: 1, status: 200, runs: 1},
		{name: "full, once", path: "/once/x", fault: "full", times: 1, status: 503, runs: 0},
		{name: "full everywhere", path: "/whole/x", fault: "full", times: 9, status: 503, runs: 0},
		{name: "failed, idempotent", path: "/whole/x", fault: "failed", times: 1, status: 200, runs: 2},
		{name: "failed, once", path: "/once/x", fault: "failed", times: 1, status: 500, runs: 1},
		{name: "foreign answer, idempotent", path: "/whole/x", fault: "foreign", times: 1, status: 200, runs: 2},
		{name: "foreign answer, once", path: "/once/x", fault: "foreign", times: 1, status: 502, runs: 1},
		{name: "unsigned answer, once", path: "/once/x", fault: "unsigned", times: 1, status: 502, runs: 1},
		{name: "short answer, idempotent", path: "/whole/x", fault: "short", times: 1, status: 200, runs: 2},
		{name: "short answer, once", path: "/once/x", fault: "short", times: 1, status: 502, runs: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBed(t)
			var met atomic.Int64
			b.site.Fault = func(s *standin.SiteTarget, w http.ResponseWriter, r *http.Request) bool {
				if met.Add(1) > int64(tt.times) {
					return false
				}
				misdeeds[tt.fault](s, w, r)
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

// Symptom: an answer that was cut looks whole.
// Sequence: the router is told to stop, and a stream outlasts the grace.
func TestAStreamThatOutlastsTheGraceLooksBroken(t *testing.T) {
	b := newBed(t)
	release := make(chan struct{})
	defer close(release)
	b.site.Fault = func(s *standin.SiteTarget, w http.ResponseWriter, r *http.Request) bool {
		s.Ran(r)
		s.Head(w, r)
		s.Stream(w, 1, 2)
		<-release
		return true
	}
	resp, err := b.client.Do(b.request(context.Background(), http.MethodPost, "/stream/stream", "x", "Authorization", "Bearer good-key", "X-Deadline-Ms", "9000"))
	require.NoError(t, err)
	b.stop()
	_, err = io.ReadAll(resp.Body)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	require.NoError(t, <-b.stopped)
}

// Symptom: the balancer sends new callers to a router that cannot read those it
// has, while others idle.
// Sequence: more requests come than can be read at a time, and wait.
// Cause: being ready depends on configuration and keys only.
func TestARouterThatIsBehindSendsCallersElsewhere(t *testing.T) {
	b := newBed(t)
	require.Equal(t, http.StatusOK, b.isReady())
	_, _, err := b.do(http.MethodGet, "/whole/x", "") // its connection is kept
	require.NoError(t, err)
	for range 400 { // their bodies never come
		c, err := net.Dial("tcp4", b.address)
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() }) // nothing is on it
		_, err = io.WriteString(c, "POST /whole/x HTTP/1.1\r\nHost: h.example\r\nX-Deadline-Ms: 2000\r\nContent-Length: 9\r\n\r\n")
		require.NoError(t, err)
	}
	require.Eventually(t, func() bool { return b.isReady() == http.StatusServiceUnavailable }, 10*time.Second, 5*time.Millisecond)
	resp, _, err := b.do(http.MethodGet, "/whole/x", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode, "who is there is served")
	require.True(t, resp.Close, "and told to open a new connection")
}

func TestAnswersWithoutABody(t *testing.T) {
	b := newBed(t)
	b.site.Fault = func(s *standin.SiteTarget, w http.ResponseWriter, r *http.Request) bool {
		s.Ran(r)
		s.Head(w, r)
		if r.Method == http.MethodHead {
			w.Header().Set("Content-Length", "77")
			return true
		}
		w.WriteHeader(http.StatusNoContent)
		return true
	}
	for range 2 { // the second on a kept connection
		resp, text, err := b.do(http.MethodHead, "/whole/x", "")
		require.NoError(t, err)
		require.Equal(t, int64(77), resp.ContentLength)
		require.Empty(t, text)
		resp, text, err = b.do(http.MethodGet, "/whole/x", "")
		require.NoError(t, err)
		require.Equal(t, http.StatusNoContent, resp.StatusCode)
		require.Empty(t, text)
	}
}

// Symptom: a caller is told that its request is malformed, and gives up.
// Sequence: a part of its body does not come within its route's time.
// Cause: a body that does not come counts as one that is wrong.
func TestABodyThatDoesNotComeIsNotRun(t *testing.T) {
	b := newBed(t)
	c, err := net.Dial("tcp4", b.address)
	require.NoError(t, err)
	defer func() { _ = c.Close() }() // the test is over
	_, err = io.WriteString(c, "POST /brief/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: id\r\nContent-Length: 9\r\n\r\npart")
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusRequestTimeout, resp.StatusCode)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	require.Empty(t, b.runs())
}

// Symptom: targets work for callers that take nothing, without end.
// Sequence: a caller asks for a long stream and does not read.
// Cause: writing to a caller is not bounded in time.
func TestACallerThatTakesNothingIsGivenUp(t *testing.T) {
	b := newBed(t)
	ended := make(chan struct{})
	b.site.Fault = func(s *standin.SiteTarget, w http.ResponseWriter, r *http.Request) bool {
		s.Ran(r)
		s.Head(w, r)
		w.Header().Set("Content-Type", "text/event-stream")
		event := "data: " + strings.Repeat("x", 60000) + "\n\n"
		for r.Context().Err() == nil {
			if _, err := io.WriteString(w, event); err != nil {
				break
			}
		}
		close(ended)
		return true
	}
	c, err := net.Dial("tcp4", b.address)
	require.NoError(t, err)
	defer func() { _ = c.Close() }() // the test is over
	_, err = io.WriteString(c, "POST /brief/stream HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: id\r\nContent-Length: 0\r\n\r\n")
	require.NoError(t, err)
	select {
	case <-ended:
	case <-time.After(20 * time.Second):
		require.Fail(t, "the target goes on")
	}
}
