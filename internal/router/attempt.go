package router

import (
	"bytes"
	"context"
	"errors"
	"io"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"laburnumfall/internal/backpressure"
	"laburnumfall/internal/dispatch"
	"laburnumfall/internal/eventstream"
	"laburnumfall/internal/fleet"
	"laburnumfall/internal/quarantine"
	"laburnumfall/internal/target"
)

// costPerSecond is the cost in units of one second in a slot, if the response states no token
// count. It corresponds to one stream with 20 ms between tokens.
const costPerSecond = 50

// hopByHopHeaders apply to one connection only and are not forwarded.
var hopByHopHeaders = []string{
	fasthttp.HeaderConnection, "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", fasthttp.HeaderTE, fasthttp.HeaderTrailer, fasthttp.HeaderTransferEncoding, fasthttp.HeaderUpgrade,
}

// routerHeaders are meant for the router and are not passed on to targets.
var routerHeaders = []string{fasthttp.HeaderAuthorization, headerRepeat, headerDeadline, headerCost, headerOutcome}

// sendAttempt sends a request to the chosen target. It reports whether the request is answered
// and whether a body is still to be streamed. If the request is not answered, the scheduler
// decides how to continue.
func (r *Router) sendAttempt(ctx *fasthttp.RequestCtx, pending *pendingRequest, decision dispatch.Send, request dispatch.Request, requestID, path string) (answered, streaming bool) {
	startedAt := r.Clock.Now()
	deadline := attemptDeadline(startedAt, decision)
	if !r.mayStart(decision, deadline) {
		r.loop.attemptEnded(pending.id, dispatch.AttemptResult{})
		return false, false
	}
	dialCtx, cancel := context.WithTimeout(context.Background(), deadline.Sub(startedAt))
	conn, err := r.dialer.Conn(dialCtx, decision.Target.Address)
	cancel()
	if err != nil {
		r.attemptFailed(pending, decision, request, requestID, false, err)
		return false, false
	}
	if !pending.attach(conn) || !r.mayStart(decision, deadline) {
		_ = conn.Close() // nothing was sent
		r.loop.attemptEnded(pending.id, dispatch.AttemptResult{})
		return false, false
	}
	targetRequest := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(targetRequest)
	prepareRequest(targetRequest, ctx, decision.Target, requestID, path)
	// The socket's deadline uses the runtime's clock, not the fleet's.
	response, sent, err := target.Send(conn, targetRequest, time.Now().Add(deadline.Sub(r.Clock.Now())))
	if !sent && errors.Is(err, os.ErrDeadlineExceeded) {
		r.loop.attemptEnded(pending.id, dispatch.AttemptResult{}) // the target is not to blame
		return false, false
	}
	if err != nil {
		r.attemptFailed(pending, decision, request, requestID, sent, err)
		return false, false
	}
	signal := r.recordSignal(requestID, decision.Target, response)
	var retryAt time.Time // zero if the response is forwarded as it is
	if notRun := statesNotRun(response); notRun || signal.Backoff > 0 {
		var forward bool
		forward, retryAt = r.loop.turnedAway(pending.id, dispatch.TurnedAway{NotRun: notRun, Cost: r.Clock.Now().Sub(startedAt).Seconds() * costPerSecond})
		r.Log.Info("turned away", "request", requestID, "target", decision.Target.Name, "unrun", notRun, "backoff", signal.Backoff.Milliseconds(), "forward", forward)
		if !forward {
			response.Close()
			return false, false
		}
	}
	body := &responseBody{
		source: response, length: response.Length, router: r, pending: pending, signal: signal, response: response, requestID: requestID, request: request, target: decision.Target,
		startedAt: startedAt, firstByteAt: r.Clock.Now(),
	}
	if response.Status == fasthttp.StatusOK && eventstream.IsEventStream(string(response.Header.ContentType()), string(response.Header.ContentEncoding())) {
		// In chunks, events are sent as they come, and a broken stream lacks its end.
		body.source, body.length = &eventstream.Reader{Source: response, MaxEventBytes: maxEventBytes}, -1
	}
	copyResponseHeader(ctx, response)
	if !retryAt.IsZero() && signal.Backoff > 0 {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, retryAfter(r.Clock.Now(), retryAt))
	}
	body.forward(ctx)
	return true, true
}

// statesNotRun reports whether a target states that it turned a request away without running it. A
// router that is a target of this one does so.
func statesNotRun(response *target.Response) bool {
	return response.Status == fasthttp.StatusServiceUnavailable && string(response.Header.Peek(headerOutcome)) == string(fleet.OutcomeNotRun)
}

// attemptDeadline returns when an attempt that starts at now must end.
func attemptDeadline(now time.Time, decision dispatch.Send) time.Time {
	latest := now.Add(target.MaxResponseWait)
	if decision.Deadline.IsZero() || decision.Deadline.After(latest) {
		return latest
	}
	return decision.Deadline
}

// mayStart reports whether a request may still be sent. Since the decision, the process may have been
// suspended for longer than its lease or the request's deadline lasts, connecting may have taken long,
// and the target may have asked for a pause.
func (r *Router) mayStart(decision dispatch.Send, deadline time.Time) bool {
	now := r.Clock.Now()
	return now.Before(decision.StartBy) && now.Before(deadline) && !r.backpressure.Status(decision.Target.Instance()).Blocked(now)
}

func (r *Router) attemptFailed(pending *pendingRequest, decision dispatch.Send, request dispatch.Request, requestID string, sent bool, err error) {
	cancelled := pending.isCancelled()
	if sent && !cancelled {
		r.recordConnClosed(requestID, request, decision.Target, err)
	}
	r.Log.Warn("try failed", "request", requestID, "target", decision.Target.Name, "sent", sent, "gone", cancelled, "error", err)
	r.loop.attemptEnded(pending.id, dispatch.AttemptResult{Sent: sent, Failed: !cancelled, TargetClosed: sent && !cancelled && target.IsConnClosed(err)})
}

// recordConnClosed logs and counts an exchange in which the target closed the connection.
func (r *Router) recordConnClosed(requestID string, request dispatch.Request, dest fleet.Target, err error) {
	if !target.IsConnClosed(err) {
		return
	}
	r.Log.Warn("cut by the target", "request", requestID, "account", request.Account, "route", request.Event, "print", request.Fingerprint, "parts", request.Suspects()[1:],
		"target", dest.Name, "born", 0, "error", err)
	r.metrics.closedByTarget.Inc()
}

// prepareRequest copies the caller's request and adapts it for the target.
func prepareRequest(targetRequest *fasthttp.Request, ctx *fasthttp.RequestCtx, dest fleet.Target, requestID, path string) {
	ctx.Request.Header.CopyTo(&targetRequest.Header)
	for _, name := range hopByHopHeaders {
		targetRequest.Header.Del(name)
	}
	for _, name := range routerHeaders {
		targetRequest.Header.Del(name)
	}
	targetRequest.Header.SetRequestURI(path)
	targetRequest.Header.SetHost(dest.Address)
	targetRequest.Header.Set(headerRequest, requestID)
	targetRequest.Header.SetConnectionClose()
	// The body is only read, and only until the handler returns.
	targetRequest.SetBodyRaw(ctx.PostBody())
}

func copyResponseHeader(ctx *fasthttp.RequestCtx, response *target.Response) {
	header := &ctx.Response.Header
	requestID := string(header.Peek(headerRequest))
	response.Header.CopyTo(header)
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
	header.Del(fasthttp.HeaderContentLength)
	header.SetNoDefaultContentType(true)
	ctx.SetStatusCode(response.Status)
	header.Set(headerRequest, requestID)
	header.Set(headerOutcome, string(fleet.OutcomeRan))
}

// maxEventBytes bounds the size of an event in bytes, which is held until it is complete.
const maxEventBytes = 16 << 20

// tailBytes is the length of the end of a response that is searched for the token count.
const tailBytes = 2048

// responseBody streams a target's response to the caller as it arrives, and reports its end to
// the scheduler.
type responseBody struct {
	router         *Router
	pending        *pendingRequest
	response       *target.Response
	source         io.Reader // the body of response; of a stream, its whole events
	length         int       // to state to the caller, or -1
	requestID      string
	request        dispatch.Request
	target         fleet.Target
	signal         backpressure.Signal
	startedAt      time.Time
	firstByteAt    time.Time
	firstReadAt    time.Time // when the body began
	partCompleted  bool      // the scheduler has been told of the part of the prompt
	tail           []byte
	failed         bool
	closedByTarget bool
	endOnce        sync.Once
}

// forward passes the body to the HTTP library, which reads it to the end and then closes it.
func (b *responseBody) forward(ctx *fasthttp.RequestCtx) {
	if b.response.Complete() {
		if length := b.response.Length; ctx.IsHead() && length > 0 {
			ctx.Response.Header.SetContentLength(length)
			ctx.Response.SkipBody = true
		}
		b.end()
		return
	}
	ctx.Response.ImmediateHeaderFlush = b.length < 0
	ctx.SetBodyStream(b, b.length)
}

// Read implements io.Reader. On an error other than io.EOF, the HTTP library aborts the caller's
// connection, so an incomplete response never looks complete.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.source.Read(p)
	b.keepTail(p[:n])
	if n > 0 {
		b.recordProgress(b.router.Clock.Now())
	}
	switch {
	case errors.Is(err, io.EOF):
	case err != nil && !b.pending.isCancelled():
		b.failed, b.closedByTarget = true, target.IsConnClosed(err)
		b.router.recordConnClosed(b.requestID, b.request, b.target, err)
	}
	return n, err
}

// recordProgress records that some bytes of the body have arrived. A target that has answered for
// MinPartRunTime clears the start of the prompt.
func (b *responseBody) recordProgress(now time.Time) {
	switch {
	case b.partCompleted || b.request.PrefixHash == 0 || b.response.Status >= fasthttp.StatusMultipleChoices:
	case b.firstReadAt.IsZero():
		b.firstReadAt = now
	case now.Sub(b.firstReadAt) >= quarantine.MinPartRunTime:
		b.partCompleted = true
		b.router.loop.partCompleted(b.pending.id)
	}
}

// Close implements io.Closer.
func (b *responseBody) Close() error {
	b.end()
	return nil
}

func (b *responseBody) end() {
	b.endOnce.Do(func() {
		b.response.Close()
		b.router.disconnects.remove(b.pending)
		complete := b.response.Complete() && !b.failed
		result := dispatch.AttemptResult{
			Sent: true, ResponseStarted: true, ResponseComplete: complete,
			Failed: b.failed || b.response.Status >= fasthttp.StatusInternalServerError,
			Cost:   b.cost(), TimeToFirstByte: b.firstByteAt.Sub(b.startedAt),
			TargetClosed: b.closedByTarget, Succeeded: complete && b.response.Status < fasthttp.StatusMultipleChoices, Unframed: b.response.Framing() == fleet.FramingClose,
		}
		b.router.metrics.countResponse(result)
		b.router.Log.Info("end", "request", b.requestID, "target", b.target.Name, "status", b.response.Status,
			"whole", result.ResponseComplete, "framing", b.response.Framing(), "backoff", b.signal.Backoff.Milliseconds(), "leaving", b.signal.Leaving, "cost", result.Cost, "first", result.TimeToFirstByte, "took", b.router.Clock.Now().Sub(b.startedAt))
		b.router.loop.attemptEnded(b.pending.id, result)
	})
}

func (b *responseBody) keepTail(p []byte) {
	if len(p) >= tailBytes {
		b.tail = append(b.tail[:0], p[len(p)-tailBytes:]...)
		return
	}
	b.tail = append(b.tail, p...)
	if excess := len(b.tail) - tailBytes; excess > 0 {
		b.tail = append(b.tail[:0], b.tail[excess:]...)
	}
}

// cost returns the token count that the response of an engine states, or else a cost for the time
// in the slot.
func (b *responseBody) cost() float64 {
	if tokens, ok := totalTokens(b.tail); ok && b.target.Kind == fleet.TargetEngine {
		return tokens
	}
	return b.router.Clock.Now().Sub(b.startedAt).Seconds() * costPerSecond
}

var totalTokensField = []byte(`"total_tokens":`)

// totalTokens finds the token count at the end of an OpenAI-style response, in the body or in the
// last event of a stream.
func totalTokens(tail []byte) (float64, bool) {
	start := bytes.LastIndex(tail, totalTokensField)
	if start < 0 {
		return 0, false
	}
	rest := bytes.TrimLeft(tail[start+len(totalTokensField):], " ")
	end := 0
	for end < len(rest) && rest[end] >= '0' && rest[end] <= '9' {
		end++
	}
	tokens, err := strconv.ParseUint(string(rest[:end]), 10, 32)
	if err != nil {
		return 0, false
	}
	return float64(tokens), true
}
