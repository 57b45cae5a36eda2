package targetlist

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"laburnumfall/internal/fleet"
)

var start = time.Unix(1e9, 0)

func TestRosterKeepsTheNewestList(t *testing.T) {
	var r List
	a, b := fleet.Instance{Incarnation: fleet.Incarnation{ID: "a"}}, fleet.Instance{Incarnation: fleet.Incarnation{ID: "b"}}
	require.True(t, r.Take(start, list(b, a)))
	require.Equal(t, []fleet.Instance{a, b}, r.Targets())
	require.False(t, r.Take(start.Add(time.Second), list(a, b)), "nothing changed")
	require.False(t, r.Take(start, list(b)), "an older list is ignored")
	require.Equal(t, start.Add(time.Second), r.ReadAt())
	require.True(t, r.Take(start.Add(2*time.Second), list(b)))
	require.Equal(t, []fleet.Instance{b}, r.Targets())
}

// Symptom: a target that leaves gets new work again.
// Sequence: the leader reads that it leaves; a router cut off from the leader
// reads the list itself, where it still looks live.
// Cause: the list lags, and not alike for all readers.
func TestALeavingTargetStaysOut(t *testing.T) {
	var r List
	live, leaving := fleet.Instance{Incarnation: fleet.Incarnation{ID: "a"}}, fleet.Instance{Incarnation: fleet.Incarnation{ID: "a"}, Leaving: true}
	r.Take(start, list(leaving))
	require.False(t, r.Take(start.Add(time.Second), list(live)))
	require.True(t, r.Targets()[0].Leaving)
	r.Take(start.Add(2*time.Second), list(sound))
	r.Take(start.Add(3*time.Second), list(live))
	require.True(t, r.Targets()[0].Leaving, "also after it was missing from a list")
	next := fleet.Instance{Incarnation: fleet.Incarnation{ID: "a2"}}
	require.True(t, r.Take(start.Add(4*time.Second), list(next)))
	require.False(t, r.Targets()[0].Leaving, "another incarnation is another target")
}

// run is a target with a start.
func run(id string, born int64) fleet.Instance {
	return fleet.Instance{Incarnation: fleet.Incarnation{ID: id, StartMillis: born}, Pool: "p", Address: id + ":80"}
}

// sound is a target that is always there.
var sound = run("z", 1)

func list(targets ...fleet.Instance) fleet.TargetListing {
	return fleet.TargetListing{Targets: targets}
}

func leaving(in fleet.Instance) fleet.Instance {
	in.Leaving = true
	return in
}

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// Symptom: a target that was drained and started again gets no work for up to a minute,
// or never while the list does not change.
// Sequence: it is listed as draining, ends, and is listed as ready under its ID.
// Cause: leaving was remembered by ID, which outlives the process.
func TestATargetThatStartedAgainIsNotLeaving(t *testing.T) {
	var r List
	r.Take(at(0), list(leaving(run("a", 1000))))
	require.True(t, r.Take(at(1), list(run("a", 2000))), "at once, even if no list lacked it")
	require.Equal(t, []fleet.Instance{run("a", 2000)}, r.Targets())
	r.Take(at(2), list(leaving(run("a", 2000))))
	require.True(t, r.Targets()[0].Leaving)
}

// Symptom: requests go to a process that has ended.
// Sequence: a target starts again; a reader that lags, or a second router's, still shows
// its former start.
// Cause: the list that comes last counts.
func TestAnOlderStartReplacesNoNewerOne(t *testing.T) {
	var r List
	r.Take(at(0), list(run("a", 2000)))
	require.False(t, r.Take(at(1), list(run("a", 1000))))
	require.False(t, r.Take(at(2), list(leaving(run("a", 1000)))), "that the former one leaves concerns nobody")
	require.True(t, r.Take(at(3), list(sound)))
	require.False(t, r.Take(at(4), list(sound, run("a", 1000))), "the newer one is gone, and the former one was before it")
	require.Equal(t, []fleet.Instance{sound}, r.Targets())
	require.True(t, r.Take(at(3).Add(memory+time.Second), list(sound, run("a", 1000))), "nothing else was seen for so long: a clock was set back")
}

// Symptom: a leaving target gets new work again.
// Sequence: as in TestALeavingTargetStaysOut, with starts that are told.
// Cause: as there.
func TestALeavingTargetOfAKnownStartStaysOut(t *testing.T) {
	var r List
	r.Take(at(0), list(leaving(run("a", 1000))))
	for s := 1.0; s < 40; s++ {
		r.Take(at(s), list(run("a", 1000)))
		require.True(t, r.Targets()[0].Leaving, "after %v s", s)
	}
	r.Take(at(40), list(sound))
	require.Equal(t, []fleet.Instance{sound}, r.Targets())
	r.Take(at(41), list(run("a", 1000)))
	require.True(t, r.Targets()[0].Leaving, "also after it was missing from a list")
}

// Symptom: where the platform tells no starts, a target that was drained and started
// again gets no work for up to a minute.
// Sequence: it is listed as draining, is gone, and is ready again seconds later.
// Cause: a lagging reader was guarded against for longer than any list lags.
func TestWithoutAStartReadyLongAfterLeavingIsTheNextStart(t *testing.T) {
	for name, tt := range map[string]struct {
		last    float64 // when it is last seen leaving
		between []fleet.Instance
	}{
		"gone":   {0, []fleet.Instance{sound}},
		"listed": {1, []fleet.Instance{leaving(run("a", 0))}},
	} {
		t.Run(name, func(t *testing.T) {
			var r List
			r.Take(at(0), list(leaving(run("a", 0))))
			r.Take(at(1), list(tt.between...))
			lag := tt.last + longestLag.Seconds()
			r.Take(at(lag-0.1), list(run("a", 0)))
			require.True(t, r.Targets()[0].Leaving, "that may be a list that lags")
			require.True(t, r.Take(at(lag+0.1), list(run("a", 0))))
			require.False(t, r.Targets()[0].Leaving)
		})
	}
}

// A crash shows no leaving. The target may be back on the list before its former start
// has left it, or after a gap, as it also has when the list changes between its pages.
func TestWithoutAStartATargetThatWasGoneComesBackAtOnce(t *testing.T) {
	var r List
	r.Take(at(0), list(run("a", 0)))
	r.Take(at(1), list(sound))
	require.Equal(t, []fleet.Instance{sound}, r.Targets())
	require.True(t, r.Take(at(2), list(run("a", 0))))
	require.False(t, r.Targets()[0].Leaving)
}

// Symptom: targets change with each list, or a leaving one comes back.
// Sequence: keepers of the version before, whose lists tell no starts, and readings of
// the router's own take turns.
// Cause: an unknown start is taken for another one.
func TestAnUnknownStartIsTheOneThatIsKnown(t *testing.T) {
	var r List
	r.Take(at(0), list(run("a", 0), leaving(run("b", 0))))
	require.True(t, r.Take(at(1), list(run("a", 1000), run("b", 1000))))
	require.Equal(t, []fleet.Instance{run("a", 1000), leaving(run("b", 1000))}, r.Targets(), "the starts are learned, and b still leaves")
	require.False(t, r.Take(at(2), list(run("a", 0), run("b", 0))))
	require.Equal(t, []fleet.Instance{run("a", 1000), leaving(run("b", 1000))}, r.Targets())
}

// A list should not hold two entries with one ID, but another writer may have written
// one, or the list has changed between two of its pages.
func TestOneOfTwoEntriesWithOneID(t *testing.T) {
	moved := run("a", 1000)
	moved.Address = "0:80"
	for name, tt := range map[string]struct{ list, want []fleet.Instance }{
		"the later start":                   {[]fleet.Instance{run("a", 1000), run("a", 2000)}, []fleet.Instance{run("a", 2000)}},
		"the later start, though it leaves": {[]fleet.Instance{run("a", 1000), leaving(run("a", 2000))}, []fleet.Instance{leaving(run("a", 2000))}},
		"the one that leaves":               {[]fleet.Instance{run("a", 1000), leaving(run("a", 1000))}, []fleet.Instance{leaving(run("a", 1000))}},
		"the one that was used":             {[]fleet.Instance{moved, run("a", 1000)}, []fleet.Instance{run("a", 1000)}},
		"a start that is told":              {[]fleet.Instance{run("a", 0), run("a", 1000)}, []fleet.Instance{run("a", 1000)}},
	} {
		t.Run(name, func(t *testing.T) {
			for _, entries := range [][]fleet.Instance{tt.list, {tt.list[1], tt.list[0]}} {
				var r List
				r.Take(at(0), list(run("a", 1000)))
				r.Take(at(1), list(entries...))
				require.Equal(t, tt.want, r.Targets())
			}
		})
	}
}

// Symptom: a target is gone for its pool.
// Sequence: another writer lists its ID under a service that nobody knows, as started later.
// Cause: the later start counts, whatever else the entry says.
func TestAnUnknownServiceTakesNoTargetsPlace(t *testing.T) {
	r := List{Routed: func(pool string) bool { return pool == "p" }}
	other := run("a", 3000)
	other.Pool, other.Address = "", "0:80"
	r.Take(at(0), list(other, run("a", 1000)))
	require.Equal(t, []fleet.Instance{run("a", 1000)}, r.Targets())
	r.Take(at(1), list(run("a", 1000), other))
	require.Equal(t, []fleet.Instance{run("a", 1000)}, r.Targets())
	r.Take(at(2), list(other, sound))
	require.Equal(t, []fleet.Instance{sound}, r.Targets())
	r.Take(at(3), list(run("a", 1000), sound))
	require.Equal(t, []fleet.Instance{run("a", 1000), sound}, r.Targets(), "it is not older than the other writer's")
}

// Symptom: requests go to a target that has crashed and are refused by the next one.
// Sequence: it stays listed for seconds, while its address is given to another one.
// Cause: both are thought to be there.
func TestOfTwoAtOneAddressTheLaterStartIsThere(t *testing.T) {
	former, next := run("a", 1000), run("b", 2000)
	former.Address = next.Address
	var r List
	r.Take(at(0), list(former, next))
	require.Equal(t, []fleet.Instance{next}, r.Targets())
	r.Take(at(1), list(former))
	require.Equal(t, []fleet.Instance{former}, r.Targets())
	elsewhere := next
	elsewhere.Pool = "of another writer"
	r.Take(at(2), list(former, elsewhere))
	require.Contains(t, r.Targets(), former, "what may be nobody's target hides none")
	unknown := run("c", 0)
	unknown.Address = former.Address
	r.Take(at(3), list(former, unknown))
	require.Contains(t, r.Targets(), former)
}

// Whatever lists come: a target is never replaced by an older start, and one that was
// seen leaving is not ready again as the same start.
func TestRosterUnderAnyLists(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r List
		newest := map[string]int64{}
		left := map[fleet.Incarnation]bool{}
		now := start
		for range rapid.IntRange(1, 40).Draw(t, "lists") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "pause")) * time.Millisecond)
			var entries []fleet.Instance
			for range rapid.IntRange(0, 4).Draw(t, "entries") {
				in := run(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "id"), int64(rapid.IntRange(1, 4).Draw(t, "born")))
				in.Leaving = rapid.Bool().Draw(t, "leaving")
				entries = append(entries, in)
			}
			r.Take(now, list(entries...))
			for _, in := range entries {
				newest[in.ID] = max(newest[in.ID], in.StartMillis)
			}
			for _, in := range r.Targets() {
				require.Equal(t, newest[in.ID], in.StartMillis)
				require.False(t, left[in.Incarnation] && !in.Leaving)
				left[in.Incarnation] = in.Leaving
			}
		}
	})
}

// damaged returns a list with damaged entries that name IDs.
func damaged(l fleet.TargetListing, ids ...string) fleet.TargetListing {
	for _, id := range ids {
		l.Damaged = append(l.Damaged, fleet.DamagedEntry{ID: id, Field: "slots"})
	}
	return l
}

// Symptom: requests are refused, or crowd the other targets, though all are well.
// Sequence: a writer of the list writes one entry wrongly, once.
// Cause: a target whose entry cannot be understood is taken for gone.
func TestADamagedEntryDoesNotEndItsTarget(t *testing.T) {
	a, b := run("a", 1000), leaving(run("b", 1000))
	var r List
	r.Take(at(0), list(a, b, sound))
	require.False(t, r.Take(at(0.6), damaged(list(sound), "a", "b", "new", "")), "they keep their last good entries, and what leaves goes on leaving")
	require.False(t, r.Take(at(1.2), damaged(list(sound), "a", "b")))
	require.True(t, r.Take(at(1.8), damaged(list(sound), "a", "b")), "but for so long only that work still ends in time where the damage hides that a target leaves")
	require.Equal(t, []fleet.Instance{sound}, r.Targets())
	require.False(t, r.Take(at(2.4), damaged(list(sound), "a")), "damage brings nobody back")
	require.True(t, r.Take(at(3), list(a, sound)))
	require.Equal(t, []fleet.Instance{a, sound}, r.Targets())
	r.Take(at(4), list(sound))
	require.False(t, r.Take(at(4.1), damaged(list(sound), "a")), "nor one that was gone")
	r.Take(at(5), list(a, sound))
	require.False(t, r.Take(at(6), damaged(list(a, sound), "a")), "a damaged entry beside a good one says nothing")
}

// A target whose entry was damaged is the same one when that is mended, or the next start.
func TestAfterDamageATargetIsWhatItsEntrySays(t *testing.T) {
	var r List
	r.Take(at(0), list(leaving(run("a", 1000)), sound))
	r.Take(at(1), damaged(list(sound), "a"))
	r.Take(at(1.4), list(run("a", 1000), sound))
	require.True(t, r.Targets()[0].Leaving)
	r.Take(at(2), damaged(list(sound), "a"))
	require.True(t, r.Take(at(2.4), list(run("a", 2000), sound)))
	require.Equal(t, run("a", 2000), r.Targets()[0])
}

// Symptom: all requests are refused for lack of targets, though all are well.
// Sequence: the platform's store is empty, or full of damage, for some seconds.
// Cause: whatever list comes is believed at once.
func TestASuddenlyEmptyListIsNotBelievedAtOnce(t *testing.T) {
	targets := []fleet.Instance{run("a", 1000), leaving(run("b", 1000))}
	for name, empty := range map[string]fleet.TargetListing{"empty": {}, "all damaged": damaged(fleet.TargetListing{}, "a", "b", "")} {
		t.Run(name, func(t *testing.T) {
			var r List
			r.Take(at(0), list(targets...))
			for s := 30.0; s < 40; s++ { // nobody could read it before
				require.False(t, r.Take(at(s), empty))
				require.Equal(t, targets, r.Targets())
				require.Equal(t, at(0), r.ReadAt(), "the last good list has its age")
			}
			require.False(t, r.Take(at(39.5), list(targets...)), "it is back")
			require.False(t, r.Take(at(45), empty))
			require.True(t, r.Take(at(45).Add(emptyFor), empty), "they are really gone")
			require.Empty(t, r.Targets())
			require.Equal(t, at(45).Add(emptyFor), r.ReadAt())
		})
	}
	var fresh List
	require.False(t, fresh.Take(at(0), fleet.TargetListing{}), "nobody is known")
	require.Equal(t, at(0), fresh.ReadAt())
}
