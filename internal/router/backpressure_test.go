package router_test

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/standin"
)

// startCountingTarget starts a target that sends a status and a header, and counts its requests.
func startCountingTarget(t *testing.T, name string, status int, header, value string) (fleet.Target, *atomic.Int64) {
	arrivals := &atomic.Int64{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		arrivals.Add(1)
		w.Header().Set(header, value)
		w.WriteHeader(status)
	}))
	t.Cleanup(server.Close)
	return fleet.Target{Name: name, Address: strings.TrimPrefix(server.URL, "http://"), Kind: fleet.TargetService, Slots: 8}, arrivals
}

func (f *testFleet) post(path string) *http.Response {
	resp := f.do(http.MethodPost, path, strings.NewReader("hello"))
	_ = resp.Body.Close() // only the header matters
	return resp
}

// postRoute sends a request to the address for routes.
func (f *testFleet) postRoute(path string) *http.Response {
	request, err := http.NewRequest(http.MethodPost, "http://"+f.routes+path, strings.NewReader("hello"))
	require.NoError(f.t, err)
	request.Host = "routes.example"
	request.Header.Set("Authorization", "Bearer "+testKey)
	resp, err := http.DefaultClient.Do(request)
	if err != nil {
		return &http.Response{StatusCode: http.StatusServiceUnavailable} // the router does not listen yet
	}
	_ = resp.Body.Close() // only the header matters
	return resp
}

// Guards against requests of events to a target that has asked this router for a pause.
func TestEventSendsNothingToTargetThatBacksOff(t *testing.T) {
	backingOff, arrivals := startCountingTarget(t, "t1", http.StatusServiceUnavailable, "Retry-After", "60")
	healthy, served := startCountingTarget(t, "t2", http.StatusOK, "X-Other", "1")
	f := startFleet(t, backingOff, healthy)
	for range 20 {
		require.Equal(t, http.StatusOK, f.post("/e/all/x").StatusCode)
	}
	require.EqualValues(t, 1, arrivals.Load())
	require.EqualValues(t, 20, served.Load())
	resp := f.post("/e/t1/x")
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Equal(t, "unrun", resp.Header.Get("Lf-Outcome"))
	retryAfter, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	require.NoError(t, err)
	require.Greater(t, retryAfter, 30)
	require.LessOrEqual(t, retryAfter, 60)
	require.EqualValues(t, 1, arrivals.Load())
}

// Guards against requests of events to a target that says in its responses that it leaves.
func TestEventSendsNothingToTargetThatSaysItLeaves(t *testing.T) {
	leaving, arrivals := startCountingTarget(t, "t1", http.StatusOK, "Lf-Leaving", "1")
	healthy, _ := startCountingTarget(t, "t2", http.StatusOK, "X-Other", "1")
	f := startFleet(t, leaving, healthy)
	for range 20 {
		require.Equal(t, http.StatusOK, f.post("/e/all/x").StatusCode)
	}
	require.EqualValues(t, 1, arrivals.Load())
	resp := f.post("/e/t1/x")
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
}

// Guards against a route that sends to a target which has asked the same router for a pause on an
// event, and the other way round.
func TestEventsAndRoutesShareBackpressure(t *testing.T) {
	for _, first := range []string{"event", "route"} {
		t.Run(first, func(t *testing.T) {
			backingOff, arrivals := startCountingTarget(t, "t1", http.StatusServiceUnavailable, "Retry-After", "60")
			f := startFleetWithRoute(t, backingOff)
			send := map[string]func() *http.Response{
				"event": func() *http.Response { return f.post("/e/all/x") },
				"route": func() *http.Response { return f.postRoute("/all/x") },
			}
			require.Equal(t, http.StatusServiceUnavailable, send[first]().StatusCode)
			require.EqualValues(t, 1, arrivals.Load())
			for name, post := range send {
				resp := post()
				require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode, name)
				require.Equal(t, "unrun", resp.Header.Get("Lf-Outcome"), name)
			}
			require.EqualValues(t, 1, arrivals.Load())
		})
	}
}

func TestStandinSignalsBackpressure(t *testing.T) {
	_, refusing := startStandin(t, standin.Settings{Name: "t1", Kind: fleet.TargetService, RefuseFraction: 1, Backoff: fleet.Duration(30 * time.Second)})
	_, leaving := startStandin(t, standin.Settings{Name: "t2", Kind: fleet.TargetService, Leaving: true})
	f := startFleet(t, refusing, leaving)
	for range 4 {
		require.Equal(t, http.StatusServiceUnavailable, f.post("/e/t1/x").StatusCode)
	}
	require.Equal(t, "unrun", f.post("/e/t1/x").Header.Get("Lf-Outcome"))
	require.Equal(t, http.StatusOK, f.post("/e/t2/x").StatusCode)
	require.Equal(t, http.StatusServiceUnavailable, f.post("/e/t2/x").StatusCode)
}

// Guards against a caller that is told the pause of one target while the event's other targets are
// free, and against a second run of a request that must run at most once.
func TestEventAnswersTurnedAwayRequest(t *testing.T) {
	for name, tt := range map[string]struct {
		outcome    string // header of the target that turns the request away
		once       bool
		status     int
		retryAfter string
		served     int64
	}{
		"repeatable":                 {status: http.StatusOK, served: 1},
		"at most once, not run":      {once: true, outcome: "unrun", status: http.StatusOK, served: 1},
		"at most once, may have run": {once: true, status: http.StatusServiceUnavailable, retryAfter: "1"},
	} {
		t.Run(name, func(t *testing.T) {
			var arrivals atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				arrivals.Add(1)
				w.Header().Set("Retry-After", "60")
				if tt.outcome != "" {
					w.Header().Set("Lf-Outcome", tt.outcome)
				}
				w.WriteHeader(http.StatusServiceUnavailable)
			}))
			t.Cleanup(server.Close)
			busy := fleet.Target{Name: "t1", Address: strings.TrimPrefix(server.URL, "http://"), Kind: fleet.TargetService, Slots: 8}
			free, served := startCountingTarget(t, "t2", http.StatusOK, "X-Other", "1")
			f := startFleet(t, busy, free)
			var header []string
			if tt.once {
				header = []string{"Lf-Repeat", "never", "Idempotency-Key", "k"}
			}
			resp := f.do(http.MethodPost, "/e/all/x", strings.NewReader("hello"), header...)
			require.NoError(t, resp.Body.Close())
			require.EqualValues(t, 1, arrivals.Load())
			require.EqualValues(t, tt.served, served.Load())
			require.Equal(t, tt.status, resp.StatusCode)
			require.Equal(t, tt.retryAfter, resp.Header.Get("Retry-After"))
		})
	}
}
