package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"laburnumfall/internal/fleet"
)

// Metrics are a gateway's metrics. Make them with NewMetrics. Labels are bounded: by the
// statuses, reasons and ends of attempts that there are.
type Metrics struct {
	registry      *prometheus.Registry
	requests      *prometheus.CounterVec
	ends          *prometheus.CounterVec
	sends         *prometheus.CounterVec
	firstByteTime *prometheus.HistogramVec
	requestTime   *prometheus.HistogramVec
	choiceTime    prometheus.Histogram
	interruptions prometheus.Counter
}

// NewMetrics registers the metrics.
func NewMetrics() *Metrics {
	times := prometheus.ExponentialBuckets(0.005, 2, 12) // to 10 s
	brief := prometheus.ExponentialBuckets(1e-6, 4, 8)   // to 16 ms
	m := &Metrics{
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
		firstByteTime: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "lf_first_byte_seconds", Help: "Time to the first byte of an answer, by status.", Buckets: times,
		}, []string{"status"}),
		requestTime: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "lf_request_seconds", Help: "Time of a whole request, by status.", Buckets: times,
		}, []string{"status"}),
		choiceTime: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "lf_choice_seconds", Help: "Time to choose a target, or to refuse for lack of room.", Buckets: brief,
		}),
		interruptions: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "lf_cut_total", Help: "Exchanges that targets cut, as those that end do.",
		}),
	}
	m.registry.MustRegister(m.requests, m.ends, m.sends, m.firstByteTime, m.requestTime, m.choiceTime, m.interruptions)
	return m
}

// AddCounter adds a counter that is kept elsewhere.
func (m *Metrics) AddCounter(name, help string, value func() float64) {
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, value))
}

// Handler serves the metrics as text.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

func (m *Metrics) addGauge(name, help string, value func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
}

func (m *Metrics) recordEnd(status int, reason fleet.Reason, took time.Duration, q *request) {
	label := strconv.Itoa(status)
	m.requests.WithLabelValues(label).Inc()
	m.ends.WithLabelValues(string(reason)).Inc()
	m.requestTime.WithLabelValues(label).Observe(took.Seconds())
	if q.responseStarted {
		m.firstByteTime.WithLabelValues(label).Observe(q.firstByteAt.Sub(q.arrivedAt).Seconds())
	}
}

// registerGauges adds what can be read off the gateway at any time.
func (m *Metrics) registerGauges(g *Gateway) {
	m.addGauge("lf_routes_number", "Number of the configuration of routes in force; 0 is none.", func() float64 {
		if s := g.State(); s.Table != nil {
			return float64(s.Table.Number)
		}
		return 0
	})
	m.addGauge("lf_keys_seconds", "For how long accounts' keys still count without an answer of the keepers.", func() float64 {
		return max(g.State().KeysUntil.Sub(g.Clock.Now()).Seconds(), 0)
	})
	m.addGauge("lf_targets", "Targets that take new work.", func() float64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		return float64(g.placer.AcceptingCount())
	})
	m.addGauge("lf_ready", "Whether the balancer is told to send callers here.", func() float64 {
		if !g.Ready() || g.conns.isOverloaded() {
			return 0
		}
		return 1
	})
	m.addGauge("lf_held", "Requests that are held back, since targets end under them.", func() float64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		return float64(g.Guard.QuarantinedCount())
	})
	m.addGauge("lf_active", "Requests in progress.", func() float64 { return float64(g.active.Load()) })
	m.addGauge("lf_connections", "Open connections of callers.", func() float64 { return float64(g.conns.connCount()) })
	m.AddCounter("lf_shed_total", "Callers refused unread, since the router was behind.", func() float64 { return float64(g.conns.shedCount()) })
	m.addGauge("lf_body_bytes", "Bytes of bodies of requests in progress.", func() float64 { return float64(g.bodyBytes.Load()) })
}
