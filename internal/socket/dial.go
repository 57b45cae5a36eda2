package socket

import (
	"context"
	"errors"
	"net"
	"time"
)

const (
	// maxDialDelay is how long after its timeout an attempt to connect may end before it counts as a
	// sign that the process was suspended.
	maxDialDelay = 100 * time.Millisecond
	// redialTimeout limits the second attempt. A peer that runs accepts within some milliseconds, and
	// one that does not run must not cost much more than one timeout.
	redialTimeout = 100 * time.Millisecond
)

// Dial connects with a dialer that has a timeout. If the process was suspended until the timeout had
// passed, it connects once more, for a short time: the peer may have answered in time, or was never asked.
func Dial(ctx context.Context, dialer *net.Dialer, network, address string) (net.Conn, error) {
	startedAt := time.Now()
	conn, err := dialer.DialContext(ctx, network, address)
	var netErr net.Error
	suspended := errors.As(err, &netErr) && netErr.Timeout() && time.Since(startedAt) > dialer.Timeout+maxDialDelay
	if !suspended || ctx.Err() != nil {
		return conn, err
	}
	redialer := *dialer
	redialer.Timeout = min(dialer.Timeout, redialTimeout)
	return redialer.DialContext(ctx, network, address)
}
