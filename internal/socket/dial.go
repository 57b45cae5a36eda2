package socket

import (
	"context"
	"errors"
	"net"
	"time"
)

// maxDialDelay is how long after its timeout an attempt to connect may end before it counts as a sign
// that the process was suspended.
const maxDialDelay = 100 * time.Millisecond

// Dial connects with a dialer that has a timeout. If the process was suspended until the timeout had
// passed, it connects once more: the peer may have answered in time, or was never asked.
func Dial(ctx context.Context, dialer *net.Dialer, network, address string) (net.Conn, error) {
	startedAt := time.Now()
	conn, err := dialer.DialContext(ctx, network, address)
	var netErr net.Error
	suspended := errors.As(err, &netErr) && netErr.Timeout() && time.Since(startedAt) > dialer.Timeout+maxDialDelay
	if !suspended || ctx.Err() != nil {
		return conn, err
	}
	return dialer.DialContext(ctx, network, address)
}
