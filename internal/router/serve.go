package router

import (
	"bytes"
	"errors"
	"fmt"
	"hash/fnv"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"laburnumfall/internal/dispatch"
	"laburnumfall/internal/fleet"
	"laburnumfall/internal/message"
	"laburnumfall/internal/quarantine"
	"laburnumfall/internal/statestore"
)

// The headers of the outside interface.
const (
	headerKey      = "Idempotency-Key"
	headerRepeat   = "Lf-Repeat"
	headerDeadline = "Lf-Deadline"
	headerCost     = "Lf-Cost"
	headerRequest  = "Lf-Request"
	headerOutcome  = "Lf-Outcome"

	maxKey      = 128
	pathPrefix  = "/e/"
	neverRepeat = "never"
	// prefixBytes is how much of a prompt decides where its cache may be warm.
	prefixBytes = 1024
)

// refusalBody is the body of every answer by the router itself.
type refusalBody struct {
	Kind    fleet.ErrorKind  `json:"kind"`
	Message string           `json:"message"`
	Remedy  string           `json:"remedy"`
	Fate    message.RunState `json:"fate,omitempty"`
}

var statuses = map[fleet.ErrorKind]int{
	fleet.KindMalformed:          fasthttp.StatusBadRequest,
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

// serve takes one caller's request through the router.
func (r *Router) serve(ctx *fasthttp.RequestCtx) {
	id := r.meters.nextID()
	name := r.prefix + strconv.FormatUint(id, 36)
	ctx.Response.Header.Set(headerRequest, name)
	req, path, err := r.parse(ctx, id)
	if err != nil {
		refusal := dispatch.Refuse{Err: err, Outcome: fleet.OutcomeNotRun}
		if err.Kind == fleet.KindNoLease {
			refusal.RetryAt = r.Clock.Now().Add(time.Second)
		}
		r.refuse(ctx, name, refusal)
		return
	}
	c := &call{id: id, verdicts: make(chan dispatch.Action, maxVerdicts), caller: ctx.Conn()}
	r.watch.add(c)
	r.desk.arrive(c, req)
	if !r.follow(ctx, c, req, name, path) {
		r.watch.remove(c)
	}
}

// follow does what the scheduler decides on a request until it is answered. It
// reports whether a body is still to be streamed.
func (r *Router) follow(ctx *fasthttp.RequestCtx, c *call, req dispatch.Request, name, path string) bool {
	for {
		switch a := (<-c.verdicts).(type) {
		case dispatch.Send:
			r.Log.Info("route", "request", name, "account", req.Account, "event", req.Event,
				"target", a.Target.Name, "why", a.Reason, "waited", a.QueueTime, "attempt", a.Attempt)
			if done, streams := r.try(ctx, c, a, req, name, path); done {
				return streams
			}
		case dispatch.Refuse:
			r.refuse(ctx, name, a)
			return false
		default:
		}
	}
}

// parse checks a request and finds its account.
func (r *Router) parse(ctx *fasthttp.RequestCtx, id uint64) (dispatch.Request, string, *fleet.Error) {
	rest, ok := strings.CutPrefix(string(ctx.Path()), pathPrefix)
	event, path, slash := strings.Cut(rest, "/")
	if !ok || event == "" || !slash {
		return dispatch.Request{}, "", fleet.NewError(fleet.KindEventUnavailable, "send to /e/EVENT/PATH", "the path names no event")
	}
	if r.desk.blank() {
		return dispatch.Request{}, "", fleet.NewError(fleet.KindNoLease, "ask another router, or come back after Retry-After", "this router has no configuration yet")
	}
	account, ok := r.account(ctx)
	if !ok {
		return dispatch.Request{}, "", fleet.NewError(fleet.KindUnknownKey, "send Authorization: Bearer KEY with a key of the configuration", "the key names no account")
	}
	req := dispatch.Request{ID: id, Account: account, Event: event, BodyBytes: len(ctx.PostBody()), PrefixHash: prefixOf(ctx.PostBody())}
	if err := parseHeaders(&ctx.Request.Header, &req); err != nil {
		return dispatch.Request{}, "", err
	}
	if query := ctx.URI().QueryString(); len(query) > 0 {
		path += "?" + string(query)
	}
	req.Fingerprint = quarantine.FingerprintInput{
		Account: account, Method: string(ctx.Method()), Destination: event + "/" + path, Body: ctx.PostBody(),
	}.Fingerprint()
	return req, "/" + path, nil
}

func (r *Router) account(ctx *fasthttp.RequestCtx) (string, bool) {
	key, ok := bytes.CutPrefix(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization), []byte("Bearer "))
	if !ok || len(key) == 0 {
		return "", false
	}
	return r.desk.accountOf(string(key))
}

func parseHeaders(h *fasthttp.RequestHeader, req *dispatch.Request) *fleet.Error {
	key := string(h.Peek(headerKey))
	if !visible(key) {
		return malformed(headerKey, "at most 128 visible characters")
	}
	switch repeat := string(h.Peek(headerRepeat)); {
	case repeat == "":
	case repeat != neverRepeat:
		return malformed(headerRepeat, "never, or leave it out")
	case key == "":
		return malformed(headerKey, "a key, since Lf-Repeat is never")
	default:
		req.ClaimKey = statestore.KeyOf(req.Account, key)
	}
	if text := string(h.Peek(headerDeadline)); text != "" {
		t, err := time.Parse(time.RFC3339, text)
		if err != nil {
			return malformed(headerDeadline, "an RFC 3339 time")
		}
		req.Deadline = t
	}
	if text := string(h.Peek(headerCost)); text != "" {
		n, err := strconv.ParseUint(text, 10, 32)
		if err != nil || n == 0 {
			return malformed(headerCost, "a positive whole number")
		}
		req.CostHint = float64(n)
	}
	return nil
}

func malformed(header, want string) *fleet.Error {
	return fleet.NewError(fleet.KindMalformed, "send "+want, "the header %s is malformed", header)
}

func visible(key string) bool {
	if len(key) > maxKey {
		return false
	}
	for _, b := range []byte(key) {
		if b <= ' ' || b > '~' {
			return false
		}
	}
	return true
}

func prefixOf(body []byte) uint64 {
	if len(body) < prefixBytes {
		return 0
	}
	h := fnv.New64a()
	// A hash never fails to take bytes.
	_, _ = h.Write(body[:prefixBytes])
	return h.Sum64()
}

// refuse writes the router's own final answer.
func (r *Router) refuse(ctx *fasthttp.RequestCtx, name string, a dispatch.Refuse) {
	r.Log.Info("refuse", "request", name, "kind", a.Err.Kind, "outcome", a.Outcome, "why", a.Err.Message)
	r.meters.refused(a)
	r.writeRefusal(ctx, a)
}

func (r *Router) writeRefusal(ctx *fasthttp.RequestCtx, a dispatch.Refuse) {
	status, ok := statuses[a.Err.Kind]
	if !ok {
		status = fasthttp.StatusInternalServerError
	}
	writeJSON(ctx, status, refusalBody{Kind: a.Err.Kind, Message: a.Err.Message, Remedy: a.Err.Remedy, Fate: a.RunState})
	ctx.Response.Header.Set(headerOutcome, string(a.Outcome))
	if !a.RetryAt.IsZero() {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, retryAfter(r.Clock.Now(), a.RetryAt))
	}
	if a.Err.Kind == fleet.KindStopping {
		ctx.SetConnectionClose()
	}
}

// retryAfter returns the whole seconds until at, at least one.
func retryAfter(now, at time.Time) string {
	seconds := int64((at.Sub(now) + time.Second - 1) / time.Second)
	return strconv.FormatInt(max(seconds, 1), 10)
}

// serveError answers a request that could not be read.
func (r *Router) serveError(ctx *fasthttp.RequestCtx, err error) {
	kind, remedy := fleet.KindMalformed, "send a well-formed HTTP request"
	var small *fasthttp.ErrSmallBuffer
	if errors.Is(err, fasthttp.ErrBodyTooLarge) || errors.As(err, &small) {
		kind = fleet.KindTooLarge
		remedy = fmt.Sprintf("send at most %d bytes of body and %d of headers", maxBody, maxHeader)
	}
	ctx.SetConnectionClose()
	if c, ok := ctx.Conn().(*callerConn); ok {
		c.linger.Store(true)
	}
	name := r.prefix + strconv.FormatUint(r.meters.nextID(), 36)
	ctx.Response.Header.Set(headerRequest, name)
	r.refuse(ctx, name, dispatch.Refuse{
		Err:     fleet.NewError(kind, remedy, "the request could not be read"),
		Outcome: fleet.OutcomeNotRun,
	})
}
