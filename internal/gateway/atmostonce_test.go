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

// onceRequests is how many requests each seed of the property below sends.
const onceRequests = 240

// Each request gets one answer, its own and whole; what may not be repeated runs once
// at most; what was told not to have run never does. Whatever targets do, in any
// mixture, with many requests at a time.
func TestOnceOnlyThroughRoutesUnderAnyFaults(t *testing.T) {
	names := slices.Sorted(maps.Keys(misdeeds))
	for seed := range uint64(2) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			b := newBed(t)
			var mu sync.Mutex
			attempts := map[string]int{}
			b.site.Fault = func(s *standin.SiteTarget, w http.ResponseWriter, r *http.Request) bool {
				id := r.Header.Get("X-Attempt-Id")
				if id == "" {
					return false
				}
				mu.Lock()
				attempts[id]++
				h := fnv.New64a()
				_, _ = fmt.Fprint(h, seed, id, attempts[id]) // a hash takes all
				mu.Unlock()
				draw := rand.New(rand.NewPCG(h.Sum64(), seed))
				if draw.IntN(2) == 0 {
					return false
				}
				name := names[draw.IntN(len(names))]
				if name == "broken stream" && !strings.HasSuffix(r.URL.Path, "stream") {
					name = "short"
				}
				misdeeds[name](s, w, r)
				return true
			}
			answers := b.flood(onceRequests)
			runs := map[string]int{}
			for _, r := range b.runs() {
				runs[r.Header.Get("X-Attempt-Id")]++
			}
			served := 0
			for id, a := range answers {
				a.check(t, id, runs[id])
				if a.status == http.StatusOK {
					served++
				}
			}
			require.Greater(t, served, onceRequests/4)
		})
	}
}

// An onceAnswer is what a caller got.
type onceAnswer struct {
	path   string
	status int
	text   string
	whole  bool
}

func (a onceAnswer) check(t *testing.T, id string, runs int) {
	t.Helper()
	repeatable := strings.HasPrefix(a.path, "/whole/") || strings.HasPrefix(a.path, "/resume/")
	if !repeatable {
		require.LessOrEqual(t, runs, 1, "%s %s", id, a.path)
	}
	require.LessOrEqual(t, runs, 2, "%s: more than its attempts", id)
	switch a.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		require.Zero(t, runs, "%s %s was told that it has not run", id, a.path)
	case http.StatusOK:
		require.Positive(t, runs)
		want := "ran " + id + " x"
		if strings.HasSuffix(a.path, "stream") {
			want = ""
			for i := 1; i <= standin.SiteEvents; i++ {
				want += fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i)
			}
		}
		if a.whole {
			require.Equal(t, want, a.text, "%s %s", id, a.path)
		} else {
			require.True(t, strings.HasPrefix(want, a.text), "%s %s: %q", id, a.path, a.text)
		}
	}
}

// flood sends requests on all kinds of routes, many at a time.
func (b *bed) flood(count int) map[string]onceAnswer {
	paths := []string{"/once/x", "/twice/x", "/whole/x", "/resume/stream", "/stream/stream"}
	answers := make(map[string]onceAnswer, count)
	var mu sync.Mutex
	var all sync.WaitGroup
	gate := make(chan struct{}, 24)
	for i := range count {
		path := paths[i%len(paths)]
		req := b.request(context.Background(), http.MethodPost, path, "x", "Authorization", "Bearer good-key")
		gate <- struct{}{}
		all.Go(func() {
			defer func() { <-gate }()
			a := onceAnswer{path: path}
			resp, err := b.client.Do(req)
			if err == nil {
				text, readErr := io.ReadAll(resp.Body)
				_ = resp.Body.Close() // it was read
				a.status, a.text, a.whole = resp.StatusCode, string(text), readErr == nil
			}
			mu.Lock()
			defer mu.Unlock()
			answers[req.Header.Get("X-Attempt-Id")] = a
		})
	}
	all.Wait()
	time.Sleep(50 * time.Millisecond) // a request that runs later would show now
	return answers
}
