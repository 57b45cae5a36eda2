package router

import (
	"time"

	"laburnumfall/internal/dispatch"
	"laburnumfall/internal/fleet"
	"laburnumfall/internal/target"
)

// probe determines whether a target that closed a connection has terminated, and passes the
// result to the scheduler.
func (r *Router) probe(dest fleet.Target) {
	go func() {
		startedAt := r.Clock.Now()
		result := target.Probe(dest.Address)
		r.Log.Info("target looked for after a cut", "target", dest.Name, "born", 0, "address", dest.Address, "presence", result,
			"took", r.Clock.Now().Sub(startedAt).Milliseconds())
		if result == target.Unknown {
			return // the suspicion expires; no list reports the state of the targets of events
		}
		aliveAt := r.Clock.Now().Add(-target.ProbeSlack)
		handle := func(now time.Time, s *dispatch.Scheduler) {
			s.HandleProbeResult(now, aliveAt, dest.Name, result == target.Terminated)
		}
		select {
		case r.loop.inputs <- handle:
		case <-r.loop.done:
		}
	}()
}
