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

// Whatever a keeper answers, of this version or another: a router takes it, goes by one
// entry for each ID, never goes back to a lower configuration, and its next list counts.
func FuzzRenewal(f *testing.F) {
	roll, err := codec.PackJSON([]fleet.Instance{instance("a", 5, false), instance("a", 4, true), instance("", 0, false)})
	require.NoError(f, err)
	loads, err := codec.PackJSON(message.Loads{Accounts: []string{"x"}, Rates: []int{-5}, Served: []int{1 << 62}, Tokens: []int{-1, 1 << 62, 3}, Running: []int{1, 2, 3}})
	require.NoError(f, err)
	for _, r := range []message.RenewResponse{
		{Leads: true, Term: 1, Number: 3, PackedConfig: []byte("3"), ListRevision: 1, PackedTargets: roll, PackedLoads: loads, Damaged: []string{"a", ""}, ListAge: -time.Hour},
		{Leads: true, Term: 1, Number: 2, ListRevision: 1, Targets: []fleet.Instance{instance("b", -5, false)}, Backlog: []message.Backlog{{Target: "b", Tokens: -7}}},
		{Leads: true, ListRevision: 1, PackedTargets: []byte{0x1f}, PackedLoads: []byte("x"), ListAge: 1 << 62},
	} {
		data, err := json.Marshal(r)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Add([]byte(`{"leads":true,"list":1,"targets":[null,{"born":1e3}],"keepers":null}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var r message.RenewResponse
		if json.Unmarshal(data, &r) != nil {
			return
		}
		u := newUplink(&fakeList{})
		p := &placement.Placer{}
		now := u.Clock.Now()
		u.Changed = func(_ State, targets []fleet.Instance) { p.SetTargets(now, targets) }
		u.Heard = func(at time.Time, _ []message.Demand, others []message.Backlog) { p.SetRemoteBacklog(at, others) }
		u.hear(t, now.Add(-time.Minute), 1, instance("before", 1, false))
		u.take(now, "k", nil, r)
		u.take(now, "k", nil, r)
		seen := map[string]bool{}
		for _, in := range u.roster.Targets() {
			require.False(t, seen[in.ID])
			seen[in.ID] = true
		}
		require.False(t, u.roster.ReadAt().After(now), "a list is not newer than the question")
		if c, ok := p.Choose(now, placement.Request{Pool: "p"}); ok {
			p.StartAttempt(now, c, placement.Request{Pool: "p"})
			p.EndAttempt(now, c, placement.Served)
		}
		u.hear(t, now.Add(time.Second), 9, instance("next", 1, false))
		require.Equal(t, []fleet.Instance{instance("next", 1, false)}, u.roster.Targets())
	})
}
