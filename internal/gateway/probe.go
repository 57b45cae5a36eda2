package gateway

import (
	"slices"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/target"
)

// probe finds out in the background whether a target that interrupted an exchange has ended, or
// only closed the connection. g.mu must be held.
func (g *Gateway) probe(instance fleet.Instance) {
	if g.probing[instance.Incarnation] {
		return
	}
	if g.probing == nil {
		g.probing = make(map[fleet.Incarnation]bool)
	}
	g.probing[instance.Incarnation] = true
	go func() {
		startedAt := g.Clock.Now()
		presence := target.Probe(instance.Address)
		g.Log.Info("target looked for after a cut", "target", instance.ID, "born", instance.StartMillis, "address", instance.Address, "presence", presence,
			"took", g.Clock.Now().Sub(startedAt).Milliseconds())
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.probing, instance.Incarnation)
		switch presence {
		case target.Terminated:
			g.Guard.RecordTermination(g.Clock.Now(), instance.Incarnation)
			g.pollLeader()
		case target.Alive:
			now := g.Clock.Now()
			g.Guard.RecordAlive(now, now.Add(-target.ProbeSlack), instance.Incarnation)
			if slices.Contains(g.Guard.UnconfirmedTargets(now), instance.Incarnation) {
				g.probe(instance) // it has interrupted another exchange since the probe
			}
		case target.Unknown: // the list of targets will show whether it has ended
		}
	}()
}
