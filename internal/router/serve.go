package router

import (
	"bytes"
	"errors"
	"fmt"
	"hash/fnv"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"laburnumfall/internal/caller"
	"laburnumfall/internal/dispatch"
	"laburnumfall/internal/fleet"
	"laburnumfall/internal/message"
	"laburnumfall/internal/quarantine"
	"laburnumfall/internal/statestore"
)

// The headers of the public interface.
const (
	headerKey      = "Idempotency-Key"
	headerRepeat   = "Lf-Repeat"
	headerDeadline = "Lf-Deadline"
	headerCost     = "Lf-Cost"
	headerRequest  = "Lf-Request"
	headerOutcome  = "Lf-Outcome"

	maxIdempotencyKeyLength = 128
	pathPrefix              = "/e/"
	repeatNever             = "never"
	// promptPrefixBytes is the length of the prompt prefix whose hash determines where its prefix
	// cache may be warm.
	promptPrefixBytes = 1024
)

// refusalBody is the body of each response that the router generates itself.
type refusalBody struct {
	Kind    fleet.ErrorKind  `json:"kind"`
	Message string           `json:"message"`
	Remedy  string           `json:"remedy"`
	Fate    message.RunState `json:"fate,omitempty"`
}

var statusByKind = map[fleet.ErrorKind]int{
	fleet.KindMalformed:          fasthttp.StatusBadRequest,
	fleet.KindIncomplete:         fasthttp.StatusRequestTimeout,
	fleet.KindUnknownKey:         fasthttp.StatusUnauthorized,
	fleet.KindAccountNotAdmitted: fasthttp.StatusForbidden,
	fleet.KindEventUnavailable:   fasthttp.StatusNotFound,
	fleet.KindClaimed:            fasthttp.StatusConflict,
	fleet.KindTooLarge:           fasthttp.StatusRequestEntityTooLarge,
	fleet.KindQueueFull:          fasthttp.StatusTooManyRequests,
	fleet.KindNoTarget:           fasthttp.StatusServiceUnavailable,
	fleet.KindNoLease:            fasthttp.StatusServiceUnavailable,
	fleet.KindStopping:           fasthttp.StatusServiceUnavailable,
	fleet.KindCapacityExhausted:  fasthttp.StatusServiceUnavailable,
	fleet.KindQuarantined:        fasthttp.StatusServiceUnavailable,
	fleet.KindDeadline:           fasthttp.StatusGatewayTimeout,
	fleet.KindTargetFailed:       fasthttp.StatusBadGateway,
}

// serve handles one request of a caller.
func (r *Router) serve(ctx *fasthttp.RequestCtx) {
	id := r.metrics.nextID()
	requestID := r.requestIDPrefix + strconv.FormatUint(id, 36)
	ctx.Response.Header.Set(headerRequest, requestID)
	request, path, err := r.parseRequest(ctx, id)
	if err != nil {
		refusal := dispatch.Refuse{Err: err, Outcome: fleet.OutcomeNotRun}
		if err.Kind == fleet.KindNoLease {
			refusal.RetryAt = r.Clock.Now().Add(time.Second)
		}
		r.refuse(ctx, requestID, refusal)
		return
	}
	pending := &pendingRequest{id: id, decisions: make(chan dispatch.Action, maxDecisions), callerConn: ctx.Conn()}
	r.disconnects.add(pending)
	r.loop.submit(pending, request)
	if !r.handleDecisions(ctx, pending, request, requestID, path) {
		r.disconnects.remove(pending)
	}
}

// handleDecisions carries out the scheduler's decisions on a request until the request is
// answered. It reports whether a body is still to be streamed.
func (r *Router) handleDecisions(ctx *fasthttp.RequestCtx, pending *pendingRequest, request dispatch.Request, requestID, path string) bool {
	for {
		switch decision := (<-pending.decisions).(type) {
		case dispatch.Send:
			r.Log.Info("route", "request", requestID, "account", request.Account, "event", request.Event,
				"target", decision.Target.Name, "why", decision.Reason, "waited", decision.QueueTime, "attempt", decision.Attempt)
			if answered, streaming := r.sendAttempt(ctx, pending, decision, request, requestID, path); answered {
				return streaming
			}
		case dispatch.Refuse:
			r.refuse(ctx, requestID, decision)
			return false
		default:
		}
	}
}

// parseRequest validates a request and determines its account.
func (r *Router) parseRequest(ctx *fasthttp.RequestCtx, id uint64) (dispatch.Request, string, *fleet.Error) {
	rest, ok := strings.CutPrefix(string(ctx.Path()), pathPrefix)
	event, path, hasPath := strings.Cut(rest, "/")
	if !ok || event == "" || !hasPath {
		return dispatch.Request{}, "", fleet.NewError(fleet.KindEventUnavailable, "send to /e/EVENT/PATH", "the path names no event")
	}
	if r.loop.hasNoConfig() {
		return dispatch.Request{}, "", fleet.NewError(fleet.KindNoLease, "ask another router, or come back after Retry-After", "this router has no configuration yet")
	}
	account, ok := r.accountOfCaller(ctx)
	if !ok && !r.loop.hasLease() {
		return dispatch.Request{}, "", fleet.NewError(fleet.KindNoLease, "ask another router, or come back after Retry-After", "this router has no lease from the keepers, and its configuration may be out of date")
	}
	if !ok {
		return dispatch.Request{}, "", fleet.NewError(fleet.KindUnknownKey, "send Authorization: Bearer KEY with a key of the configuration", "the key names no account")
	}
	request := dispatch.Request{ID: id, Account: account, Event: event, BodyBytes: len(ctx.PostBody()), PrefixHash: promptPrefixHash(ctx.PostBody())}
	if err := parseHeaders(&ctx.Request.Header, &request); err != nil {
		return dispatch.Request{}, "", err
	}
	if query := ctx.URI().QueryString(); len(query) > 0 {
		path += "?" + string(query)
	}
	request.Fingerprint = quarantine.FingerprintInput{
		Account: account, Method: string(ctx.Method()), Destination: event + "/" + path, Body: ctx.PostBody(),
	}.Fingerprint()
	return request, "/" + path, nil
}

func (r *Router) accountOfCaller(ctx *fasthttp.RequestCtx) (string, bool) {
	key, ok := bytes.CutPrefix(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization), []byte("Bearer "))
	if !ok || len(key) == 0 {
		return "", false
	}
	return r.loop.accountForKey(string(key))
}

func parseHeaders(header *fasthttp.RequestHeader, request *dispatch.Request) *fleet.Error {
	key := string(header.Peek(headerKey))
	if !validIdempotencyKey(key) {
		return malformedHeader(headerKey, "at most 128 visible characters")
	}
	switch repeat := string(header.Peek(headerRepeat)); {
	case repeat == "":
	case repeat != repeatNever:
		return malformedHeader(headerRepeat, "never, or leave it out")
	case key == "":
		return malformedHeader(headerKey, "a key, since Lf-Repeat is never")
	default:
		request.ClaimKey = statestore.HashKey(request.Account, key)
	}
	if text := string(header.Peek(headerDeadline)); text != "" {
		deadline, err := time.Parse(time.RFC3339, text)
		if err != nil {
			return malformedHeader(headerDeadline, "an RFC 3339 time")
		}
		request.Deadline = deadline
	}
	if text := string(header.Peek(headerCost)); text != "" {
		cost, err := strconv.ParseUint(text, 10, 32)
		if err != nil || cost == 0 {
			return malformedHeader(headerCost, "a positive whole number")
		}
		request.CostHint = float64(cost)
	}
	return nil
}

func malformedHeader(header, want string) *fleet.Error {
	return fleet.NewError(fleet.KindMalformed, "send "+want, "the header %s is malformed", header)
}

func validIdempotencyKey(key string) bool {
	if len(key) > maxIdempotencyKeyLength {
		return false
	}
	for _, char := range []byte(key) {
		if char <= ' ' || char > '~' {
			return false
		}
	}
	return true
}

func promptPrefixHash(body []byte) uint64 {
	if len(body) < promptPrefixBytes {
		return 0
	}
	hash := fnv.New64a()
	// Write of a hash never returns an error.
	_, _ = hash.Write(body[:promptPrefixBytes])
	return hash.Sum64()
}

// refuse sends the router's own final response.
func (r *Router) refuse(ctx *fasthttp.RequestCtx, requestID string, refusal dispatch.Refuse) {
	r.Log.Info("refuse", "request", requestID, "kind", refusal.Err.Kind, "outcome", refusal.Outcome, "why", refusal.Err.Message)
	r.metrics.countRefusal(refusal)
	r.writeRefusal(ctx, refusal)
}

func (r *Router) writeRefusal(ctx *fasthttp.RequestCtx, refusal dispatch.Refuse) {
	status, ok := statusByKind[refusal.Err.Kind]
	if !ok {
		status = fasthttp.StatusInternalServerError
	}
	writeJSON(ctx, status, refusalBody{Kind: refusal.Err.Kind, Message: refusal.Err.Message, Remedy: refusal.Err.Remedy, Fate: refusal.RunState})
	ctx.Response.Header.Set(headerOutcome, string(refusal.Outcome))
	if !refusal.RetryAt.IsZero() {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, retryAfter(r.Clock.Now(), refusal.RetryAt))
	}
	if refusal.Err.Kind == fleet.KindStopping {
		ctx.SetConnectionClose()
	}
}

// retryAfter returns the time until retryAt in whole seconds, at least one.
func retryAfter(now, retryAt time.Time) string {
	seconds := int64((retryAt.Sub(now) + time.Second - 1) / time.Second)
	return strconv.FormatInt(max(seconds, 1), 10)
}

// serveError answers a request that the HTTP library could not read.
func (r *Router) serveError(ctx *fasthttp.RequestCtx, err error) {
	refusal := dispatch.Refuse{Outcome: fleet.OutcomeNotRun}
	var smallBuffer *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge) || errors.As(err, &smallBuffer):
		remedy := fmt.Sprintf("send at most %d bytes of body and %d of headers", maxBodyBytes, maxHeaderBytes)
		refusal.Err = fleet.NewError(fleet.KindTooLarge, remedy, "the request could not be read")
	case errors.Is(err, os.ErrDeadlineExceeded):
		refusal.Err = fleet.NewError(fleet.KindIncomplete, "send the whole request at once", "the request did not arrive completely within %s", readTimeout)
		refusal.RetryAt = r.Clock.Now().Add(time.Second)
	default:
		refusal.Err = fleet.NewError(fleet.KindMalformed, "send a well-formed HTTP request", "the request could not be read")
	}
	ctx.SetConnectionClose()
	if conn, ok := ctx.Conn().(*caller.Conn); ok {
		conn.LingerOnClose()
	}
	requestID := r.requestIDPrefix + strconv.FormatUint(r.metrics.nextID(), 36)
	ctx.Response.Header.Set(headerRequest, requestID)
	r.refuse(ctx, requestID, refusal)
}
