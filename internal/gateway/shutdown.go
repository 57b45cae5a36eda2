package gateway

import "time"

const (
	// acceptAfterStop is how long a stopping router goes on taking requests: until the
	// balancer has surely noticed that it is not ready, and callers with open
	// connections have been told to open new ones.
	acceptAfterStop = 2800 * time.Millisecond
	// exitMargin is kept from the end of the grace, for the process to end.
	exitMargin       = 400 * time.Millisecond
	stopPollInterval = 20 * time.Millisecond
	// endLogTimeout is how long requests that were cut may take to log that.
	endLogTimeout = 100 * time.Millisecond
)

// drain serves on until nothing is in progress or the grace is nearly over.
// Callers' open connections are kept until then: closing one could cross a
// request on its way. Each answer from now on announces its connection's close.
func (g *Gateway) drain() {
	started := g.Clock.Now()
	g.stoppingSince.Store(&started)
	end := started.Add(g.Settings.Grace - exitMargin)
	g.conns.graceEnd.Store(&end)
	g.Log.Info("stopping", "active", g.active.Load(), "connections", g.conns.connCount(), "until", end)
	for now := started; now.Before(end); now = g.Clock.Now() {
		if now.Sub(started) > acceptAfterStop && g.active.Load() == 0 {
			break
		}
		time.Sleep(stopPollInterval)
	}
	g.Log.Info("stopped", "active", g.active.Load(), "connections", g.conns.connCount(), "unanswered", g.conns.unansweredCount(),
		"took", g.Clock.Now().Sub(started).Milliseconds())
}

// awaitEndLogs lets requests that were cut write the line of their end.
func (g *Gateway) awaitEndLogs() {
	for end := time.Now().Add(endLogTimeout); g.active.Load() > 0 && time.Now().Before(end); {
		time.Sleep(endLogTimeout / 20)
	}
}

// closing reports whether answers announce the end of their connection, and
// whether new requests are refused.
func (g *Gateway) shutdownActions(now time.Time) (announce, refuse bool) {
	started := g.stoppingSince.Load()
	if started == nil {
		return false, false
	}
	return true, now.Sub(*started) > acceptAfterStop
}
