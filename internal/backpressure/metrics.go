package backpressure

import "github.com/prometheus/client_golang/prometheus"

// The values of the label of the counter of signals.
const (
	labelBackoff = "backoff"
	labelLeaving = "leaving"
)

// NewCounter returns a counter of the signals in the responses of targets.
func NewCounter() *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "lf_target_signals_total", Help: "Responses in which a target wants no requests for some time (backoff), or says that it ends (leaving).",
	}, []string{"signal"})
}

// Count adds the signal of one response to the counter.
func Count(counter *prometheus.CounterVec, signal Signal) {
	if signal.Backoff > 0 {
		counter.WithLabelValues(labelBackoff).Inc()
	}
	if signal.Leaving {
		counter.WithLabelValues(labelLeaving).Inc()
	}
}
