package gateway_test

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/standin"
)

// requestsPerSeed is how many requests the random tests send per seed.
const requestsPerSeed = 240

// Guards against wrong responses and repeated runs under concurrent random faults of targets. Each
// request gets its own response, complete or visibly truncated. Requests on at-most-once routes run
// at most once, and requests that are reported as not run never run.
func TestAtMostOnceUnderRandomFaults(t *testing.T) {
	faultNames := slices.Sorted(maps.Keys(targetFaults))
	for seed := range uint64(2) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			bed := newTestbed(t)
			var mu sync.Mutex
			attempts := map[string]int{}
			bed.site.Fault = func(target *standin.PlatformTarget, w http.ResponseWriter, r *http.Request) bool {
				id := r.Header.Get("X-Attempt-Id")
				if id == "" {
					return false
				}
				mu.Lock()
				attempts[id]++
				hash := fnv.New64a()
				_, _ = fmt.Fprint(hash, seed, id, attempts[id]) // a hash never returns an error
				mu.Unlock()
				random := rand.New(rand.NewPCG(hash.Sum64(), seed))
				if random.IntN(2) == 0 {
					return false
				}
				name := faultNames[random.IntN(len(faultNames))]
				if name == "broken stream" && !strings.HasSuffix(r.URL.Path, "stream") {
					name = "short"
				}
				targetFaults[name](target, w, r)
				return true
			}
			responses := bed.sendRequests(requestsPerSeed)
			runs := map[string]int{}
			for _, run := range bed.runs() {
				runs[run.Header.Get("X-Attempt-Id")]++
			}
			served := 0
			for id, response := range responses {
				response.check(t, id, runs[id])
				if response.status == http.StatusOK {
					served++
				}
			}
			require.Greater(t, served, requestsPerSeed/4)
		})
	}
}

// A callerResponse is the response that a caller received.
type callerResponse struct {
	path     string
	status   int
	body     string
	complete bool
}

func (response callerResponse) check(t *testing.T, id string, runCount int) {
	t.Helper()
	repeatable := strings.HasPrefix(response.path, "/whole/") || strings.HasPrefix(response.path, "/resume/")
	if !repeatable {
		require.LessOrEqual(t, runCount, 1, "%s %s", id, response.path)
	}
	require.LessOrEqual(t, runCount, 2, "%s: more runs than attempts", id)
	switch response.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		require.Zero(t, runCount, "%s %s was reported as not run", id, response.path)
	case http.StatusOK:
		require.Positive(t, runCount)
		want := "ran " + id + " x"
		if strings.HasSuffix(response.path, "stream") {
			want = ""
			for i := 1; i <= standin.StreamEvents; i++ {
				want += fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i)
			}
		}
		if response.complete {
			require.Equal(t, want, response.body, "%s %s", id, response.path)
		} else {
			require.True(t, strings.HasPrefix(want, response.body), "%s %s: %q", id, response.path, response.body)
		}
	}
}

// sendRequests sends requests on routes of all kinds, up to 24 at a time, and returns the responses
// by request ID.
func (bed *testbed) sendRequests(count int) map[string]callerResponse {
	paths := []string{"/once/x", "/twice/x", "/whole/x", "/resume/stream", "/stream/stream"}
	responses := make(map[string]callerResponse, count)
	var mu sync.Mutex
	var requests sync.WaitGroup
	concurrency := make(chan struct{}, 24)
	for i := range count {
		path := paths[i%len(paths)]
		req := bed.newRequest(context.Background(), http.MethodPost, path, "x", "Authorization", "Bearer good-key")
		concurrency <- struct{}{}
		requests.Go(func() {
			defer func() { <-concurrency }()
			response := callerResponse{path: path}
			resp, err := bed.client.Do(req)
			if err == nil {
				body, readErr := io.ReadAll(resp.Body)
				_ = resp.Body.Close() // it has been read
				response.status, response.body, response.complete = resp.StatusCode, string(body), readErr == nil
			}
			mu.Lock()
			defer mu.Unlock()
			responses[req.Header.Get("X-Attempt-Id")] = response
		})
	}
	requests.Wait()
	time.Sleep(50 * time.Millisecond) // so that a late run is counted
	return responses
}
