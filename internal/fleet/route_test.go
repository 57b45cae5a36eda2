package fleet

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func tableOf(t require.TestingT, places ...string) *RoutingTable {
	var routes []Route
	for _, p := range places {
		host, prefix, _ := strings.Cut(p, "/")
		routes = append(routes, Route{Name: p, Host: host, Prefix: "/" + prefix})
	}
	table, err := RoutingTable{}.WithRoutes(routes)
	require.NoError(t, err)
	return &table
}

func TestRouteOfLongestPrefix(t *testing.T) {
	table := tableOf(t, "a.example/", "a.example/x/", "a.example/x/y/", "b.example/x/")
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
		r, ok := table.Route(tt.host, tt.path)
		require.Equal(t, tt.want != "", ok, "%s%s", tt.host, tt.path)
		if ok {
			require.Equal(t, tt.want, r.Name)
		}
	}
}

// TestRouteAgreesWithScan compares the look-up with a scan of all routes.
func TestRouteAgreesWithScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prefix := rapid.StringMatching(`/([ab]{0,2}/){0,3}`)
		prefixes := rapid.SliceOfNDistinct(prefix, 1, 8, rapid.ID).Draw(t, "prefixes")
		path := rapid.StringMatching(`/([ab]{0,2}/){0,4}[ab]{0,2}`).Draw(t, "path")
		var places []string
		want := ""
		for _, p := range prefixes {
			places = append(places, "h"+p)
			if strings.HasPrefix(path, p) && len(p) > len(want) {
				want = p
			}
		}
		r, ok := tableOf(t, places...).Route("h", path)
		require.Equal(t, want != "", ok)
		if ok {
			require.Equal(t, want, r.Prefix)
		}
	})
}

func TestRoutesOfOnePlaceAreRefused(t *testing.T) {
	_, err := RoutingTable{}.WithRoutes([]Route{{Name: "a", Host: "h", Prefix: "/"}, {Name: "b", Host: "H", Prefix: "/"}})
	var refused *Error
	require.ErrorAs(t, err, &refused)
	require.Equal(t, KindInvalidConfig, refused.Kind)
}

func TestPoolForFollowsWeights(t *testing.T) {
	r := Route{Pools: []PoolWeight{{Pool: "a", Weight: 90}, {Pool: "b", Weight: 10}, {Pool: "c"}}}
	count := map[string]int{}
	for draw := range uint64(1000) {
		count[r.PoolFor(draw)]++
	}
	require.Equal(t, map[string]int{"a": 900, "b": 100}, count)
	require.Empty(t, (&Route{}).PoolFor(3))
}

func TestPatience(t *testing.T) {
	require.Equal(t, 2400*time.Millisecond, (&Route{Kind: RouteStream, LatencyObjective: 600 * time.Millisecond, MaxEventGap: 300 * time.Millisecond}).AbandonAfter())
	require.Equal(t, 2*time.Second, (&Route{Kind: RouteStream, LatencyObjective: 100 * time.Millisecond}).AbandonAfter())
	require.Equal(t, time.Second, (&Route{Kind: RouteAtMostOnce, Timeout: time.Second}).AbandonAfter())
}
