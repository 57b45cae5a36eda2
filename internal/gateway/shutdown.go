package gateway

import "time"

const (
	// acceptAfterStop is how long a stopping router still accepts requests. By then the load
	// balancer has surely noticed that the router is not ready, and callers with open connections
	// have been asked to reconnect.
	acceptAfterStop = 2800 * time.Millisecond
	// exitMargin is the part of the grace period that is reserved for the process to exit.
	exitMargin       = 400 * time.Millisecond
	stopPollInterval = 20 * time.Millisecond
	// endLogTimeout bounds how long a shutdown waits for aborted requests to log their end.
	endLogTimeout = 100 * time.Millisecond
)

// drain serves requests for acceptAfterStop and then until none are in progress, but ends shortly
// before the grace period does. Callers' connections stay open until then, since a request may
// already be on its way on a connection that is closed. Each response from now on announces that
// its connection closes.
func (g *Gateway) drain() {
	startedAt := g.Clock.Now()
	g.stoppingSince.Store(&startedAt)
	deadline := startedAt.Add(g.Settings.GracePeriod - exitMargin)
	g.conns.SetGraceEnd(deadline)
	g.Log.Info("stopping", "active", g.activeRequests.Load(), "connections", g.conns.ConnCount(), "until", deadline)
	for now := startedAt; now.Before(deadline); now = g.Clock.Now() {
		if now.Sub(startedAt) > acceptAfterStop && g.activeRequests.Load() == 0 {
			break
		}
		time.Sleep(stopPollInterval)
	}
	g.Log.Info("stopped", "active", g.activeRequests.Load(), "connections", g.conns.ConnCount(), "unanswered", g.conns.UnansweredCount(),
		"took", g.Clock.Now().Sub(startedAt).Milliseconds())
}

// awaitEndLogs waits for a limited time until aborted requests have logged their end.
func (g *Gateway) awaitEndLogs() {
	for deadline := time.Now().Add(endLogTimeout); g.activeRequests.Load() > 0 && time.Now().Before(deadline); {
		time.Sleep(endLogTimeout / 20)
	}
}

// shutdownActions reports whether responses announce that their connection closes, and whether new
// requests are refused.
func (g *Gateway) shutdownActions(now time.Time) (announceClose, refuseNew bool) {
	stoppingSince := g.stoppingSince.Load()
	if stoppingSince == nil {
		return false, false
	}
	return true, now.Sub(*stoppingSince) > acceptAfterStop
}
