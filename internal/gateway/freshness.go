package gateway

import "time"

const (
	// freshnessTimeout is how long requests wait at most until this router is informed, and newsPoll
	// how often that is looked up. Within newsPause after such a wait there is no other one: a
	// router that is always late still serves.
	freshnessTimeout      = 250 * time.Millisecond
	freshnessPollInterval = 2 * time.Millisecond
	freshnessCooldown     = 2 * time.Second
)

// awaitFreshState waits until this router knows what the fleet does, within bounds. After a
// standstill it would else send work to targets that have left meanwhile, or by a key that
// was withdrawn.
func (g *Gateway) awaitFreshState(now time.Time) {
	if g.StateIsFresh == nil || g.StateIsFresh(now) {
		return
	}
	end := g.startFreshnessWait(now)
	for now.Before(end) && !g.StateIsFresh(now) {
		time.Sleep(freshnessPollInterval)
		now = g.Clock.Now()
	}
}

// startFreshnessWait returns until when requests wait for news: all of them until the same moment.
func (g *Gateway) startFreshnessWait(now time.Time) time.Time {
	before := g.freshnessDeadline.Load()
	if now.UnixNano() > before+int64(freshnessCooldown) && g.freshnessDeadline.CompareAndSwap(before, now.Add(freshnessTimeout).UnixNano()) {
		return now.Add(freshnessTimeout)
	}
	return time.Unix(0, g.freshnessDeadline.Load())
}
