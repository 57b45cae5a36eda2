package gateway

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"

	"laburnumfall/internal/backpressure"
	"laburnumfall/internal/caller"
	"laburnumfall/internal/fleet"
	"laburnumfall/internal/placement"
	"laburnumfall/internal/upstream"
)

// nextStep is what to do after an attempt.
type nextStep uint8

const (
	stepDone           nextStep = iota // the caller got its response
	stepTryElsewhere                   // nothing was sent: try another target
	stepRetryIfAllowed                 // retry if the attempts and the retry budget allow it
	stepRetry                          // retry; the retry budget has been charged already
	stepFail                           // the request may have run and must not run again
)

// attemptOutcome is the result of an attempt.
type attemptOutcome struct {
	next   nextStep
	reason fleet.Reason
	err    error
	notRun bool // no target has run the request
}

// callerCheckInterval is the age up to which a check whether the caller has left counts as recent. It
// saves a system call for each request.
const callerCheckInterval = 20 * time.Millisecond

// maxBufferedResponse is the size in bytes up to which a response is read completely before any of
// it is forwarded, so that the request can be retried if the target closes the connection early.
const maxBufferedResponse = 256 << 10

// send sends a request to the chosen target and forwards its response.
func (g *Gateway) send(req *request, choice *placement.Choice) attemptOutcome {
	ctx := req.r.Context()
	started := g.Clock.Now()
	req.signal, req.slowdown, req.connPort = backpressure.Signal{}, 0, 0
	req.triedTargets = append(req.triedTargets, choice.Target.Incarnation)
	conn, err := g.connPool.Get(ctx, choice.Target.Incarnation, choice.Target.Address, &req.sends)
	if err != nil {
		if ctx.Err() != nil {
			g.endAttempt(choice, placement.Canceled)
			return attemptOutcome{next: stepFail, reason: fleet.ReasonCallerLeft, err: err}
		}
		g.endAttempt(choice, placement.ConnectFailed)
		g.logSend(req, choice, started, fleet.AttemptConnectFailed, err)
		return attemptOutcome{next: stepTryElsewhere, reason: fleet.ReasonNoConnection, err: err, notRun: true}
	}
	req.connPort = conn.LocalPort()
	g.awaitFreshState(g.Clock.Now())
	if req.callerLeft(g.Clock.Now()) {
		g.connPool.Return(choice.Target.Incarnation, conn)
		g.endAttempt(choice, placement.Canceled)
		return attemptOutcome{next: stepFail, reason: fleet.ReasonCallerLeft, notRun: true}
	}
	if !g.confirmSend(req, choice) {
		g.connPool.Return(choice.Target.Incarnation, conn)
		g.endAttempt(choice, placement.Canceled)
		g.logSend(req, choice, started, fleet.AttemptTargetClosed, nil)
		return attemptOutcome{next: stepTryElsewhere, reason: fleet.ReasonTargetClosed, notRun: true}
	}
	req.attempts++
	response, abandoned, err := g.sendWithWatchdog(ctx, req, choice, conn)
	if abandoned {
		req.mayHaveRun = true
		g.endAttempt(choice, placement.Failed)
		g.logSend(req, choice, started, fleet.AttemptNoAnswer, err)
		return attemptOutcome{next: stepRetry, reason: fleet.ReasonNoAnswer, err: err}
	}
	var notSent *upstream.NotSentError
	if errors.As(err, &notSent) && ctx.Err() == nil {
		req.attempts--
		g.endAttempt(choice, placement.Canceled) // the target is not to blame
		g.logSend(req, choice, started, fleet.AttemptNotSent, err)
		return attemptOutcome{next: stepTryElsewhere, reason: fleet.ReasonTargetClosed, err: err, notRun: true}
	}
	if err != nil {
		return g.handleNoResponse(req, choice, started, err)
	}
	defer response.Close()
	g.recordTargetLoad(req, choice.Target.Incarnation, response)
	return g.handleResponse(req, choice, started, response)
}

// callerLeft reports whether the caller has left, if the last check is no longer recent. Since then,
// the request may have waited for fresh state, for a connection or for processor time.
func (req *request) callerLeft(now time.Time) bool {
	if now.Sub(req.callerCheckedAt) < callerCheckInterval {
		return req.r.Context().Err() != nil
	}
	req.callerCheckedAt = now
	return caller.HasLeft(req.r.Context())
}

// confirmSend reports whether a request may still be sent to the chosen target. Connecting may have
// taken long, or the process may have been suspended, so that what was checked before the choice no
// longer holds.
func (g *Gateway) confirmSend(req *request, choice *placement.Choice) bool {
	if _, ok := g.checkKey(req, g.State()); !ok || !g.Clock.Now().Before(req.deadline) {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.placer.ConfirmSend(g.Clock.Now(), choice)
}

// targetRequest returns the request to send to the chosen target.
func (g *Gateway) targetRequest(req *request, choice *placement.Choice) upstream.Request {
	header := make(http.Header, len(req.r.Header)+4)
	for name, values := range req.r.Header {
		header[name] = values
	}
	removeHopByHopHeaders(header)
	header.Del("Content-Length")
	header.Del("Expect")
	g.Dialect.SetRequestHeaders(header, AttemptInfo{
		Target: choice.Target.ID, RequestID: req.id, Account: req.account, TimeLeft: req.deadline.Sub(g.Clock.Now()), LastEventID: req.lastEventID, CopyFrom: choice.CopyFrom,
	})
	return upstream.Request{
		Method: req.r.Method, Path: req.r.RequestURI, Host: req.r.Host, Header: header, Body: req.body,
		Sends: &req.sends, IDHeader: g.Dialect.RequestIDHeader(),
	}
}

// handleNoResponse ends an attempt without a response. The target may have run it.
func (g *Gateway) handleNoResponse(req *request, choice *placement.Choice, started time.Time, err error) attemptOutcome {
	if req.r.Context().Err() != nil {
		g.endAttempt(choice, placement.Canceled)
		g.logSend(req, choice, started, fleet.AttemptCallerLeft, err)
		return attemptOutcome{next: stepFail, reason: fleet.ReasonCallerLeft, err: err}
	}
	req.mayHaveRun = true
	g.endAttempt(choice, placement.Failed)
	g.logSend(req, choice, started, fleet.AttemptNoAnswer, err)
	g.recordInterruption(req, choice, started, err)
	return g.retryOrFail(req, fleet.ReasonNoAnswer, err)
}

// retryOrFail returns the outcome of a failed attempt that may have run.
func (g *Gateway) retryOrFail(req *request, reason fleet.Reason, err error) attemptOutcome {
	if req.route.Repeatable() {
		return attemptOutcome{next: stepRetryIfAllowed, reason: reason, err: err}
	}
	return attemptOutcome{next: stepFail, reason: reason, err: err}
}

// handleResponse forwards a response to the caller, or discards it if it is invalid or the request
// is to be retried.
func (g *Gateway) handleResponse(req *request, choice *placement.Choice, started time.Time, response *upstream.Response) attemptOutcome {
	const minSuccess, minServerError = 200, 500
	switch {
	case g.Dialect.NotRun(response.Status, response.Header):
		return g.handleNotRun(req, choice, started, response)
	case response.Status < 300 && response.Status >= minSuccess && !g.Dialect.Signed(response.Header):
		req.mayHaveRun = true
		g.endAttempt(choice, placement.Failed)
		g.logSend(req, choice, started, fleet.AttemptUnsigned, nil)
		return g.retryOrFail(req, fleet.ReasonUnsigned, nil)
	case req.responseStarted && !req.isStream(response):
		req.mayHaveRun = true
		g.endAttempt(choice, placement.Failed)
		g.logSend(req, choice, started, fleet.AttemptTargetFailed, nil, "status", response.Status)
		return g.retryOrFail(req, fleet.ReasonStreamNotResumable, nil)
	case req.isStream(response):
		req.mayHaveRun = true
		return g.forwardStream(req, choice, started, response)
	}
	req.mayHaveRun = true
	if response.Status >= minServerError && req.route.Repeatable() && req.possibleRuns() < req.route.MaxAttempts {
		if g.allowRetry(req) {
			g.endAttempt(choice, placement.Failed)
			g.logSend(req, choice, started, fleet.AttemptTargetFailed, nil, "status", response.Status)
			return attemptOutcome{next: stepRetry, reason: fleet.ReasonTargetFailed}
		}
	}
	return g.forwardBuffered(req, choice, started, response)
}

// handleNotRun ends an attempt with a response that says that the target did not run the request.
func (g *Gateway) handleNotRun(req *request, choice *placement.Choice, started time.Time, response *upstream.Response) attemptOutcome {
	discardBody(response)
	if g.Dialect.AddressReused(response.Status) {
		req.misaddressed++
		g.endAttempt(choice, placement.ConnectFailed)
		g.logSend(req, choice, started, fleet.AttemptAddressReused, nil, "status", response.Status)
		return attemptOutcome{next: stepRetryIfAllowed, reason: fleet.ReasonAddressReused, notRun: true}
	}
	g.endAttempt(choice, placement.Refused)
	g.logSend(req, choice, started, fleet.AttemptNotRun, nil, "status", response.Status)
	return attemptOutcome{next: stepRetryIfAllowed, reason: fleet.ReasonNotRun, notRun: true}
}

// discardBody reads the rest of a small response, so that its connection can be reused.
func discardBody(response *upstream.Response) {
	// After a read error the connection is not reused.
	_, _ = io.Copy(io.Discard, io.LimitReader(response, maxBufferedResponse))
}

// logSend logs the result of an attempt and counts it in the metrics.
func (g *Gateway) logSend(req *request, choice *placement.Choice, started time.Time, result fleet.AttemptResult, err error, extra ...any) {
	now := g.Clock.Now()
	args := []any{
		"request", req.id, "target", choice.Target.ID, "born", choice.Target.StartMillis, "zone", choice.Target.Zone, "pool", choice.Target.Pool, "version", choice.Target.Version, "result", result,
		"try", req.attempts, "port", req.connPort, "home", choice.IsOwner, "copy", choice.CopyFrom, "load", choice.Load, "queue", choice.QueueTime.Milliseconds(), "unread", choice.PrefillTokens, "predicted", choice.PredictedTTFB.Milliseconds(),
		"first", choice.TTFB.Milliseconds(), "took", now.Sub(started).Milliseconds(), "left", req.deadline.Sub(now).Milliseconds(),
	}
	if choice.Memory > 0 {
		args = append(args, "memory", choice.Memory)
	}
	if err != nil {
		args = append(args, "error", err)
	}
	if !req.signal.IsZero() {
		args = append(args, "backoff", req.signal.Backoff.Milliseconds(), "leaving", req.signal.Leaving)
	}
	if choice.Tracked {
		args = append(args, "kept", choice.Kept)
	}
	if req.slowdown > 0 {
		args = append(args, "slow", req.slowdown)
	}
	level := hclog.Info
	if result != fleet.AttemptAnswered {
		level = hclog.Warn
	}
	g.Log.Log(level, "send", append(args, extra...)...)
	g.Metrics.attempts.WithLabelValues(string(result)).Inc()
}
