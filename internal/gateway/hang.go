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
	// hangDivisor is the fraction of a request's remaining time after which an attempt without any
	// response is abandoned if the request may be retried. With 2, the retry has as much time as
	// the first attempt had.
	hangDivisor = 2
	// hangPredictionFactor bounds this time from below: an attempt is abandoned only if the time is
	// at least this multiple of the predicted time to first byte. Otherwise the target may only be
	// slow, and the request would run twice without need.
	hangPredictionFactor = 4
	// maxTimerDelay is how late a timer may fire before it counts as a sign that the process was
	// suspended.
	maxTimerDelay = 100 * time.Millisecond
)

// errAttemptAbandoned reports that an attempt was abandoned in favor of a retry.
var errAttemptAbandoned = errors.New("no response in time, retrying at another target")

// sendWithWatchdog sends a request to a target and returns its response. A target that accepts a
// request and never answers would use up all the caller's time. If the request may be retried, the
// attempt is therefore abandoned early enough for another target; abandoned is then true, and the
// retry budget has been charged.
func (g *Gateway) sendWithWatchdog(ctx context.Context, req *request, choice *placement.Choice, conn *upstream.Conn) (response *upstream.Response, abandoned bool, err error) {
	watchdog := &hangWatchdog{gateway: g, request: req, choice: choice, conn: conn}
	watchdog.start()
	response, err = g.connPool.Send(ctx, choice.Target.Incarnation, conn, g.targetRequest(req, choice), req.deadline)
	if response != nil {
		g.recordSignal(req, choice, response)
	}
	if !watchdog.stop() {
		return response, false, err
	}
	if response != nil {
		response.Close()
	}
	return nil, true, errAttemptAbandoned
}

// A hangWatchdog abandons an attempt whose target does not begin to respond in time.
type hangWatchdog struct {
	gateway *Gateway
	request *request
	choice  *placement.Choice
	conn    *upstream.Conn

	mu           sync.Mutex
	dueAt        time.Time // when the attempt is abandoned
	timer        *time.Timer
	attemptEnded bool
	abandoned    bool
}

func (w *hangWatchdog) start() {
	now := w.gateway.Clock.Now()
	timeout, ok := w.request.hangTimeout(now, w.choice)
	if !ok {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dueAt = now.Add(timeout)
	w.timer = time.AfterFunc(timeout, w.fire)
}

// fire abandons the attempt unless a response has begun to arrive. If the timer fires late, the
// process was suspended and the target is not to blame, so the timer starts again.
func (w *hangWatchdog) fire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.gateway.Clock.Now()
	if w.attemptEnded || !now.Before(w.request.deadline) || !w.conn.SocketIdle() {
		return
	}
	if now.Sub(w.dueAt) > maxTimerDelay {
		if timeout, ok := w.request.hangTimeout(now, w.choice); ok {
			w.dueAt = now.Add(timeout)
			w.timer.Reset(timeout)
		}
		return
	}
	if w.gateway.allowRetry(w.request) {
		w.abandoned = true
		_ = w.conn.Close() // the reader gets an error
	}
}

// stop stops the watchdog and reports whether the attempt was abandoned.
func (w *hangWatchdog) stop() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.attemptEnded = true
	if w.timer != nil {
		w.timer.Stop()
	}
	return w.abandoned
}

// hangTimeout returns how long an attempt may take without a response, and false if it is not
// limited.
func (req *request) hangTimeout(now time.Time, choice *placement.Choice) (time.Duration, bool) {
	if !req.route.Repeatable() || req.possibleRuns() >= req.route.MaxAttempts {
		return 0, false
	}
	timeLeft := min(req.deadline.Sub(now), req.route.AbandonAfter()-now.Sub(req.arrivedAt))
	timeout := timeLeft / hangDivisor
	return timeout, timeout > 0 && timeout >= hangPredictionFactor*choice.PredictedTTFB
}
