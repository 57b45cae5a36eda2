package fleet

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func newTestTable(t require.TestingT, matches ...string) *RoutingTable {
	var routes []Route
	for _, match := range matches {
		host, prefix, _ := strings.Cut(match, "/")
		routes = append(routes, Route{Name: match, Host: host, Prefix: "/" + prefix})
	}
	table, err := RoutingTable{}.WithRoutes(routes)
	require.NoError(t, err)
	return &table
}

func TestRouteOfLongestPrefix(t *testing.T) {
	table := newTestTable(t, "a.example/", "a.example/x/", "a.example/x/y/", "b.example/x/")
	tests := []struct{ host, path, want string }{
		{host: "a.example", path: "/", want: "a.example/"},
		{host: "a.example", path: "/x", want: "a.example/"},
		{host: "a.example", path: "/x/", want: "a.example/x/"},
		{host: "A.Example:8080", path: "/x/z", want: "a.example/x/"},
		{host: "a.example", path: "/x/y/z/1", want: "a.example/x/y/"},
		{host: "b.example", path: "/x/1", want: "b.example/x/"},
		{host: "b.example", path: "/y/1"},
		{host: "c.example", path: "/x/1"},
		{host: "a.example", path: ""},
	}
	for _, tt := range tests {
		route, ok := table.Route(tt.host, tt.path)
		require.Equal(t, tt.want != "", ok, "%s%s", tt.host, tt.path)
		if ok {
			require.Equal(t, tt.want, route.Name)
		}
	}
}

// Compares the lookup with a linear scan of all routes.
func TestRouteMatchesLinearScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prefixGenerator := rapid.StringMatching(`/([ab]{0,2}/){0,3}`)
		prefixes := rapid.SliceOfNDistinct(prefixGenerator, 1, 8, rapid.ID).Draw(t, "prefixes")
		path := rapid.StringMatching(`/([ab]{0,2}/){0,4}[ab]{0,2}`).Draw(t, "path")
		var matches []string
		want := ""
		for _, prefix := range prefixes {
			matches = append(matches, "h"+prefix)
			if strings.HasPrefix(path, prefix) && len(prefix) > len(want) {
				want = prefix
			}
		}
		route, ok := newTestTable(t, matches...).Route("h", path)
		require.Equal(t, want != "", ok)
		if ok {
			require.Equal(t, want, route.Prefix)
		}
	})
}

func TestRejectsDuplicateRoute(t *testing.T) {
	_, err := RoutingTable{}.WithRoutes([]Route{{Name: "a", Host: "h", Prefix: "/"}, {Name: "b", Host: "H", Prefix: "/"}})
	var rejected *Error
	require.ErrorAs(t, err, &rejected)
	require.Equal(t, KindInvalidConfig, rejected.Kind)
}

func TestPoolForFollowsWeights(t *testing.T) {
	route := Route{Pools: []PoolWeight{{Pool: "a", Weight: 90}, {Pool: "b", Weight: 10}, {Pool: "c"}}}
	counts := map[string]int{}
	for random := range uint64(1000) {
		counts[route.PoolFor(random)]++
	}
	require.Equal(t, map[string]int{"a": 900, "b": 100}, counts)
	require.Empty(t, (&Route{}).PoolFor(3))
}

func TestAbandonAfter(t *testing.T) {
	require.Equal(t, 2400*time.Millisecond, (&Route{Kind: RouteStream, LatencyObjective: 600 * time.Millisecond, MaxEventGap: 300 * time.Millisecond}).AbandonAfter())
	require.Equal(t, 2*time.Second, (&Route{Kind: RouteStream, LatencyObjective: 100 * time.Millisecond}).AbandonAfter())
	require.Equal(t, time.Second, (&Route{Kind: RouteAtMostOnce, Timeout: time.Second}).AbandonAfter())
}

// Guards against a stream that goes on at a pool to which its route sends no requests any more.
func TestRouteUsesPoolsWithWeight(t *testing.T) {
	route := Route{Pools: []PoolWeight{{Pool: "a", Weight: 1}, {Pool: "drained"}}}
	require.True(t, route.Uses("a"))
	require.False(t, route.Uses("drained"))
	require.False(t, route.Uses("b"))
}
