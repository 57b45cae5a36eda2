package message

import (
	"encoding/base64"
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"laburnumfall/internal/quarantine"
	"laburnumfall/internal/warmup"
)

var typicalRenew = RenewRequest{
	Router: "edge-saskatoon-hall-24", Zone: "saskatoon-hall", Incarnation: 1768162640001967916, Number: 2, Term: 1, ListRevision: 7, AcceptsColumns: true,
	WarmupLease: warmup.Lease{Number: 68, Total: 86, Ready: true},
	Demand:      []Demand{{Account: "dele205", Rate: 22, Served: 22}, {Account: "lobo7613", Rate: 20035, Served: 19000}, {Account: "noka630", Rate: 91, Served: 91}},
	Backlog:     []Backlog{{Target: "i-9e2dcdc56a", StartMillis: 1768162640001, Tokens: 9000, Running: 1}, {Target: "i-77c0e2f1aa", StartMillis: 1768162640001, Running: 2}},
	Quarantine:  &quarantine.Report{},
}

func TestPackUnpackRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		request := RenewRequest{Router: rapid.String().Draw(t, "router"), Incarnation: rapid.Uint64().Draw(t, "inc"), KeepersDigest: rapid.Uint32().Draw(t, "members")}
		for _, name := range rapid.SliceOfN(rapid.StringMatching("[a-z0-9]{0,9}"), 0, 40).Draw(t, "accounts") {
			request.Demand = append(request.Demand, Demand{Account: name, Rate: rapid.Float64Range(0, 1e7).Draw(t, "rate")})
		}
		packed, err := request.Pack()
		require.NoError(t, err)
		unpacked, err := packed.Unpack()
		require.NoError(t, err)
		require.Equal(t, request, unpacked)
	})
}

func TestPackedRenewSize(t *testing.T) {
	text, err := json.Marshal(typicalRenew)
	require.NoError(t, err)
	packed, err := typicalRenew.Pack()
	require.NoError(t, err)
	encoded, err := json.Marshal(packed)
	require.NoError(t, err)
	require.Less(t, len(encoded), len(text)*6/10)
}

// Guards against keepers that cannot read renewals packed by routers of an earlier version.
func TestUnpackOfPreviousVersion(t *testing.T) {
	text, err := base64.StdEncoding.DecodeString(packedByFirstVersion)
	require.NoError(t, err)
	request, err := PackedRenewRequest{PackedText: text}.Unpack()
	require.NoError(t, err)
	require.Equal(t, typicalRenew, request)
}

// packedByFirstVersion is typicalRenew as the first version of the packed form encoded it.
const packedByFirstVersion = "jJLRDoIwDEW/iKQt0NHPqVvVhIU94Kv/btRkHRLU591uZ7enIbF0sW7VddZbKUt31Zw7Gpxve+S0PCETDwCAwkGQHZ92+OEnPk9v" +
	"/on/+kCybARjrZbI6yfa9p/LqQTG3sMA/eh5FICPlS1lVu6hTgh6XF5uHOgnRimmOLI2XjVVuZPPR79oGUIEozPq4UV1lPau3h8B" +
	"AAD//w=="
