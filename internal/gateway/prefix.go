package gateway

import (
	"time"

	"laburnumfall/internal/message"
	"laburnumfall/internal/placement"
)

// KeptReport returns what this router has learned of the parts of prompts that targets keep, or nil if
// it does not track it. It may be called at any time.
func (g *Gateway) KeptReport(now time.Time) *message.KeptReport {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.placer.KeptReport(now)
}

// ApplyKept applies what other routers have learned of the parts that targets keep. It may be called at
// any time.
func (g *Gateway) ApplyKept(now time.Time, term uint64, update message.KeptUpdate) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := g.placer.ApplyKept(now, term, update); err != nil {
		g.Log.Warn("what targets keep cannot be decoded: ignored", "term", term, "error", err)
	}
}

// registerPrefixMetrics adds the metrics of what targets keep of prompts.
func (m *Metrics) registerPrefixMetrics(g *Gateway) {
	read := func(value func(placement.PrefixStats) float64) func() float64 {
		return func() float64 {
			g.mu.Lock()
			defer g.mu.Unlock()
			return value(g.placer.PrefixStats())
		}
	}
	m.addGauge("lf_prefix_entries", "Parts of prompts that targets are believed to keep, each counted once a target.",
		read(func(s placement.PrefixStats) float64 { return float64(s.Entries) }))
	m.AddCounter("lf_prefix_sent_total", "Changes of what targets keep that this router told.",
		read(func(s placement.PrefixStats) float64 { return float64(s.Sent) }))
	m.AddCounter("lf_prefix_received_total", "Changes of what targets keep that other routers told.",
		read(func(s placement.PrefixStats) float64 { return float64(s.Received) }))
	m.AddCounter("lf_prefix_gone_total", "Answers that took so long that parts believed kept count as gone.",
		read(func(s placement.PrefixStats) float64 { return float64(s.Gone) }))
	m.AddCounter("lf_prefix_confirmed_total", "Answers so quick that parts believed kept were kept.",
		read(func(s placement.PrefixStats) float64 { return float64(s.Confirmed) }))
}
