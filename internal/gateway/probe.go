package gateway

import (
	"slices"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/target"
)

// probe finds out whether a target that cut an exchange has ended, or only closed a
// connection. Callers hold the lock.
func (g *Gateway) probe(in fleet.Instance) {
	if g.probing[in.Incarnation] {
		return
	}
	if g.probing == nil {
		g.probing = make(map[fleet.Incarnation]bool)
	}
	g.probing[in.Incarnation] = true
	go func() {
		began := g.Clock.Now()
		p := target.Look(in.Address)
		g.Log.Info("target looked for after a cut", "target", in.ID, "born", in.StartMillis, "address", in.Address, "presence", p,
			"took", g.Clock.Now().Sub(began).Milliseconds())
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.probing, in.Incarnation)
		switch p {
		case target.Ended:
			g.Guard.RecordTermination(g.Clock.Now(), in.Incarnation)
			g.pollLeader()
		case target.Here:
			now := g.Clock.Now()
			g.Guard.RecordAlive(now, now.Add(-target.LookSlack), in.Incarnation)
			if slices.Contains(g.Guard.UnconfirmedTargets(now), in.Incarnation) {
				g.probe(in) // it has cut another one since
			}
		case target.Unknown: // the list of targets will tell
		}
	}()
}
