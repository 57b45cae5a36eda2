package cmd

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/standin"
)

const promptPartsConfig = `{"version":1,"routes":[
{"name":"drafts","hostname":"h.example","path_prefix":"/drafts/","route_type":"streaming","timeout_ms":8000,"target_latency_ms":500,"service":"plain","max_attempts":1,"sticky":true},
{"name":"resumable","hostname":"h.example","path_prefix":"/resumable/","route_type":"streaming","timeout_ms":8000,"target_latency_ms":500,"service":"plain","max_attempts":2,"sticky":true,"resumable":true}],
"services":[{"name":"plain","health_path":"/healthz","max_conns":500}],
"limits":{"max_header_bytes":16384,"max_body_bytes":100000,"header_timeout_ms":3000,"idle_timeout_ms":15000,"tokens_per_s":100000},
"tenants":[{"name":"acme","api_keys":["good-key"],"priority":1}]}`

const (
	// firstPart is the first part of the prompt of all requests that crash nothing.
	firstPart = "a1"
	// secondPartCount is the number of second parts that those requests share.
	secondPartCount = 30
	// crashingPart and otherCrashingPart crash each target that begins to answer a prompt with them.
	crashingPart, otherCrashingPart = "dead1", "dead2"

	promptPartRouters = 3
	promptPartTargets = 8
	// soundInterval is the interval between two requests that crash nothing.
	soundInterval = 20 * time.Millisecond
	// targetEventInterval is the time between two events of a stream, and crashDelay the time from
	// the beginning of an answer to the crash.
	targetEventInterval, crashDelay = 150 * time.Millisecond, 100 * time.Millisecond
	targetDowntime                  = 2500 * time.Millisecond

	// partContact is the time after the fifth crash after which at most maxLateSends more requests
	// with the part may reach targets. From twice that time on, at least minBegunRatio of the usual
	// fraction of the other requests must be served at the first attempt.
	partContact      = 3 * time.Second
	crashesAllowed   = 5
	maxLateSends     = 3
	minBegunRatio    = 0.5
	usualServiceTime = 3 * time.Second
	partLoadTime     = 20 * time.Second
	maxPartLoadTime  = 60 * time.Second
	minSoundRequests = 20
)

// A promptPartFleet is a fleet with callers whose prompts share parts. A part of some prompts crashes
// the targets.
type promptPartFleet struct {
	*platformFleet
	pathPrefix string
	// unframed says that the answer of a target that crashes has no length and ends with its connection,
	// between two events.
	unframed bool

	mu       sync.Mutex
	crashes  map[string][]time.Time // by part
	sends    map[string][]time.Time // by part
	requests []soundRequest
	targets  int // started so far
	stopped  bool
	restarts sync.WaitGroup
}

type soundRequest struct {
	sentAt time.Time
	served bool
}

func newPromptPartFleet(t *testing.T, pathPrefix string) *promptPartFleet {
	f := &promptPartFleet{platformFleet: newPlatformFleet(t), pathPrefix: pathPrefix, crashes: map[string][]time.Time{}, sends: map[string][]time.Time{}}
	for _, target := range f.platform.AllIncarnations() {
		f.platform.Remove(target)
	}
	f.platform.Fault = f.answer
	for range promptPartTargets {
		f.startTarget()
	}
	for i := range platformKeepers {
		f.startKeeper(i, true)
	}
	for i := range promptPartRouters {
		f.startRouter(i)
	}
	require.Eventually(t, func() bool {
		status, _ := f.operator().PutConfig(0, promptPartsConfig)
		return status == http.StatusOK
	}, waitTimeout, pollInterval)
	for i := range promptPartRouters {
		require.Eventually(t, func() bool { return f.stream(i, "ready", firstPart, "b0", "1") }, waitTimeout, pollInterval)
	}
	t.Cleanup(func() {
		f.mu.Lock()
		f.stopped = true
		f.mu.Unlock()
		f.restarts.Wait()
	})
	return f
}

func (f *promptPartFleet) startTarget() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopped {
		return
	}
	f.targets++
	_, err := f.platform.Add(fmt.Sprint("i-part-", f.targets), "plain", "z1", "127.0.3.1:0", 64)
	require.NoError(f.t, err)
}

// answer answers a request with a stream. A part of the prompt may crash the target soon after the
// stream has begun.
func (f *promptPartFleet) answer(target *standin.PlatformTarget, w http.ResponseWriter, r *http.Request) bool {
	prefix := r.Header.Get("X-Prefix-Hash")
	if prefix == "" {
		return false
	}
	target.RecordRun(r)
	target.WriteHeaders(w, r)
	for _, part := range []string{crashingPart, otherCrashingPart} {
		if strings.Contains(prefix, part+":") {
			f.record(f.sends, part)
			if f.unframed {
				f.crashUnframed(target, w, part)
				return true
			}
			target.WriteEvents(w, 1, 1)
			time.Sleep(crashDelay)
			f.crash(target, part)
			panic(http.ErrAbortHandler)
		}
	}
	for event := 1; event <= standin.StreamEvents; event++ {
		target.WriteEvents(w, event, event)
		select {
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		case <-time.After(targetEventInterval):
		}
	}
	return true
}

func (f *promptPartFleet) crashUnframed(target *standin.PlatformTarget, w http.ResponseWriter, part string) {
	header := w.Header().Clone()
	header.Set("Content-Type", "text/event-stream")
	time.Sleep(crashDelay)
	_ = standin.FramedResponse{Framing: fleet.FramingClose, Header: header, Body: "id: 1\ndata: piece 1\n\n"}.WriteTo(w) // the caller may have left
	f.crash(target, part)
}

func (f *promptPartFleet) record(times map[string][]time.Time, part string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	times[part] = append(times[part], time.Now())
}

// crash ends a target, unless it has ended already, and starts another one later.
func (f *promptPartFleet) crash(target *standin.PlatformTarget, part string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopped || !f.platform.IsListed(target) {
		return
	}
	f.crashes[part] = append(f.crashes[part], time.Now())
	f.platform.Remove(target)
	f.restarts.Go(func() {
		time.Sleep(targetDowntime)
		f.startTarget()
	})
}

// stream sends a request whose prompt consists of the parts, and reports whether the complete answer has
// arrived.
func (f *promptPartFleet) stream(router int, id string, parts ...string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	url := "http://" + f.address(f.routerIP(router), standin.CallerPort) + f.pathPrefix + id
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("body of "+id))
	if err != nil {
		return false
	}
	req.Host = "h.example"
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Deadline-Ms", "8000")
	req.Header.Set("X-Model", "m")
	req.Header.Set("X-Token-Count", "60,5")
	req.Header.Set("X-Prefix-Hash", strings.Join(parts, ":20,")+":20")
	req.Header.Set("Authorization", "Bearer good-key")
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }() // it has been read
	events := 0
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		if strings.HasPrefix(lines.Text(), "id: ") {
			events++
		}
	}
	return resp.StatusCode == http.StatusOK && events == standin.StreamEvents
}

// sendSound sends requests that crash nothing until the context ends.
func (f *promptPartFleet) sendSound(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(soundInterval):
		}
		running.Go(func() {
			request := soundRequest{sentAt: time.Now()}
			request.served = f.stream(i%promptPartRouters, fmt.Sprint("sound-", i), firstPart, fmt.Sprintf("b%d", i%secondPartCount), fmt.Sprintf("c%x", i))
			f.mu.Lock()
			defer f.mu.Unlock()
			f.requests = append(f.requests, request)
		})
	}
}

// leadingKeeper returns the keeper that leads, as the logs of the keepers say.
func (f *promptPartFleet) leadingKeeper() int {
	leader, leaderTerm := 0, uint64(0)
	for i := range platformKeepers {
		log, err := os.ReadFile(filepath.Join(f.folder, fmt.Sprintf("k%d.log", i)))
		require.NoError(f.t, err)
		for line := range strings.Lines(string(log)) {
			var leading struct {
				Message string `json:"@message"`
				Term    uint64 `json:"term"`
			}
			if json.Unmarshal([]byte(line), &leading) == nil && leading.Message == "leading" && leading.Term > leaderTerm {
				leader, leaderTerm = i, leading.Term
			}
		}
	}
	return leader
}
