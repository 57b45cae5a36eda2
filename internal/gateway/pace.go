package gateway

import (
	"time"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/message"
	"laburnumfall/internal/pace"
)

// PaceNews returns what targets have stated to this router about their pace, as far as other routers do
// not know it. It may be called at any time.
func (g *Gateway) PaceNews(now time.Time) []message.TargetPace {
	g.mu.Lock()
	defer g.mu.Unlock()
	news := g.placer.PaceNews(now)
	g.Metrics.pacesSent.Add(float64(len(news)))
	return news
}

// SetPaces sets what targets have stated to any router about their pace. It may be called at any time.
func (g *Gateway) SetPaces(_ time.Time, statements map[fleet.Incarnation]pace.Statement) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.placer.SetPaces(statements)
	g.Metrics.pacesReceived.Add(float64(len(statements)))
}
