package gateway

// UnconfirmedTargetCount returns for how many targets that interrupted an exchange it is not known
// whether they have ended.
func (g *Gateway) UnconfirmedTargetCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.Guard.UnconfirmedTargets(g.Clock.Now()))
}
