package router

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"laburnumfall/internal/dispatch"
)

// serveAdmin serves the health checks of the load balancer and the requests of operators.
func (r *Router) serveAdmin(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/healthz", "/readyz":
		r.serveHealth(ctx)
	case "/metrics":
		r.metrics.handler(ctx)
	case "/state":
		var state dispatch.View
		r.loop.runAndWait(func(now time.Time, s *dispatch.Scheduler) { state = s.View(now) })
		writeJSON(ctx, fasthttp.StatusOK, state)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (r *Router) serveHealth(ctx *fasthttp.RequestCtx) {
	healthy := false
	r.loop.runAndWait(func(now time.Time, s *dispatch.Scheduler) { healthy = s.Ready(now) })
	if !healthy {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.SetBodyString("no lease, or stopping\n")
		return
	}
	ctx.SetBodyString("ok\n")
}

func writeJSON(ctx *fasthttp.RequestCtx, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(append(data, '\n'))
}
