package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/gateway"
	"laburnumfall/internal/origin"
	"laburnumfall/internal/standin"
)

// fakeOrigins are origins in memory.
type fakeOrigins struct {
	mu      sync.Mutex
	known   map[string]origin.Origin
	expires map[string]time.Time
}

var _ gateway.Origins = &fakeOrigins{}

// Record implements gateway.Origins.
func (o *fakeOrigins) Record(requestID string, began origin.Origin, expiresAt time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.known[requestID], o.expires[requestID] = began, expiresAt
}

// Find implements gateway.Origins.
func (o *fakeOrigins) Find(_ context.Context, requestID string) (origin.Finding, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if began, ok := o.known[requestID]; ok {
		return origin.Finding{Origin: began, Source: "10.0.0.1:7400"}, nil
	}
	return origin.Finding{}, origin.ErrUnknown
}

// newVersionsTestbed returns a testbed whose targets i-0 and i-1 run the given versions.
func newVersionsTestbed(t *testing.T, versions ...string) (*testbed, *fakeOrigins) {
	origins := &fakeOrigins{known: map[string]origin.Origin{}, expires: map[string]time.Time{}}
	bed := newTestbedWith(t, func(g *gateway.Gateway) { g.Origins = origins })
	var list []fleet.Instance
	for i, target := range bed.targets {
		target.SetVersion(versions[i])
		list = append(list, fleet.Instance{Incarnation: fleet.Incarnation{ID: target.ID, StartMillis: target.StartMillis}, Pool: target.Pool, Address: target.Address, Zone: "z1", Slots: 4, Version: versions[i]})
	}
	bed.gateway.SetTargets(*bed.state.Load(), list)
	return bed, origins
}

// resume resumes a stream after its second event.
func (bed *testbed) resume(resumed string) (*http.Response, string) {
	header := []string{"Authorization", "Bearer good-key", "Last-Event-Id", "2"}
	if resumed != "" {
		header = append(header, "Resumes", resumed)
	}
	resp, body, err := bed.do(http.MethodPost, "/resume/stream", "x", header...)
	require.NoError(bed.t, err)
	return resp, body
}

// Guards against a caller's stream that goes on at a software version that did not begin it, or at one
// that is not known.
func TestCallerResumesAtVersionOfItsStream(t *testing.T) {
	bed, origins := newVersionsTestbed(t, "v1", "v2")
	origins.known["began"] = origin.Origin{Pool: "plain", Version: "v2"}
	origins.known["gone"] = origin.Origin{Pool: "plain", Version: "v0"}
	origins.known["moved"] = origin.Origin{Pool: "elsewhere", Version: "v1"}
	for range 10 {
		resp, body := bed.resume("began")
		require.Equal(t, http.StatusOK, resp.StatusCode)
		require.Equal(t, "id: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\nid: 5\ndata: piece 5\n\n", body)
	}
	require.Empty(t, bed.targets[0].Runs())
	require.Len(t, bed.targets[1].Runs(), 10)
	for _, resumed := range []string{"unknown", "gone", "moved", ""} {
		resp, body := bed.resume(resumed)
		require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode, resumed)
		require.NotEmpty(t, resp.Header.Get("Retry-After"))
		require.Contains(t, body, "start the stream again without Last-Event-Id")
	}
	require.Len(t, bed.runs(), 10)
}

// Guards against refusing callers that do not name their stream where there is only one version.
func TestUnnamedStreamResumesAtOnlyVersion(t *testing.T) {
	bed, _ := newVersionsTestbed(t, "", "")
	resp, _ := bed.resume("")
	require.Equal(t, http.StatusOK, resp.StatusCode, "no target states a version")
	bed, _ = newVersionsTestbed(t, "v1", "v1")
	resp, _ = bed.resume("")
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode, "there may have been others before this router started")
	require.Empty(t, bed.runs())
}

// Guards against a stream that is forgotten before its caller gives up, which may be after the route's
// timeout, or that is not recorded when it was resumed.
func TestRecordsOriginUntilCallerGivesUp(t *testing.T) {
	bed, origins := newVersionsTestbed(t, "v1", "v1")
	sentAt := bed.gateway.Clock.Now()
	resp, _, err := bed.do(http.MethodPost, "/resume/stream", "x", "Authorization", "Bearer good-key", "X-Deadline-Ms", "60000")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Equal(t, origin.Origin{Pool: "plain", Version: "v1"}, origins.known["id-1"])
	require.False(t, origins.expires["id-1"].Before(sentAt.Add(time.Minute)))
	resp, _ = bed.resume("id-1")
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Contains(t, origins.known, "id-2")

	_, _, err = bed.do(http.MethodPost, "/stream/stream", "x", "Authorization", "Bearer good-key")
	require.NoError(t, err)
	require.NotContains(t, origins.known, "id-3", "this route's streams cannot be resumed")
}

// Guards against a stream whose rest comes from another version within one response, and against one that
// waits for a version that no target runs any more.
func TestBrokenOffStreamEndsWithoutTargetOfItsVersion(t *testing.T) {
	bed, _ := newVersionsTestbed(t, "v1", "v2")
	attempts := bed.breakOffOnce(standin.FramedResponse{Framing: fleet.FramingChunked, Body: "id: 1\ndata: piece 1\n\n", Reset: true})
	first := ""
	fault := bed.site.Fault
	bed.site.Fault = func(target *standin.PlatformTarget, w http.ResponseWriter, r *http.Request) bool {
		if attempts.Load() == 0 {
			first = target.ID
			var rest []fleet.Instance
			for _, other := range bed.targets {
				if other != target {
					rest = append(rest, fleet.Instance{Incarnation: fleet.Incarnation{ID: other.ID, StartMillis: other.StartMillis}, Pool: other.Pool, Address: other.Address, Zone: "z1", Slots: 4, Version: other.Version()})
				}
			}
			bed.gateway.SetTargets(*bed.state.Load(), rest)
		}
		return fault(target, w, r)
	}
	_, body, err := bed.ask("/resume/stream", "HTTP/1.1\r\n")
	require.Error(t, err)
	require.Equal(t, "id: 1\ndata: piece 1\n\n", body)
	require.EqualValues(t, 1, attempts.Load(), fmt.Sprint("after ", first))
}
