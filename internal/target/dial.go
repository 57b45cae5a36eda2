package target

import (
	"context"
	"errors"
	"net"
	"time"
)

const (
	// maxTimerDelay is how late a timeout may be noticed before it counts as a sign that this process
	// was stalled.
	maxTimerDelay = 100 * time.Millisecond
	// redialTimeout limits the dial after a stall. A target that runs accepts within some milliseconds,
	// and one that does not run must not cost much more than one timeout.
	redialTimeout = 100 * time.Millisecond
)

// Dial opens a connection. If the dial times out because this process was stalled, which says nothing
// about the target, it dials once more for a short time.
func Dial(ctx context.Context, dialer *net.Dialer, network, address string) (net.Conn, error) {
	deadline := time.Now().Add(dialer.Timeout)
	conn, err := dialer.DialContext(ctx, network, address)
	var netErr net.Error
	timedOut := errors.As(err, &netErr) && netErr.Timeout()
	if !timedOut || ctx.Err() != nil || time.Since(deadline) < maxTimerDelay {
		return conn, err
	}
	redialer := *dialer
	redialer.Timeout = min(dialer.Timeout, redialTimeout)
	return redialer.DialContext(ctx, network, address)
}
