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
	var b quarantine.Book
	ended := []quarantine.Ended{{Target: fleet.Incarnation{ID: "a"}}, {Target: fleet.Incarnation{ID: "b"}}, {Target: fleet.Incarnation{ID: "c"}}}
	b.Put([]quarantine.Entry{{Print: "first", Account: "regina", Ended: ended}})
	held := b.Revision()
	for i := range 5000 {
		b.Put([]quarantine.Entry{{Print: quarantine.Print(fmt.Sprint(i)), Account: "flood", Ended: ended}})
	}
	require.Len(t, b.Entries(), 1024)
	_, ok := b.Entry("first")
	require.True(t, ok, "of another account")
	list, whole := b.Since(held)
	require.True(t, whole, "more has gone than is remembered")
	require.Len(t, list, 1024)
	held = b.Revision()
	b.Put([]quarantine.Entry{{Print: "4999"}})
	list, whole = b.Since(held)
	require.False(t, whole)
	require.Len(t, list, 1)
	require.Empty(t, list[0].Ended, "it is gone")
	var again quarantine.Book
	again.Load(b.Save())
	require.Equal(t, b.Entries(), again.Entries())
	require.Equal(t, b.Revision(), again.Revision())
}

// An end counts once, whoever tells of it and however often.
func TestAnEndCountsOnce(t *testing.T) {
	now := time.Unix(1e9, 0)
	one := quarantine.End{Print: "p", Account: "regina", Target: fleet.Incarnation{ID: "i-1"}}
	r := quarantine.Registry{}
	r.Load(now, nil)
	for i := range 5 {
		r.Report(now.Add(time.Duration(i)*time.Second), fmt.Sprint("r", i), quarantine.Report{Ends: []quarantine.End{one, one}})
	}
	require.Equal(t, 1, r.Ends("p"))
	named := one
	named.Print, named.Named = "n", true
	r.Report(now, "r1", quarantine.Report{Ends: []quarantine.End{named}})
	r.Report(now.Add(time.Second), "r2", quarantine.Report{Ends: []quarantine.End{named}})
	require.Equal(t, 1, r.Ends("n"), "the same, told later")
	r.Report(now.Add(4*time.Second), "r2", quarantine.Report{Ends: []quarantine.End{named}})
	require.Equal(t, 2, r.Ends("n"), "it was back")
	r.Report(now.Add(5*time.Second), "r1", quarantine.Report{Clears: []quarantine.Clear{{Print: "n", Age: 2 * time.Second}}})
	require.Equal(t, 1, r.Ends("n"), "a whole answer wipes out what was before it")
	late := named
	late.Age = 4 * time.Second
	r.Report(now.Add(6*time.Second), "r3", quarantine.Report{Ends: []quarantine.End{late}})
	require.Equal(t, 1, r.Ends("n"), "told after the answer that came after it")
}

// Symptom: a sound request is refused though targets have room, right after several ended.
// Sequence: two targets end under it; its router gets a permit for one of them, which the list
// still shows; it cannot be reached, and the permit is given back.
// Cause: the leader went by the list alone, and the router took its own permit for another's.
func TestAPermitIsForATargetThatIsThere(t *testing.T) {
	now := time.Unix(1e9, 0)
	var b quarantine.Book
	r := quarantine.Registry{Targets: func(string) []string { return []string{"x", "y", "z"} }}
	r.Load(now, nil)
	g := quarantine.Guard{Owner: "r1"}
	exchange := func() {
		m := g.Report(now)
		r.Report(now, "r1", m)
		put, _ := r.Take()
		b.Put(put)
		g.Heard(now, now, 1, r.RulingsFor(now, m, &b))
		now = now.Add(50 * time.Millisecond)
	}
	for _, id := range []string{"x", "z"} {
		target := fleet.Incarnation{ID: id}
		require.True(t, g.Cut(now, quarantine.Sight{Print: "p", Pool: "any", Target: target}))
		g.Gone(now, target)
	}
	require.Equal(t, quarantine.Wait, g.Check(now, "p").Do)
	g.Ask("p")
	exchange()
	v := g.Check(now, "p")
	require.Equal(t, quarantine.Run, v.Do)
	require.Equal(t, "y", v.Target, "the only one that is there")
	g.Begin(v, "p")
	g.Over(now, v, "p", true)
	require.Equal(t, quarantine.Wait, g.Check(now, "p").Do, "it may ask again")
	exchange()
	again := g.Check(now, "p")
	require.Equal(t, quarantine.Run, again.Do)
	require.NotEqual(t, v.Grant, again.Grant)
}

// Guards against permits for targets that are gone, one after the other, and against a request
// that waits for a permit while no target is there.
func TestATargetThatCannotBeReachedGetsNoPermits(t *testing.T) {
	now := time.Unix(1e9, 0)
	var b quarantine.Book
	r := quarantine.Registry{Targets: func(string) []string { return []string{"x", "y", "z"} }}
	r.Load(now, nil)
	one, other := quarantine.Guard{Owner: "r1"}, quarantine.Guard{Owner: "r2"}
	exchange := func(g *quarantine.Guard) {
		m := g.Report(now)
		r.Report(now, g.Owner, m)
		put, _ := r.Take()
		b.Put(put)
		g.Heard(now, now, 1, r.RulingsFor(now, m, &b))
		now = now.Add(50 * time.Millisecond)
	}
	for _, id := range []string{"u", "v"} { // gone from the list
		target := fleet.Incarnation{ID: id}
		for _, p := range []quarantine.Print{"p", "q"} {
			require.True(t, one.Cut(now, quarantine.Sight{Print: p, Pool: "any", Target: target}))
		}
		one.Gone(now, target)
	}
	exchange(&one)
	exchange(&other)
	tried := make(map[string]bool)
	for range 3 {
		one.Ask("p")
		exchange(&one)
		v := one.Check(now, "p")
		require.Equal(t, quarantine.Run, v.Do)
		require.False(t, tried[v.Target], "%s was not there", v.Target)
		tried[v.Target] = true
		one.Begin(v, "p")
		one.Unreached(now, v, "p")
		one.Unask("p")
	}
	exchange(&one)
	exchange(&other)
	require.Equal(t, quarantine.Wait, other.Check(now, "q").Do)
	other.Ask("q")
	exchange(&other)
	v := other.Check(now, "q")
	require.Equal(t, quarantine.Hold, v.Do, "it is told at once")
	require.Positive(t, v.Back)
	now = now.Add(time.Second)
	require.Equal(t, quarantine.Wait, other.Check(now, "q").Do, "there may be one by now")
}

// A request's own router is told at once what it waits for, and others that it runs.
func TestOnePermitAtATime(t *testing.T) {
	now := time.Unix(1e9, 0)
	var b quarantine.Book
	r := quarantine.Registry{Targets: func(string) []string { return []string{"x", "y"} }}
	r.Load(now, nil)
	ends := func(p quarantine.Print) quarantine.Report {
		return quarantine.Report{Ends: []quarantine.End{
			{Print: p, Target: fleet.Incarnation{ID: "a" + string(p)}}, {Print: p, Target: fleet.Incarnation{ID: "b" + string(p)}},
		}}
	}
	r.Report(now, "r1", ends("p"))
	r.Report(now, "r1", ends("q"))
	r.Report(now, "r1", ends("s"))
	ask := quarantine.Report{Asks: []quarantine.Print{"p", "q", "s"}}
	r.Report(now, "r1", ask)
	r.Report(now, "r2", ask)
	put, _ := r.Take()
	b.Put(put)
	var holders, places []string
	for _, e := range b.Entries() {
		if e.Holder != "" {
			holders, places = append(holders, e.Holder), append(places, e.Target)
		}
	}
	require.Equal(t, []string{"r1", "r1"}, holders, "as many as there are targets")
	slices.Sort(places)
	require.Equal(t, []string{"x", "y"}, places, "each on a target of its own")
	one, two := quarantine.Guard{Owner: "r1"}, quarantine.Guard{Owner: "r2"}
	one.Heard(now, now, 1, r.RulingsFor(now, quarantine.Report{}, &b))
	two.Heard(now, now, 1, r.RulingsFor(now, quarantine.Report{}, &b))
	v := one.Check(now, "p")
	require.Equal(t, quarantine.Run, v.Do)
	require.NotEmpty(t, v.Target)
	require.Equal(t, quarantine.Hold, two.Check(now, "p").Do)
	one.Begin(v, "p")
	require.Equal(t, quarantine.Hold, one.Check(now, "p").Do, "one permit is one run")
	one.Over(now, v, "p", false)
	r.Report(now, "r1", one.Report(now))
	put, _ = r.Take()
	b.Put(put)
	two.Heard(now, now, 1, r.RulingsFor(now, quarantine.Report{Held: 0}, &b))
	require.Equal(t, quarantine.Wait, two.Check(now, "p").Do, "it may ask again")
}

// Symptom: the leader stands still, or grows, when many targets end at once.
// Sequence: all targets of a large fleet end, with tens of thousands of requests.
// Cause: each first end is remembered, and room for one more was made one by one.
func TestFirstEndsAreBounded(t *testing.T) {
	const ends, kept = 30000, 8192
	now := time.Unix(1e9, 0)
	r := quarantine.Registry{}
	r.Load(now, nil)
	g := quarantine.Guard{Owner: "r1"}
	name := func(i int) quarantine.Print { return quarantine.Print(fmt.Sprint(i)) }
	target := fleet.Incarnation{ID: "a"}
	for i := range ends {
		at := now.Add(time.Duration(i) * time.Millisecond)
		r.Report(at, "r1", quarantine.Report{Ends: []quarantine.End{{Print: name(i), Target: target}}})
		g.Cut(at, quarantine.Sight{Print: name(i), Target: target})
	}
	known := 0
	for i := range ends {
		known += r.Ends(name(i))
	}
	require.LessOrEqual(t, known, kept)
	require.Greater(t, known, kept/2)
	require.Equal(t, 1, r.Ends(name(ends-1)), "what is new is known")
	require.Zero(t, r.Ends(name(0)))
	late := now.Add(ends * time.Millisecond)
	g.Gone(late, target)
	told := 0
	for range 100 {
		late = late.Add(250 * time.Millisecond)
		m := g.Report(late)
		require.LessOrEqual(t, len(m.Ends), 257, "a report is bounded")
		told += len(m.Ends)
		g.Heard(late, late, 1, quarantine.Rulings{})
	}
	require.Greater(t, told, 1000, "and the next ones tell the rest")
	require.Empty(t, g.Report(late.Add(time.Second)).Ends, "once each")
}

// Two trials are all there are, however long a request goes on coming.
func TestTrialsAreCounted(t *testing.T) {
	now := time.Unix(1e9, 0)
	r := quarantine.Registry{}
	r.Load(now, nil)
	for _, id := range []string{"a", "b", "c"} {
		r.Report(now, "r1", quarantine.Report{Ends: []quarantine.End{{Print: "p", Target: fleet.Incarnation{ID: id}}}})
	}
	granted := 0
	for i := range 3600 {
		at := now.Add(time.Duration(i) * time.Second)
		router := fmt.Sprint("r", i%7)
		r.Report(at, router, quarantine.Report{Asks: []quarantine.Print{"p"}})
		_, notes := r.Take()
		for _, n := range notes {
			if n.Step != quarantine.Granted {
				continue
			}
			granted++
			r.Report(at, router, quarantine.Report{Ends: []quarantine.End{{Print: "p", Target: fleet.Incarnation{ID: fmt.Sprint("t", i)}}}})
		}
	}
	require.Equal(t, 2, granted)
}

// Guards against an end under a permit that is taken for one before the permit, and is not
// counted: the target was back at once, and has no incarnations.
func TestAnEndUnderAPermitIsAnother(t *testing.T) {
	now := time.Unix(1e9, 0)
	r := quarantine.Registry{}
	r.Load(now, nil)
	end := func(id string, age time.Duration, grant uint64) quarantine.Report {
		return quarantine.Report{Ends: []quarantine.End{{Print: "p", Target: fleet.Incarnation{ID: id}, Named: true, Age: age, Grant: grant}}}
	}
	r.Report(now, "r1", end("a", 0, 0))
	r.Report(now, "r1", end("b", 0, 0))
	now = now.Add(100 * time.Millisecond)
	r.Report(now, "r2", quarantine.Report{Asks: []quarantine.Print{"p"}})
	now = now.Add(300 * time.Millisecond)
	r.Report(now, "r3", end("b", 350*time.Millisecond, 0))
	require.Equal(t, 2, r.Ends("p"), "another router saw it as well")
	r.Report(now, "r2", end("b", 10*time.Millisecond, 1))
	require.Equal(t, 3, r.Ends("p"))
	r.Report(now.Add(50*time.Millisecond), "r2", end("b", 60*time.Millisecond, 1))
	require.Equal(t, 3, r.Ends("p"), "told again")
	r.Report(now.Add(50*time.Millisecond), "r3", end("b", 60*time.Millisecond, 0))
	require.Equal(t, 3, r.Ends("p"), "another router saw that one")
}
