package target_test

import (
	"net"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/target"
)

// Guards against terminations that are not recorded, and against live targets recorded as
// terminated. After a connection closes, a process that terminates, one that closed only the
// connection, and one that terminates right after accepting another connection look alike.
func TestProbeDetectsTermination(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	accepted := make(chan net.Conn, 1)
	go func() {
		if conn, err := listener.Accept(); err == nil {
			accepted <- conn
		}
	}()
	require.Equal(t, target.Alive, target.Probe(address))
	require.NoError(t, (<-accepted).Close())
	go func() {
		conn, err := listener.Accept()
		_ = listener.Close() // the process terminates after it has accepted a connection
		if err == nil {
			_ = conn.Close()
		}
	}()
	require.Equal(t, target.Terminated, target.Probe(address))
	require.Equal(t, target.Terminated, target.Probe(address), "no process listens")
}

// Guards against a target that terminates during the probe and is not found to be terminated. Its
// port resets or drops one connection and refuses the next.
func TestProbeDuringTermination(t *testing.T) {
	const rounds = 200
	for i := range rounds {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		require.NoError(t, err)
		closed := make(chan error, 1)
		go func() {
			for range i % 50 {
				runtime.Gosched()
			}
			closed <- listener.Close()
		}()
		require.Equal(t, target.Terminated, target.Probe(listener.Addr().String()))
		require.NoError(t, <-closed)
	}
}
