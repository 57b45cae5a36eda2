package keeperclient

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/message"
)

// Guards against renewals that a keeper of the version before cannot read.
func TestRenewalsArePackedOnlyWhereAKeeperTakesThem(t *testing.T) {
	for name, packs := range map[string]bool{"takes them": true, "of the version before": false} {
		t.Run(name, func(t *testing.T) {
			k := startKeeper(t)
			k.answer = message.RenewResponse{Leads: true, Term: 1, Number: 1, PackedConfig: text(t, 1), AcceptsPacked: packs}
			u, _ := startUplink(t, &fakeList{}, k.address)
			require.Eventually(t, u.has(1), 5*time.Second, time.Millisecond)
			require.Eventually(t, func() bool {
				k.mu.Lock()
				defer k.mu.Unlock()
				return k.asked >= 5 && (k.packed >= 3 || !packs)
			}, 5*time.Second, time.Millisecond)
			k.mu.Lock()
			defer k.mu.Unlock()
			require.Equal(t, packs, k.packed > 0)
			require.Less(t, k.packed, k.asked, "the first is plain")
			require.Equal(t, "r1", k.last.Router)
		})
	}
}

// Guards against a router that forgets the keepers where an answer does not name them, and
// against one that is never told of all again once it has added hearsay.
func TestKeepersStayUntilOthersAreTold(t *testing.T) {
	u := newUplink(&fakeList{})
	now := time.Now()
	told := []string{"a", "b"}
	u.take(now, "a", nil, message.RenewResponse{Leads: true, Keepers: told})
	require.Equal(t, message.Digest(told), u.members)
	u.take(now, "a", nil, message.RenewResponse{Leads: true})
	require.Equal(t, told, u.keepers)
	u.learn([]string{"c"})
	require.Zero(t, u.members)
	u.take(now, "a", nil, message.RenewResponse{Leads: true, Keepers: told})
	require.Equal(t, told, u.keepers)
}

// Guards against demands that go to other accounts, since the names that a router holds are not
// those that the leader means.
func TestDemandsGoByTheNamesThatTheLeaderMeans(t *testing.T) {
	u := newUplink(&fakeList{})
	var heard []message.Demand
	u.Heard = func(_ time.Time, demand []message.Demand, _ []message.Backlog) { heard = demand }
	take := func(l message.Loads) []message.Demand {
		u.take(time.Now(), "a", nil, message.RenewResponse{Leads: true, PackedLoads: pack(t, l)})
		return heard
	}
	whole := message.Loads{Accounts: []string{"x", "y"}, AccountsDigest: 7, Rates: []int{5, 0}, Served: []int{4, 0}}
	want := []message.Demand{{Account: "x", Rate: 5, Served: 4}}
	require.Equal(t, want, take(whole), "who asks for nothing is left out")
	require.EqualValues(t, 7, u.names)
	require.Equal(t, want, take(message.Loads{AccountsDigest: 7, Rates: []int{5, 0}, Served: []int{4, 0}}))
	require.Empty(t, take(message.Loads{AccountsDigest: 8, Rates: []int{5, 0}, Served: []int{4, 0}}))
	require.Equal(t, want, take(message.Loads{Accounts: []string{"x"}, Rates: []int{5}, Served: []int{4}}), "of the version before")
	require.Zero(t, u.names)
}
