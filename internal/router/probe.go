package router

import (
	"time"

	"laburnumfall/internal/dispatch"
	"laburnumfall/internal/fleet"
	"laburnumfall/internal/target"
)

// probe finds out whether a target that cut an exchange has ended, and tells the desk.
func (r *Router) probe(t fleet.Target) {
	go func() {
		began := r.Clock.Now()
		p := target.Probe(t.Address)
		r.Log.Info("target looked for after a cut", "target", t.Name, "born", 0, "address", t.Address, "presence", p,
			"took", r.Clock.Now().Sub(began).Milliseconds())
		if p == target.Unknown {
			return // the doubt lapses: nobody lists the targets of events
		}
		here := r.Clock.Now().Add(-target.ProbeSlack)
		in := func(now time.Time, s *dispatch.Scheduler) {
			s.HandleProbeResult(now, here, t.Name, p == target.Terminated)
		}
		select {
		case r.desk.inputs <- in:
		case <-r.desk.over:
		}
	}()
}
