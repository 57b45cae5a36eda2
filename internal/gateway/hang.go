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
	// hangDivisor is the part of the time that a request has left, as a divisor, after
	// which an attempt without any answer is given up if another target may be tried:
	// the other attempt has as long.
	hangDivisor = 2
	// hangPredictionFactor is how many times as long as predicted an answer may take before that.
	// Within it, the target is slow, and the request would only run twice.
	hangPredictionFactor = 4
	// maxTimerDelay is how late a timer may fire in a process that runs.
	maxTimerDelay = 100 * time.Millisecond
)

// errAttemptAbandoned says that an attempt was given up for another target.
var errAttemptAbandoned = errors.New("no answer so far: another target is tried")

// sendWithWatchdog sends a request to a target. A target that takes a request and never
// answers would cost the caller all its time; where the request may run twice, and
// has an attempt left, it is given up in time for another target. GivenUp says so; the
// retry budget has been asked then.
func (g *Gateway) sendWithWatchdog(ctx context.Context, q *request, c *placement.Choice, conn *upstream.Conn) (a *upstream.Answer, givenUp bool, err error) {
	w := &hangWatchdog{gateway: g, request: q, choice: c, conn: conn}
	w.start()
	a, err = g.pool.Send(ctx, c.Target.Incarnation, conn, g.targetRequest(q, c), q.deadline)
	if !w.stop() {
		return a, false, err
	}
	if a != nil {
		a.Close()
	}
	return nil, true, errAttemptAbandoned
}

// A hangWatch ends an attempt whose target gives no answer for too long.
type hangWatchdog struct {
	gateway *Gateway
	request *request
	choice  *placement.Choice
	conn    *upstream.Conn

	mu           sync.Mutex
	dueAt        time.Time // when the target counts as hanging
	timer        *time.Timer
	attemptEnded bool // the attempt has
	abandoned    bool
}

func (w *hangWatchdog) start() {
	now := w.gateway.Clock.Now()
	limit, ok := w.request.hangTimeout(now, w.choice)
	if !ok {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dueAt = now.Add(limit)
	w.timer = time.AfterFunc(limit, w.fire)
}

// fire gives the attempt up, unless an answer has begun to arrive. A timer that fires late
// tells of a standstill of this process, not of the target: that gets its time anew.
func (w *hangWatchdog) fire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.gateway.Clock.Now()
	if w.attemptEnded || !now.Before(w.request.deadline) || !w.conn.Quiet() {
		return
	}
	if now.Sub(w.dueAt) > maxTimerDelay {
		if limit, ok := w.request.hangTimeout(now, w.choice); ok {
			w.dueAt = now.Add(limit)
			w.timer.Reset(limit)
		}
		return
	}
	if w.gateway.allowRetry(w.request) {
		w.abandoned = true
		_ = w.conn.Close() // the reader sees it
	}
}

// stop stops the watch and reports whether the attempt was given up.
func (w *hangWatchdog) stop() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.attemptEnded = true
	if w.timer != nil {
		w.timer.Stop()
	}
	return w.abandoned
}

// hangTimeout returns how long an attempt may be without an answer, and false if it may
// take all the time there is.
func (q *request) hangTimeout(now time.Time, c *placement.Choice) (time.Duration, bool) {
	if !q.route.Repeatable() || q.possibleRuns() >= q.route.MaxAttempts {
		return 0, false
	}
	left := min(q.deadline.Sub(now), q.route.AbandonAfter()-now.Sub(q.arrivedAt))
	limit := left / hangDivisor
	return limit, limit > 0 && limit >= hangPredictionFactor*c.PredictedTTFB
}
