package keeperclient

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/codec"
	"laburnumfall/internal/fleet"
	"laburnumfall/internal/message"
	"laburnumfall/internal/placement"
)

// Guards against responses of any keeper version that corrupt the client's state: duplicate IDs
// in the list of targets, a list that counts as newer than its request, and a later list that no
// longer takes effect.
func FuzzRenewal(f *testing.F) {
	packedTargets, err := codec.CompressJSON([]fleet.Instance{newInstance("a", 5, false), newInstance("a", 4, true), newInstance("", 0, false)})
	require.NoError(f, err)
	packedLoads, err := codec.CompressJSON(message.Loads{Accounts: []string{"x"}, Rates: []int{-5}, Served: []int{1 << 62}, Tokens: []int{-1, 1 << 62, 3}, Running: []int{1, 2, 3}})
	require.NoError(f, err)
	for _, response := range []message.RenewResponse{
		{Leads: true, Term: 1, Number: 3, PackedConfig: []byte("3"), ListRevision: 1, PackedTargets: packedTargets, PackedLoads: packedLoads, Damaged: []string{"a", ""}, ListAge: -time.Hour},
		{Leads: true, Term: 1, Number: 2, ListRevision: 1, Targets: []fleet.Instance{newInstance("b", -5, false)}, Backlog: []message.Backlog{{Target: "b", Tokens: -7}}},
		{Leads: true, ListRevision: 1, PackedTargets: []byte{0x1f}, PackedLoads: []byte("x"), ListAge: 1 << 62},
	} {
		data, err := json.Marshal(response)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Add([]byte(`{"leads":true,"list":1,"targets":[null,{"born":1e3}],"keepers":null}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var response message.RenewResponse
		if json.Unmarshal(data, &response) != nil {
			return
		}
		client := newClient(&fakeList{})
		placer := &placement.Placer{}
		now := client.Clock.Now()
		client.OnChange = func(_ State, targets []fleet.Instance) { placer.SetTargets(now, targets) }
		client.OnFleetLoad = func(now time.Time, _ []message.Demand, backlog []message.Backlog) {
			placer.SetRemoteBacklog(now, backlog)
		}
		client.receiveTargets(t, now.Add(-time.Minute), 1, newInstance("before", 1, false))
		client.applyLeaderResponse(now, "k", nil, response)
		client.applyLeaderResponse(now, "k", nil, response)
		seen := map[string]bool{}
		for _, instance := range client.knownTargets.Targets() {
			require.False(t, seen[instance.ID])
			seen[instance.ID] = true
		}
		require.False(t, client.knownTargets.ReadAt().After(now), "a list must not be newer than its request")
		if choice, ok := placer.Choose(now, placement.Request{Pool: "p"}); ok {
			placer.StartAttempt(now, choice, placement.Request{Pool: "p"})
			placer.EndAttempt(now, choice, placement.Served)
		}
		client.receiveTargets(t, now.Add(time.Second), 9, newInstance("next", 1, false))
		require.Equal(t, []fleet.Instance{newInstance("next", 1, false)}, client.knownTargets.Targets())
	})
}
