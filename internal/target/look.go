package target

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// A ProbeResult is what looking for a target has shown.
type ProbeResult string

// The presences.
const (
	Unknown    ProbeResult = "unknown" // nobody answers: it may be cut off, or its VM gone
	Alive      ProbeResult = "here"
	Terminated ProbeResult = "ended"
)

const (
	// lookTime bounds the looking; a VM whose process ended refuses within a round trip.
	lookTime = 500 * time.Millisecond
	// dialTime bounds one try: a process that ends while it is asked may leave it unanswered.
	dialTime = 100 * time.Millisecond
	// lookHold is how long a connection must hold: a process that ends may still take one.
	lookHold = 50 * time.Millisecond
	// ProbeSlack is how long before the end of a look a target that is here was here for
	// certain: the closing of one connection may be seen that much before another's.
	ProbeSlack = 10 * time.Millisecond
)

// Probe finds out whether a target that cut an exchange has ended or only closed a connection.
// A port where nobody listens refuses; one whose process lives lets a connection stand, and
// takes another one after it: what a process took while it ended may look open and lead nowhere.
// It must be asked within the time in which a target that ended cannot be back.
func Probe(address string) ProbeResult {
	ctx, cancel := context.WithTimeout(context.Background(), lookTime)
	defer cancel()
	stood := false
	for {
		conn, err := (&net.Dialer{KeepAlive: -1, Timeout: dialTime}).DialContext(ctx, "tcp4", address)
		if err != nil {
			if ctx.Err() == nil && endingOf(err) {
				continue
			}
			return presenceOf(err)
		}
		if stood {
			_ = conn.Close() // nothing was sent
			return Alive
		}
		time.Sleep(lookHold)
		stood = IsIdle(conn)
		_ = conn.Close() // nothing was sent
	}
}

// endingOf reports whether a connection may have failed because its process ended just then:
// it was reset, or dropped without a word.
func endingOf(err error) bool {
	var failed net.Error
	return errors.Is(err, syscall.ECONNRESET) || errors.As(err, &failed) && failed.Timeout()
}

// presenceOf judges a connection that was not made. Where nobody answers, the platform's list
// of targets has to tell.
func presenceOf(err error) ProbeResult {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return Terminated
	}
	return Unknown
}
