package router

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"laburnumfall/internal/dispatch"
	"laburnumfall/internal/message"
	"laburnumfall/internal/rpc"
)

// meters are the router's metrics.
type meters struct {
	ids      atomic.Uint64
	handler  fasthttp.RequestHandler
	refusals *prometheus.CounterVec
	ends     *prometheus.CounterVec
	cuts     prometheus.Counter
	first    prometheus.Histogram
	waiting  *prometheus.GaugeVec
	service  *prometheus.GaugeVec
	busy     prometheus.Gauge
	slots    prometheus.Gauge
}

func newMeters(count *rpc.Counter) *meters {
	reg := prometheus.NewRegistry()
	m := &meters{
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "lf_refusals_total", Help: "Requests answered by the router itself."}, []string{"kind", "outcome"}),
		ends:     prometheus.NewCounterVec(prometheus.CounterOpts{Name: "lf_answers_total", Help: "Answers of targets passed on."}, []string{"whole"}),
		cuts:     prometheus.NewCounter(prometheus.CounterOpts{Name: "lf_cut_total", Help: "Exchanges that targets cut, as those that end do."}),
		first:    prometheus.NewHistogram(prometheus.HistogramOpts{Name: "lf_first_byte_seconds", Help: "Time from sending a request to the first byte of its answer.", Buckets: prometheus.ExponentialBuckets(0.001, 2, 16)}),
		waiting:  prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "lf_waiting", Help: "Requests that wait here."}, []string{"account"}),
		service:  prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "lf_service_units", Help: "Settled cost through this router since its start."}, []string{"account"}),
		busy:     prometheus.NewGauge(prometheus.GaugeOpts{Name: "lf_slots_busy", Help: "Slots in use."}),
		slots:    prometheus.NewGauge(prometheus.GaugeOpts{Name: "lf_slots", Help: "Slots leased."}),
	}
	sent := prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "lf_control_sent_bytes_total", Help: "Control bytes sent."},
		func() float64 { return float64(count.Sent.Load()) })
	received := prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "lf_control_received_bytes_total", Help: "Control bytes received."},
		func() float64 { return float64(count.Received.Load()) })
	reg.MustRegister(m.refusals, m.ends, m.cuts, m.first, m.waiting, m.service, m.busy, m.slots, sent, received)
	m.handler = fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(reg, promhttp.HandlerOpts{}))
	return m
}

func (m *meters) nextID() uint64 {
	return m.ids.Add(1)
}

func (m *meters) refused(a dispatch.Refuse) {
	m.refusals.WithLabelValues(string(a.Err.Kind), string(a.Outcome)).Inc()
}

func (m *meters) finished(e dispatch.AttemptResult) {
	whole := "no"
	if e.ResponseComplete {
		whole = "yes"
	}
	m.ends.WithLabelValues(whole).Inc()
	m.first.Observe(e.TimeToFirstByte.Seconds())
}

// observe takes the figures of a report.
func (m *meters) observe(r message.Report) {
	m.waiting.Reset()
	for _, q := range r.Queues {
		m.waiting.WithLabelValues(q.Account).Add(float64(q.Waiting))
	}
	for _, u := range r.Usage {
		m.service.WithLabelValues(u.Account).Set(u.Served)
	}
	busy, total := 0, 0
	for _, h := range r.Slots {
		busy += h.InUse
		total += max(h.Limit, h.InUse)
	}
	m.busy.Set(float64(busy))
	m.slots.Set(float64(total))
}
