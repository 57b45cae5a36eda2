package gateway

import "time"

const (
	// freshnessTimeout is how long requests wait at most for fresh state, and freshnessPollInterval
	// is how often they check for it. After such a wait, no other one starts for freshnessCooldown,
	// so that a router whose state is never fresh still serves.
	freshnessTimeout      = 250 * time.Millisecond
	freshnessPollInterval = 2 * time.Millisecond
	freshnessCooldown     = 2 * time.Second
)

// awaitFreshState waits for a limited time until the state from the keepers is fresh. After the
// process was suspended, it could otherwise send requests to targets that have left, or accept a
// key that has been revoked.
func (g *Gateway) awaitFreshState(now time.Time) {
	if g.StateIsFresh == nil || g.StateIsFresh(now) {
		return
	}
	deadline := g.startFreshnessWait(now)
	for now.Before(deadline) && !g.StateIsFresh(now) {
		time.Sleep(freshnessPollInterval)
		now = g.Clock.Now()
	}
}

// startFreshnessWait returns the end of the current wait for fresh state, which all waiting
// requests share. It starts a new wait if the last one ended more than freshnessCooldown ago.
func (g *Gateway) startFreshnessWait(now time.Time) time.Time {
	previous := g.freshnessDeadline.Load()
	if now.UnixNano() > previous+int64(freshnessCooldown) && g.freshnessDeadline.CompareAndSwap(previous, now.Add(freshnessTimeout).UnixNano()) {
		return now.Add(freshnessTimeout)
	}
	return time.Unix(0, g.freshnessDeadline.Load())
}
