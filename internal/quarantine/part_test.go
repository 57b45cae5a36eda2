package quarantine_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/quarantine"
)

const part = quarantine.Fingerprint("part/p/1")

// A partFleet connects routers with a leader and its log. Messages arrive at once.
type partFleet struct {
	now         time.Time
	guards      []*quarantine.Guard
	coordinator quarantine.Coordinator
	store       quarantine.EntryStore
	term        uint64
	ends        int
}

func newPartFleet(routers int) *partFleet {
	f := &partFleet{now: time.Unix(1e9, 0), term: 1}
	for i := range routers {
		f.guards = append(f.guards, &quarantine.Guard{Owner: fmt.Sprint("r", i)})
	}
	f.coordinator.Load(f.now, nil)
	return f
}

// exchange passes a report of each router to the leader, and the response back.
func (f *partFleet) exchange() {
	for _, guard := range f.guards {
		report := guard.Report(f.now)
		f.coordinator.HandleReport(f.now, guard.Owner, report)
		entries, _ := f.coordinator.TakeChanges()
		f.store.Put(entries)
		guard.ApplyUpdate(f.now, f.now, f.term, f.coordinator.UpdateFor(f.now, report, &f.store))
	}
	f.now = f.now.Add(50 * time.Millisecond)
}

// end records that a target has ended while it ran a request of a router.
func (f *partFleet) end(router int, suspects ...quarantine.Fingerprint) {
	f.ends++
	target := fleet.Incarnation{ID: fmt.Sprint("t", f.ends)}
	for _, suspect := range suspects {
		f.guards[router].RecordInterruption(f.now, quarantine.Execution{Fingerprint: suspect, Account: "a", Pool: "p", Target: target, SentAt: f.now})
	}
	f.guards[router].RecordTermination(f.now, target)
}

// endUnderPermit records that a target has ended while it ran a request under a permit.
func (f *partFleet) endUnderPermit(router int, suspect quarantine.Fingerprint) {
	f.guards[router].RequestPermit(suspect)
	f.exchange()
	f.guards[router].CancelPermitRequest(suspect)
	decision := f.guards[router].Decide(f.now, []quarantine.Fingerprint{suspect})
	f.guards[router].MarkSent(decision, suspect)
	f.ends++
	target := fleet.Incarnation{ID: fmt.Sprint("t", f.ends)}
	f.guards[router].RecordInterruption(f.now, quarantine.Execution{Fingerprint: suspect, Account: "a", Pool: "p", Target: target, SentAt: f.now, PermitID: decision.PermitID})
	f.guards[router].RecordTermination(f.now, target)
}

func (f *partFleet) action(router int, suspects ...quarantine.Fingerprint) quarantine.Action {
	return f.guards[router].Decide(f.now, suspects).Action
}

// Guards against targets that end under requests that have nothing but a part of their prompts in common.
func TestPartIsQuarantinedAcrossRequests(t *testing.T) {
	f := newPartFleet(3)
	for i := range 2 {
		require.Equal(t, quarantine.Allow, f.action(2, "new", part))
		f.end(i, quarantine.Fingerprint(fmt.Sprint("request", i)), part)
		f.exchange()
	}
	f.exchange()
	require.Equal(t, quarantine.AwaitPermit, f.action(2, "new", part), "suspected")
	f.end(2, "request2", part)
	f.exchange()
	f.exchange()
	for range 2 {
		require.Equal(t, quarantine.AwaitPermit, f.action(2, "new", part), "it may only have run beside the cause")
		f.endUnderPermit(2, part)
		f.exchange()
	}
	f.exchange()
	decision := f.guards[0].Decide(f.now, []quarantine.Fingerprint{"new", part})
	require.Equal(t, quarantine.Reject, decision.Action)
	require.Equal(t, part, decision.Suspect)
	require.Equal(t, quarantine.Allow, f.action(0, "new", "part/p/2"))
	require.Equal(t, quarantine.Allow, f.action(0, "new", "part/q/1"), "a part of another pool")
}

// Guards against a part of many prompts that is held back because it ran beside the cause of some ends.
func TestCompletedPartIsNotSuspected(t *testing.T) {
	tests := []struct {
		name string
		run  func(f *partFleet)
	}{
		{"completed at the same router before", func(f *partFleet) {
			f.guards[0].RecordCompletion(f.now, part)
			f.now = f.now.Add(time.Second)
			f.end(0, part)
			f.end(0, part)
			f.end(0, part)
		}},
		{"completed at another router before", func(f *partFleet) {
			f.guards[1].RecordCompletion(f.now, part)
			f.now = f.now.Add(time.Second)
			f.end(0, part)
			f.end(0, part)
			f.end(0, part)
		}},
		{"completed at another router while suspected", func(f *partFleet) {
			f.end(0, part)
			f.end(0, part)
			f.exchange()
			f.exchange()
			f.guards[1].RecordCompletion(f.now, part)
		}},
		{"completed at another router between two ends", func(f *partFleet) {
			f.end(0, part)
			f.exchange()
			f.now = f.now.Add(time.Minute)
			f.guards[1].RecordCompletion(f.now, part)
			f.now = f.now.Add(time.Minute)
			f.end(0, part)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newPartFleet(2)
			test.run(f)
			for range 3 {
				f.exchange()
			}
			require.Equal(t, quarantine.Allow, f.action(0, "new", part))
			require.Equal(t, quarantine.Allow, f.action(1, "new", part))
			require.Empty(t, f.store.Entries())
		})
	}
}

// Guards against a part that was run before it began to end targets, and is never held back for that.
func TestPartIsQuarantinedAfterCompletions(t *testing.T) {
	f := newPartFleet(2)
	f.guards[0].RecordCompletion(f.now, part)
	f.now = f.now.Add(3 * time.Second)
	for i := range 5 {
		f.end(i%2, part)
		f.exchange()
	}
	f.exchange()
	require.Equal(t, quarantine.Reject, f.action(0, part))
}

// Guards against a permit for one suspect of a request that runs although another one is quarantined,
// and against routers that request permits for different suspects of the same requests.
func TestDecidesBySuspects(t *testing.T) {
	now := time.Unix(1e9, 0)
	suspected := quarantine.Restriction{TerminationCount: 2}
	permitted := quarantine.Restriction{TerminationCount: 2, PermitHolder: "r0", PermitExpiresIn: time.Minute, PermitID: 7}
	quarantined := quarantine.Restriction{TerminationCount: 3, NextRunIn: time.Minute}
	const request, other = quarantine.Fingerprint("request"), quarantine.Fingerprint("part/p/2")
	tests := []struct {
		name         string
		restrictions map[quarantine.Fingerprint]quarantine.Restriction
		action       quarantine.Action
		suspect      quarantine.Fingerprint
	}{
		{"quarantined part beside a permit", map[quarantine.Fingerprint]quarantine.Restriction{part: quarantined, other: permitted}, quarantine.Reject, part},
		{"permit beside a suspected request", map[quarantine.Fingerprint]quarantine.Restriction{request: suspected, other: permitted}, quarantine.Allow, other},
		{"part before its request", map[quarantine.Fingerprint]quarantine.Restriction{request: suspected, part: suspected}, quarantine.AwaitPermit, part},
		{"one of two parts", map[quarantine.Fingerprint]quarantine.Restriction{part: suspected, other: suspected}, quarantine.AwaitPermit, part},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			guard := quarantine.Guard{Owner: "r0"}
			update := quarantine.RestrictionUpdate{Revision: 1, Complete: true}
			for suspect, restriction := range test.restrictions {
				restriction.Fingerprint = suspect
				update.Restrictions = append(update.Restrictions, restriction)
			}
			guard.ApplyUpdate(now, now, 1, update)
			decision := guard.Decide(now, []quarantine.Fingerprint{request, part, other})
			require.Equal(t, test.action, decision.Action)
			require.Equal(t, test.suspect, decision.Suspect)
		})
	}
}

// Guards against a leader of the previous version that takes parts for requests and makes all requests
// with a common part wait for permits.
func TestPartsAreReportedApart(t *testing.T) {
	f := newPartFleet(1)
	f.end(0, "request", part)
	text, err := json.Marshal(f.guards[0].Report(f.now))
	require.NoError(t, err)
	var report struct {
		Ends  []struct{ Print quarantine.Fingerprint }
		Parts []struct{ Print quarantine.Fingerprint }
	}
	require.NoError(t, json.Unmarshal(text, &report))
	require.Len(t, report.Ends, 1)
	require.Len(t, report.Parts, 1)
	require.Equal(t, part, report.Parts[0].Print)
}

// Guards against parts that wait for permits because a fault of the network has cut requests with them.
func TestUnconfirmedEndsRestrictNoPart(t *testing.T) {
	f := newPartFleet(1)
	for i := range 3 {
		target := fleet.Incarnation{ID: fmt.Sprint("t", i)}
		for _, suspect := range []quarantine.Fingerprint{"request", part} {
			f.guards[0].RecordInterruption(f.now, quarantine.Execution{Fingerprint: suspect, Account: "a", Pool: "p", Target: target, SentAt: f.now})
		}
	}
	require.Equal(t, quarantine.AwaitPermit, f.action(0, "request"))
	require.Equal(t, quarantine.Allow, f.action(0, "new", part))
}

// Guards against suspected parts that operators see as held back.
func TestSuspectedPartIsNotCountedAsQuarantined(t *testing.T) {
	f := newPartFleet(1)
	for range 3 {
		f.end(0, part)
	}
	f.exchange()
	require.Zero(t, f.guards[0].QuarantinedCount())
	f.end(0, part)
	f.end(0, part)
	f.exchange()
	require.Equal(t, 1, f.guards[0].QuarantinedCount())
}

// Guards against a target that ends between two events of a response without a length: the response looks
// complete, and would clear what ended the target.
func TestUnframedResponseClearsOnlyIfTargetRuns(t *testing.T) {
	for _, suspect := range []quarantine.Fingerprint{"request", part} {
		for _, alive := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s alive=%t", suspect, alive), func(t *testing.T) {
				f := newPartFleet(1)
				f.end(0, suspect)
				f.exchange()
				target := fleet.Incarnation{ID: "last"}
				require.True(t, f.guards[0].RecordInterruption(f.now, quarantine.Execution{Fingerprint: suspect, Account: "a", Pool: "p", Target: target, SentAt: f.now, Unframed: true}))
				if alive {
					f.guards[0].RecordAlive(f.now, f.now, target)
				} else {
					f.guards[0].RecordTermination(f.now, target)
				}
				f.exchange()
				f.exchange()
				require.Equal(t, alive, len(f.store.Entries()) == 0)
				require.Equal(t, map[bool]int{true: 0, false: 2}[alive], f.coordinator.TerminationCount(suspect))
			})
		}
	}
}
