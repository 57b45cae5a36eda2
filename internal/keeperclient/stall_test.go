package keeperclient

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"laburnumfall/internal/clock"
	"laburnumfall/internal/message"
)

// A stallClock jumps by the length of a simulated stall at a given time.
type stallClock struct {
	*clock.RealClock
	stallAt atomic.Int64 // Unix nanoseconds; 0 for never
}

// Now implements clock.Clock.
func (c *stallClock) Now() time.Time {
	const stall = 5 * time.Second
	now := c.RealClock.Now()
	if at := c.stallAt.Load(); at != 0 && now.UnixNano() >= at {
		return now.Add(stall)
	}
	return now
}

// A logRecorder calls a function for each log line.
type logRecorder struct{ onLine func(msg string) }

// Accept implements hclog.SinkAdapter.
func (r *logRecorder) Accept(_ string, _ hclog.Level, msg string, _ ...any) { r.onLine(msg) }

// Guards against a leader that is given up, with its connection, because the process was stalled while
// the leader's response arrived.
func TestStallDoesNotLoseLeader(t *testing.T) {
	keeper := startKeeper(t)
	keeper.response = message.RenewResponse{Leads: true, Term: 1, Number: 1, PackedConfig: packedConfig(t, 1)}
	stalls := &stallClock{RealClock: clock.NewRealClock()}
	client := newClient(&fakeList{}, keeper.address)
	held := make(chan struct{})
	var release, sawStall sync.Once
	var lost atomic.Bool
	stallSeen := make(chan struct{})
	log := hclog.NewInterceptLogger(&hclog.LoggerOptions{Level: hclog.Off})
	log.RegisterSink(&logRecorder{onLine: func(msg string) {
		switch msg {
		case "stood still: asking the keepers before new work is sent":
			release.Do(func() { close(held) }) // the response is read right after the stall
			sawStall.Do(func() { close(stallSeen) })
		case "keepers: no leader found; going on with what is known":
			lost.Store(true)
		}
	}})
	client.Clock, client.Log = stalls, log
	runClient(t, client)
	t.Cleanup(func() { release.Do(func() { close(held) }) }) // if the stall was not noticed
	require.Eventually(t, client.hasConfig(1), waitLimit, pollInterval)
	keeper.update(func(keeper *fakeKeeper) {
		keeper.held = held
		keeper.requestCount = 0
		keeper.response.Number, keeper.response.PackedConfig = 2, packedConfig(t, 2)
	})
	require.Eventually(t, func() bool {
		keeper.mu.Lock()
		defer keeper.mu.Unlock()
		return keeper.requestCount > 0
	}, waitLimit, time.Millisecond)
	// The stall lasts from before the end of the renewal round until after it.
	stalls.stallAt.Store(stalls.Now().Add(roundTimeout - hedgeDelay/2).UnixNano())
	require.Eventually(t, client.hasConfig(2), waitLimit, pollInterval)
	<-stallSeen
	require.False(t, lost.Load())
}

// Guards against new work placed on the basis of the state from before a stall of the process.
func TestStateIsStaleAfterStall(t *testing.T) {
	start := time.Unix(1e9, 0)
	at := func(offset time.Duration) time.Time { return start.Add(offset) }
	const maxPause = 500 * time.Millisecond
	newDetector := func() *stallDetector {
		detector := &stallDetector{}
		require.True(t, detector.stateIsFresh(start), "a router that has just started is fresh")
		require.False(t, detector.noteProgress(start, maxPause))
		require.False(t, detector.noteProgress(at(maxPause+minStall/2), maxPause), "a small delay is not a stall")
		detector.renewedAt.Store(at(maxPause + minStall/2).UnixNano())
		return detector
	}
	const resume = 10 * time.Second
	for name, tt := range map[string]struct {
		renewed time.Duration // send time of the request answered after the stall; 0 if none
		after   time.Duration // time since the end of the stall
		fresh   bool
	}{
		"no response yet": {after: leaderWait / 2},
		"response to a request from before the stall": {renewed: time.Second, after: leaderWait / 2},
		"leader has answered":                         {renewed: resume, after: leaderWait / 2, fresh: true},
		"no leader answers in time":                   {after: leaderWait, fresh: true},
		"old response and no leader in time":          {renewed: time.Second, after: leaderWait, fresh: true},
	} {
		t.Run(name, func(t *testing.T) {
			detector := newDetector()
			require.False(t, detector.stateIsFresh(at(resume)), "requests may arrive before the renewal loop continues")
			require.True(t, detector.noteProgress(at(resume), maxPause))
			if tt.renewed > 0 {
				detector.renewedAt.Store(at(tt.renewed).UnixNano())
			}
			require.Equal(t, tt.fresh, detector.stateIsFresh(at(resume+tt.after)))
		})
	}
}
