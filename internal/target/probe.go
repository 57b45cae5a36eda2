package target

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"laburnumfall/internal/socket"
)

// A ProbeResult is the state of a target found by Probe.
type ProbeResult string

// The results of a probe.
const (
	Unknown    ProbeResult = "unknown" // no response: the target may be unreachable or its VM may not exist any more
	Alive      ProbeResult = "here"
	Terminated ProbeResult = "ended"
)

const (
	// probeTimeout limits a probe. A VM whose process has ended refuses a connection within one
	// round trip.
	probeTimeout = 500 * time.Millisecond
	// probeDialTimeout limits one connection attempt. A process that terminates during the
	// attempt may leave it unanswered.
	probeDialTimeout = 100 * time.Millisecond
	// probeHold is how long a connection must stay open, because a terminating process may still
	// accept one.
	probeHold = 50 * time.Millisecond
	// ProbeSlack is how long before the end of a probe a live target was certainly alive. The
	// closing of one connection may be noticed that much earlier than that of another.
	ProbeSlack = 10 * time.Millisecond
)

// Probe determines whether a target that closed a connection has terminated or only closed that
// connection. A port without a listener refuses a connection. A live process keeps a connection
// open and accepts a second one; a single connection is no proof, because one accepted by a
// terminating process may look open. Probe must run before a terminated target could have
// restarted.
func Probe(address string) ProbeResult {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	stayedOpen := false
	for {
		conn, err := (&net.Dialer{KeepAlive: -1, Timeout: probeDialTimeout}).DialContext(ctx, "tcp4", address)
		if err != nil {
			if ctx.Err() == nil && mayBeTerminating(err) {
				continue
			}
			return resultOfDialError(err)
		}
		if stayedOpen {
			_ = conn.Close() // nothing was sent
			return Alive
		}
		time.Sleep(probeHold)
		stayedOpen = socket.IsIdle(conn)
		_ = conn.Close() // nothing was sent
	}
}

// mayBeTerminating reports whether a connection attempt may have failed because the process
// terminated at that moment: it was reset, or dropped without a response.
func mayBeTerminating(err error) bool {
	var netErr net.Error
	return errors.Is(err, syscall.ECONNRESET) || errors.As(err, &netErr) && netErr.Timeout()
}

// resultOfDialError classifies a failed connection attempt. If nothing responds, the platform's
// list of targets must decide.
func resultOfDialError(err error) ProbeResult {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return Terminated
	}
	return Unknown
}
