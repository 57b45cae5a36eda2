package target_test

import (
	"net"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/target"
)

// Symptom: targets that end under a request are not counted, or such that live are.
// Sequence: a connection closes; its target is looked for.
// Cause: a process that ends, one that closes a connection, and one that ends a moment after
// it took one look alike at first.
func TestATargetIsLookedFor(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	accepted := make(chan net.Conn, 1)
	go func() {
		if c, err := l.Accept(); err == nil {
			accepted <- c
		}
	}()
	require.Equal(t, target.Alive, target.Probe(address))
	require.NoError(t, (<-accepted).Close())
	go func() {
		c, err := l.Accept()
		_ = l.Close() // the process ends while it has taken a connection
		if err == nil {
			_ = c.Close()
		}
	}()
	require.Equal(t, target.Terminated, target.Probe(address))
	require.Equal(t, target.Terminated, target.Probe(address), "nobody listens")
}

// A target that ends in the very moment in which it is looked for is found to have ended: its
// port resets or drops a connection then, and refuses the next.
func TestATargetThatEndsWhileItIsLookedForHasEnded(t *testing.T) {
	const times = 200
	for i := range times {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		require.NoError(t, err)
		closed := make(chan error, 1)
		go func() {
			for range i % 50 {
				runtime.Gosched()
			}
			closed <- l.Close()
		}()
		require.Equal(t, target.Terminated, target.Probe(l.Addr().String()))
		require.NoError(t, <-closed)
	}
}
