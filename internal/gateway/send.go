package gateway

import (
	"io"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/placement"
	"laburnumfall/internal/upstream"
)

// nextStep is what follows an attempt.
type nextStep uint8

const (
	stepDone           nextStep = iota // the caller has its answer
	stepTryElsewhere                   // nothing was sent: another target may be tried
	stepRetryIfAllowed                 // another target may be tried, within bounds
	stepRetry                          // another target is to be tried, and was found within bounds
	stepFail                           // the request may have run and must not run again
)

// attemptOutcome is how an attempt ended.
type attemptOutcome struct {
	next   nextStep
	reason fleet.Reason
	err    error
	notRun bool // no target has run it
}

// maxBufferedResponse is the size up to which an answer is read whole before any of it is
// passed on, so that one that breaks off can be asked for again.
const maxBufferedResponse = 256 << 10

// send sends a request to the chosen target and passes its answer on.
func (g *Gateway) send(q *request, c *placement.Choice) attemptOutcome {
	ctx := q.r.Context()
	started := g.Clock.Now()
	q.triedTargets = append(q.triedTargets, c.Target.Incarnation)
	conn, err := g.pool.Get(ctx, c.Target.Incarnation, c.Target.Address)
	if err != nil {
		if ctx.Err() != nil {
			g.endAttempt(c, placement.Canceled)
			return attemptOutcome{next: stepFail, reason: fleet.ReasonCallerLeft, err: err}
		}
		g.endAttempt(c, placement.ConnectFailed)
		g.logSend(q, c, started, fleet.AttemptConnectFailed, err)
		return attemptOutcome{next: stepTryElsewhere, reason: fleet.ReasonNoConnection, err: err, notRun: true}
	}
	if !g.confirmSend(c) {
		g.pool.Return(c.Target.Incarnation, conn)
		g.endAttempt(c, placement.Canceled)
		g.logSend(q, c, started, fleet.AttemptTargetClosed, nil)
		return attemptOutcome{next: stepTryElsewhere, reason: fleet.ReasonTargetClosed, notRun: true}
	}
	q.attempts++
	answer, givenUp, err := g.sendWithWatchdog(ctx, q, c, conn)
	if givenUp {
		q.mayHaveRun = true
		g.endAttempt(c, placement.Failed)
		g.logSend(q, c, started, fleet.AttemptNoAnswer, err)
		return attemptOutcome{next: stepRetry, reason: fleet.ReasonNoAnswer, err: err}
	}
	if err != nil {
		return g.handleNoResponse(q, c, started, err)
	}
	defer answer.Close()
	g.recordQueueLength(q, c.Target.Incarnation, answer)
	return g.handleResponse(q, c, started, answer)
}

// confirmSend reports whether a request may still go to the target of its choice: it may have
// taken long to reach it, or this process may have stood still.
func (g *Gateway) confirmSend(c *placement.Choice) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.placer.ConfirmSend(g.Clock.Now(), c)
}

// targetRequest makes the request for a target of a caller's.
func (g *Gateway) targetRequest(q *request, c *placement.Choice) upstream.Request {
	h := make(http.Header, len(q.r.Header)+4)
	for name, values := range q.r.Header {
		h[name] = values
	}
	removeHopByHopHeaders(h)
	h.Del("Content-Length")
	h.Del("Expect")
	g.Dialect.SetRequestHeaders(h, AttemptInfo{
		Target: c.Target.ID, RequestID: q.id, Account: q.account, TimeLeft: q.deadline.Sub(g.Clock.Now()), LastEventID: q.lastEventID, CopyFrom: c.CopyFrom,
	})
	return upstream.Request{
		Method: q.r.Method, Path: q.r.RequestURI, Host: q.r.Host, Header: h, Body: q.body,
		ID: q.id, IDHeader: g.Dialect.RequestIDHeader(),
	}
}

// handleNoResponse judges an attempt without an answer: the target may have run it.
func (g *Gateway) handleNoResponse(q *request, c *placement.Choice, started time.Time, err error) attemptOutcome {
	if q.r.Context().Err() != nil {
		g.endAttempt(c, placement.Canceled)
		g.logSend(q, c, started, fleet.AttemptCallerLeft, err)
		return attemptOutcome{next: stepFail, reason: fleet.ReasonCallerLeft, err: err}
	}
	q.mayHaveRun = true
	g.endAttempt(c, placement.Failed)
	g.logSend(q, c, started, fleet.AttemptNoAnswer, err)
	g.recordInterruption(q, c, started, err)
	return g.retryOrFail(q, fleet.ReasonNoAnswer, err)
}

// retryOrFail judges a request that may have run.
func (g *Gateway) retryOrFail(q *request, reason fleet.Reason, err error) attemptOutcome {
	if q.route.Repeatable() {
		return attemptOutcome{next: stepRetryIfAllowed, reason: reason, err: err}
	}
	return attemptOutcome{next: stepFail, reason: reason, err: err}
}

// take passes an answer on, or judges it.
func (g *Gateway) handleResponse(q *request, c *placement.Choice, started time.Time, a *upstream.Answer) attemptOutcome {
	const success, failure = 200, 500
	switch {
	case g.Dialect.NotRun(a.Status, a.Header):
		return g.handleNotRun(q, c, started, a)
	case a.Status < 300 && a.Status >= success && !g.Dialect.Signed(a.Header):
		q.mayHaveRun = true
		g.endAttempt(c, placement.Failed)
		g.logSend(q, c, started, fleet.AttemptUnsigned, nil)
		return g.retryOrFail(q, fleet.ReasonUnsigned, nil)
	case q.responseStarted && !q.isStream(a):
		q.mayHaveRun = true
		g.endAttempt(c, placement.Failed)
		g.logSend(q, c, started, fleet.AttemptTargetFailed, nil, "status", a.Status)
		return g.retryOrFail(q, fleet.ReasonStreamNotResumable, nil)
	case q.isStream(a):
		q.mayHaveRun = true
		return g.forwardStream(q, c, started, a)
	}
	q.mayHaveRun = true
	if a.Status >= failure && q.route.Repeatable() && q.possibleRuns() < q.route.MaxAttempts {
		if g.allowRetry(q) {
			g.endAttempt(c, placement.Failed)
			g.logSend(q, c, started, fleet.AttemptTargetFailed, nil, "status", a.Status)
			return attemptOutcome{next: stepRetry, reason: fleet.ReasonTargetFailed}
		}
	}
	return g.forwardBuffered(q, c, started, a)
}

// handleNotRun judges an answer that says that the request was not run.
func (g *Gateway) handleNotRun(q *request, c *placement.Choice, started time.Time, a *upstream.Answer) attemptOutcome {
	discardBody(a)
	if g.Dialect.AddressReused(a.Status) {
		q.misaddressed++
		g.endAttempt(c, placement.ConnectFailed)
		g.logSend(q, c, started, fleet.AttemptAddressReused, nil, "status", a.Status)
		return attemptOutcome{next: stepRetryIfAllowed, reason: fleet.ReasonAddressReused, notRun: true}
	}
	g.endAttempt(c, placement.Refused)
	g.logSend(q, c, started, fleet.AttemptNotRun, nil, "status", a.Status)
	return attemptOutcome{next: stepRetryIfAllowed, reason: fleet.ReasonNotRun, notRun: true}
}

// discardBody reads the rest of a small answer, so that its connection can be kept.
func discardBody(a *upstream.Answer) {
	// One that breaks off is not kept.
	_, _ = io.Copy(io.Discard, io.LimitReader(a, maxBufferedResponse))
}

// logSend writes the line of one attempt.
func (g *Gateway) logSend(q *request, c *placement.Choice, started time.Time, result fleet.AttemptResult, err error, more ...any) {
	now := g.Clock.Now()
	args := []any{
		"request", q.id, "target", c.Target.ID, "born", c.Target.StartMillis, "zone", c.Target.Zone, "pool", c.Target.Pool, "result", result,
		"try", q.attempts, "home", c.IsOwner, "copy", c.CopyFrom, "load", c.Load, "queue", c.QueueTime.Milliseconds(), "unread", c.PrefillTokens, "predicted", c.PredictedTTFB.Milliseconds(),
		"first", c.TTFB.Milliseconds(), "took", now.Sub(started).Milliseconds(), "left", q.deadline.Sub(now).Milliseconds(),
	}
	if err != nil {
		args = append(args, "error", err)
	}
	level := hclog.Info
	if result != fleet.AttemptAnswered {
		level = hclog.Warn
	}
	g.Log.Log(level, "send", append(args, more...)...)
	g.Metrics.sends.WithLabelValues(string(result)).Inc()
}
