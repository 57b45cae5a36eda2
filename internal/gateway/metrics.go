package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"laburnumfall/internal/backpressure"
	"laburnumfall/internal/fleet"
)

// Metrics are the metrics of a gateway. Create them with NewMetrics. The values of their labels
// come from fixed sets of statuses, reasons and attempt results, so their number is bounded.
type Metrics struct {
	registry      *prometheus.Registry
	requests      *prometheus.CounterVec
	endReasons    *prometheus.CounterVec
	attempts      *prometheus.CounterVec
	firstByteTime *prometheus.HistogramVec
	requestTime   *prometheus.HistogramVec
	choiceTime    prometheus.Histogram
	interruptions prometheus.Counter
	signals       *prometheus.CounterVec
	resumes       *prometheus.CounterVec
	places        placeMetrics
	pacesSent     prometheus.Counter
	pacesReceived prometheus.Counter
}

// NewMetrics creates the metrics and registers them in a registry of their own.
func NewMetrics() *Metrics {
	requestBuckets := prometheus.ExponentialBuckets(0.005, 2, 12) // 5 ms to 10 s
	choiceBuckets := prometheus.ExponentialBuckets(1e-6, 4, 8)    // 1 µs to 16 ms
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lf_requests_total", Help: "Callers' requests by status; 0 is one that was broken off or left.",
		}, []string{"status"}),
		endReasons: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lf_ends_total", Help: "Callers' requests by why they ended, as in the line of their end.",
		}, []string{"reason"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lf_sends_total", Help: "Attempts at targets by result.",
		}, []string{"result"}),
		firstByteTime: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "lf_first_byte_seconds", Help: "Time to the first byte of an answer, by status.", Buckets: requestBuckets,
		}, []string{"status"}),
		requestTime: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "lf_request_seconds", Help: "Time of a whole request, by status.", Buckets: requestBuckets,
		}, []string{"status"}),
		choiceTime: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "lf_choice_seconds", Help: "Time to choose a target, or to refuse for lack of room.", Buckets: choiceBuckets,
		}),
		interruptions: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "lf_cut_total", Help: "Exchanges that targets cut, as those that end do.",
		}),
		signals: backpressure.NewCounter(),
		resumes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lf_resumed_total", Help: "Streams that callers resume, by who knew where they began: this router, another one, the list of targets, or nobody.",
		}, []string{"source"}),
		pacesSent: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "lf_paces_sent_total", Help: "Statements of targets on their pace that were news to other routers.",
		}),
		pacesReceived: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "lf_paces_received_total", Help: "Statements of targets on their pace that other routers passed on, each time.",
		}),
		places: newPlaceMetrics(),
	}
	m.registry.MustRegister(m.requests, m.endReasons, m.attempts, m.firstByteTime, m.requestTime, m.choiceTime, m.interruptions, m.signals, m.resumes, m.pacesSent, m.pacesReceived)
	m.registry.MustRegister(m.places.collectors()...)
	return m
}

// recordResume counts a stream that a caller resumes, by the source of its origin.
func (m *Metrics) recordResume(source string) {
	switch source {
	case "self", "unknown":
	case sourceOnlyVersion:
		source = "list"
	default:
		source = "router"
	}
	m.resumes.WithLabelValues(source).Inc()
}

// AddCounter adds a counter whose value is read from a function.
func (m *Metrics) AddCounter(name, help string, value func() float64) {
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, value))
}

// Handler returns a handler that serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

func (m *Metrics) addGauge(name, help string, value func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
}

func (m *Metrics) countSignal(signal backpressure.Signal) {
	backpressure.Count(m.signals, signal)
}

func (m *Metrics) recordEnd(status int, reason fleet.Reason, duration time.Duration, req *request) {
	label := strconv.Itoa(status)
	m.requests.WithLabelValues(label).Inc()
	m.endReasons.WithLabelValues(string(reason)).Inc()
	m.requestTime.WithLabelValues(label).Observe(duration.Seconds())
	if req.responseStarted {
		m.firstByteTime.WithLabelValues(label).Observe(req.firstByteAt.Sub(req.arrivedAt).Seconds())
	}
}

// registerGauges adds the metrics that are read from the gateway when they are collected.
func (m *Metrics) registerGauges(g *Gateway) {
	m.registerPrefixMetrics(g)
	m.addGauge("lf_routes_number", "Number of the configuration of routes in force; 0 is none.", func() float64 {
		if state := g.State(); state.Table != nil {
			return float64(state.Table.Number)
		}
		return 0
	})
	m.addGauge("lf_keys_seconds", "For how long accounts' keys still count without an answer of the keepers.", func() float64 {
		return max(g.State().KeyLeaseExpiry.Sub(g.Clock.Now()).Seconds(), 0)
	})
	m.addGauge("lf_targets", "Targets that take new work.", func() float64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		return float64(g.placer.AcceptingCount())
	})
	m.addGauge("lf_slow_targets", "Targets at which work takes at least half as long again as usual there.", func() float64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		return float64(g.placer.SlowCount(g.Clock.Now()))
	})
	m.addGauge("lf_backing_off", "Targets that want no requests from this router for some time.", func() float64 {
		return float64(g.backpressure().BackoffCount(g.Clock.Now()))
	})
	m.addGauge("lf_memory_tokens", "Tokens that running requests hold at all targets whose memory is scarce.", func() float64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		held, _ := g.placer.MemoryUse()
		return float64(held)
	})
	m.addGauge("lf_memory_full", "Targets without memory for one more request of the mean size.", func() float64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		_, full := g.placer.MemoryUse()
		return float64(full)
	})
	m.addGauge("lf_ready", "Whether the balancer is told to send callers here.", func() float64 {
		if !g.Ready() || g.conns.IsOverloaded() {
			return 0
		}
		return 1
	})
	m.addGauge("lf_held", "Requests that are held back, since targets end under them.", func() float64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		return float64(g.Guard.QuarantinedCount())
	})
	m.addGauge("lf_active", "Requests in progress.", func() float64 { return float64(g.activeRequests.Load()) })
	m.addGauge("lf_connections", "Open connections of callers.", func() float64 { return float64(g.conns.ConnCount()) })
	m.AddCounter("lf_shed_total", "Callers refused unread, since the router was behind.", func() float64 { return float64(g.conns.ShedCount()) })
	m.AddCounter("lf_target_connections_total", "Connections opened to targets.", func() float64 { return float64(g.connPool.OpenedCount()) })
	m.addGauge("lf_body_bytes", "Bytes reserved for bodies of requests in progress.", func() float64 { return float64(g.reservedBodyBytes()) })
}
