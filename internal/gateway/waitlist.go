package gateway

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"laburnumfall/internal/placement"
	"laburnumfall/internal/waitlist"
)

// Places keeps the places of requests that wait, for all routers.
type Places interface {
	// Ask asks whether a request has a place, and offers one after a time, unless that is 0. The
	// answer is waitlist.Silent if there is none within the limit.
	Ask(ctx context.Context, key string, offered, limit time.Duration) waitlist.Answer
}

// placeLost is logged for a request whose time has come but which no target would serve in time.
const placeLost waitlist.State = "lost"

// takePlace asks for the place of a request that is about to be refused. If its time has come, a target
// is chosen although its account is over its share. Otherwise the refusal tells the time of its
// place, if it has one.
func (g *Gateway) takePlace(req *request, refused refusal) (*placement.Choice, refusal, bool) {
	if !refused.waits || g.Places == nil {
		return nil, refused, false
	}
	started := g.Clock.Now()
	var offered time.Duration
	if !refused.place.IsZero() {
		offered = refused.place.At.Sub(started)
	}
	answer := g.Places.Ask(req.r.Context(), req.placeKey(), offered, waitlist.AskTime(req.route.LatencyObjective))
	now := g.Clock.Now()
	if !answer.Recorded || answer.State == waitlist.Silent {
		g.cancelPlace(refused.place) // nobody was told of it
	}
	req.place = answer.State
	var choice *placement.Choice
	ok := false
	switch answer.State {
	case waitlist.Told, waitlist.Early:
		refused.retryAfter = max(answer.In, minRetryAfter)
	case waitlist.Used:
		refused.retryAfter = max(answer.In, refused.retryAfter)
	case waitlist.Honored:
		req.waited = answer.Waited
		if choice, refused, ok = g.chooseTarget(now, req); !ok {
			g.cancelPlace(refused.place)
			req.place = placeLost
		}
	}
	g.Metrics.places.record(req.place, answer.Late, now.Sub(started))
	return choice, refused, ok
}

func (g *Gateway) cancelPlace(offer waitlist.Offer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.places.Cancel(offer)
}

// placeKey returns what identifies a request with a prompt when its caller comes back.
func (req *request) placeKey() string {
	last := req.promptParts[len(req.promptParts)-1]
	return waitlist.Key(req.account, req.route.Name, last.ID, totalTokens(req.promptParts))
}

// placeMetrics count what becomes of requests that may have a place.
type placeMetrics struct {
	states  *prometheus.CounterVec
	late    prometheus.Counter
	askTime prometheus.Histogram
}

func newPlaceMetrics() placeMetrics {
	return placeMetrics{
		states: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lf_places_total", Help: "Refused requests that may wait, by what became of them: told a time, early, honoured, lost for lack of targets, used before, none, or no holder answered.",
		}, []string{"state"}),
		late: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "lf_places_late_total", Help: "Requests that came back too late for their place.",
		}),
		askTime: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "lf_place_seconds", Help: "Time to ask other routers for the place of a request.", Buckets: prometheus.ExponentialBuckets(0.0005, 2, 8), // 0.5 ms to 64 ms
		}),
	}
}

func (m placeMetrics) collectors() []prometheus.Collector {
	return []prometheus.Collector{m.states, m.late, m.askTime}
}

func (m placeMetrics) record(state waitlist.State, late bool, took time.Duration) {
	switch state {
	case waitlist.Silent, waitlist.None, waitlist.Told, waitlist.Early, waitlist.Honored, waitlist.Used, placeLost:
	default:
		state = waitlist.Silent // of a newer version
	}
	m.states.WithLabelValues(string(state)).Inc()
	if late {
		m.late.Inc()
	}
	m.askTime.Observe(took.Seconds())
}
