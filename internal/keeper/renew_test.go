package keeper

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/codec"
	"laburnumfall/internal/fleet"
	"laburnumfall/internal/message"
)

// Guards against routers of the previous version that have no targets during a rollout, because
// the leader responds to every router in the newest format.
func TestRenewResponseForPreviousRouterVersion(t *testing.T) {
	cluster, c := newHealthyCluster(t, 5)
	targets := []fleet.Instance{{Incarnation: fleet.Incarnation{ID: "a"}, Pool: "p"}, {Incarnation: fleet.Incarnation{ID: "b"}, Pool: "p"}}
	c.setTargets(cluster.clock.Now(), fleet.TargetListing{Targets: targets})
	backlog := []message.Backlog{{Target: "b", Tokens: 4, Running: 1}}
	demand := []message.Demand{{Account: "x", Rate: 9, Served: 8}}

	previousVersion := c.renew(cluster.clock.Now(), message.RenewRequest{Router: "r", Demand: demand, Backlog: backlog})
	require.Equal(t, targets, previousVersion.Targets)
	require.Equal(t, backlog, previousVersion.Backlog)
	require.Equal(t, demand, previousVersion.Demand)
	require.Empty(t, previousVersion.PackedTargets)
	require.Empty(t, previousVersion.PackedLoads)

	first := c.renew(cluster.clock.Now(), message.RenewRequest{Router: "r", AcceptsColumns: true, Demand: demand, Backlog: backlog})
	require.Empty(t, first.Targets)
	require.Empty(t, first.Backlog)
	unpackedTargets, err := codec.DecompressJSON[[]fleet.Instance](first.PackedTargets)
	require.NoError(t, err)
	require.Equal(t, targets, unpackedTargets)
	loads, err := codec.DecompressJSON[message.Loads](first.PackedLoads)
	require.NoError(t, err)
	require.NotZero(t, loads.AccountsDigest)
	require.Equal(t, message.Loads{Accounts: []string{"x"}, AccountsDigest: loads.AccountsDigest, Rates: []int{9}, Served: []int{8}, Tokens: []int{0, 4}, Running: []int{0, 1}}, loads)

	unchanged := c.renew(cluster.clock.Now(), message.RenewRequest{Router: "r", AcceptsColumns: true, Term: first.Term, ListRevision: first.ListRevision})
	require.Empty(t, unchanged.PackedTargets, "the router has that list")
	require.Equal(t, first.PackedLoads, unchanged.PackedLoads)
	c.setTargets(cluster.clock.Now(), fleet.TargetListing{Targets: targets[1:]})
	changed := c.renew(cluster.clock.Now(), message.RenewRequest{Router: "r", AcceptsColumns: true, Term: first.Term, ListRevision: first.ListRevision})
	require.NotEmpty(t, changed.PackedTargets)
	require.NotEqual(t, first.PackedLoads, changed.PackedLoads, "the columns are in the order of the targets")
}

// Guards against routers that send nothing to a target that has restarted with the same ID. The
// list is otherwise unchanged, so the leader could assume that its routers have it already.
func TestTargetRestartChangesListRevision(t *testing.T) {
	cluster, c := newHealthyCluster(t, 5)
	c.setTargets(cluster.clock.Now(), fleet.TargetListing{Targets: []fleet.Instance{{Incarnation: fleet.Incarnation{ID: "a", StartMillis: 1000}, Pool: "p"}}})
	backlog := []message.Backlog{{Target: "a", StartMillis: 1000, Tokens: 4, Running: 1}}
	first := c.renew(cluster.clock.Now(), message.RenewRequest{Router: "r", AcceptsColumns: true, Backlog: backlog})
	restarted := []fleet.Instance{{Incarnation: fleet.Incarnation{ID: "a", StartMillis: 2000}, Pool: "p"}}
	c.setTargets(cluster.clock.Now(), fleet.TargetListing{Targets: restarted})
	second := c.renew(cluster.clock.Now(), message.RenewRequest{Router: "r", AcceptsColumns: true, Term: first.Term, ListRevision: first.ListRevision, Backlog: backlog})
	require.Greater(t, second.ListRevision, first.ListRevision)
	unpackedTargets, err := codec.DecompressJSON[[]fleet.Instance](second.PackedTargets)
	require.NoError(t, err)
	require.Equal(t, restarted, unpackedTargets)
	loads, err := codec.DecompressJSON[message.Loads](second.PackedLoads)
	require.NoError(t, err)
	require.Equal(t, []int{0}, loads.Tokens, "the backlog of the previous incarnation is dropped")
}

// Guards against routers that drop a target whose entry is damaged, because the leader passes on
// only the valid entries.
func TestDamagedEntriesSentToRouters(t *testing.T) {
	cluster, c := newHealthyCluster(t, 5)
	valid := []fleet.Instance{{Incarnation: fleet.Incarnation{ID: "b"}, Pool: "p"}}
	c.setTargets(cluster.clock.Now(), fleet.TargetListing{Targets: valid})
	first := c.renew(cluster.clock.Now(), message.RenewRequest{Router: "r", AcceptsColumns: true})
	require.Empty(t, first.Damaged)
	c.setTargets(cluster.clock.Now(), fleet.TargetListing{Targets: valid, Damaged: []fleet.DamagedEntry{{ID: "a", Field: "slots"}, {Field: "type"}}})
	changed := c.renew(cluster.clock.Now(), message.RenewRequest{Router: "r", AcceptsColumns: true, Term: first.Term, ListRevision: first.ListRevision})
	require.Greater(t, changed.ListRevision, first.ListRevision, "damaged entries change the list")
	require.Equal(t, []string{"a"}, changed.Damaged)
	require.NotEmpty(t, changed.PackedTargets)
	unchanged := c.renew(cluster.clock.Now(), message.RenewRequest{Router: "r", AcceptsColumns: true, Term: changed.Term, ListRevision: changed.ListRevision})
	require.Empty(t, unchanged.Damaged)
}

// Guards against a leader that sends all warming targets to each router in every response. With
// thousands of targets it would do nothing else.
func TestWarmingTargetsSentOnlyOnChange(t *testing.T) {
	cluster, c := newHealthyCluster(t, 5)
	listing := fleet.TargetListing{Targets: []fleet.Instance{{Incarnation: fleet.Incarnation{ID: "a"}, Pool: "p"}}}
	setWarming := func(left time.Duration) {
		listing.Warming = []fleet.WarmingTarget{{Target: fleet.Incarnation{ID: "a"}, Left: left}}
		c.setTargets(cluster.clock.Now(), listing)
	}
	setWarming(3 * time.Second)
	first := c.renew(cluster.clock.Now(), message.RenewRequest{Router: "r", AcceptsColumns: true})
	require.Equal(t, []message.WarmingTarget{{Target: "a", Left: 3 * time.Second}}, first.Warming)
	setWarming(2800 * time.Millisecond)
	unchanged := c.renew(cluster.clock.Now(), message.RenewRequest{Router: "r", AcceptsColumns: true, Term: first.Term, ListRevision: first.ListRevision})
	require.Equal(t, first.ListRevision, unchanged.ListRevision, "less time left is no change")
	require.Empty(t, unchanged.Warming)
	setWarming(5 * time.Second)
	extended := c.renew(cluster.clock.Now(), message.RenewRequest{Router: "r", AcceptsColumns: true, Term: first.Term, ListRevision: first.ListRevision})
	require.Greater(t, extended.ListRevision, first.ListRevision, "more time left is a change")
	require.NotEmpty(t, extended.Warming)
}

// Guards against responses that always list all keepers, and against routers that never learn of
// a new keeper.
func TestKeeperAddressesSentOnlyOnChange(t *testing.T) {
	cluster, c := newHealthyCluster(t, 9)
	first := c.renew(cluster.clock.Now(), message.RenewRequest{Router: "r", AcceptsColumns: true})
	require.Equal(t, c.memberAddresses(), first.Keepers, "the router has no list of keepers yet")
	knownDigest := message.Digest(first.Keepers)
	require.Empty(t, c.renew(cluster.clock.Now(), message.RenewRequest{Router: "r", AcceptsColumns: true, KeepersDigest: knownDigest}).Keepers)
	outdatedDigest := message.Digest(first.Keepers[1:])
	require.Equal(t, first.Keepers, c.renew(cluster.clock.Now(), message.RenewRequest{Router: "r", AcceptsColumns: true, KeepersDigest: outdatedDigest}).Keepers)
}

// Guards against responses that always list all account names, and against routers that attribute
// the demand of one account to another.
func TestAccountNamesSentOnlyOnChange(t *testing.T) {
	cluster, _ := newHealthyCluster(t, 10)
	renew := func(accountsDigest uint32, accounts ...string) message.Loads {
		cluster.run(time.Second) // sums are cached for a while
		c, ok := cluster.healthyLeader()
		require.True(t, ok)
		request := message.RenewRequest{Router: "r", AcceptsColumns: true, AccountsDigest: accountsDigest}
		for i, name := range accounts {
			request.Demand = append(request.Demand, message.Demand{Account: name, Rate: float64(10 + i), Served: 1})
		}
		loads, err := codec.DecompressJSON[message.Loads](c.renew(cluster.clock.Now(), request).PackedLoads)
		require.NoError(t, err)
		return loads
	}
	first := renew(0, "x", "y")
	require.Equal(t, []string{"x", "y"}, first.Accounts)
	unchanged := renew(first.AccountsDigest, "y")
	require.Empty(t, unchanged.Accounts)
	require.Equal(t, first.AccountsDigest, unchanged.AccountsDigest)
	require.Equal(t, []int{0, 10}, unchanged.Rates, "the rates are in the order of the account names")
	changed := renew(first.AccountsDigest, "a", "y")
	require.Equal(t, []string{"a", "x", "y"}, changed.Accounts)
	require.Equal(t, []int{10, 0, 11}, changed.Rates)
}
