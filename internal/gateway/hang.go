package gateway

import (
	"context"
	"errors"
	"sync/atomic"
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
)

// errHangs says that an attempt was given up for another target.
var errHangs = errors.New("no answer so far: another target is tried")

// sendWatched sends a request to a target. A target that takes a request and never
// answers would cost the caller all its time; where the request may run twice, and
// has an attempt left, it is given up in time for another target. GivenUp says so; the
// retry budget has been asked then.
func (g *Gateway) sendWatched(ctx context.Context, q *request, c *placement.Choice, conn *upstream.Conn) (a *upstream.Answer, givenUp bool, err error) {
	limit, ok := q.hangLimit(g.Clock.Now(), c)
	if !ok {
		a, err = g.pool.Send(ctx, c.Target.Incarnation, conn, g.instruct(q, c), q.until)
		return a, false, err
	}
	var over atomic.Bool
	asked := make(chan struct{})
	timer := time.AfterFunc(limit, func() {
		defer close(asked)
		if g.mayRepeat(q) {
			over.Store(true)
			_ = conn.Close() // the reader sees it
		}
	})
	a, err = g.pool.Send(ctx, c.Target.Incarnation, conn, g.instruct(q, c), q.until)
	if !timer.Stop() {
		<-asked
	}
	if !over.Load() {
		return a, false, err
	}
	if a != nil {
		a.Close()
	}
	return nil, true, errHangs
}

// hangLimit returns how long an attempt may be without an answer, and false if it may
// take all the time there is.
func (q *request) hangLimit(now time.Time, c *placement.Choice) (time.Duration, bool) {
	if !q.route.Repeatable() || q.sent >= q.route.Attempts {
		return 0, false
	}
	left := min(q.until.Sub(now), q.route.Patience()-now.Sub(q.arrived))
	limit := left / hangPart
	return limit, limit > 0 && limit >= hangSlack*c.Wait
}
