package router

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"laburnumfall/internal/backpressure"
	"laburnumfall/internal/dispatch"
	"laburnumfall/internal/message"
	"laburnumfall/internal/rpc"
)

// metrics holds the router's metrics.
type metrics struct {
	lastID          atomic.Uint64
	handler         fasthttp.RequestHandler
	refusals        *prometheus.CounterVec
	responses       *prometheus.CounterVec
	closedByTarget  prometheus.Counter
	signals         *prometheus.CounterVec
	firstByte       prometheus.Histogram
	waitingRequests *prometheus.GaugeVec
	servedCost      *prometheus.GaugeVec
	busySlots       prometheus.Gauge
	leasedSlots     prometheus.Gauge
}

func newMetrics(counter *rpc.Counter) *metrics {
	registry := prometheus.NewRegistry()
	m := &metrics{
		refusals:        prometheus.NewCounterVec(prometheus.CounterOpts{Name: "lf_refusals_total", Help: "Requests answered by the router itself."}, []string{"kind", "outcome"}),
		responses:       prometheus.NewCounterVec(prometheus.CounterOpts{Name: "lf_answers_total", Help: "Answers of targets passed on."}, []string{"whole"}),
		closedByTarget:  prometheus.NewCounter(prometheus.CounterOpts{Name: "lf_cut_total", Help: "Exchanges that targets cut, as those that end do."}),
		signals:         backpressure.NewCounter(),
		firstByte:       prometheus.NewHistogram(prometheus.HistogramOpts{Name: "lf_first_byte_seconds", Help: "Time from sending a request to the first byte of its answer.", Buckets: prometheus.ExponentialBuckets(0.001, 2, 16)}),
		waitingRequests: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "lf_waiting", Help: "Requests that wait here."}, []string{"account"}),
		servedCost:      prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "lf_service_units", Help: "Settled cost through this router since its start."}, []string{"account"}),
		busySlots:       prometheus.NewGauge(prometheus.GaugeOpts{Name: "lf_slots_busy", Help: "Slots in use."}),
		leasedSlots:     prometheus.NewGauge(prometheus.GaugeOpts{Name: "lf_slots", Help: "Slots leased."}),
	}
	sent := prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "lf_control_sent_bytes_total", Help: "Control bytes sent."},
		func() float64 { return float64(counter.Sent.Load()) })
	received := prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "lf_control_received_bytes_total", Help: "Control bytes received."},
		func() float64 { return float64(counter.Received.Load()) })
	registry.MustRegister(m.refusals, m.responses, m.closedByTarget, m.signals, m.firstByte, m.waitingRequests, m.servedCost, m.busySlots, m.leasedSlots, sent, received)
	m.handler = fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	return m
}

func (m *metrics) nextID() uint64 {
	return m.lastID.Add(1)
}

func (m *metrics) countRefusal(refusal dispatch.Refuse) {
	m.refusals.WithLabelValues(string(refusal.Err.Kind), string(refusal.Outcome)).Inc()
}

func (m *metrics) countResponse(result dispatch.AttemptResult) {
	complete := "no"
	if result.ResponseComplete {
		complete = "yes"
	}
	m.responses.WithLabelValues(complete).Inc()
	m.firstByte.Observe(result.TimeToFirstByte.Seconds())
}

// observeReport sets the gauges from a report.
func (m *metrics) observeReport(report message.Report) {
	m.waitingRequests.Reset()
	for _, queue := range report.Queues {
		m.waitingRequests.WithLabelValues(queue.Account).Add(float64(queue.Waiting))
	}
	for _, usage := range report.Usage {
		m.servedCost.WithLabelValues(usage.Account).Set(usage.Served)
	}
	busy, total := 0, 0
	for _, slots := range report.Slots {
		busy += slots.InUse
		total += max(slots.Limit, slots.InUse)
	}
	m.busySlots.Set(float64(busy))
	m.leasedSlots.Set(float64(total))
}
