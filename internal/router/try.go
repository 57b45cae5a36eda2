package router

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"laburnumfall/internal/dispatch"
	"laburnumfall/internal/fleet"
	"laburnumfall/internal/target"
)

// unitsPerSecond is what a second of a slot counts where the target tells no
// tokens: about one stream at 20 ms between tokens.
const unitsPerSecond = 50

// hopHeaders concern one connection only and are not passed on.
var hopHeaders = []string{
	fasthttp.HeaderConnection, "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", fasthttp.HeaderTE, fasthttp.HeaderTrailer, fasthttp.HeaderTransferEncoding, fasthttp.HeaderUpgrade,
}

// ownHeaders are for the router and not passed on to targets.
var ownHeaders = []string{fasthttp.HeaderAuthorization, headerRepeat, headerDeadline, headerCost, headerOutcome}

// try sends a request to the target that was chosen. It reports whether the
// request is answered, and whether a body is still to be streamed; if not
// answered, the scheduler decides what comes next.
func (r *Router) try(ctx *fasthttp.RequestCtx, c *call, a dispatch.Send, of dispatch.Request, name, path string) (done, streams bool) {
	start := r.Clock.Now()
	dialCtx, cancel := context.WithTimeout(context.Background(), r.patience(start, a))
	conn, err := r.dialer.Conn(dialCtx, a.Target.Address)
	cancel()
	if err != nil {
		r.failed(c, a, of, name, false, err)
		return false, false
	}
	if !c.attach(conn) {
		_ = conn.Close() // nothing was sent
		r.desk.ended(c.id, dispatch.AttemptResult{})
		return false, false
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	prepare(req, ctx, a.Target, name, path)
	answer, sent, err := target.Send(conn, req, time.Now().Add(r.patience(start, a)))
	if err != nil {
		r.failed(c, a, of, name, sent, err)
		return false, false
	}
	body := &answerBody{
		router: r, call: c, answer: answer, name: name, of: of, target: a.Target,
		start: start, first: r.Clock.Now(),
	}
	copyHead(ctx, answer)
	body.pass(ctx)
	return true, true
}

// patience returns how long a try may take.
func (r *Router) patience(now time.Time, a dispatch.Send) time.Duration {
	if a.Deadline.IsZero() {
		return target.MaxResponseWait
	}
	return min(max(a.Deadline.Sub(now), time.Millisecond), target.MaxResponseWait)
}

func (r *Router) failed(c *call, a dispatch.Send, of dispatch.Request, name string, sent bool, err error) {
	left := c.left()
	if sent && !left {
		r.noteCut(name, of, a.Target, err)
	}
	r.Log.Warn("try failed", "request", name, "target", a.Target.Name, "sent", sent, "gone", left, "error", err)
	r.desk.ended(c.id, dispatch.AttemptResult{Sent: sent, Failed: !left, TargetClosed: sent && !left && target.IsConnClosed(err)})
}

// noteCut takes note of an exchange that a target cut.
func (r *Router) noteCut(name string, of dispatch.Request, t fleet.Target, err error) {
	if !target.IsConnClosed(err) {
		return
	}
	r.Log.Warn("cut by the target", "request", name, "account", of.Account, "route", of.Event, "print", of.Fingerprint,
		"target", t.Name, "born", 0, "error", err)
	r.meters.cuts.Inc()
}

// prepare copies the caller's request for the target.
func prepare(req *fasthttp.Request, ctx *fasthttp.RequestCtx, t fleet.Target, name, path string) {
	ctx.Request.Header.CopyTo(&req.Header)
	for _, h := range hopHeaders {
		req.Header.Del(h)
	}
	for _, h := range ownHeaders {
		req.Header.Del(h)
	}
	req.Header.SetRequestURI(path)
	req.Header.SetHost(t.Address)
	req.Header.Set(headerRequest, name)
	req.Header.SetConnectionClose()
	// The body is only read, and not past the handler's end.
	req.SetBodyRaw(ctx.PostBody())
}

func copyHead(ctx *fasthttp.RequestCtx, a *target.Response) {
	h := &ctx.Response.Header
	name := string(h.Peek(headerRequest))
	a.Header.CopyTo(h)
	for _, hop := range hopHeaders {
		h.Del(hop)
	}
	h.Del(fasthttp.HeaderContentLength)
	h.SetNoDefaultContentType(true)
	ctx.SetStatusCode(a.Status)
	h.Set(headerRequest, name)
	h.Set(headerOutcome, string(fleet.OutcomeRan))
}

// tailSize is how much of an answer's end is searched for its token counts.
const tailSize = 2048

// answerBody streams a target's answer to the caller as it comes, and tells
// the scheduler when it is over.
type answerBody struct {
	router *Router
	call   *call
	answer *target.Response
	name   string
	of     dispatch.Request
	target fleet.Target
	start  time.Time
	first  time.Time
	tail   []byte
	failed bool
	cut    bool // by the target
	once   sync.Once
}

// pass hands the body to the HTTP library, which reads it to the end and then
// closes it.
func (b *answerBody) pass(ctx *fasthttp.RequestCtx) {
	if b.answer.Complete() {
		if n := b.answer.Length; ctx.IsHead() && n > 0 {
			ctx.Response.Header.SetContentLength(n)
			ctx.Response.SkipBody = true
		}
		b.end()
		return
	}
	ctx.Response.ImmediateHeaderFlush = b.answer.Length < 0
	ctx.SetBodyStream(b, b.answer.Length)
}

// Read implements io.Reader. An error other than io.EOF makes the library end
// the caller's connection uncleanly, so that a broken answer never looks whole.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.answer.Read(p)
	b.keepTail(p[:n])
	switch {
	case errors.Is(err, io.EOF):
	case err != nil && !b.call.left():
		b.failed, b.cut = true, target.IsConnClosed(err)
		b.router.noteCut(b.name, b.of, b.target, err)
	}
	return n, err
}

// Close implements io.Closer.
func (b *answerBody) Close() error {
	b.end()
	return nil
}

func (b *answerBody) end() {
	b.once.Do(func() {
		b.answer.Close()
		b.router.watch.remove(b.call)
		e := dispatch.AttemptResult{
			Sent: true, ResponseStarted: true, ResponseComplete: b.answer.Complete(),
			Failed: b.failed || b.answer.Status >= fasthttp.StatusInternalServerError,
			Cost:   b.cost(), TimeToFirstByte: b.first.Sub(b.start),
			TargetClosed: b.cut, Succeeded: b.answer.Complete() && b.answer.Status < fasthttp.StatusMultipleChoices,
		}
		b.router.meters.finished(e)
		b.router.Log.Info("end", "request", b.name, "target", b.target.Name, "status", b.answer.Status,
			"whole", e.ResponseComplete, "cost", e.Cost, "first", e.TimeToFirstByte, "took", b.router.Clock.Now().Sub(b.start))
		b.router.desk.ended(b.call.id, e)
	})
}

func (b *answerBody) keepTail(p []byte) {
	if len(p) >= tailSize {
		b.tail = append(b.tail[:0], p[len(p)-tailSize:]...)
		return
	}
	b.tail = append(b.tail, p...)
	if over := len(b.tail) - tailSize; over > 0 {
		b.tail = append(b.tail[:0], b.tail[over:]...)
	}
}

// cost returns the tokens that the answer tells, or else the time that it held
// the slot.
func (b *answerBody) cost() float64 {
	if n, ok := totalTokens(b.tail); ok && b.target.Kind == fleet.TargetEngine {
		return n
	}
	return b.router.Clock.Now().Sub(b.start).Seconds() * unitsPerSecond
}

var tokensField = []byte(`"total_tokens":`)

// totalTokens finds the token count that OpenAI-style answers end with, in the
// body or in the last event of a stream.
func totalTokens(tail []byte) (float64, bool) {
	i := bytes.LastIndex(tail, tokensField)
	if i < 0 {
		return 0, false
	}
	rest := bytes.TrimLeft(tail[i+len(tokensField):], " ")
	end := 0
	for end < len(rest) && rest[end] >= '0' && rest[end] <= '9' {
		end++
	}
	n, err := strconv.ParseUint(string(rest[:end]), 10, 32)
	if err != nil {
		return 0, false
	}
	return float64(n), true
}
