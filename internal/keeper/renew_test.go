package keeper

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/codec"
	"laburnumfall/internal/fleet"
	"laburnumfall/internal/message"
)

// Symptom: while routers or keepers are replaced, routers of the version before
// have no targets.
// Sequence: a keeper of this version leads; a router of the one before renews.
// Cause: the leader answers everybody in the newest form.
func TestRoutersOfTheVersionBeforeGetTheirOwnForm(t *testing.T) {
	g, c := newLeader(t, 5)
	targets := []fleet.Instance{{Incarnation: fleet.Incarnation{ID: "a"}, Pool: "p"}, {Incarnation: fleet.Incarnation{ID: "b"}, Pool: "p"}}
	c.setTargets(g.clock.Now(), fleet.TargetListing{Targets: targets})
	backlog := []message.Backlog{{Target: "b", Tokens: 4, Running: 1}}
	demand := []message.Demand{{Account: "x", Rate: 9, Served: 8}}

	before := c.renew(g.clock.Now(), message.RenewRequest{Router: "r", Demand: demand, Backlog: backlog})
	require.Equal(t, targets, before.Targets)
	require.Equal(t, backlog, before.Backlog)
	require.Equal(t, demand, before.Demand)
	require.Empty(t, before.PackedTargets)
	require.Empty(t, before.PackedLoads)

	now := c.renew(g.clock.Now(), message.RenewRequest{Router: "r", AcceptsColumns: true, Demand: demand, Backlog: backlog})
	require.Empty(t, now.Targets)
	require.Empty(t, now.Backlog)
	roll, err := codec.UnpackJSON[[]fleet.Instance](now.PackedTargets)
	require.NoError(t, err)
	require.Equal(t, targets, roll)
	loads, err := codec.UnpackJSON[message.Loads](now.PackedLoads)
	require.NoError(t, err)
	require.NotZero(t, loads.AccountsDigest)
	require.Equal(t, message.Loads{Accounts: []string{"x"}, AccountsDigest: loads.AccountsDigest, Rates: []int{9}, Served: []int{8}, Tokens: []int{0, 4}, Running: []int{0, 1}}, loads)

	again := c.renew(g.clock.Now(), message.RenewRequest{Router: "r", AcceptsColumns: true, Term: now.Term, ListRevision: now.ListRevision})
	require.Empty(t, again.PackedTargets, "the router holds that list")
	require.Equal(t, now.PackedLoads, again.PackedLoads)
	c.setTargets(g.clock.Now(), fleet.TargetListing{Targets: targets[1:]})
	next := c.renew(g.clock.Now(), message.RenewRequest{Router: "r", AcceptsColumns: true, Term: now.Term, ListRevision: now.ListRevision})
	require.NotEmpty(t, next.PackedTargets)
	require.NotEqual(t, now.PackedLoads, next.PackedLoads, "columns go by the list that is named")
}

// Symptom: routers send nothing to a target that has just started.
// Sequence: it starts again under its ID; the list is the same otherwise.
// Cause: the leader takes the list for the one that its routers have.
func TestANewStartIsAnotherList(t *testing.T) {
	g, c := newLeader(t, 5)
	c.setTargets(g.clock.Now(), fleet.TargetListing{Targets: []fleet.Instance{{Incarnation: fleet.Incarnation{ID: "a", StartMillis: 1000}, Pool: "p"}}})
	backlog := []message.Backlog{{Target: "a", StartMillis: 1000, Tokens: 4, Running: 1}}
	former := c.renew(g.clock.Now(), message.RenewRequest{Router: "r", AcceptsColumns: true, Backlog: backlog})
	next := []fleet.Instance{{Incarnation: fleet.Incarnation{ID: "a", StartMillis: 2000}, Pool: "p"}}
	c.setTargets(g.clock.Now(), fleet.TargetListing{Targets: next})
	now := c.renew(g.clock.Now(), message.RenewRequest{Router: "r", AcceptsColumns: true, Term: former.Term, ListRevision: former.ListRevision, Backlog: backlog})
	require.Greater(t, now.ListRevision, former.ListRevision)
	roll, err := codec.UnpackJSON[[]fleet.Instance](now.PackedTargets)
	require.NoError(t, err)
	require.Equal(t, next, roll)
	loads, err := codec.UnpackJSON[message.Loads](now.PackedLoads)
	require.NoError(t, err)
	require.Equal(t, []int{0}, loads.Tokens, "the former's backlog is gone with it")
}

// Symptom: a target is gone for routers while its entry is damaged.
// Sequence: the leader reads a list with a damaged entry.
// Cause: it hands on the sound ones alone.
func TestRoutersAreToldOfDamagedEntries(t *testing.T) {
	g, c := newLeader(t, 5)
	sound := []fleet.Instance{{Incarnation: fleet.Incarnation{ID: "b"}, Pool: "p"}}
	c.setTargets(g.clock.Now(), fleet.TargetListing{Targets: sound})
	before := c.renew(g.clock.Now(), message.RenewRequest{Router: "r", AcceptsColumns: true})
	require.Empty(t, before.Damaged)
	c.setTargets(g.clock.Now(), fleet.TargetListing{Targets: sound, Damaged: []fleet.DamagedEntry{{ID: "a", Field: "slots"}, {Field: "type"}}})
	now := c.renew(g.clock.Now(), message.RenewRequest{Router: "r", AcceptsColumns: true, Term: before.Term, ListRevision: before.ListRevision})
	require.Greater(t, now.ListRevision, before.ListRevision, "it is another list")
	require.Equal(t, []string{"a"}, now.Damaged)
	require.NotEmpty(t, now.PackedTargets)
	again := c.renew(g.clock.Now(), message.RenewRequest{Router: "r", AcceptsColumns: true, Term: now.Term, ListRevision: now.ListRevision})
	require.Empty(t, again.Damaged)
}

// Guards against a leader that tells each router of all cold targets in every answer: with
// thousands of them it does nothing else.
func TestColdTargetsAreToldOnce(t *testing.T) {
	g, c := newLeader(t, 5)
	listing := fleet.TargetListing{Targets: []fleet.Instance{{Incarnation: fleet.Incarnation{ID: "a"}, Pool: "p"}}}
	cold := func(left time.Duration) {
		listing.Warming = []fleet.WarmingTarget{{Target: fleet.Incarnation{ID: "a"}, Left: left}}
		c.setTargets(g.clock.Now(), listing)
	}
	cold(3 * time.Second)
	first := c.renew(g.clock.Now(), message.RenewRequest{Router: "r", AcceptsColumns: true})
	require.Equal(t, []message.WarmingTarget{{Target: "a", Left: 3 * time.Second}}, first.Warming)
	cold(2800 * time.Millisecond)
	again := c.renew(g.clock.Now(), message.RenewRequest{Router: "r", AcceptsColumns: true, Term: first.Term, ListRevision: first.ListRevision})
	require.Equal(t, first.ListRevision, again.ListRevision, "it grows warm")
	require.Empty(t, again.Warming)
	cold(5 * time.Second)
	anew := c.renew(g.clock.Now(), message.RenewRequest{Router: "r", AcceptsColumns: true, Term: first.Term, ListRevision: first.ListRevision})
	require.Greater(t, anew.ListRevision, first.ListRevision, "it became cold anew")
	require.NotEmpty(t, anew.Warming)
}

// Guards against a fleet whose answers name all keepers each time, and against a router that
// never hears of a new one.
func TestKeepersAreToldOnChange(t *testing.T) {
	g, c := newLeader(t, 9)
	first := c.renew(g.clock.Now(), message.RenewRequest{Router: "r", AcceptsColumns: true})
	require.Equal(t, c.memberAddresses(), first.Keepers, "it holds none")
	held := message.Digest(first.Keepers)
	require.Empty(t, c.renew(g.clock.Now(), message.RenewRequest{Router: "r", AcceptsColumns: true, KeepersDigest: held}).Keepers)
	fewer := message.Digest(first.Keepers[1:])
	require.Equal(t, first.Keepers, c.renew(g.clock.Now(), message.RenewRequest{Router: "r", AcceptsColumns: true, KeepersDigest: fewer}).Keepers)
}

// Guards against answers that name all accounts each time, and against a router that takes the
// demand of one account for another's.
func TestAccountsAreNamedOnChange(t *testing.T) {
	g, _ := newLeader(t, 10)
	ask := func(held uint32, accounts ...string) message.Loads {
		g.run(time.Second) // sums are kept for a while
		c, ok := g.whole()
		require.True(t, ok)
		r := message.RenewRequest{Router: "r", AcceptsColumns: true, AccountsDigest: held}
		for i, name := range accounts {
			r.Demand = append(r.Demand, message.Demand{Account: name, Rate: float64(10 + i), Served: 1})
		}
		loads, err := codec.UnpackJSON[message.Loads](c.renew(g.clock.Now(), r).PackedLoads)
		require.NoError(t, err)
		return loads
	}
	first := ask(0, "x", "y")
	require.Equal(t, []string{"x", "y"}, first.Accounts)
	next := ask(first.AccountsDigest, "y")
	require.Empty(t, next.Accounts)
	require.Equal(t, first.AccountsDigest, next.AccountsDigest)
	require.Equal(t, []int{0, 10}, next.Rates, "in the order of the names")
	more := ask(first.AccountsDigest, "a", "y")
	require.Equal(t, []string{"a", "x", "y"}, more.Accounts)
	require.Equal(t, []int{10, 0, 11}, more.Rates)
}
