package gateway

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/target"
)

// Symptom: a request that a router has begun to read ends without an answer.
// Sequence: its head comes in parts on a kept connection; meanwhile the router makes
// room for new callers.
// Cause: a connection counts as idle until the library has read a whole head.
func TestARequestThatIsBeingReadIsNotClosed(t *testing.T) {
	c, address := startCallers(t, 1000, noLimits, answerNothing)
	kept := dialCaller(t, address)
	require.NoError(t, ask(kept))
	require.Eventually(t, func() bool { return !touchedAny(c) }, 5*time.Second, time.Millisecond)
	_, err := io.WriteString(kept, "GET / HTTP/1.1\r\nHost: h\r\n")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return touchedAny(c) }, 5*time.Second, time.Millisecond)
	c.evictIdle(1)
	_, err = io.WriteString(kept, "\r\n")
	require.NoError(t, err)
	requireAnswer(t, kept)
}

// Symptom: a request is reset though its router lives.
// Sequence: it has come on a kept connection and is not read yet, since the router has
// other work; the router makes room for new callers.
// Cause: only what the library has read tells whether a connection is idle.
func TestARequestThatHasComeUnreadIsNotClosed(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }() // the test is over
	kept := dialCaller(t, l.Addr().String())
	conn, err := l.Accept()
	require.NoError(t, err)
	conn = trackReads(conn)
	c := &connManager{conns: map[net.Conn]*connInfo{conn: {idleSince: time.Now()}}}
	_, err = io.WriteString(kept, "GET / HTTP/1.1\r\n")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return !target.Quiet(conn) }, 5*time.Second, time.Millisecond)
	require.Nil(t, c.removeOldestIdle(), "its request is waited for")
}

func touchedAny(c *connManager) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.conns {
		if requestStarted(conn) {
			return true
		}
	}
	return false
}
