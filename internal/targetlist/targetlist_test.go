package targetlist

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"laburnumfall/internal/fleet"
)

var startTime = time.Unix(1e9, 0)

func TestKeepsNewestList(t *testing.T) {
	var list List
	a, b := fleet.Instance{Incarnation: fleet.Incarnation{ID: "a"}}, fleet.Instance{Incarnation: fleet.Incarnation{ID: "b"}}
	require.True(t, list.Update(startTime, listingOf(b, a)))
	require.Equal(t, []fleet.Instance{a, b}, list.Targets())
	require.False(t, list.Update(startTime.Add(time.Second), listingOf(a, b)), "nothing changed")
	require.False(t, list.Update(startTime, listingOf(b)), "an older list is ignored")
	require.Equal(t, startTime.Add(time.Second), list.ReadAt())
	require.True(t, list.Update(startTime.Add(2*time.Second), listingOf(b)))
	require.Equal(t, []fleet.Instance{b}, list.Targets())
}

// Guards against new work for a target that leaves: the leader has read that it leaves, and a
// router that cannot reach the leader reads a list that lags and still shows it as live.
func TestLeavingTargetStaysLeaving(t *testing.T) {
	var list List
	live, leaving := fleet.Instance{Incarnation: fleet.Incarnation{ID: "a"}}, fleet.Instance{Incarnation: fleet.Incarnation{ID: "a"}, Leaving: true}
	list.Update(startTime, listingOf(leaving))
	require.False(t, list.Update(startTime.Add(time.Second), listingOf(live)))
	require.True(t, list.Targets()[0].Leaving)
	list.Update(startTime.Add(2*time.Second), listingOf(permanent))
	list.Update(startTime.Add(3*time.Second), listingOf(live))
	require.True(t, list.Targets()[0].Leaving, "also after it was missing from a list")
	next := fleet.Instance{Incarnation: fleet.Incarnation{ID: "a2"}}
	require.True(t, list.Update(startTime.Add(4*time.Second), listingOf(next)))
	require.False(t, list.Targets()[0].Leaving, "another incarnation is another target")
}

// instance returns a target with a start time.
func instance(id string, startMillis int64) fleet.Instance {
	return fleet.Instance{Incarnation: fleet.Incarnation{ID: id, StartMillis: startMillis}, Pool: "p", Address: id + ":80"}
}

// permanent is a target that makes a listing non-empty.
var permanent = instance("z", 1)

func listingOf(targets ...fleet.Instance) fleet.TargetListing {
	return fleet.TargetListing{Targets: targets}
}

func asLeaving(target fleet.Instance) fleet.Instance {
	target.Leaving = true
	return target
}

func timeAt(seconds float64) time.Time {
	return startTime.Add(time.Duration(seconds * float64(time.Second)))
}

// Guards against a restarted target that gets no work for up to a minute, or until the list
// changes: it is listed as draining, ends, and is listed as ready with the same ID, so that the
// leaving state must not be kept by ID alone.
func TestRestartedTargetIsNotLeaving(t *testing.T) {
	var list List
	list.Update(timeAt(0), listingOf(asLeaving(instance("a", 1000))))
	require.True(t, list.Update(timeAt(1), listingOf(instance("a", 2000))), "at once, although no listing lacked it")
	require.Equal(t, []fleet.Instance{instance("a", 2000)}, list.Targets())
	list.Update(timeAt(2), listingOf(asLeaving(instance("a", 2000))))
	require.True(t, list.Targets()[0].Leaving)
}

// Guards against requests to a process that has ended: a target restarts, and a lagging reader
// still shows its previous run.
func TestOlderStartDoesNotReplaceNewer(t *testing.T) {
	var list List
	list.Update(timeAt(0), listingOf(instance("a", 2000)))
	require.False(t, list.Update(timeAt(1), listingOf(instance("a", 1000))))
	require.False(t, list.Update(timeAt(2), listingOf(asLeaving(instance("a", 1000)))), "the leaving state of the previous run is ignored")
	require.True(t, list.Update(timeAt(3), listingOf(permanent)))
	require.False(t, list.Update(timeAt(4), listingOf(permanent, instance("a", 1000))), "the newer run has ended, and the previous one ended before it")
	require.Equal(t, []fleet.Instance{permanent}, list.Targets())
	require.True(t, list.Update(timeAt(3).Add(stateTTL+time.Second), listingOf(permanent, instance("a", 1000))), "after stateTTL an older start time is accepted, since a clock may have been set back")
}

// Guards against new work for a target that leaves, as TestLeavingTargetStaysLeaving does, for
// targets with a start time.
func TestLeavingTargetWithStartStaysLeaving(t *testing.T) {
	var list List
	list.Update(timeAt(0), listingOf(asLeaving(instance("a", 1000))))
	for second := 1.0; second < 40; second++ {
		list.Update(timeAt(second), listingOf(instance("a", 1000)))
		require.True(t, list.Targets()[0].Leaving, "after %v s", second)
	}
	list.Update(timeAt(40), listingOf(permanent))
	require.Equal(t, []fleet.Instance{permanent}, list.Targets())
	list.Update(timeAt(41), listingOf(instance("a", 1000)))
	require.True(t, list.Targets()[0].Leaving, "also after it was missing from a list")
}

// Guards against a restarted target without a start time that gets no work for up to a minute: it
// is listed as draining, ends, and is ready seconds later, when no reading can lag that much.
func TestReadyAfterLeavingWithoutStartIsRestart(t *testing.T) {
	for name, tt := range map[string]struct {
		lastLeaving float64 // when it is last seen leaving
		between     []fleet.Instance
	}{
		"gone":   {0, []fleet.Instance{permanent}},
		"listed": {1, []fleet.Instance{asLeaving(instance("a", 0))}},
	} {
		t.Run(name, func(t *testing.T) {
			var list List
			list.Update(timeAt(0), listingOf(asLeaving(instance("a", 0))))
			list.Update(timeAt(1), listingOf(tt.between...))
			lag := tt.lastLeaving + maxListLag.Seconds()
			list.Update(timeAt(lag-0.1), listingOf(instance("a", 0)))
			require.True(t, list.Targets()[0].Leaving, "this listing may lag")
			require.True(t, list.Update(timeAt(lag+0.1), listingOf(instance("a", 0))))
			require.False(t, list.Targets()[0].Leaving)
		})
	}
}

// Guards against a target that stays excluded after a gap: a crashed target was never listed as
// leaving, and may be listed again after a gap, which also occurs if the list changes between the
// reading of two pages.
func TestMissingTargetWithoutStartReturns(t *testing.T) {
	var list List
	list.Update(timeAt(0), listingOf(instance("a", 0)))
	list.Update(timeAt(1), listingOf(permanent))
	require.Equal(t, []fleet.Instance{permanent}, list.Targets())
	require.True(t, list.Update(timeAt(2), listingOf(instance("a", 0))))
	require.False(t, list.Targets()[0].Leaving)
}

// Guards against targets that change with each listing, or a leaving target that becomes ready:
// listings of keepers of the previous version, which have no start times, alternate with readings
// of the router itself.
func TestUnknownStartKeepsKnownStart(t *testing.T) {
	var list List
	list.Update(timeAt(0), listingOf(instance("a", 0), asLeaving(instance("b", 0))))
	require.True(t, list.Update(timeAt(1), listingOf(instance("a", 1000), instance("b", 1000))))
	require.Equal(t, []fleet.Instance{instance("a", 1000), asLeaving(instance("b", 1000))}, list.Targets(), "the start times are adopted, and b is still leaving")
	require.False(t, list.Update(timeAt(2), listingOf(instance("a", 0), instance("b", 0))))
	require.Equal(t, []fleet.Instance{instance("a", 1000), asLeaving(instance("b", 1000))}, list.Targets())
}

// Checks which of two entries with the same ID is used. Another writer may have added one, or the
// list may have changed between the reading of two pages.
func TestDuplicateIDs(t *testing.T) {
	otherAddress := instance("a", 1000)
	otherAddress.Address = "0:80"
	for name, tt := range map[string]struct{ list, want []fleet.Instance }{
		"the later start":                   {[]fleet.Instance{instance("a", 1000), instance("a", 2000)}, []fleet.Instance{instance("a", 2000)}},
		"the later start, although leaving": {[]fleet.Instance{instance("a", 1000), asLeaving(instance("a", 2000))}, []fleet.Instance{asLeaving(instance("a", 2000))}},
		"the leaving one":                   {[]fleet.Instance{instance("a", 1000), asLeaving(instance("a", 1000))}, []fleet.Instance{asLeaving(instance("a", 1000))}},
		"the one that was used before":      {[]fleet.Instance{otherAddress, instance("a", 1000)}, []fleet.Instance{instance("a", 1000)}},
		"the known start":                   {[]fleet.Instance{instance("a", 0), instance("a", 1000)}, []fleet.Instance{instance("a", 1000)}},
	} {
		t.Run(name, func(t *testing.T) {
			for _, entries := range [][]fleet.Instance{tt.list, {tt.list[1], tt.list[0]}} {
				var list List
				list.Update(timeAt(0), listingOf(instance("a", 1000)))
				list.Update(timeAt(1), listingOf(entries...))
				require.Equal(t, tt.want, list.Targets())
			}
		})
	}
}

// Guards against a target that its pool loses because another writer lists the same ID for an
// unknown service with a later start time.
func TestUnknownPoolDoesNotReplaceTarget(t *testing.T) {
	list := List{IsRouted: func(pool string) bool { return pool == "p" }}
	foreign := instance("a", 3000)
	foreign.Pool, foreign.Address = "", "0:80"
	list.Update(timeAt(0), listingOf(foreign, instance("a", 1000)))
	require.Equal(t, []fleet.Instance{instance("a", 1000)}, list.Targets())
	list.Update(timeAt(1), listingOf(instance("a", 1000), foreign))
	require.Equal(t, []fleet.Instance{instance("a", 1000)}, list.Targets())
	list.Update(timeAt(2), listingOf(foreign, permanent))
	require.Equal(t, []fleet.Instance{permanent}, list.Targets())
	list.Update(timeAt(3), listingOf(instance("a", 1000), permanent))
	require.Equal(t, []fleet.Instance{instance("a", 1000), permanent}, list.Targets(), "the start time of the other entry does not count")
}

// Guards against requests for a crashed target that are rejected by the next one at its address:
// the crashed target stays listed for seconds, while its address is reused.
func TestLaterStartWinsAddress(t *testing.T) {
	older, newer := instance("a", 1000), instance("b", 2000)
	older.Address = newer.Address
	var list List
	list.Update(timeAt(0), listingOf(older, newer))
	require.Equal(t, []fleet.Instance{newer}, list.Targets())
	list.Update(timeAt(1), listingOf(older))
	require.Equal(t, []fleet.Instance{older}, list.Targets())
	otherPool := newer
	otherPool.Pool = "of another writer"
	list.Update(timeAt(2), listingOf(older, otherPool))
	require.Contains(t, list.Targets(), older, "an entry of another pool hides no target")
	unknownStart := instance("c", 0)
	unknownStart.Address = older.Address
	list.Update(timeAt(3), listingOf(older, unknownStart))
	require.Contains(t, list.Targets(), older)
}

// Guards against any sequence of listings in which an older run replaces a target, or a target
// becomes ready in the same run after it was seen leaving.
func TestInvariantsForRandomLists(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var list List
		newest := map[string]int64{}
		leaving := map[fleet.Incarnation]bool{}
		now := startTime
		for range rapid.IntRange(1, 40).Draw(t, "lists") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "pause")) * time.Millisecond)
			var entries []fleet.Instance
			for range rapid.IntRange(0, 4).Draw(t, "entries") {
				target := instance(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "id"), int64(rapid.IntRange(1, 4).Draw(t, "born")))
				target.Leaving = rapid.Bool().Draw(t, "leaving")
				entries = append(entries, target)
			}
			list.Update(now, listingOf(entries...))
			for _, target := range entries {
				newest[target.ID] = max(newest[target.ID], target.StartMillis)
			}
			for _, target := range list.Targets() {
				require.Equal(t, newest[target.ID], target.StartMillis)
				require.False(t, leaving[target.Incarnation] && !target.Leaving)
				leaving[target.Incarnation] = target.Leaving
			}
		}
	})
}

// withDamaged returns a listing to which damaged entries with these IDs are added.
func withDamaged(listing fleet.TargetListing, ids ...string) fleet.TargetListing {
	for _, id := range ids {
		listing.Damaged = append(listing.Damaged, fleet.DamagedEntry{ID: id, Field: "slots"})
	}
	return listing
}

// Guards against refused requests, or overload of other targets, when a writer of the list writes
// one invalid entry: the target of a damaged entry must not count as ended at once.
func TestDamagedEntryKeepsTarget(t *testing.T) {
	live, leaving := instance("a", 1000), asLeaving(instance("b", 1000))
	var list List
	list.Update(timeAt(0), listingOf(live, leaving, permanent))
	require.False(t, list.Update(timeAt(0.6), withDamaged(listingOf(permanent), "a", "b", "new", "")), "targets keep their last valid entries and their leaving state")
	require.False(t, list.Update(timeAt(1.2), withDamaged(listingOf(permanent), "a", "b")))
	require.True(t, list.Update(timeAt(1.8), withDamaged(listingOf(permanent), "a", "b")), "limited, since the damage may hide that a target leaves, and its work must end in time")
	require.Equal(t, []fleet.Instance{permanent}, list.Targets())
	require.False(t, list.Update(timeAt(2.4), withDamaged(listingOf(permanent), "a")), "a damaged entry does not restore a removed target")
	require.True(t, list.Update(timeAt(3), listingOf(live, permanent)))
	require.Equal(t, []fleet.Instance{live, permanent}, list.Targets())
	list.Update(timeAt(4), listingOf(permanent))
	require.False(t, list.Update(timeAt(4.1), withDamaged(listingOf(permanent), "a")), "nor one that was not listed before")
	list.Update(timeAt(5), listingOf(live, permanent))
	require.False(t, list.Update(timeAt(6), withDamaged(listingOf(live, permanent), "a")), "a damaged entry is ignored if there is a valid one")
}

// Guards against a lost leaving state, or a missed restart, when a damaged entry becomes valid
// again.
func TestTargetAfterDamagedEntry(t *testing.T) {
	var list List
	list.Update(timeAt(0), listingOf(asLeaving(instance("a", 1000)), permanent))
	list.Update(timeAt(1), withDamaged(listingOf(permanent), "a"))
	list.Update(timeAt(1.4), listingOf(instance("a", 1000), permanent))
	require.True(t, list.Targets()[0].Leaving)
	list.Update(timeAt(2), withDamaged(listingOf(permanent), "a"))
	require.True(t, list.Update(timeAt(2.4), listingOf(instance("a", 2000), permanent)))
	require.Equal(t, instance("a", 2000), list.Targets()[0])
}

// Guards against the refusal of all requests when the platform's list is empty, or fully damaged,
// for some seconds.
func TestEmptyListIsAcceptedAfterDelay(t *testing.T) {
	targets := []fleet.Instance{instance("a", 1000), asLeaving(instance("b", 1000))}
	for name, empty := range map[string]fleet.TargetListing{"empty": {}, "all damaged": withDamaged(fleet.TargetListing{}, "a", "b", "")} {
		t.Run(name, func(t *testing.T) {
			var list List
			list.Update(timeAt(0), listingOf(targets...))
			for second := 30.0; second < 40; second++ { // no reading before for 30 s
				require.False(t, list.Update(timeAt(second), empty))
				require.Equal(t, targets, list.Targets())
				require.Equal(t, timeAt(0), list.ReadAt(), "the time of the last valid listing is kept")
			}
			require.False(t, list.Update(timeAt(39.5), listingOf(targets...)), "the list has entries again")
			require.False(t, list.Update(timeAt(45), empty))
			require.True(t, list.Update(timeAt(45).Add(emptyTTL), empty), "an empty list is accepted after emptyTTL")
			require.Empty(t, list.Targets())
			require.Equal(t, timeAt(45).Add(emptyTTL), list.ReadAt())
		})
	}
	var fresh List
	require.False(t, fresh.Update(timeAt(0), fleet.TargetListing{}), "no targets are known")
	require.Equal(t, timeAt(0), fresh.ReadAt())
}
