package keeperclient

import (
	"sync/atomic"
	"time"
)

const (
	// minStall is the minimum delay of the renewal loop that counts as a stall of the process.
	minStall = 600 * time.Millisecond
	// leaderWait is how long a router waits for the leader's response after a stall before it
	// continues with its old state.
	leaderWait = 200 * time.Millisecond
)

// A stallDetector detects stalls of the process and whether the leader has answered since. After
// a stall, the state is at least as old as the stall is long. It may be read at any time.
type stallDetector struct {
	deadline  atomic.Int64 // when the renewal loop continues at the latest
	resumedAt atomic.Int64 // when the loop continued after the last stall; 0 if never
	renewedAt atomic.Int64 // send time of the last request that the leader answered
}

// noteProgress records that the renewal loop runs now and will run again within maxPause. It
// reports whether the process stalled before.
func (d *stallDetector) noteProgress(now time.Time, maxPause time.Duration) bool {
	deadline := d.deadline.Swap(now.Add(maxPause).UnixNano())
	if deadline == 0 || now.UnixNano()-deadline < int64(minStall) {
		return false
	}
	d.resumedAt.Store(now.UnixNano())
	return true
}

// stateIsFresh reports whether the process is not stalled and, since the last stall, the leader
// has answered or leaderWait has passed.
func (d *stallDetector) stateIsFresh(now time.Time) bool {
	nowNanos, deadline, resumedAt := now.UnixNano(), d.deadline.Load(), d.resumedAt.Load()
	if deadline != 0 && nowNanos-deadline >= int64(minStall) {
		return false
	}
	return resumedAt == 0 || d.renewedAt.Load() >= resumedAt || nowNanos-resumedAt >= int64(leaderWait)
}

// StateIsFresh reports whether this router's state is as current as possible. After a stall of
// the process it returns false until the leader has answered or does not answer in time. It may
// be called at any time.
func (c *Client) StateIsFresh(now time.Time) bool {
	return c.stalls.stateIsFresh(now)
}

// noteProgress records that the renewal loop runs and will run again within maxPause. It logs a stall
// of the process before, and reports whether there was one.
func (c *Client) noteProgress(maxPause time.Duration) bool {
	now := c.Clock.Now()
	stalled := c.stalls.noteProgress(now, maxPause)
	if stalled {
		c.Log.Warn("stood still: asking the keepers before new work is sent", "silent", now.Sub(c.renewedAt).Milliseconds())
	}
	return stalled
}
