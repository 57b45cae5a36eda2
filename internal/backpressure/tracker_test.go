package backpressure_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"laburnumfall/internal/backpressure"
	"laburnumfall/internal/fleet"
)

var start = time.Unix(1e9, 0)

func target(id string, startMillis int64) fleet.Instance {
	return fleet.Instance{Incarnation: fleet.Incarnation{ID: id, StartMillis: startMillis}, Address: "address of " + id}
}

func backoff(d time.Duration) backpressure.Signal { return backpressure.Signal{Backoff: d} }

var leaving = backpressure.Signal{Leaving: true}

func TestBackoffEnds(t *testing.T) {
	var tracker backpressure.Tracker
	a := target("a", 0)
	require.True(t, tracker.Record(start, a, backoff(3*time.Second)))
	require.False(t, tracker.Record(start.Add(time.Second), a, backoff(time.Second)), "a shorter one does not end it")
	require.False(t, tracker.Record(start.Add(time.Second), a, backpressure.Signal{}))
	for after, want := range map[time.Duration]bool{0: true, 2999 * time.Millisecond: true, 3 * time.Second: false} {
		require.Equal(t, want, tracker.Status(a).Blocked(start.Add(after)), after)
	}
	require.False(t, tracker.Status(target("b", 0)).Blocked(start))
	require.Equal(t, 1, tracker.BackoffCount(start))
	require.Zero(t, tracker.BackoffCount(start.Add(3*time.Second)))
}

// Guards against a target that is lost because it asked for a time that it did not mean.
func TestBackoffIsBounded(t *testing.T) {
	var tracker backpressure.Tracker
	tracker.Record(start, target("a", 0), backoff(24*time.Hour))
	require.True(t, tracker.Status(target("a", 0)).Blocked(start.Add(backpressure.MaxBackoff-time.Millisecond)))
	require.False(t, tracker.Status(target("a", 0)).Blocked(start.Add(backpressure.MaxBackoff)))
}

func TestLeavingLastsForTheIncarnation(t *testing.T) {
	var tracker backpressure.Tracker
	require.True(t, tracker.Record(start, target("a", 1000), leaving))
	require.False(t, tracker.Record(start, target("a", 1000), leaving))
	later := start.Add(time.Hour)
	require.True(t, tracker.Status(target("a", 1000)).Leaving(later))
	require.True(t, tracker.Status(target("a", 0)).Leaving(later), "another reading of the list has no start times")
	require.False(t, tracker.Status(target("a", 2000)).Leaving(later), "the next incarnation")
	require.False(t, tracker.Record(later, target("a", 0), backpressure.Signal{}))
	require.True(t, tracker.Record(later, target("a", 2000), backoff(time.Second)))
	require.False(t, tracker.Record(later, target("a", 1000), leaving), "a late response of the previous incarnation")
	require.False(t, tracker.Status(target("a", 2000)).Leaving(later))
}

// Guards against a target that never returns although it has restarted at its address.
func TestLeavingEndsIfAddressesIdentifyTargets(t *testing.T) {
	tracker := backpressure.Tracker{ByAddress: true}
	a := target("a", 0)
	tracker.Record(start, a, leaving)
	require.True(t, tracker.Status(a).Leaving(start.Add(59*time.Second)))
	require.False(t, tracker.Status(a).Leaving(start.Add(time.Minute)))
	otherID := a
	otherID.ID = "pool/a"
	require.True(t, tracker.Status(otherID).Leaving(start), "the target is listed under two IDs")
	moved := a
	moved.Address = "another address"
	require.False(t, tracker.Status(moved).Leaving(start), "another target has the ID")
}

// Guards against forgetting a signal while the list of targets is damaged or outdated.
func TestSignalsOutlastMissingEntries(t *testing.T) {
	var tracker backpressure.Tracker
	a := target("a", 0)
	tracker.Record(start, a, leaving)
	tracker.SetTargets(start.Add(59*time.Second), nil)
	require.True(t, tracker.Status(a).Leaving(start.Add(59*time.Second)))
	tracker.SetTargets(start.Add(59*time.Second), []fleet.Instance{a})
	tracker.SetTargets(start.Add(119*time.Second), nil)
	require.True(t, tracker.Status(a).Leaving(start.Add(119*time.Second)))
	tracker.SetTargets(start.Add(120*time.Second), nil)
	require.False(t, tracker.Status(a).Leaving(start.Add(120*time.Second)), "it has ended")
}

func TestNextChange(t *testing.T) {
	early, late := start.Add(time.Second), start.Add(2*time.Second)
	for _, tt := range []struct {
		name   string
		status backpressure.Status
		want   time.Time
	}{
		{name: "none"},
		{name: "over", status: backpressure.Status{BackoffEnd: start, LeavingEnd: start}},
		{name: "backoff", status: backpressure.Status{BackoffEnd: early}, want: early},
		{name: "leaving", status: backpressure.Status{LeavingEnd: late, BackoffEnd: start}, want: late},
		{name: "backoff first", status: backpressure.Status{BackoffEnd: early, LeavingEnd: late}, want: early},
		{name: "leaving first", status: backpressure.Status{BackoffEnd: late, LeavingEnd: early}, want: early},
	} {
		t.Run(tt.name, func(t *testing.T) { require.Equal(t, tt.want, tt.status.NextChange(start)) })
	}
}

func TestNilTrackerHasNoSignals(t *testing.T) {
	var tracker *backpressure.Tracker
	tracker.SetTargets(start, nil)
	require.Zero(t, tracker.Revision())
	require.Zero(t, tracker.BackoffCount(start))
	require.False(t, tracker.Status(target("a", 0)).Blocked(start))
}

// A target is blocked for exactly as long as its signals say, whatever order they come in and however
// often it is listed.
func TestTrackerKeepsSignals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := &backpressure.Tracker{ByAddress: rapid.Bool().Draw(t, "by address")}
		now := start
		type expected struct{ backoffEnd, leavingEnd time.Time }
		want := make(map[string]expected)
		var list []fleet.Instance
		for i := range 4 {
			list = append(list, target(fmt.Sprintf("t%d", i), 0))
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "pause")) * time.Millisecond)
			instance := rapid.SampledFrom(list).Draw(t, "target")
			expect := want[instance.ID]
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				asked := time.Duration(rapid.IntRange(0, 90_000).Draw(t, "backoff")) * time.Millisecond
				tracker.Record(now, instance, backoff(asked))
				if end := now.Add(min(asked, backpressure.MaxBackoff)); end.After(expect.backoffEnd) {
					expect.backoffEnd = end
				}
			case 1:
				tracker.Record(now, instance, leaving)
				expect.leavingEnd = now.Add(1000 * time.Hour)
				if tracker.ByAddress {
					expect.leavingEnd = now.Add(time.Minute)
				}
			default:
				tracker.SetTargets(now, list)
			}
			want[instance.ID] = expect
			for _, instance := range list {
				expect := want[instance.ID]
				status := tracker.Status(instance)
				require.Equal(t, now.Before(expect.backoffEnd), status.BackingOff(now))
				require.Equal(t, now.Before(expect.leavingEnd), status.Leaving(now))
			}
		}
	})
}
