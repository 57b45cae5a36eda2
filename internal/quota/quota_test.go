package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"laburnumfall/internal/codec"
	"laburnumfall/internal/fleet"
	"laburnumfall/internal/message"
)

var start = time.Unix(1e9, 0)

// naiveLevel raises the level in small steps until the capacity is used up.
func naiveLevel(capacity float64, demands []float64) float64 {
	const steps = 20000
	top := 0.0
	for _, d := range demands {
		top = max(top, d)
	}
	level := 0.0
	for i := 1; i <= steps; i++ {
		next := top * float64(i) / steps
		used := 0.0
		for _, d := range demands {
			used += min(d, next)
		}
		if used > capacity {
			return level
		}
		level = next
	}
	return level
}

func TestLevelAgreesWithRaisingIt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.Float64Range(1, 1000).Draw(t, "capacity")
		demands := rapid.SliceOfN(rapid.Float64Range(0, 1000), 1, 8).Draw(t, "demands")
		want := naiveLevel(capacity, demands)
		got := Level(capacity, demands)
		total := 0.0
		for _, d := range demands {
			total += d
		}
		if total <= capacity {
			// But for rounding: the sum may be the capacity to the last digit.
			require.GreaterOrEqual(t, got, want*(1-1e-9), "all fit: nobody is held back")
			return
		}
		require.InDelta(t, want, got, 1)
	})
}

func TestLevelOfNobody(t *testing.T) {
	require.Equal(t, 10.0, Level(10, nil))
}

// play has an account ask for requests of a size at a steady rate through one
// router, and returns how many tokens a second were within its share.
func play(s *Shares, name string, from time.Time, rate, size float64, seconds int) float64 {
	within := 0.0
	step := time.Duration(size / rate * float64(time.Second))
	end := from.Add(time.Duration(seconds) * time.Second)
	for now := from; now.Before(end); now = now.Add(step) {
		if s.Ask(now, name, size) {
			s.Spend(now, name, size)
			within += size
		}
	}
	return within / float64(seconds)
}

// Symptom: a small account is refused while a large one is served.
// Sequence: one account asks for ten times the capacity, another for a tenth of
// it, through the same router.
// Cause: work is let in in the order of arrival.
func TestSmallAccountIsWithinItsShareBesideAFlood(t *testing.T) {
	s := &Shares{Capacity: 1000}
	s.SetFleet([]message.Demand{{Account: "large", Rate: 10000}, {Account: "small", Rate: 100}})
	require.InDelta(t, 900, play(s, "large", start, 10000, 50, 10), 100)
	require.InDelta(t, 100, play(s, "small", start, 100, 20, 10), 1)
}

func TestShareIsDividedByWhereItIsAskedFor(t *testing.T) {
	// Two routers take a third and two thirds of one account's requests.
	fleet := []message.Demand{{Account: "a", Rate: 3000}, {Account: "b", Rate: 3000}}
	one, two := &Shares{Capacity: 1200}, &Shares{Capacity: 1200}
	one.SetFleet(fleet)
	two.SetFleet(fleet)
	require.InDelta(t, 200, play(one, "a", start, 1000, 10, 20), 30)
	require.InDelta(t, 400, play(two, "a", start, 2000, 10, 20), 60)
}

// Symptom: the largest requests of an account are never within its share.
// Sequence: an account asks for one request that is larger than all it may save
// up.
// Cause: a request must fit into what is saved up.
func TestALargeRequestIsWithinTheShareAtTimes(t *testing.T) {
	s := &Shares{Capacity: 1000}
	s.SetFleet([]message.Demand{{Account: "a", Rate: 4000}, {Account: "b", Rate: 4000}})
	require.Greater(t, play(s, "a", start, 4000, 8000, 60), 200.0)
}

func TestDebtOfAQuietMomentIsBounded(t *testing.T) {
	s := &Shares{Capacity: 1000}
	for range 100 {
		s.Ask(start, "a", 1000)
		s.Spend(start, "a", 1000) // targets had room for all of it
	}
	s.SetFleet([]message.Demand{{Account: "a", Rate: 5000}, {Account: "b", Rate: 5000}})
	require.LessOrEqual(t, s.Wait(start, "a"), longestWait)
	require.Positive(t, s.Wait(start, "a"))
	require.True(t, s.Ask(start.Add(3*time.Second), "a", 10))
}

func TestWithoutAStatedCapacityAllIsWithin(t *testing.T) {
	s := &Shares{}
	require.InDelta(t, 10000, play(s, "a", start, 10000, 100, 1), 100)
}

func TestDemandFadesAndIsForgotten(t *testing.T) {
	s := &Shares{Capacity: 1000}
	play(s, "a", start, 500, 10, 5)
	now := start.Add(5 * time.Second)
	require.InDelta(t, 500, s.Demand(now)[0].Rate, 50)
	require.Less(t, s.Demand(now.Add(3 * time.Second))[0].Rate, 50.0)
	require.Empty(t, s.Demand(now.Add(forgotten+time.Second)))
}

func TestBoardAddsUpFreshReports(t *testing.T) {
	var b Board
	b.Report(start, "r1", []message.Demand{{Account: "a", Rate: 1}, {Account: "b", Rate: 5}}, []message.Backlog{{Target: "t1", Tokens: 10, Running: 1}})
	b.Report(start, "r2", []message.Demand{{Account: "a", Rate: 2}}, []message.Backlog{{Target: "t1", Tokens: 7, Running: 2}, {Target: "t2", Tokens: 1}})
	demand, backlog, _ := b.Sums(start)
	require.Equal(t, []message.Demand{{Account: "a", Rate: 3}, {Account: "b", Rate: 5}}, demand)
	require.Equal(t, []message.Backlog{{Target: "t1", Tokens: 17, Running: 3}, {Target: "t2", Tokens: 1}}, backlog)
	mine := []message.Backlog{{Target: "t1", Tokens: 10, Running: 1}}
	require.Equal(t, []message.Backlog{{Target: "t1", Tokens: 7, Running: 2}, {Target: "t2", Tokens: 1}}, Without(backlog, mine))
	require.Empty(t, Without(mine, []message.Backlog{{Target: "t1", Tokens: 99, Running: 9}}), "a sum may be older than the own report")
	// A report sent twice, and then a newer one, count once.
	b.Report(start, "r1", nil, []message.Backlog{{Target: "t1", Tokens: 4}})
	_, same, _ := b.Sums(start.Add(sumPeriod(2) / 2))
	require.Equal(t, backlog, same)
	_, backlog, _ = b.Sums(start.Add(sumPeriod(2)))
	require.Equal(t, message.Backlog{Target: "t1", Tokens: 11, Running: 2}, backlog[0])
	late := start.Add(reportMemory + time.Second)
	b.Report(late, "r2", nil, nil)
	_, backlog, _ = b.Sums(late)
	require.Empty(t, backlog, "a router that went silent counts no more")
}

// Symptom: one of two accounts that both want more gets over twice as much.
// Sequence: both ask for far more than their shares; the prompts of one are short
// or kept, so that there is room for them more often.
// Cause: work beyond a share is let in by room alone.
func TestExcessIsHeldAgainstWhoLacksService(t *testing.T) {
	s := &Shares{Capacity: 1000}
	s.SetFleet([]message.Demand{
		{Account: "well", Rate: 5000, Served: 900}, {Account: "ill", Rate: 2500, Served: 300}, {Account: "small", Rate: 50, Served: 50},
	})
	require.InDelta(t, 3, s.Excess(start, "well"), 0.01)
	require.InDelta(t, 1, s.Excess(start, "ill"), 0.01, "it takes nothing from others")
	require.InDelta(t, 1, s.Excess(start, "new"), 1)
	s.SetFleet([]message.Demand{{Account: "well", Rate: 5000, Served: 4000}, {Account: "small", Rate: 50, Served: 50}})
	require.InDelta(t, 1, s.Excess(start, "well"), 0.01, "nobody lacks anything: what is left over is free to take")
}

func TestRowsGiveBackWhatColumnsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var targets []fleet.Instance
		var backlog []message.Backlog
		for i := range rapid.IntRange(0, 20).Draw(t, "targets") {
			id := fmt.Sprintf("i-%02d", i)
			targets = append(targets, fleet.Instance{Incarnation: fleet.Incarnation{ID: id}})
			b := message.Backlog{Target: id, Tokens: rapid.IntRange(0, 1000).Draw(t, "tokens"), Running: rapid.IntRange(0, 3).Draw(t, "running")}
			if b.Tokens > 0 || b.Running > 0 {
				backlog = append(backlog, b)
			}
		}
		var demand []message.Demand
		for i := range rapid.IntRange(0, 9).Draw(t, "accounts") {
			demand = append(demand, message.Demand{Account: fmt.Sprint(i), Rate: float64(rapid.IntRange(0, 9e6).Draw(t, "rate")), Served: 3})
		}
		data, err := codec.PackJSON(Columns(demand, backlog, targets))
		require.NoError(t, err)
		loads, err := codec.UnpackJSON[message.Loads](data)
		require.NoError(t, err)
		gotDemand, gotBacklog := Rows(loads, targets)
		require.Equal(t, demand, gotDemand)
		require.Equal(t, backlog, gotBacklog)
		_, other := Rows(loads, append(targets, fleet.Instance{Incarnation: fleet.Incarnation{ID: "more"}}))
		require.Empty(t, other, "columns of another list tell nothing")
	})
}

func TestDeficitIsWhatAnotherGetsOfWhatOneAsksFor(t *testing.T) {
	s := &Shares{Capacity: 1000}
	s.SetFleet([]message.Demand{
		{Account: "well", Rate: 2000, Served: 900},
		{Account: "ill", Rate: 800, Served: 300},
		{Account: "small", Rate: 20, Served: 20},
	})
	require.InDelta(t, 800.0/300, s.Deficit(start, "ill"), 0.01, "no more than it asks for")
	require.InDelta(t, 1, s.Deficit(start, "well"), 0.01)
	require.InDelta(t, 1, s.Deficit(start, "small"), 0.01, "it has what it asks for")
	require.InDelta(t, 1, s.Deficit(start, "new"), 0.01)
}

// Symptom: one of two accounts that both want more gets over twice as much, in bursts.
// Sequence: it asks through eight routers, the other one through a single one; room comes
// free, and all eight let its work in before they hear of each other.
// Cause: a router knew only of its own, and of what others had done before.
func TestRoutersThatLetWorkInAtOnceCountEachOther(t *testing.T) {
	s := &Shares{Capacity: 1000}
	fleet := []message.Demand{{Account: "spread", Rate: 8000, Served: 400}, {Account: "ill", Rate: 8000, Served: 400}}
	s.Ask(start, "spread", 1000)
	s.SetFleet(fleet)
	require.InDelta(t, 1, s.Excess(start, "spread"), 0.01)
	s.Spend(start, "spread", 100)
	require.InDelta(t, (400+8*100)/400.0, s.Excess(start, "spread"), 0.01, "seven others do the same")
	s.SetFleet(fleet)
	require.InDelta(t, 1, s.Excess(start, "spread"), 0.01, "what is heard holds what was admitted before")

	one := &Shares{Capacity: 1000}
	one.Ask(start, "ill", 8000)
	one.SetFleet(fleet)
	one.Spend(start, "ill", 100)
	require.InDelta(t, (400+100)/400.0, one.Excess(start, "ill"), 0.01, "nobody else serves it")
}

// Guards against an account that seems to be served what no target ran, and is held back for it.
func TestWhatNoTargetRanIsNotServed(t *testing.T) {
	now := start
	s := Shares{Capacity: 1000}
	s.SetFleet([]message.Demand{{Account: "a", Rate: 900}, {Account: "b", Rate: 900, Served: 100}})
	require.True(t, s.Ask(now, "a", 50))
	before := *s.accounts["a"]
	for range 20 {
		s.Spend(now, "a", 50)
		s.Refund(now, "a", 50)
	}
	require.InDelta(t, before.tokens, s.accounts["a"].tokens, 1e-6)
	require.Zero(t, s.accounts["a"].since)
	require.InDelta(t, 0, s.servedAll(now, "a"), 1e-6)
	require.Zero(t, s.Excess(now, "a"))
	s.Spend(now, "a", 50)
	s.Refund(now.Add(10*time.Second), "a", 500)
	require.GreaterOrEqual(t, s.accounts["a"].served.now(now.Add(10*time.Second)), 0.0, "it has faded meanwhile")
}
