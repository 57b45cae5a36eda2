package gateway

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/hashicorp/go-hclog"

	"laburnumfall/internal/admission"
	"laburnumfall/internal/fleet"
	"laburnumfall/internal/quarantine"
)

const (
	// minRetryAfter and moment are when a caller may come back that was refused before any
	// decision: at another router, or once a place may have come free.
	minRetryAfter        = admission.MinRetryAfter
	noCapacityRetryAfter = admission.NoCapacityRetryAfter
	// refusedBodyTimeout and drainBytes bound what is read of a refused request.
	refusedBodyTimeout = 500 * time.Millisecond
	maxRefusedBody     = 8 << 20
)

// A refusal is an answer of the router's own.
type refusal struct {
	status           int
	kind             fleet.ErrorKind
	reason           fleet.Reason
	retryAfter       time.Duration // after which the caller may come back; 0 is never
	predictedTTFB    time.Duration // predicted
	queueTime        time.Duration // of that, for the work of others
	load             float64       // part of the target's slots that is taken
	excess           float64       // of the account over others that lack service
	terminationCount int           // of targets, under the request
	fingerprint      quarantine.Fingerprint
	err              error
}

// refusalBody is its body.
type refusalBody struct {
	Kind    fleet.ErrorKind `json:"kind"`
	Message string          `json:"message"`
	Remedy  string          `json:"remedy"`
}

// refuse answers a request that was sent to no target.
func (g *Gateway) refuse(q *request, r refusal) {
	g.logEnd(q, r.status, r.reason, r.err, "back", r.retryAfter.Milliseconds(), "wait", r.predictedTTFB.Milliseconds(), "queue", r.queueTime.Milliseconds(), "load", r.load, "excess", r.excess, "ends", r.terminationCount, "print", r.fingerprint)
	remedy := "mend the request"
	h := q.w.Header()
	if r.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(r.retryAfter.Seconds(), 'f', 3, 64))
		remedy = "come back after Retry-After"
	}
	g.respond(q, r.status, fleet.OutcomeNotRun, refusalBody{Kind: r.kind, Message: string(r.reason), Remedy: remedy})
}

func (g *Gateway) respond(q *request, status int, o fleet.Outcome, body refusalBody) {
	data, err := json.Marshal(body)
	if err != nil {
		g.Log.Error("an answer cannot be encoded", "request", q.id, "error", err)
		data = nil
	}
	h := q.w.Header()
	g.Dialect.SetResponseHeaders(h, q.id, o)
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(data)))
	h["Date"] = nil
	q.w.WriteHeader(status)
	if _, err := q.w.Write(data); err != nil {
		g.Log.Debug("the caller took no answer", "request", q.id, "error", err)
	}
	if q.r.ContentLength != 0 && q.body == nil {
		g.discardRequestBody(q)
	}
}

// discardRequestBody reads the body of a request that was answered without it. A
// connection that closes with unread bytes is reset, and the caller may never
// see its answer; the library reads them only where it keeps the connection.
func (g *Gateway) discardRequestBody(q *request) {
	rc := http.NewResponseController(q.w)
	err := rc.Flush()
	if err == nil {
		err = rc.SetReadDeadline(time.Now().Add(refusedBodyTimeout))
	}
	if err == nil {
		_, err = io.CopyN(io.Discard, q.r.Body, maxRefusedBody)
	}
	if err != nil && !errors.Is(err, io.EOF) {
		g.Log.Debug("the body of a refused request was not read", "request", q.id, "error", err)
	}
}

// end refuses a request, or breaks its answer off if that has begun.
func (g *Gateway) refuseOrAbort(q *request, r refusal) {
	if q.responseStarted {
		g.abortResponse(q, r.reason, r.err)
	}
	if q.mayHaveRun {
		g.giveUp(q, r.reason, r.err)
		return
	}
	g.refuse(q, r)
}

// giveUp gives a request that can not be sent again its final answer: a promise
// that it has not run, where that is known, and else a failure that promises
// nothing.
func (g *Gateway) giveUp(q *request, reason fleet.Reason, err error) {
	switch {
	case q.r.Context().Err() != nil:
		g.abortCanceled(q, err)
	case q.responseStarted:
		g.abortResponse(q, reason, err)
	case !q.mayHaveRun:
		g.refuse(q, refusal{status: http.StatusServiceUnavailable, kind: fleet.KindNoTarget, reason: reason, retryAfter: noCapacityRetryAfter, err: err})
	case !g.Clock.Now().Before(q.deadline):
		g.logEnd(q, http.StatusGatewayTimeout, reason, err)
		g.respond(q, http.StatusGatewayTimeout, fleet.OutcomeUnknown, refusalBody{Kind: fleet.KindDeadline, Message: string(reason), Remedy: "it may have run; ask for less or wait longer"})
	default:
		g.logEnd(q, http.StatusBadGateway, reason, err)
		g.respond(q, http.StatusBadGateway, fleet.OutcomeUnknown, refusalBody{Kind: fleet.KindTargetFailed, Message: string(reason), Remedy: "it may have run; send it again only if that does no harm"})
	}
}

// abortCanceled ends a request whose caller has gone, or was cut off since the grace of a stop
// is over: both look alike to what carries it.
func (g *Gateway) abortCanceled(q *request, err error) {
	reason := fleet.ReasonCallerLeft
	if g.graceExpired.Load() {
		reason = fleet.ReasonGraceExpired
	}
	g.logEnd(q, 0, reason, err)
	panic(http.ErrAbortHandler)
}

// abortResponse ends an answer that has begun so that it cannot look whole: the
// connection closes before the end of the body.
func (g *Gateway) abortResponse(q *request, reason fleet.Reason, err error) {
	g.logEnd(q, 0, fleet.ReasonTruncatedPrefix+reason, err)
	panic(http.ErrAbortHandler)
}

// endLogLevel returns the level of the line of a request's end: that of one that failed
// is kept where others are dropped.
func endLogLevel(status int) hclog.Level {
	if status == 0 || status >= http.StatusBadRequest {
		return hclog.Warn
	}
	return hclog.Info
}

// logEnd writes the line of a request's end.
func (g *Gateway) logEnd(q *request, status int, reason fleet.Reason, err error, more ...any) {
	route, aim := "", time.Duration(0)
	if q.route != nil {
		route, aim = q.route.Name, q.route.LatencyObjective
	}
	now := g.Clock.Now()
	args := []any{
		"request", q.id, "status", status, "reason", reason, "route", route, "pool", q.pool, "account", q.account,
		"sent", q.attempts, "took", now.Sub(q.arrivedAt).Milliseconds(), "aim", aim.Milliseconds(), "within", q.withinShare,
	}
	if q.responseStarted {
		args = append(args, "first", q.firstByteAt.Sub(q.arrivedAt).Milliseconds())
	}
	if len(q.parts) > 0 {
		own := q.parts[len(q.parts)-1].Tokens
		args = append(args, "own", own, "shared", totalTokens(q.parts)-own)
	}
	if err != nil {
		args = append(args, "error", err)
	}
	g.Log.Log(endLogLevel(status), "done", append(args, more...)...)
	g.Metrics.recordEnd(status, reason, now.Sub(q.arrivedAt), q)
}
