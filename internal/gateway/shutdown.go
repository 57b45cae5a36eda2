package gateway

import "time"

const (
	// takeFor is how long a stopping router goes on taking requests: until the
	// balancer has surely noticed that it is not ready, and callers with open
	// connections have been told to open new ones.
	takeFor = 2800 * time.Millisecond
	// stopMargin is kept from the end of the grace, for the process to end.
	stopMargin = 400 * time.Millisecond
	stopPoll   = 20 * time.Millisecond
	// lastLines is how long requests that were cut may take to log that.
	lastLines = 100 * time.Millisecond
)

// stop serves on until nothing is in progress or the grace is nearly over.
// Callers' open connections are kept until then: closing one could cross a
// request on its way. Each answer from now on announces its connection's close.
func (g *Gateway) stop() {
	started := g.Clock.Now()
	g.stopping.Store(&started)
	end := started.Add(g.Settings.Grace - stopMargin)
	g.callers.end.Store(&end)
	g.Log.Info("stopping", "active", g.active.Load(), "connections", g.callers.count(), "until", end)
	for now := started; now.Before(end); now = g.Clock.Now() {
		if now.Sub(started) > takeFor && g.active.Load() == 0 {
			break
		}
		time.Sleep(stopPoll)
	}
	g.Log.Info("stopped", "active", g.active.Load(), "connections", g.callers.count(), "unanswered", g.callers.unanswered(),
		"took", g.Clock.Now().Sub(started).Milliseconds())
}

// awaitLines lets requests that were cut write the line of their end.
func (g *Gateway) awaitLines() {
	for end := time.Now().Add(lastLines); g.active.Load() > 0 && time.Now().Before(end); {
		time.Sleep(lastLines / 20)
	}
}

// closing reports whether answers announce the end of their connection, and
// whether new requests are refused.
func (g *Gateway) closing(now time.Time) (announce, refuse bool) {
	started := g.stopping.Load()
	if started == nil {
		return false, false
	}
	return true, now.Sub(*started) > takeFor
}
