package quarantine_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/quarantine"
)

// Symptom: a flood of different requests that end targets fills the keepers' log and memory,
// or pushes out what others' requests have shown.
// Sequence: one account makes a new one each second; another account has one that is held.
func TestTheBookIsBounded(t *testing.T) {
	var b quarantine.EntryStore
	ended := []quarantine.TerminatedTarget{{Target: fleet.Incarnation{ID: "a"}}, {Target: fleet.Incarnation{ID: "b"}}, {Target: fleet.Incarnation{ID: "c"}}}
	b.Put([]quarantine.Entry{{Fingerprint: "first", Account: "regina", TerminatedTargets: ended}})
	held := b.Revision()
	for i := range 5000 {
		b.Put([]quarantine.Entry{{Fingerprint: quarantine.Fingerprint(fmt.Sprint(i)), Account: "flood", TerminatedTargets: ended}})
	}
	require.Len(t, b.Entries(), 1024)
	_, ok := b.Entry("first")
	require.True(t, ok, "of another account")
	list, whole := b.ChangedSince(held)
	require.True(t, whole, "more has gone than is remembered")
	require.Len(t, list, 1024)
	held = b.Revision()
	b.Put([]quarantine.Entry{{Fingerprint: "4999"}})
	list, whole = b.ChangedSince(held)
	require.False(t, whole)
	require.Len(t, list, 1)
	require.Empty(t, list[0].TerminatedTargets, "it is gone")
	var again quarantine.EntryStore
	again.Restore(b.Snapshot())
	require.Equal(t, b.Entries(), again.Entries())
	require.Equal(t, b.Revision(), again.Revision())
}

// An end counts once, whoever tells of it and however often.
func TestAnEndCountsOnce(t *testing.T) {
	now := time.Unix(1e9, 0)
	one := quarantine.Termination{Fingerprint: "p", Account: "regina", Target: fleet.Incarnation{ID: "i-1"}}
	r := quarantine.Coordinator{}
	r.Load(now, nil)
	for i := range 5 {
		r.HandleReport(now.Add(time.Duration(i)*time.Second), fmt.Sprint("r", i), quarantine.Report{Terminations: []quarantine.Termination{one, one}})
	}
	require.Equal(t, 1, r.TerminationCount("p"))
	named := one
	named.Fingerprint, named.IDReused = "n", true
	r.HandleReport(now, "r1", quarantine.Report{Terminations: []quarantine.Termination{named}})
	r.HandleReport(now.Add(time.Second), "r2", quarantine.Report{Terminations: []quarantine.Termination{named}})
	require.Equal(t, 1, r.TerminationCount("n"), "the same, told later")
	r.HandleReport(now.Add(4*time.Second), "r2", quarantine.Report{Terminations: []quarantine.Termination{named}})
	require.Equal(t, 2, r.TerminationCount("n"), "it was back")
	r.HandleReport(now.Add(5*time.Second), "r1", quarantine.Report{Completions: []quarantine.Completion{{Fingerprint: "n", Age: 2 * time.Second}}})
	require.Equal(t, 1, r.TerminationCount("n"), "a whole answer wipes out what was before it")
	late := named
	late.Age = 4 * time.Second
	r.HandleReport(now.Add(6*time.Second), "r3", quarantine.Report{Terminations: []quarantine.Termination{late}})
	require.Equal(t, 1, r.TerminationCount("n"), "told after the answer that came after it")
}

// Symptom: a sound request is refused though targets have room, right after several ended.
// Sequence: two targets end under it; its router gets a permit for one of them, which the list
// still shows; it cannot be reached, and the permit is given back.
// Cause: the leader went by the list alone, and the router took its own permit for another's.
func TestAPermitIsForATargetThatIsThere(t *testing.T) {
	now := time.Unix(1e9, 0)
	var b quarantine.EntryStore
	r := quarantine.Coordinator{AvailableTargets: func(string) []string { return []string{"x", "y", "z"} }}
	r.Load(now, nil)
	g := quarantine.Guard{Owner: "r1"}
	exchange := func() {
		m := g.Report(now)
		r.HandleReport(now, "r1", m)
		put, _ := r.TakeChanges()
		b.Put(put)
		g.ApplyUpdate(now, now, 1, r.UpdateFor(now, m, &b))
		now = now.Add(50 * time.Millisecond)
	}
	for _, id := range []string{"x", "z"} {
		target := fleet.Incarnation{ID: id}
		require.True(t, g.RecordInterruption(now, quarantine.Execution{Fingerprint: "p", Pool: "any", Target: target}))
		g.RecordTermination(now, target)
	}
	require.Equal(t, quarantine.AwaitPermit, g.Check(now, "p").Action)
	g.RequestPermit("p")
	exchange()
	v := g.Check(now, "p")
	require.Equal(t, quarantine.Allow, v.Action)
	require.Equal(t, "y", v.PermitTarget, "the only one that is there")
	g.MarkSent(v, "p")
	g.ReturnPermit(now, v, "p", true)
	require.Equal(t, quarantine.AwaitPermit, g.Check(now, "p").Action, "it may ask again")
	exchange()
	again := g.Check(now, "p")
	require.Equal(t, quarantine.Allow, again.Action)
	require.NotEqual(t, v.PermitID, again.PermitID)
}

// Guards against permits for targets that are gone, one after the other, and against a request
// that waits for a permit while no target is there.
func TestATargetThatCannotBeReachedGetsNoPermits(t *testing.T) {
	now := time.Unix(1e9, 0)
	var b quarantine.EntryStore
	r := quarantine.Coordinator{AvailableTargets: func(string) []string { return []string{"x", "y", "z"} }}
	r.Load(now, nil)
	one, other := quarantine.Guard{Owner: "r1"}, quarantine.Guard{Owner: "r2"}
	exchange := func(g *quarantine.Guard) {
		m := g.Report(now)
		r.HandleReport(now, g.Owner, m)
		put, _ := r.TakeChanges()
		b.Put(put)
		g.ApplyUpdate(now, now, 1, r.UpdateFor(now, m, &b))
		now = now.Add(50 * time.Millisecond)
	}
	for _, id := range []string{"u", "v"} { // gone from the list
		target := fleet.Incarnation{ID: id}
		for _, p := range []quarantine.Fingerprint{"p", "q"} {
			require.True(t, one.RecordInterruption(now, quarantine.Execution{Fingerprint: p, Pool: "any", Target: target}))
		}
		one.RecordTermination(now, target)
	}
	exchange(&one)
	exchange(&other)
	tried := make(map[string]bool)
	for range 3 {
		one.RequestPermit("p")
		exchange(&one)
		v := one.Check(now, "p")
		require.Equal(t, quarantine.Allow, v.Action)
		require.False(t, tried[v.PermitTarget], "%s was not there", v.PermitTarget)
		tried[v.PermitTarget] = true
		one.MarkSent(v, "p")
		one.ReturnUnreachable(now, v, "p")
		one.CancelPermitRequest("p")
	}
	exchange(&one)
	exchange(&other)
	require.Equal(t, quarantine.AwaitPermit, other.Check(now, "q").Action)
	other.RequestPermit("q")
	exchange(&other)
	v := other.Check(now, "q")
	require.Equal(t, quarantine.Reject, v.Action, "it is told at once")
	require.Positive(t, v.RetryAfter)
	now = now.Add(time.Second)
	require.Equal(t, quarantine.AwaitPermit, other.Check(now, "q").Action, "there may be one by now")
}

// A request's own router is told at once what it waits for, and others that it runs.
func TestOnePermitAtATime(t *testing.T) {
	now := time.Unix(1e9, 0)
	var b quarantine.EntryStore
	r := quarantine.Coordinator{AvailableTargets: func(string) []string { return []string{"x", "y"} }}
	r.Load(now, nil)
	ends := func(p quarantine.Fingerprint) quarantine.Report {
		return quarantine.Report{Terminations: []quarantine.Termination{
			{Fingerprint: p, Target: fleet.Incarnation{ID: "a" + string(p)}}, {Fingerprint: p, Target: fleet.Incarnation{ID: "b" + string(p)}},
		}}
	}
	r.HandleReport(now, "r1", ends("p"))
	r.HandleReport(now, "r1", ends("q"))
	r.HandleReport(now, "r1", ends("s"))
	ask := quarantine.Report{PermitRequests: []quarantine.Fingerprint{"p", "q", "s"}}
	r.HandleReport(now, "r1", ask)
	r.HandleReport(now, "r2", ask)
	put, _ := r.TakeChanges()
	b.Put(put)
	var holders, places []string
	for _, e := range b.Entries() {
		if e.PermitHolder != "" {
			holders, places = append(holders, e.PermitHolder), append(places, e.PermitTarget)
		}
	}
	require.Equal(t, []string{"r1", "r1"}, holders, "as many as there are targets")
	slices.Sort(places)
	require.Equal(t, []string{"x", "y"}, places, "each on a target of its own")
	one, two := quarantine.Guard{Owner: "r1"}, quarantine.Guard{Owner: "r2"}
	one.ApplyUpdate(now, now, 1, r.UpdateFor(now, quarantine.Report{}, &b))
	two.ApplyUpdate(now, now, 1, r.UpdateFor(now, quarantine.Report{}, &b))
	v := one.Check(now, "p")
	require.Equal(t, quarantine.Allow, v.Action)
	require.NotEmpty(t, v.PermitTarget)
	require.Equal(t, quarantine.Reject, two.Check(now, "p").Action)
	one.MarkSent(v, "p")
	require.Equal(t, quarantine.Reject, one.Check(now, "p").Action, "one permit is one run")
	one.ReturnPermit(now, v, "p", false)
	r.HandleReport(now, "r1", one.Report(now))
	put, _ = r.TakeChanges()
	b.Put(put)
	two.ApplyUpdate(now, now, 1, r.UpdateFor(now, quarantine.Report{KnownRevision: 0}, &b))
	require.Equal(t, quarantine.AwaitPermit, two.Check(now, "p").Action, "it may ask again")
}

// Symptom: the leader stands still, or grows, when many targets end at once.
// Sequence: all targets of a large fleet end, with tens of thousands of requests.
// Cause: each first end is remembered, and room for one more was made one by one.
func TestFirstEndsAreBounded(t *testing.T) {
	const ends, kept = 30000, 8192
	now := time.Unix(1e9, 0)
	r := quarantine.Coordinator{}
	r.Load(now, nil)
	g := quarantine.Guard{Owner: "r1"}
	name := func(i int) quarantine.Fingerprint { return quarantine.Fingerprint(fmt.Sprint(i)) }
	target := fleet.Incarnation{ID: "a"}
	for i := range ends {
		at := now.Add(time.Duration(i) * time.Millisecond)
		r.HandleReport(at, "r1", quarantine.Report{Terminations: []quarantine.Termination{{Fingerprint: name(i), Target: target}}})
		g.RecordInterruption(at, quarantine.Execution{Fingerprint: name(i), Target: target})
	}
	known := 0
	for i := range ends {
		known += r.TerminationCount(name(i))
	}
	require.LessOrEqual(t, known, kept)
	require.Greater(t, known, kept/2)
	require.Equal(t, 1, r.TerminationCount(name(ends-1)), "what is new is known")
	require.Zero(t, r.TerminationCount(name(0)))
	late := now.Add(ends * time.Millisecond)
	g.RecordTermination(late, target)
	told := 0
	for range 100 {
		late = late.Add(250 * time.Millisecond)
		m := g.Report(late)
		require.LessOrEqual(t, len(m.Terminations), 257, "a report is bounded")
		told += len(m.Terminations)
		g.ApplyUpdate(late, late, 1, quarantine.RestrictionUpdate{})
	}
	require.Greater(t, told, 1000, "and the next ones tell the rest")
	require.Empty(t, g.Report(late.Add(time.Second)).Terminations, "once each")
}

// Two trials are all there are, however long a request goes on coming.
func TestTrialsAreCounted(t *testing.T) {
	now := time.Unix(1e9, 0)
	r := quarantine.Coordinator{}
	r.Load(now, nil)
	for _, id := range []string{"a", "b", "c"} {
		r.HandleReport(now, "r1", quarantine.Report{Terminations: []quarantine.Termination{{Fingerprint: "p", Target: fleet.Incarnation{ID: id}}}})
	}
	granted := 0
	for i := range 3600 {
		at := now.Add(time.Duration(i) * time.Second)
		router := fmt.Sprint("r", i%7)
		r.HandleReport(at, router, quarantine.Report{PermitRequests: []quarantine.Fingerprint{"p"}})
		_, notes := r.TakeChanges()
		for _, n := range notes {
			if n.Transition != quarantine.PermitGranted {
				continue
			}
			granted++
			r.HandleReport(at, router, quarantine.Report{Terminations: []quarantine.Termination{{Fingerprint: "p", Target: fleet.Incarnation{ID: fmt.Sprint("t", i)}}}})
		}
	}
	require.Equal(t, 2, granted)
}

// Guards against an end under a permit that is taken for one before the permit, and is not
// counted: the target was back at once, and has no incarnations.
func TestAnEndUnderAPermitIsAnother(t *testing.T) {
	now := time.Unix(1e9, 0)
	r := quarantine.Coordinator{}
	r.Load(now, nil)
	end := func(id string, age time.Duration, grant uint64) quarantine.Report {
		return quarantine.Report{Terminations: []quarantine.Termination{{Fingerprint: "p", Target: fleet.Incarnation{ID: id}, IDReused: true, Age: age, PermitID: grant}}}
	}
	r.HandleReport(now, "r1", end("a", 0, 0))
	r.HandleReport(now, "r1", end("b", 0, 0))
	now = now.Add(100 * time.Millisecond)
	r.HandleReport(now, "r2", quarantine.Report{PermitRequests: []quarantine.Fingerprint{"p"}})
	now = now.Add(300 * time.Millisecond)
	r.HandleReport(now, "r3", end("b", 350*time.Millisecond, 0))
	require.Equal(t, 2, r.TerminationCount("p"), "another router saw it as well")
	r.HandleReport(now, "r2", end("b", 10*time.Millisecond, 1))
	require.Equal(t, 3, r.TerminationCount("p"))
	r.HandleReport(now.Add(50*time.Millisecond), "r2", end("b", 60*time.Millisecond, 1))
	require.Equal(t, 3, r.TerminationCount("p"), "told again")
	r.HandleReport(now.Add(50*time.Millisecond), "r3", end("b", 60*time.Millisecond, 0))
	require.Equal(t, 3, r.TerminationCount("p"), "another router saw that one")
}
