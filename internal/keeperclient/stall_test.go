package keeperclient

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

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
