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
	"laburnumfall/internal/caller"
	"laburnumfall/internal/fleet"
	"laburnumfall/internal/placement"
	"laburnumfall/internal/quarantine"
	"laburnumfall/internal/waitlist"
)

const (
	// minRetryAfter and noCapacityRetryAfter are when a caller may retry that was refused before
	// admission control: the first if another router can serve it, the second if capacity has to
	// become free.
	minRetryAfter        = admission.MinRetryAfter
	noCapacityRetryAfter = admission.NoCapacityRetryAfter
	// refusedBodyTimeout and maxRefusedBody bound how much of a refused request's body is read.
	refusedBodyTimeout = 500 * time.Millisecond
	maxRefusedBody     = 8 << 20
	// maxReusedBody is the size up to which the body of a refused request is expected to arrive in that
	// time, so that its connection can be reused.
	maxReusedBody = 256 << 10
)

// remedyShorterPrompt is what the caller of a prompt that exceeds the memory of any target can do.
const remedyShorterPrompt = "send a shorter prompt"

// A refusal describes the response to a request that this router refuses.
type refusal struct {
	status           int
	kind             fleet.ErrorKind
	reason           fleet.Reason
	retryAfter       time.Duration // 0 if the caller must not retry
	predictedTTFB    time.Duration // of the best target
	queueTime        time.Duration // part of predictedTTFB caused by other requests
	load             float64       // of the best target: running requests divided by slots
	excess           float64       // service of the account relative to underserved ones
	terminationCount int           // targets that ended while they ran such a request
	fingerprint      quarantine.Fingerprint
	waits            bool // the request may have a place
	place            waitlist.Offer
	configNumber     uint64        // of the configuration that does not allow the request; 0 if it does
	leaseLeft        time.Duration // of the lease on keys, which is renewed with the configuration
	remedy           string        // "" for the usual one
	err              error
}

// refusalBody is the body of the response to a refused or failed request.
type refusalBody struct {
	Kind    fleet.ErrorKind `json:"kind"`
	Message string          `json:"message"`
	Remedy  string          `json:"remedy"`
}

// refuse answers a request that no target has run.
func (g *Gateway) refuse(req *request, refused refusal) {
	if refused.configNumber > 0 {
		g.logEnd(req, refused.status, refused.reason, refused.err, "back", refused.retryAfter.Milliseconds(), "number", refused.configNumber, "lease", refused.leaseLeft.Milliseconds())
	} else {
		g.logEnd(req, refused.status, refused.reason, refused.err, "back", refused.retryAfter.Milliseconds(), "wait", refused.predictedTTFB.Milliseconds(), "queue", refused.queueTime.Milliseconds(), "load", refused.load, "excess", refused.excess, "ends", refused.terminationCount, "print", refused.fingerprint)
	}
	remedy := "mend the request"
	header := req.w.Header()
	if refused.retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(refused.retryAfter.Seconds(), 'f', 3, 64))
		remedy = "come back after Retry-After"
	}
	if refused.remedy != "" {
		remedy = refused.remedy
	}
	g.respond(req, refused.status, fleet.OutcomeNotRun, refusalBody{Kind: refused.kind, Message: string(refused.reason), Remedy: remedy})
}

func (g *Gateway) respond(req *request, status int, outcome fleet.Outcome, body refusalBody) {
	data, err := json.Marshal(body)
	if err != nil {
		g.Log.Error("an answer cannot be encoded", "request", req.id, "error", err)
		data = nil
	}
	header := req.w.Header()
	g.Dialect.SetResponseHeaders(header, req.id, outcome)
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(data)))
	header["Date"] = nil
	isBodyUnread := req.r.ContentLength != 0 && req.body == nil
	if isBodyUnread {
		g.respondBeforeBody(req)
	}
	req.w.WriteHeader(status)
	if _, err := req.w.Write(data); err != nil {
		g.Log.Debug("response not written to the caller", "request", req.id, "error", err)
	}
	if isBodyUnread {
		g.discardRequestBody(req)
	}
}

// respondBeforeBody makes the net/http server write the response at once. By default it first reads a body of
// usual size, for as long as the caller takes to send it.
func (g *Gateway) respondBeforeBody(req *request) {
	if err := http.NewResponseController(req.w).EnableFullDuplex(); err != nil {
		g.Log.Debug("response waits for the request body", "request", req.id, "error", err)
	}
	if req.r.ContentLength > maxReusedBody {
		req.w.Header().Set("Connection", "close")
	}
}

// discardRequestBody reads the body of a request that was answered before its body was read, or closes
// the connection if the body does not arrive soon. Closing a connection with unread bytes resets it, and the
// caller may never see the response, so it lingers.
func (g *Gateway) discardRequestBody(req *request) {
	rc := http.NewResponseController(req.w)
	err := rc.Flush()
	if err == nil {
		err = rc.SetReadDeadline(time.Now().Add(refusedBodyTimeout))
	}
	if err == nil {
		_, err = io.CopyN(io.Discard, req.r.Body, maxRefusedBody)
	}
	if errors.Is(err, io.EOF) {
		return
	}
	g.Log.Debug("body of a refused request not read completely", "request", req.id, "error", err)
	if conn, ok := caller.ConnFromContext(req.r.Context()).(*caller.Conn); ok {
		conn.LingerOnClose()
	}
	panic(http.ErrAbortHandler) // the rest of the body must not be taken for the next request
}

// refuseOrAbort refuses a request, or aborts its response if that has already begun.
func (g *Gateway) refuseOrAbort(req *request, refused refusal) {
	if req.responseStarted {
		g.abortResponse(req, refused.reason, refused.err)
	}
	if req.mayHaveRun {
		g.giveUp(req, refused.reason, refused.err)
		return
	}
	g.refuse(req, refused)
}

// giveUp ends a request that cannot be retried. If it is known that no target ran it, it is
// refused; otherwise it gets an error that leaves open whether it ran.
func (g *Gateway) giveUp(req *request, reason fleet.Reason, err error) {
	switch {
	case caller.HasLeft(req.r.Context()):
		g.abortCanceled(req, err)
	case req.responseStarted:
		g.abortResponse(req, reason, err)
	case !req.mayHaveRun:
		g.refuse(req, refusal{status: http.StatusServiceUnavailable, kind: fleet.KindNoTarget, reason: reason, retryAfter: g.retryAfterNotRun(req), err: err})
	case !g.Clock.Now().Before(req.deadline):
		g.logEnd(req, http.StatusGatewayTimeout, reason, err)
		g.respond(req, http.StatusGatewayTimeout, fleet.OutcomeUnknown, refusalBody{Kind: fleet.KindDeadline, Message: string(reason), Remedy: "it may have run; ask for less or wait longer"})
	default:
		g.logEnd(req, http.StatusBadGateway, reason, err)
		g.respond(req, http.StatusBadGateway, fleet.OutcomeUnknown, refusalBody{Kind: fleet.KindTargetFailed, Message: string(reason), Remedy: "it may have run; send it again only if that does no harm"})
	}
}

// retryAfterNotRun returns when a caller may retry whose request no target ran.
func (g *Gateway) retryAfterNotRun(req *request) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	if end, ok := g.placer.BackoffEnd(now, placement.Request{Pool: req.pool}); ok {
		return max(end.Sub(now), noCapacityRetryAfter) + req.retryJitter()
	}
	if !req.signal.IsZero() {
		return minRetryAfter // the next attempt goes to another target
	}
	return noCapacityRetryAfter
}

// abortCanceled ends a request whose caller left or whose connection was closed at the end of the
// grace period. Both cancel the context of the request.
func (g *Gateway) abortCanceled(req *request, err error) {
	reason := fleet.ReasonCallerLeft
	if g.graceExpired.Load() {
		reason = fleet.ReasonGraceExpired
	}
	g.logEnd(req, 0, reason, err)
	req.abort()
}

// abortResponse ends a response that has begun in such a way that the caller sees that it is
// incomplete: the connection closes before the end of the body.
func (g *Gateway) abortResponse(req *request, reason fleet.Reason, err error) {
	g.logEnd(req, 0, fleet.ReasonTruncatedPrefix+reason, err)
	req.abort()
}

// abort closes the caller's connection in such a way that a response that has begun is not taken for
// complete. It does not return. Over HTTP/1.0 a response without a length ends with its connection.
func (req *request) abort() {
	if conn, ok := caller.ConnFromContext(req.r.Context()).(*caller.Conn); ok && req.responseStarted && !req.r.ProtoAtLeast(1, 1) && req.w.Header().Get("Content-Length") == "" {
		conn.ResetOnClose()
	}
	panic(http.ErrAbortHandler)
}

// endLogLevel returns the level of the log line for the end of a request. Failed requests are
// logged at Warn, since lines at Info may be dropped.
func endLogLevel(status int) hclog.Level {
	if status == 0 || status >= http.StatusBadRequest {
		return hclog.Warn
	}
	return hclog.Info
}

// logEnd logs the end of a request and records it in the metrics.
func (g *Gateway) logEnd(req *request, status int, reason fleet.Reason, err error, extra ...any) {
	route, objective := "", time.Duration(0)
	if req.route != nil {
		route, objective = req.route.Name, req.route.LatencyObjective
	}
	now := g.Clock.Now()
	args := []any{
		"request", req.id, "status", status, "reason", reason, "route", route, "pool", req.pool, "account", req.account,
		"sent", req.attempts, "took", now.Sub(req.arrivedAt).Milliseconds(), "aim", objective.Milliseconds(), "within", req.withinShare,
	}
	if req.responseStarted {
		args = append(args, "first", req.firstByteAt.Sub(req.arrivedAt).Milliseconds())
	}
	if resumes, after := g.Dialect.Resumes(req.r.Header); after != "" || resumes != "" {
		args = append(args, "resumes", resumes, "after", after)
	}
	if len(req.promptParts) > 0 {
		ownTokens := req.promptParts[len(req.promptParts)-1].Tokens
		args = append(args, "own", ownTokens, "shared", totalTokens(req.promptParts)-ownTokens)
	}
	if req.place != "" {
		args = append(args, "place", req.place)
	}
	if err != nil {
		args = append(args, "error", err)
	}
	g.Log.Log(endLogLevel(status), "done", append(args, extra...)...)
	g.Metrics.recordEnd(status, reason, now.Sub(req.arrivedAt), req)
}
