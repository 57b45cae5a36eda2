package keeper

import (
	"context"
	"encoding/json"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"laburnumfall/internal/message"
	"laburnumfall/internal/quorum"
	"laburnumfall/internal/rpc"
)

const adminTimeout = time.Second

// keeperMetrics serves the keeper's metrics.
type keeperMetrics struct {
	handler fasthttp.RequestHandler
}

// newMetrics registers the metrics of a keeper. Those that only a leader can compute are 0 on
// other keepers.
func newMetrics(counter *rpc.Counter, c *core) *keeperMetrics {
	registry := prometheus.NewRegistry()
	gauge := func(name, help string, value func(status message.Status) float64) {
		registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 {
			ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
			defer cancel()
			status, err := c.status(ctx)
			if err != nil {
				return 0 // only the leader has a status
			}
			return value(status)
		}))
	}
	gauge("lf_service_gap", "Largest difference in service over share between accounts that wait.", func(status message.Status) float64 { return status.ServiceGap })
	gauge("lf_slots_busy", "Slots in use in the fleet.", func(status message.Status) float64 { return float64(status.SlotsBusy) })
	gauge("lf_slots", "Slots of live targets.", func(status message.Status) float64 { return float64(status.Slots) })
	gauge("lf_routers", "Routers with a lease.", func(status message.Status) float64 { return float64(len(status.Routers)) })
	gauge("lf_number", "Number of the configuration in force.", func(status message.Status) float64 { return float64(status.Number) })
	gauge("lf_claims", "Claims kept.", func(status message.Status) float64 { return float64(status.Claims) })
	gauge("lf_held", "Requests under which targets have ended, suspected or held back.", func(status message.Status) float64 { return float64(status.Quarantined) })
	gauge("lf_evacuated_zones", "Availability zones whose targets get no new work.", func(status message.Status) float64 { return float64(len(status.Evacuated)) })
	gauge("lf_leads", "Whether this keeper leads.", func(message.Status) float64 { return 1 })
	gauge("lf_term", "Term of the leader.", func(status message.Status) float64 { return float64(status.Term) })
	registry.MustRegister(
		prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "lf_control_sent_bytes_total", Help: "Control bytes sent."},
			func() float64 { return float64(counter.Sent.Load()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "lf_control_received_bytes_total", Help: "Control bytes received."},
			func() float64 { return float64(counter.Received.Load()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "lf_control_accept_failures_total", Help: "Connections of the fleet that could not be accepted."},
			func() float64 { return float64(counter.Failed.Load()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "lf_list_damaged_total", Help: "Damaged entries in this keeper's readings of the list of targets."},
			func() float64 { return float64(c.damagedEntries.Load()) }),
	)
	return &keeperMetrics{handler: fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))}
}

// adminState is the response body of /state.
type adminState struct {
	Name    string          `json:"name"`
	ID      string          `json:"id"`
	Leader  string          `json:"leader"`
	Leads   bool            `json:"leads"`
	Term    uint64          `json:"term"`
	Commit  uint64          `json:"commit"`
	Number  uint64          `json:"number"`
	Digest  string          `json:"digest"`
	Members []quorum.Member `json:"members"`
	Status  *message.Status `json:"status,omitempty"`
}

func (k *Keeper) serveAdmin(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/healthz", "/readyz":
		if k.state().Leader == "" {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
			ctx.SetBodyString("no leader\n")
			return
		}
		ctx.SetBodyString("ok\n")
	case "/metrics":
		k.metrics.handler(ctx)
	case "/state":
		data, err := json.Marshal(k.state())
		if err != nil {
			ctx.SetStatusCode(fasthttp.StatusInternalServerError)
			return
		}
		ctx.SetContentType("application/json")
		ctx.SetBody(append(data, '\n'))
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (k *Keeper) state() adminState {
	ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
	defer cancel()
	result := adminState{Name: k.Settings.Name}
	c := k.core
	// While the group is being founded the event loop does not run yet, and the response holds
	// only the name.
	_ = c.runAndWait(ctx, func(now time.Time) {
		result.ID, result.Leader, result.Leads = c.node.ID, c.node.LeaderID(), c.node.IsActiveLeader(now)
		result.Term, result.Commit = c.node.Term(), c.node.CommitIndex()
		result.Number, result.Digest = c.store.ConfigNumber(), c.store.ConfigDigest()
		result.Members = c.node.Members()
	})
	if status, err := c.status(ctx); err == nil {
		result.Status = &status
	}
	return result
}
