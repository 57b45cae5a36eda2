package gateway

import "time"

const (
	// newsTime is how long requests wait at most until this router is informed, and newsPoll
	// how often that is looked up. Within newsPause after such a wait there is no other one: a
	// router that is always late still serves.
	newsTime  = 250 * time.Millisecond
	newsPoll  = 2 * time.Millisecond
	newsPause = 2 * time.Second
)

// awaitNews waits until this router knows what the fleet does, within bounds. After a
// standstill it would else send work to targets that have left meanwhile, or by a key that
// was withdrawn.
func (g *Gateway) awaitNews(now time.Time) {
	if g.StateIsFresh == nil || g.StateIsFresh(now) {
		return
	}
	end := g.newsEnd(now)
	for now.Before(end) && !g.StateIsFresh(now) {
		time.Sleep(newsPoll)
		now = g.Clock.Now()
	}
}

// newsEnd returns until when requests wait for news: all of them until the same moment.
func (g *Gateway) newsEnd(now time.Time) time.Time {
	before := g.uninformed.Load()
	if now.UnixNano() > before+int64(newsPause) && g.uninformed.CompareAndSwap(before, now.Add(newsTime).UnixNano()) {
		return now.Add(newsTime)
	}
	return time.Unix(0, g.uninformed.Load())
}
