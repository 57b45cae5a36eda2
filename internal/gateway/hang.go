package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"laburnumfall/internal/placement"
	"laburnumfall/internal/upstream"
)

const (
	// hangPart is the part of the time that a request has left, as a divisor, after
	// which an attempt without any answer is given up if another target may be tried:
	// the other attempt has as long.
	hangPart = 2
	// hangSlack is how many times as long as predicted an answer may take before that.
	// Within it, the target is slow, and the request would only run twice.
	hangSlack = 4
	// hangLate is how late a timer may fire in a process that runs.
	hangLate = 100 * time.Millisecond
)

// errHangs says that an attempt was given up for another target.
var errHangs = errors.New("no answer so far: another target is tried")

// sendWatched sends a request to a target. A target that takes a request and never
// answers would cost the caller all its time; where the request may run twice, and
// has an attempt left, it is given up in time for another target. GivenUp says so; the
// retry budget has been asked then.
func (g *Gateway) sendWatched(ctx context.Context, q *request, c *placement.Choice, conn *upstream.Conn) (a *upstream.Answer, givenUp bool, err error) {
	w := &hangWatch{gateway: g, request: q, choice: c, conn: conn}
	w.start()
	a, err = g.pool.Send(ctx, c.Target.Incarnation, conn, g.instruct(q, c), q.until)
	if !w.end() {
		return a, false, err
	}
	if a != nil {
		a.Close()
	}
	return nil, true, errHangs
}

// A hangWatch ends an attempt whose target gives no answer for too long.
type hangWatch struct {
	gateway *Gateway
	request *request
	choice  *placement.Choice
	conn    *upstream.Conn

	mu      sync.Mutex
	due     time.Time // when the target counts as hanging
	timer   *time.Timer
	ended   bool // the attempt has
	givenUp bool
}

func (w *hangWatch) start() {
	now := w.gateway.Clock.Now()
	limit, ok := w.request.hangLimit(now, w.choice)
	if !ok {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.due = now.Add(limit)
	w.timer = time.AfterFunc(limit, w.fire)
}

// fire gives the attempt up, unless an answer has begun to arrive. A timer that fires late
// tells of a standstill of this process, not of the target: that gets its time anew.
func (w *hangWatch) fire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.gateway.Clock.Now()
	if w.ended || !now.Before(w.request.until) || !w.conn.Quiet() {
		return
	}
	if now.Sub(w.due) > hangLate {
		if limit, ok := w.request.hangLimit(now, w.choice); ok {
			w.due = now.Add(limit)
			w.timer.Reset(limit)
		}
		return
	}
	if w.gateway.mayRepeat(w.request) {
		w.givenUp = true
		_ = w.conn.Close() // the reader sees it
	}
}

// end stops the watch and reports whether the attempt was given up.
func (w *hangWatch) end() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	if w.timer != nil {
		w.timer.Stop()
	}
	return w.givenUp
}

// hangLimit returns how long an attempt may be without an answer, and false if it may
// take all the time there is.
func (q *request) hangLimit(now time.Time, c *placement.Choice) (time.Duration, bool) {
	if !q.route.Repeatable() || q.tries() >= q.route.MaxAttempts {
		return 0, false
	}
	left := min(q.until.Sub(now), q.route.AbandonAfter()-now.Sub(q.arrived))
	limit := left / hangPart
	return limit, limit > 0 && limit >= hangSlack*c.PredictedTTFB
}
