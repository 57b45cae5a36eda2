package router

import (
	"github.com/valyala/fasthttp"

	"laburnumfall/internal/backpressure"
	"laburnumfall/internal/fleet"
	"laburnumfall/internal/target"
)

// recordSignal records and returns what a response says about further requests to its target.
func (r *Router) recordSignal(requestID string, dest fleet.Target, response *target.Response) backpressure.Signal {
	signal := backpressure.Signal{
		Backoff: backpressure.ParseBackoff(response.Status, string(response.Header.Peek(fasthttp.HeaderRetryAfter)), string(response.Header.Peek(fasthttp.HeaderDate))),
		Leaving: backpressure.ParseLeaving(string(response.Header.Peek(backpressure.HeaderLeaving))),
	}
	backpressure.Count(r.metrics.signals, signal)
	if r.backpressure.Record(r.Clock.Now(), dest.Instance(), signal.WithDrift()) {
		r.Log.Info("backpressure", "target", dest.Name, "born", 0, "request", requestID,
			"status", response.Status, "backoff", signal.Backoff.Milliseconds(), "leaving", signal.Leaving)
	}
	return signal
}
