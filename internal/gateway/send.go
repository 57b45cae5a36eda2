package gateway

import (
	"errors"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/placement"
	"laburnumfall/internal/upstream"
)

// next is what follows an attempt.
type next uint8

const (
	finished  next = iota // the caller has its answer
	elsewhere             // nothing was sent: another target may be tried
	again                 // another target may be tried, within bounds
	granted               // another target is to be tried, and was found within bounds
	over                  // the request may have run and must not run again
)

// outcome is how an attempt ended.
type outcome struct {
	next   next
	reason fleet.Reason
	err    error
	unrun  bool // no target has run it
}

// wholeLimit is the size up to which an answer is read whole before any of it is
// passed on, so that one that breaks off can be asked for again.
const wholeLimit = 256 << 10

// send sends a request to the chosen target and passes its answer on.
func (g *Gateway) send(q *request, c *placement.Choice) outcome {
	ctx := q.r.Context()
	started := g.Clock.Now()
	q.tried = append(q.tried, c.Target.Incarnation)
	conn, err := g.pool.Get(ctx, c.Target.Incarnation, c.Target.Address)
	if err != nil {
		if ctx.Err() != nil {
			g.ended(c, placement.Left)
			return outcome{next: over, reason: fleet.ReasonCallerLeft, err: err}
		}
		g.ended(c, placement.Unreached)
		if errors.Is(err, syscall.ECONNREFUSED) {
			g.noteAbsent(c.Target.Incarnation)
		}
		g.logSend(q, c, started, fleet.AttemptUnreached, err)
		return outcome{next: elsewhere, reason: fleet.ReasonNoConnection, err: err, unrun: true}
	}
	if !g.maySend(c) {
		g.pool.Return(c.Target.Incarnation, conn)
		g.ended(c, placement.Left)
		g.logSend(q, c, started, fleet.AttemptClosed, nil)
		return outcome{next: elsewhere, reason: fleet.ReasonClosed, unrun: true}
	}
	q.sent++
	answer, givenUp, err := g.sendWatched(ctx, q, c, conn)
	if givenUp {
		q.ran = true
		g.ended(c, placement.Failed)
		g.logSend(q, c, started, fleet.AttemptNoAnswer, err)
		return outcome{next: granted, reason: fleet.ReasonNoAnswer, err: err}
	}
	if err != nil {
		return g.failed(q, c, started, err)
	}
	defer answer.Close()
	g.noteCrowd(q, c.Target.Incarnation, answer)
	return g.take(q, c, started, answer)
}

// maySend reports whether a request may still go to the target of its choice: it may have
// taken long to reach it, or this process may have stood still.
func (g *Gateway) maySend(c *placement.Choice) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.placer.Sent(g.Clock.Now(), c)
}

// instruct makes the request for a target of a caller's.
func (g *Gateway) instruct(q *request, c *placement.Choice) upstream.Request {
	h := make(http.Header, len(q.r.Header)+4)
	for name, values := range q.r.Header {
		h[name] = values
	}
	dropHops(h)
	h.Del("Content-Length")
	h.Del("Expect")
	g.Dialect.Instruct(h, Instruction{
		Target: c.Target.ID, ID: q.id, Account: q.account, Left: q.until.Sub(g.Clock.Now()), After: q.after, CopyFrom: c.CopyFrom,
	})
	return upstream.Request{
		Method: q.r.Method, Path: q.r.RequestURI, Host: q.r.Host, Header: h, Body: q.body,
		ID: q.id, IDHeader: g.Dialect.IDHeader(),
	}
}

// failed judges an attempt without an answer: the target may have run it.
func (g *Gateway) failed(q *request, c *placement.Choice, started time.Time, err error) outcome {
	if q.r.Context().Err() != nil {
		g.ended(c, placement.Left)
		g.logSend(q, c, started, fleet.AttemptCallerLeft, err)
		return outcome{next: over, reason: fleet.ReasonCallerLeft, err: err}
	}
	q.ran = true
	g.ended(c, placement.Failed)
	g.logSend(q, c, started, fleet.AttemptNoAnswer, err)
	g.noteCut(q, c, started, err)
	return g.repeat(q, fleet.ReasonNoAnswer, err)
}

// repeat judges a request that may have run.
func (g *Gateway) repeat(q *request, reason fleet.Reason, err error) outcome {
	if q.route.Repeatable() {
		return outcome{next: again, reason: reason, err: err}
	}
	return outcome{next: over, reason: reason, err: err}
}

// take passes an answer on, or judges it.
func (g *Gateway) take(q *request, c *placement.Choice, started time.Time, a *upstream.Answer) outcome {
	const success, failure = 200, 500
	switch {
	case g.Dialect.Unrun(a.Status, a.Header):
		return g.unrun(q, c, started, a)
	case a.Status < 300 && a.Status >= success && !g.Dialect.Signed(a.Header):
		q.ran = true
		g.ended(c, placement.Failed)
		g.logSend(q, c, started, fleet.AttemptUnsigned, nil)
		return g.repeat(q, fleet.ReasonUnsigned, nil)
	case q.begun && !q.streams(a):
		q.ran = true
		g.ended(c, placement.Failed)
		g.logSend(q, c, started, fleet.AttemptFailure, nil, "status", a.Status)
		return g.repeat(q, fleet.ReasonStreamStuck, nil)
	case q.streams(a):
		q.ran = true
		return g.passStream(q, c, started, a)
	}
	q.ran = true
	if a.Status >= failure && q.route.Repeatable() && q.tries() < q.route.Attempts {
		if g.mayRepeat(q) {
			g.ended(c, placement.Failed)
			g.logSend(q, c, started, fleet.AttemptFailure, nil, "status", a.Status)
			return outcome{next: granted, reason: fleet.ReasonFailed}
		}
	}
	return g.passWhole(q, c, started, a)
}

// unrun judges an answer that says that the request was not run.
func (g *Gateway) unrun(q *request, c *placement.Choice, started time.Time, a *upstream.Answer) outcome {
	drain(a)
	if g.Dialect.Moved(a.Status) {
		q.moved++
		g.ended(c, placement.Unreached)
		g.noteAbsent(c.Target.Incarnation)
		g.logSend(q, c, started, fleet.AttemptMoved, nil, "status", a.Status)
		return outcome{next: again, reason: fleet.ReasonMoved, unrun: true}
	}
	g.ended(c, placement.Refused)
	g.logSend(q, c, started, fleet.AttemptUnrun, nil, "status", a.Status)
	return outcome{next: again, reason: fleet.ReasonUnrun, unrun: true}
}

// drain reads the rest of a small answer, so that its connection can be kept.
func drain(a *upstream.Answer) {
	// One that breaks off is not kept.
	_, _ = io.Copy(io.Discard, io.LimitReader(a, wholeLimit))
}

// logSend writes the line of one attempt.
func (g *Gateway) logSend(q *request, c *placement.Choice, started time.Time, result fleet.AttemptEnd, err error, more ...any) {
	now := g.Clock.Now()
	args := []any{
		"request", q.id, "target", c.Target.ID, "born", c.Target.Born, "zone", c.Target.Zone, "pool", c.Target.Pool, "result", result,
		"try", q.sent, "home", c.Home, "copy", c.CopyFrom, "load", c.Load, "queue", c.Queue.Milliseconds(), "unread", c.Unread, "predicted", c.Wait.Milliseconds(),
		"first", c.First.Milliseconds(), "took", now.Sub(started).Milliseconds(), "left", q.until.Sub(now).Milliseconds(),
	}
	if err != nil {
		args = append(args, "error", err)
	}
	level := hclog.Info
	if result != fleet.AttemptAnswered {
		level = hclog.Warn
	}
	g.Log.Log(level, "send", append(args, more...)...)
	g.Meters.sends.WithLabelValues(string(result)).Inc()
}
