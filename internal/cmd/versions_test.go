package cmd

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"laburnumfall/internal/standin"
)

const versionsConfig = `{"version":1,"routes":[
{"name":"within","hostname":"h.example","path_prefix":"/within/","route_type":"streaming","timeout_ms":8000,"target_latency_ms":500,"service":"plain","max_attempts":3,"resumable":true,"anonymous":true},
{"name":"once","hostname":"h.example","path_prefix":"/once/","route_type":"streaming","timeout_ms":8000,"target_latency_ms":500,"service":"plain","max_attempts":1,"resumable":true,"anonymous":true}],
"services":[{"name":"plain","health_path":"/healthz","max_conns":500}],
"limits":{"max_header_bytes":16384,"max_body_bytes":100000,"header_timeout_ms":3000,"idle_timeout_ms":15000,"tokens_per_s":100000}}`

// A versionsFleet is a fleet with two routers, in two zones, before two targets of each of two versions.
type versionsFleet struct {
	*platformFleet
	mu    sync.Mutex
	holds map[string]bool // by path; targets keep streams open after their first events
}

const resumedStreams = 40

func newVersionsFleet(t *testing.T) *versionsFleet {
	f := &versionsFleet{platformFleet: newPlatformFleet(t), holds: map[string]bool{}}
	for i := range 2 {
		_, err := f.platform.Add(fmt.Sprintf("i-%d", 2+i), "plain", "z1", "127.0.3.1:0", 8)
		require.NoError(t, err)
	}
	for i, target := range f.platform.AllIncarnations() {
		target.SetVersion([]string{"v1", "v1.2"}[i%2])
	}
	f.platform.Fault = f.breakOff
	for i := range platformKeepers {
		f.startKeeper(i, true)
	}
	for i := range 2 {
		f.startRouterInZone(i)
	}
	require.Eventually(t, func() bool {
		status, _ := f.operator().PutConfig(0, versionsConfig)
		return status == http.StatusOK
	}, waitTimeout, pollInterval)
	for i := range 2 {
		f.awaitServing(i)
	}
	time.Sleep(peersSettleTime)
	return f
}

// peersSettleTime is how long after its start a fleet knows all its routers.
const peersSettleTime = 6 * time.Second

func (f *versionsFleet) startRouterInZone(i int) {
	name, ip := fmt.Sprintf("r%d", i), f.routerIP(i)
	f.startWithSettings("lf-router", name, f.writeSettingsInZone(name, ip, fmt.Sprintf("z%d", i+1), true))
}

func (f *versionsFleet) awaitServing(router int) {
	require.Eventually(f.t, func() bool { return f.requestStatus(router, "/once/x") == http.StatusOK }, waitTimeout, pollInterval)
}

// breakOff ends a new stream after two events, or keeps it open. A resumed stream is served to its end.
func (f *versionsFleet) breakOff(target *standin.PlatformTarget, w http.ResponseWriter, r *http.Request) bool {
	if !strings.HasSuffix(r.URL.Path, "/stream") || r.Header.Get("Last-Event-Id") != "" {
		return false
	}
	target.RecordRun(r)
	target.WriteHeaders(w, r)
	target.WriteEvents(w, 1, 2)
	if f.isHeld(r.URL.Path) {
		select {
		case <-r.Context().Done():
		case <-time.After(10 * time.Second):
		}
	}
	panic(http.ErrAbortHandler)
}

func (f *versionsFleet) isHeld(path string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.holds[path]
}

func (f *versionsFleet) hold(path string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.holds[path] = true
}

// stream sends one attempt at a stream to a router. It returns the status, or 0 without a response, and
// the number of events received. If received is set, it is called after two events.
func (f *versionsFleet) stream(router int, path, id, resumes string, received func()) (status, events int) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.address(f.routerIP(router), standin.CallerPort)+path, nil)
	if err != nil {
		return 0, 0
	}
	req.Host = "h.example"
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Deadline-Ms", "8000")
	if resumes != "" {
		req.Header.Set("Resumes", resumes)
		req.Header.Set("Last-Event-Id", "2")
	}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return 0, 0
	}
	defer func() { _ = resp.Body.Close() }() // it has been read
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "id: ") {
			if events++; events == 2 && received != nil {
				received()
			}
		}
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, events
}

// streamsOfTwoVersions returns how many streams ran at targets of two versions. A stream consists of the
// attempts whose IDs begin with the same name and a dash.
func (f *versionsFleet) streamsOfTwoVersions(test string) int {
	versions := map[string]map[string]bool{}
	for _, target := range f.platform.AllIncarnations() {
		for _, run := range target.Runs() {
			name, _, _ := strings.Cut(run.RequestID, "-")
			if strings.HasPrefix(name, test) {
				if versions[name] == nil {
					versions[name] = map[string]bool{}
				}
				versions[name][target.Version()] = true
			}
		}
	}
	mixed := 0
	for _, seen := range versions {
		if len(seen) > 1 {
			mixed++
		}
	}
	return mixed
}

// Guards against a stream that goes on at another software version than the one that began it.
func TestStreamGoesOnAtItsVersion(t *testing.T) {
	f := newVersionsFleet(t)
	t.Run("within one response", func(t *testing.T) {
		whole := 0
		for i := range resumedStreams {
			if _, events := f.stream(0, "/within/stream", fmt.Sprintf("within%d-1", i), "", nil); events == standin.StreamEvents {
				whole++
			}
		}
		require.Zero(t, f.streamsOfTwoVersions("within"))
		require.GreaterOrEqual(t, whole, resumedStreams/2)
	})
	for name, router := range map[string]int{"same": 0, "other": 1} {
		t.Run("caller comes back to the "+name+" router", func(t *testing.T) {
			served := 0
			for i := range resumedStreams {
				id := fmt.Sprintf("%s%d", name, i)
				_, events := f.stream(0, "/once/stream", id+"-1", "", nil)
				require.Equal(t, 2, events)
				if status, events := f.stream(router, "/once/stream", id+"-2", id+"-1", nil); status == http.StatusOK && events == standin.StreamEvents-2 {
					served++
				}
			}
			require.Zero(t, f.streamsOfTwoVersions(name))
			require.GreaterOrEqual(t, served, resumedStreams/2)
		})
	}
	t.Run("attempt is not known", func(t *testing.T) {
		for i := range resumedStreams {
			status, _ := f.stream(i%2, "/once/stream", fmt.Sprintf("unknown%d-2", i), fmt.Sprintf("unknown%d-1", i), nil)
			require.Equal(t, http.StatusServiceUnavailable, status)
		}
		for _, target := range f.platform.AllIncarnations() {
			for _, run := range target.Runs() {
				require.NotContains(t, run.RequestID, "unknown")
			}
		}
	})
	t.Run("router was killed", func(t *testing.T) {
		f.hold("/once/hold/stream")
		var streams, begun errgroup.Group
		for i := range resumedStreams / 2 {
			received := make(chan struct{})
			begun.Go(func() error { <-received; return nil })
			streams.Go(func() error {
				f.stream(0, "/once/hold/stream", fmt.Sprintf("killed%d-1", i), "", func() { close(received) })
				return nil
			})
		}
		require.NoError(t, begun.Wait())
		require.Error(t, f.signalAndWait("r0", syscall.SIGKILL))
		require.NoError(t, streams.Wait())
		served := 0
		for i := range resumedStreams / 2 {
			id := fmt.Sprintf("killed%d", i)
			if status, events := f.stream(1, "/once/hold/stream", id+"-2", id+"-1", nil); status == http.StatusOK && events == standin.StreamEvents-2 {
				served++
			}
		}
		require.Zero(t, f.streamsOfTwoVersions("killed"))
		require.GreaterOrEqual(t, served, resumedStreams/4)
	})
}
