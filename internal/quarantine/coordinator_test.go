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

// Guards against unbounded growth of the keepers' log and memory, and against the eviction of
// other accounts' entries, when one account sends many different poison requests.
func TestEntryStoreIsBounded(t *testing.T) {
	var store quarantine.EntryStore
	terminated := []quarantine.TerminatedTarget{{Target: fleet.Incarnation{ID: "a"}}, {Target: fleet.Incarnation{ID: "b"}}, {Target: fleet.Incarnation{ID: "c"}}}
	store.Put([]quarantine.Entry{{Fingerprint: "first", Account: "regina", TerminatedTargets: terminated}})
	revision := store.Revision()
	for i := range 5000 {
		store.Put([]quarantine.Entry{{Fingerprint: quarantine.Fingerprint(fmt.Sprint(i)), Account: "flood", TerminatedTargets: terminated}})
	}
	require.Len(t, store.Entries(), 1024)
	_, ok := store.Entry("first")
	require.True(t, ok, "the entry of another account is kept")
	changed, complete := store.ChangedSince(revision)
	require.True(t, complete, "more entries were evicted than there are tombstones")
	require.Len(t, changed, 1024)
	revision = store.Revision()
	store.Put([]quarantine.Entry{{Fingerprint: "4999"}})
	changed, complete = store.ChangedSince(revision)
	require.False(t, complete)
	require.Len(t, changed, 1)
	require.Empty(t, changed[0].TerminatedTargets, "it is a tombstone")
	var restored quarantine.EntryStore
	restored.Restore(store.Snapshot())
	require.Equal(t, store.Entries(), restored.Entries())
	require.Equal(t, store.Revision(), restored.Revision())
}

// Guards against a termination that counts more than once because several routers report it, or
// report it repeatedly.
func TestTerminationCountsOnce(t *testing.T) {
	now := time.Unix(1e9, 0)
	termination := quarantine.Termination{Fingerprint: "p", Account: "regina", Target: fleet.Incarnation{ID: "i-1"}}
	coordinator := quarantine.Coordinator{}
	coordinator.Load(now, nil)
	for i := range 5 {
		coordinator.HandleReport(now.Add(time.Duration(i)*time.Second), fmt.Sprint("r", i), quarantine.Report{Terminations: []quarantine.Termination{termination, termination}})
	}
	require.Equal(t, 1, coordinator.TerminationCount("p"))
	reusedID := termination
	reusedID.Fingerprint, reusedID.IDReused = "n", true
	coordinator.HandleReport(now, "r1", quarantine.Report{Terminations: []quarantine.Termination{reusedID}})
	coordinator.HandleReport(now.Add(time.Second), "r2", quarantine.Report{Terminations: []quarantine.Termination{reusedID}})
	require.Equal(t, 1, coordinator.TerminationCount("n"), "the same termination, reported later")
	coordinator.HandleReport(now.Add(4*time.Second), "r2", quarantine.Report{Terminations: []quarantine.Termination{reusedID}})
	require.Equal(t, 2, coordinator.TerminationCount("n"), "another termination after a restart")
	coordinator.HandleReport(now.Add(5*time.Second), "r1", quarantine.Report{Completions: []quarantine.Completion{{Fingerprint: "n", Age: 2 * time.Second}}})
	require.Equal(t, 1, coordinator.TerminationCount("n"), "a completion cancels earlier terminations")
	delayed := reusedID
	delayed.Age = 4 * time.Second
	coordinator.HandleReport(now.Add(6*time.Second), "r3", quarantine.Report{Terminations: []quarantine.Termination{delayed}})
	require.Equal(t, 1, coordinator.TerminationCount("n"), "reported after a completion that happened later")
}

// Guards against the refusal of a request while targets have capacity: after two terminations,
// its permit must not be for a terminated target that the list still shows, and a router that
// returned its permit must be able to request another one.
func TestPermitTargetIsRunning(t *testing.T) {
	now := time.Unix(1e9, 0)
	var store quarantine.EntryStore
	coordinator := quarantine.Coordinator{AvailableTargets: func(string) []string { return []string{"x", "y", "z"} }}
	coordinator.Load(now, nil)
	guard := quarantine.Guard{Owner: "r1"}
	exchange := func() {
		report := guard.Report(now)
		coordinator.HandleReport(now, "r1", report)
		entries, _ := coordinator.TakeChanges()
		store.Put(entries)
		guard.ApplyUpdate(now, now, 1, coordinator.UpdateFor(now, report, &store))
		now = now.Add(50 * time.Millisecond)
	}
	for _, id := range []string{"x", "z"} {
		target := fleet.Incarnation{ID: id}
		require.True(t, guard.RecordInterruption(now, quarantine.Execution{Fingerprint: "p", Pool: "any", Target: target}))
		guard.RecordTermination(now, target)
	}
	require.Equal(t, quarantine.AwaitPermit, guard.Check(now, "p").Action)
	guard.RequestPermit("p")
	exchange()
	first := guard.Check(now, "p")
	require.Equal(t, quarantine.Allow, first.Action)
	require.Equal(t, "y", first.PermitTarget, "the only running target")
	guard.MarkSent(first, "p")
	guard.ReturnPermit(now, first, "p", true)
	require.Equal(t, quarantine.AwaitPermit, guard.Check(now, "p").Action, "another permit may be requested")
	exchange()
	second := guard.Check(now, "p")
	require.Equal(t, quarantine.Allow, second.Action)
	require.NotEqual(t, first.PermitID, second.PermitID)
}

// Guards against repeated permits for unreachable targets, and against a request that waits for a
// permit while all targets of its pool are down.
func TestNoPermitForUnreachableTarget(t *testing.T) {
	now := time.Unix(1e9, 0)
	var store quarantine.EntryStore
	coordinator := quarantine.Coordinator{AvailableTargets: func(string) []string { return []string{"x", "y", "z"} }}
	coordinator.Load(now, nil)
	first, second := quarantine.Guard{Owner: "r1"}, quarantine.Guard{Owner: "r2"}
	exchange := func(guard *quarantine.Guard) {
		report := guard.Report(now)
		coordinator.HandleReport(now, guard.Owner, report)
		entries, _ := coordinator.TakeChanges()
		store.Put(entries)
		guard.ApplyUpdate(now, now, 1, coordinator.UpdateFor(now, report, &store))
		now = now.Add(50 * time.Millisecond)
	}
	for _, id := range []string{"u", "v"} { // no longer in the list
		target := fleet.Incarnation{ID: id}
		for _, fp := range []quarantine.Fingerprint{"p", "q"} {
			require.True(t, first.RecordInterruption(now, quarantine.Execution{Fingerprint: fp, Pool: "any", Target: target}))
		}
		first.RecordTermination(now, target)
	}
	exchange(&first)
	exchange(&second)
	tried := make(map[string]bool)
	for range 3 {
		first.RequestPermit("p")
		exchange(&first)
		decision := first.Check(now, "p")
		require.Equal(t, quarantine.Allow, decision.Action)
		require.False(t, tried[decision.PermitTarget], "%s was unreachable", decision.PermitTarget)
		tried[decision.PermitTarget] = true
		first.MarkSent(decision, "p")
		first.ReturnUnreachable(now, decision, "p")
		first.CancelPermitRequest("p")
	}
	exchange(&first)
	exchange(&second)
	require.Equal(t, quarantine.AwaitPermit, second.Check(now, "q").Action)
	second.RequestPermit("q")
	exchange(&second)
	decision := second.Check(now, "q")
	require.Equal(t, quarantine.Reject, decision.Action, "rejected at once")
	require.Positive(t, decision.RetryAfter)
	now = now.Add(time.Second)
	require.Equal(t, quarantine.AwaitPermit, second.Check(now, "q").Action, "a target may have started by now")
}

// Guards against concurrent runs of a suspected request: one router has the permit for one run,
// and the others reject the request meanwhile.
func TestOnePermitAtATime(t *testing.T) {
	now := time.Unix(1e9, 0)
	var store quarantine.EntryStore
	coordinator := quarantine.Coordinator{AvailableTargets: func(string) []string { return []string{"x", "y"} }}
	coordinator.Load(now, nil)
	terminations := func(fp quarantine.Fingerprint) quarantine.Report {
		return quarantine.Report{Terminations: []quarantine.Termination{
			{Fingerprint: fp, Target: fleet.Incarnation{ID: "a" + string(fp)}}, {Fingerprint: fp, Target: fleet.Incarnation{ID: "b" + string(fp)}},
		}}
	}
	coordinator.HandleReport(now, "r1", terminations("p"))
	coordinator.HandleReport(now, "r1", terminations("q"))
	coordinator.HandleReport(now, "r1", terminations("s"))
	permitRequests := quarantine.Report{PermitRequests: []quarantine.Fingerprint{"p", "q", "s"}}
	coordinator.HandleReport(now, "r1", permitRequests)
	coordinator.HandleReport(now, "r2", permitRequests)
	entries, _ := coordinator.TakeChanges()
	store.Put(entries)
	var holders, targets []string
	for _, entry := range store.Entries() {
		if entry.PermitHolder != "" {
			holders, targets = append(holders, entry.PermitHolder), append(targets, entry.PermitTarget)
		}
	}
	require.Equal(t, []string{"r1", "r1"}, holders, "one permit per target")
	slices.Sort(targets)
	require.Equal(t, []string{"x", "y"}, targets, "each at another target")
	first, second := quarantine.Guard{Owner: "r1"}, quarantine.Guard{Owner: "r2"}
	first.ApplyUpdate(now, now, 1, coordinator.UpdateFor(now, quarantine.Report{}, &store))
	second.ApplyUpdate(now, now, 1, coordinator.UpdateFor(now, quarantine.Report{}, &store))
	decision := first.Check(now, "p")
	require.Equal(t, quarantine.Allow, decision.Action)
	require.NotEmpty(t, decision.PermitTarget)
	require.Equal(t, quarantine.Reject, second.Check(now, "p").Action)
	first.MarkSent(decision, "p")
	require.Equal(t, quarantine.Reject, first.Check(now, "p").Action, "a permit allows one run")
	first.ReturnPermit(now, decision, "p", false)
	coordinator.HandleReport(now, "r1", first.Report(now))
	entries, _ = coordinator.TakeChanges()
	store.Put(entries)
	second.ApplyUpdate(now, now, 1, coordinator.UpdateFor(now, quarantine.Report{KnownRevision: 0}, &store))
	require.Equal(t, quarantine.AwaitPermit, second.Check(now, "p").Action, "another permit may be requested")
}

// Guards against a leader that stalls or grows when all targets of a large fleet terminate, with
// tens of thousands of requests: tracked requests are bounded, and evicted in batches.
func TestTrackedRequestsAreBounded(t *testing.T) {
	const count, maxTracked = 30000, 8192
	now := time.Unix(1e9, 0)
	coordinator := quarantine.Coordinator{}
	coordinator.Load(now, nil)
	guard := quarantine.Guard{Owner: "r1"}
	fingerprint := func(i int) quarantine.Fingerprint { return quarantine.Fingerprint(fmt.Sprint(i)) }
	target := fleet.Incarnation{ID: "a"}
	for i := range count {
		at := now.Add(time.Duration(i) * time.Millisecond)
		coordinator.HandleReport(at, "r1", quarantine.Report{Terminations: []quarantine.Termination{{Fingerprint: fingerprint(i), Target: target}}})
		guard.RecordInterruption(at, quarantine.Execution{Fingerprint: fingerprint(i), Target: target})
	}
	tracked := 0
	for i := range count {
		tracked += coordinator.TerminationCount(fingerprint(i))
	}
	require.LessOrEqual(t, tracked, maxTracked)
	require.Greater(t, tracked, maxTracked/2)
	require.Equal(t, 1, coordinator.TerminationCount(fingerprint(count-1)), "the latest request is tracked")
	require.Zero(t, coordinator.TerminationCount(fingerprint(0)))
	later := now.Add(count * time.Millisecond)
	guard.RecordTermination(later, target)
	reported := 0
	for range 100 {
		later = later.Add(250 * time.Millisecond)
		report := guard.Report(later)
		require.LessOrEqual(t, len(report.Terminations), 257, "a report is bounded")
		reported += len(report.Terminations)
		guard.ApplyUpdate(later, later, 1, quarantine.RestrictionUpdate{})
	}
	require.Greater(t, reported, 1000, "later reports have the rest")
	require.Empty(t, guard.Report(later.Add(time.Second)).Terminations, "each termination is reported once")
}

// Guards against more than two trials of a quarantined request that is repeated for an hour.
func TestTrialsAreBounded(t *testing.T) {
	now := time.Unix(1e9, 0)
	coordinator := quarantine.Coordinator{}
	coordinator.Load(now, nil)
	for _, id := range []string{"a", "b", "c"} {
		coordinator.HandleReport(now, "r1", quarantine.Report{Terminations: []quarantine.Termination{{Fingerprint: "p", Target: fleet.Incarnation{ID: id}}}})
	}
	grantCount := 0
	for i := range 3600 {
		at := now.Add(time.Duration(i) * time.Second)
		router := fmt.Sprint("r", i%7)
		coordinator.HandleReport(at, router, quarantine.Report{PermitRequests: []quarantine.Fingerprint{"p"}})
		_, transitions := coordinator.TakeChanges()
		for _, transition := range transitions {
			if transition.Transition != quarantine.PermitGranted {
				continue
			}
			grantCount++
			coordinator.HandleReport(at, router, quarantine.Report{Terminations: []quarantine.Termination{{Fingerprint: "p", Target: fleet.Incarnation{ID: fmt.Sprint("t", i)}}}})
		}
	}
	require.Equal(t, 2, grantCount)
}

// Guards against a termination under a permit that is mistaken for one before the permit and not
// counted: the target restarted at once and has no incarnations.
func TestTerminationUnderPermitCountsSeparately(t *testing.T) {
	now := time.Unix(1e9, 0)
	coordinator := quarantine.Coordinator{}
	coordinator.Load(now, nil)
	report := func(id string, age time.Duration, permitID uint64) quarantine.Report {
		return quarantine.Report{Terminations: []quarantine.Termination{{Fingerprint: "p", Target: fleet.Incarnation{ID: id}, IDReused: true, Age: age, PermitID: permitID}}}
	}
	coordinator.HandleReport(now, "r1", report("a", 0, 0))
	coordinator.HandleReport(now, "r1", report("b", 0, 0))
	now = now.Add(100 * time.Millisecond)
	coordinator.HandleReport(now, "r2", quarantine.Report{PermitRequests: []quarantine.Fingerprint{"p"}})
	now = now.Add(300 * time.Millisecond)
	coordinator.HandleReport(now, "r3", report("b", 350*time.Millisecond, 0))
	require.Equal(t, 2, coordinator.TerminationCount("p"), "the same termination, reported by another router")
	coordinator.HandleReport(now, "r2", report("b", 10*time.Millisecond, 1))
	require.Equal(t, 3, coordinator.TerminationCount("p"))
	coordinator.HandleReport(now.Add(50*time.Millisecond), "r2", report("b", 60*time.Millisecond, 1))
	require.Equal(t, 3, coordinator.TerminationCount("p"), "reported again")
	coordinator.HandleReport(now.Add(50*time.Millisecond), "r3", report("b", 60*time.Millisecond, 0))
	require.Equal(t, 3, coordinator.TerminationCount("p"), "the termination under the permit, reported by another router")
}

// Guards against a trial that is used up, and a quarantine that lasts longer, although no target was
// available for the trial.
func TestTrialWithoutTargetIsNotCounted(t *testing.T) {
	now := time.Unix(1e9, 0)
	var store quarantine.EntryStore
	targets := []string{"x"}
	coordinator := quarantine.Coordinator{AvailableTargets: func(string) []string { return targets }}
	coordinator.Load(now, nil)
	handle := func(report quarantine.Report) quarantine.Entry {
		coordinator.HandleReport(now, "r1", report)
		entries, _ := coordinator.TakeChanges()
		store.Put(entries)
		entry, ok := store.Entry("p")
		require.True(t, ok)
		return entry
	}
	for i := range 3 {
		coordinator.HandleReport(now, "r1", quarantine.Report{Terminations: []quarantine.Termination{
			{Fingerprint: "p", Pool: "any", Target: fleet.Incarnation{ID: "x", StartMillis: int64(1 + i)}},
		}})
	}
	entry := handle(quarantine.Report{})
	require.True(t, entry.Quarantined())
	now = entry.NextTrialAt
	// x still counts as terminated: another request has just ended it.
	other := quarantine.Termination{Fingerprint: "q", Pool: "any", Target: fleet.Incarnation{ID: "x", StartMillis: 9}}
	entry = handle(quarantine.Report{Terminations: []quarantine.Termination{other}, PermitRequests: []quarantine.Fingerprint{"p"}})
	require.Empty(t, entry.PermitHolder)

	targets = []string{"x", "y"}
	now = now.Add(time.Second)
	entry = handle(quarantine.Report{PermitRequests: []quarantine.Fingerprint{"p"}})
	require.Equal(t, "r1", entry.PermitHolder, "a target is available")
	require.Equal(t, "y", entry.PermitTarget)
	require.Equal(t, 1, entry.Trials)
}

// Guards against the refusal of a sound request because its permits are for targets that have ended,
// one after the other, although its router has failed to reach them for other requests.
func TestPermitAvoidsTargetsThatRouterCannotReach(t *testing.T) {
	now := time.Unix(1e9, 0)
	var store quarantine.EntryStore
	const targetCount, endedCount = 12, 10
	var targets []string
	for i := range targetCount {
		targets = append(targets, fmt.Sprint("t", i))
	}
	ended := targets[:endedCount] // the list still shows them
	coordinator := quarantine.Coordinator{AvailableTargets: func(string) []string { return targets }}
	coordinator.Load(now, nil)
	for seed := range 20 {
		guard := quarantine.Guard{Owner: fmt.Sprint("r", seed)}
		fp := quarantine.Fingerprint(fmt.Sprint("p", seed))
		exchange := func() {
			report := guard.Report(now)
			coordinator.HandleReport(now, guard.Owner, report)
			entries, _ := coordinator.TakeChanges()
			store.Put(entries)
			guard.ApplyUpdate(now, now, 1, coordinator.UpdateFor(now, report, &store))
			now = now.Add(50 * time.Millisecond)
		}
		for _, id := range []string{"u", "v"} { // no longer in the list
			target := fleet.Incarnation{ID: id}
			require.True(t, guard.RecordInterruption(now, quarantine.Execution{Fingerprint: fp, Pool: "any", Target: target}))
			guard.RecordTermination(now, target)
		}
		for _, id := range ended {
			guard.RecordUnreachable(now, id)
		}
		exchange()
		guard.RequestPermit(fp)
		exchange()
		decision := guard.Check(now, fp)
		require.Equal(t, quarantine.Allow, decision.Action)
		require.NotContains(t, ended, decision.PermitTarget)
		guard.MarkSent(decision, fp)
		guard.RecordCompletion(now, fp)
		guard.CancelPermitRequest(fp)
		exchange()
		now = now.Add(time.Minute) // the coordinator forgets targets that have ended
	}
}
