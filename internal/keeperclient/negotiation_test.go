package keeperclient

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/message"
)

// Guards against packed requests to a keeper of the previous version, which cannot read them.
func TestPacksRenewalsOnlyForKeepersThatAcceptThem(t *testing.T) {
	for name, acceptsPacked := range map[string]bool{"accepts packed": true, "previous version": false} {
		t.Run(name, func(t *testing.T) {
			keeper := startKeeper(t)
			keeper.response = message.RenewResponse{Leads: true, Term: 1, Number: 1, PackedConfig: packedConfig(t, 1), AcceptsPacked: acceptsPacked}
			client, _ := startClient(t, &fakeList{}, keeper.address)
			require.Eventually(t, client.hasConfig(1), 5*time.Second, time.Millisecond)
			require.Eventually(t, func() bool {
				keeper.mu.Lock()
				defer keeper.mu.Unlock()
				return keeper.requestCount >= 5 && (keeper.packedCount >= 3 || !acceptsPacked)
			}, 5*time.Second, time.Millisecond)
			keeper.mu.Lock()
			defer keeper.mu.Unlock()
			require.Equal(t, acceptsPacked, keeper.packedCount > 0)
			require.Less(t, keeper.packedCount, keeper.requestCount, "the first request must not be packed")
			require.Equal(t, "r1", keeper.lastRequest.Router)
		})
	}
}

// Guards against a router that forgets the keepers when a response does not name them, and
// against one that never receives the full list again after it has added keepers named by a
// follower.
func TestKeepersPersistWithoutUpdate(t *testing.T) {
	client := newClient(&fakeList{})
	now := time.Now()
	keepers := []string{"a", "b"}
	client.applyLeaderResponse(now, "a", nil, message.RenewResponse{Leads: true, Keepers: keepers})
	require.Equal(t, message.Digest(keepers), client.keepersDigest)
	client.applyLeaderResponse(now, "a", nil, message.RenewResponse{Leads: true})
	require.Equal(t, keepers, client.keepers)
	client.addKeepers([]string{"c"})
	require.Zero(t, client.keepersDigest)
	client.applyLeaderResponse(now, "a", nil, message.RenewResponse{Leads: true, Keepers: keepers})
	require.Equal(t, keepers, client.keepers)
}

// Guards against demand assigned to the wrong accounts, when the accounts that a router holds
// differ from those that the leader's columns refer to.
func TestDemandUsesAccountsOfDigest(t *testing.T) {
	client := newClient(&fakeList{})
	var latest []message.Demand
	client.OnFleetLoad = func(_ time.Time, demand []message.Demand, _ []message.Backlog) { latest = demand }
	applyLoads := func(loads message.Loads) []message.Demand {
		client.applyLeaderResponse(time.Now(), "a", nil, message.RenewResponse{Leads: true, PackedLoads: packJSON(t, loads)})
		return latest
	}
	withAccounts := message.Loads{Accounts: []string{"x", "y"}, AccountsDigest: 7, Rates: []int{5, 0}, Served: []int{4, 0}}
	want := []message.Demand{{Account: "x", Rate: 5, Served: 4}}
	require.Equal(t, want, applyLoads(withAccounts), "accounts without demand are left out")
	require.EqualValues(t, 7, client.accountsDigest)
	require.Equal(t, want, applyLoads(message.Loads{AccountsDigest: 7, Rates: []int{5, 0}, Served: []int{4, 0}}))
	require.Empty(t, applyLoads(message.Loads{AccountsDigest: 8, Rates: []int{5, 0}, Served: []int{4, 0}}))
	require.Equal(t, want, applyLoads(message.Loads{Accounts: []string{"x"}, Rates: []int{5}, Served: []int{4}}), "a leader of the previous version sends no digest")
	require.Zero(t, client.accountsDigest)
}

// Guards against a router that takes targets of several versions for targets of one, because a keeper of
// the previous version leads.
func TestVersionsAreUnknownFromPreviousKeeper(t *testing.T) {
	for name, hasVersions := range map[string]bool{"passes on versions": true, "previous version": false} {
		t.Run(name, func(t *testing.T) {
			client := newClient(&fakeList{})
			var targets []fleet.Instance
			client.OnChange = func(_ State, changed []fleet.Instance) { targets = changed }
			client.applyLeaderResponse(time.Now(), "a", nil, message.RenewResponse{
				Leads: true, Term: 1, ListRevision: 1, HasVersions: hasVersions, PackedTargets: packJSON(t, []fleet.Instance{{Incarnation: fleet.Incarnation{ID: "t"}, Pool: "p"}}),
			})
			require.Len(t, targets, 1)
			require.Equal(t, hasVersions, targets[0].Version == "")
			require.Equal(t, !hasVersions, targets[0].Version == fleet.UnknownVersion)
		})
	}
}
