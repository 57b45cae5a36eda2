package keeper

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/message"
	"laburnumfall/internal/packed"
	"laburnumfall/internal/roster"
)

// Symptom: while routers or keepers are replaced, routers of the version before
// have no targets.
// Sequence: a keeper of this version leads; a router of the one before renews.
// Cause: the leader answers everybody in the newest form.
func TestRoutersOfTheVersionBeforeGetTheirOwnForm(t *testing.T) {
	g, c := newLeader(t, 5)
	targets := []fleet.Instance{{Incarnation: fleet.Incarnation{ID: "a"}, Pool: "p"}, {Incarnation: fleet.Incarnation{ID: "b"}, Pool: "p"}}
	c.setTargets(g.clock.Now(), fleet.Listing{Targets: targets})
	backlog := []message.Backlog{{Target: "b", Tokens: 4, Running: 1}}
	demand := []message.Demand{{Account: "x", Rate: 9, Served: 8}}

	before := c.renew(g.clock.Now(), message.Renew{Router: "r", Demand: demand, Backlog: backlog})
	require.Equal(t, targets, before.Targets)
	require.Equal(t, backlog, before.Backlog)
	require.Equal(t, demand, before.Demand)
	require.Empty(t, before.Roll)
	require.Empty(t, before.Loads)

	now := c.renew(g.clock.Now(), message.Renew{Router: "r", Columns: true, Demand: demand, Backlog: backlog})
	require.Empty(t, now.Targets)
	require.Empty(t, now.Backlog)
	roll, err := packed.UnpackJSON[[]fleet.Instance](now.Roll)
	require.NoError(t, err)
	require.Equal(t, targets, roll)
	loads, err := packed.UnpackJSON[message.Loads](now.Loads)
	require.NoError(t, err)
	require.NotZero(t, loads.Names)
	require.Equal(t, message.Loads{Accounts: []string{"x"}, Names: loads.Names, Rates: []int{9}, Served: []int{8}, Tokens: []int{0, 4}, Running: []int{0, 1}}, loads)

	again := c.renew(g.clock.Now(), message.Renew{Router: "r", Columns: true, Term: now.Term, List: now.List})
	require.Empty(t, again.Roll, "the router holds that list")
	require.Equal(t, now.Loads, again.Loads)
	c.setTargets(g.clock.Now(), fleet.Listing{Targets: targets[1:]})
	next := c.renew(g.clock.Now(), message.Renew{Router: "r", Columns: true, Term: now.Term, List: now.List})
	require.NotEmpty(t, next.Roll)
	require.NotEqual(t, now.Loads, next.Loads, "columns go by the list that is named")
}

// Symptom: routers send nothing to a target that has just started.
// Sequence: it starts again under its ID; the list is the same otherwise.
// Cause: the leader takes the list for the one that its routers have.
func TestANewStartIsAnotherList(t *testing.T) {
	g, c := newLeader(t, 5)
	c.setTargets(g.clock.Now(), fleet.Listing{Targets: []fleet.Instance{{Incarnation: fleet.Incarnation{ID: "a", Born: 1000}, Pool: "p"}}})
	backlog := []message.Backlog{{Target: "a", Born: 1000, Tokens: 4, Running: 1}}
	former := c.renew(g.clock.Now(), message.Renew{Router: "r", Columns: true, Backlog: backlog})
	next := []fleet.Instance{{Incarnation: fleet.Incarnation{ID: "a", Born: 2000}, Pool: "p"}}
	c.setTargets(g.clock.Now(), fleet.Listing{Targets: next})
	now := c.renew(g.clock.Now(), message.Renew{Router: "r", Columns: true, Term: former.Term, List: former.List, Backlog: backlog})
	require.Greater(t, now.List, former.List)
	roll, err := packed.UnpackJSON[[]fleet.Instance](now.Roll)
	require.NoError(t, err)
	require.Equal(t, next, roll)
	loads, err := packed.UnpackJSON[message.Loads](now.Loads)
	require.NoError(t, err)
	require.Equal(t, []int{0}, loads.Tokens, "the former's backlog is gone with it")
}

// Symptom: a target is gone for routers while its entry is damaged.
// Sequence: the leader reads a list with a damaged entry.
// Cause: it hands on the sound ones alone.
func TestRoutersAreToldOfDamagedEntries(t *testing.T) {
	g, c := newLeader(t, 5)
	sound := []fleet.Instance{{Incarnation: fleet.Incarnation{ID: "b"}, Pool: "p"}}
	c.setTargets(g.clock.Now(), fleet.Listing{Targets: sound})
	before := c.renew(g.clock.Now(), message.Renew{Router: "r", Columns: true})
	require.Empty(t, before.Damaged)
	c.setTargets(g.clock.Now(), fleet.Listing{Targets: sound, Damaged: []fleet.Damage{{ID: "a", Field: "slots"}, {Field: "type"}}})
	now := c.renew(g.clock.Now(), message.Renew{Router: "r", Columns: true, Term: before.Term, List: before.List})
	require.Greater(t, now.List, before.List, "it is another list")
	require.Equal(t, []string{"a"}, now.Damaged)
	require.NotEmpty(t, now.Roll)
	again := c.renew(g.clock.Now(), message.Renew{Router: "r", Columns: true, Term: now.Term, List: now.List})
	require.Empty(t, again.Damaged)
}

// Guards against a leader that tells each router of all cold targets in every answer: with
// thousands of them it does nothing else.
func TestColdTargetsAreToldOnce(t *testing.T) {
	g, c := newLeader(t, 5)
	listing := fleet.Listing{Targets: []fleet.Instance{{Incarnation: fleet.Incarnation{ID: "a"}, Pool: "p"}}}
	cold := func(left time.Duration) {
		listing.Warming = []fleet.Warming{{Target: fleet.Incarnation{ID: "a"}, Left: left}}
		c.setTargets(g.clock.Now(), listing)
	}
	cold(3 * time.Second)
	first := c.renew(g.clock.Now(), message.Renew{Router: "r", Columns: true})
	require.Equal(t, []message.Warming{{Target: "a", Left: 3 * time.Second}}, first.Warming)
	cold(2800 * time.Millisecond)
	again := c.renew(g.clock.Now(), message.Renew{Router: "r", Columns: true, Term: first.Term, List: first.List})
	require.Equal(t, first.List, again.List, "it grows warm")
	require.Empty(t, again.Warming)
	cold(5 * time.Second)
	anew := c.renew(g.clock.Now(), message.Renew{Router: "r", Columns: true, Term: first.Term, List: first.List})
	require.Greater(t, anew.List, first.List, "it became cold anew")
	require.NotEmpty(t, anew.Warming)
}

// Guards against a fleet whose answers name all keepers each time, and against a router that
// never hears of a new one.
func TestKeepersAreToldOnChange(t *testing.T) {
	g, c := newLeader(t, 9)
	first := c.renew(g.clock.Now(), message.Renew{Router: "r", Columns: true})
	require.Equal(t, c.addresses(), first.Keepers, "it holds none")
	held := message.Digest(first.Keepers)
	require.Empty(t, c.renew(g.clock.Now(), message.Renew{Router: "r", Columns: true, Members: held}).Keepers)
	fewer := message.Digest(first.Keepers[1:])
	require.Equal(t, first.Keepers, c.renew(g.clock.Now(), message.Renew{Router: "r", Columns: true, Members: fewer}).Keepers)
}

// Guards against answers that name all accounts each time, and against a router that takes the
// demand of one account for another's.
func TestAccountsAreNamedOnChange(t *testing.T) {
	g, _ := newLeader(t, 10)
	ask := func(held uint32, accounts ...string) message.Loads {
		g.run(time.Second) // sums are kept for a while
		c, ok := g.whole()
		require.True(t, ok)
		r := message.Renew{Router: "r", Columns: true, Names: held}
		for i, name := range accounts {
			r.Demand = append(r.Demand, message.Demand{Account: name, Rate: float64(10 + i), Served: 1})
		}
		loads, err := packed.UnpackJSON[message.Loads](c.renew(g.clock.Now(), r).Loads)
		require.NoError(t, err)
		return loads
	}
	first := ask(0, "x", "y")
	require.Equal(t, []string{"x", "y"}, first.Accounts)
	next := ask(first.Names, "y")
	require.Empty(t, next.Accounts)
	require.Equal(t, first.Names, next.Names)
	require.Equal(t, []int{0, 10}, next.Rates, "in the order of the names")
	more := ask(first.Names, "a", "y")
	require.Equal(t, []string{"a", "x", "y"}, more.Accounts)
	require.Equal(t, []int{10, 0, 11}, more.Rates)
}

// Guards against targets that are gone, and of which only the router that found it knows.
func TestRoutersAreToldOfTargetsThatOthersFindGone(t *testing.T) {
	g, c := newLeader(t, 5)
	a, b := fleet.Incarnation{ID: "a", Born: 1}, fleet.Incarnation{ID: "b", Born: 1}
	c.setTargets(g.clock.Now(), fleet.Listing{Targets: []fleet.Instance{{Incarnation: a, Pool: "p"}, {Incarnation: b, Pool: "p"}}})
	require.Nil(t, c.renew(g.clock.Now(), message.Renew{Router: "r"}).Absences)
	found := c.renew(g.clock.Now(), message.Renew{Router: "r", Absent: []fleet.Incarnation{b, {ID: "unlisted"}}})
	require.Equal(t, []fleet.Incarnation{b}, found.Absences.Targets)
	other := c.renew(g.clock.Now(), message.Renew{Router: "s"})
	require.Equal(t, found.Absences, other.Absences)
	again := c.renew(g.clock.Now(), message.Renew{Router: "s", Absences: other.Absences.Revision})
	require.Nil(t, again.Absences, "the router holds them")
	g.run(roster.AbsentFor)
	lapsed := c.renew(g.clock.Now(), message.Renew{Router: "s", Absences: other.Absences.Revision})
	require.NotNil(t, lapsed.Absences)
	require.Empty(t, lapsed.Absences.Targets)
}
