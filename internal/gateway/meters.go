package gateway

import (
	"net/http"
	"strconv"
	"time"

	"laburnumfall/internal/fleet"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Meters are a gateway's metrics. Make them by NewMeters.
type Meters struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	ends     *prometheus.CounterVec
	sends    *prometheus.CounterVec
	first    prometheus.Histogram
	whole    prometheus.Histogram
}

// NewMeters registers the metrics.
func NewMeters() *Meters {
	buckets := prometheus.ExponentialBuckets(0.005, 2, 12)
	m := &Meters{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lf_requests_total", Help: "Callers' requests by status; 0 is one that was broken off or left.",
		}, []string{"status"}),
		ends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lf_ends_total", Help: "Callers' requests by why they ended, as in the line of their end.",
		}, []string{"reason"}),
		sends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lf_sends_total", Help: "Attempts at targets by result.",
		}, []string{"result"}),
		first: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "lf_first_byte_seconds", Help: "Time to the first byte of an answer.", Buckets: buckets,
		}),
		whole: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "lf_request_seconds", Help: "Time of a whole request.", Buckets: buckets,
		}),
	}
	m.registry.MustRegister(m.requests, m.ends, m.sends, m.first, m.whole)
	return m
}

// Handler serves the metrics as text.
func (m *Meters) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

func (m *Meters) done(status int, reason fleet.Reason, took time.Duration, q *request) {
	m.requests.WithLabelValues(strconv.Itoa(status)).Inc()
	m.ends.WithLabelValues(string(reason)).Inc()
	m.whole.Observe(took.Seconds())
	if q.begun {
		m.first.Observe(q.first.Sub(q.arrived).Seconds())
	}
}
