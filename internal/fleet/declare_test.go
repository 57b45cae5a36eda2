package fleet

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/tomlfile"
)

const configWithRoutes = `number = 3
capacity = 5000.0
[limits]
body = 70000
idle = "20s"
[[account]]
name = "regina"
share = 1.0
keys = ["sha256:c48a01f49fd0f2cc404bc3cbbc80e91457a3d41bb429a695243de4c61794155c"]
[[target]]
name = "a1"
address = "127.0.0.1:9001"
zone = "z1"
kind = "engine"
slots = 8
[[target]]
name = "a2"
address = "127.0.0.1:9002"
zone = "z2"
kind = "engine"
slots = 4
state = "leaving"
[[pool]]
name = "engines"
targets = ["a1", "a2"]
[[route]]
name = "notes"
host = "h.example"
prefix = "/notes/"
kind = "stream"
resume = true
timeout = "8s"
pause = "300ms"
rank = 1
attempts = 2
pools = [{ pool = "engines", weight = 3 }]
`

func TestRoutingTableFromConfig(t *testing.T) {
	config, err := ParseConfig("fleet.toml", []byte(configWithRoutes))
	require.NoError(t, err)
	table, err := config.RoutingTable()
	require.NoError(t, err)
	route, ok := table.Route("h.example", "/notes/1")
	require.True(t, ok)
	require.Equal(t, Route{
		Name: "notes", Host: "h.example", Prefix: "/notes/", Kind: RouteStream, Resumable: true, Timeout: 8 * time.Second,
		LatencyObjective: 2 * time.Second, MaxEventGap: 300 * time.Millisecond, Priority: 1, MaxAttempts: 2, Pools: []PoolWeight{{Pool: "engines", Weight: 3}},
	}, *route)
	require.Equal(t, KeyOwner{Account: "regina"}, table.KeyOwners[config.Accounts[0].Keys[0]])
	require.Equal(t, 5000.0, table.Capacity)
	require.Equal(t, CallerLimits{MaxBodyBytes: 70000, IdleTimeout: 20 * time.Second}, table.Limits)
	require.Equal(t, []Instance{
		{Incarnation: Incarnation{ID: "engines/a1"}, Pool: "engines", Address: "127.0.0.1:9001", Zone: "z1", Slots: 8},
		{Incarnation: Incarnation{ID: "engines/a2"}, Pool: "engines", Address: "127.0.0.1:9002", Zone: "z2", Slots: 4, Leaving: true},
	}, config.Instances(nil))
	require.True(t, config.Instances([]string{"a1"})[0].Leaving)
	text, err := config.TOML()
	require.NoError(t, err)
	decoded, err := ParseConfig("fleet.toml", text)
	require.NoError(t, err)
	require.Equal(t, config.Digest(), decoded.Digest())
}

func TestConfigErrorNamesKey(t *testing.T) {
	for _, tt := range []struct{ from, to, key string }{
		{from: `"/notes/"`, to: `"notes"`, key: "route.0.prefix"},
		{from: `"stream"`, to: `"sometimes"`, key: "route.0.kind"},
		{from: `"stream"`, to: `"once"`, key: "route.0.resume"},
		{from: `timeout = "8s"`, to: ``, key: "route.0.timeout"},
		{from: `"8s"`, to: `"8"`, key: ""},
		{from: `weight = 3`, to: `weight = 0`, key: "route.0.pools"},
		{from: `pool = "engines"`, to: `pool = "none"`, key: "route.0.pools"},
		{from: `["a1", "a2"]`, to: `["a3"]`, key: "pool.0.targets"},
		{from: `host = "h.example"`, to: ``, key: "route.0.host"},
		{from: `capacity = 5000.0`, to: `capacity = -1.0`, key: "capacity"},
		{from: `body = 70000`, to: `body = -1`, key: "limits"},
	} {
		require.Contains(t, configWithRoutes, tt.from)
		_, err := ParseConfig("fleet.toml", []byte(strings.Replace(configWithRoutes, tt.from, tt.to, 1)))
		var fault *tomlfile.Error
		require.ErrorAs(t, err, &fault, tt.to)
		require.NotEmpty(t, fault.Remedy)
		if tt.key != "" {
			require.Equal(t, tt.key, fault.Key)
		}
	}
}
