package gateway

// Guarded returns how many targets the gateway does not know to have ended or to be there.
func (g *Gateway) Guarded() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.Guard.UnconfirmedTargets(g.Clock.Now()))
}
