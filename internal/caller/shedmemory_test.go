package caller

import (
	"net"
	"runtime"
	"runtime/debug"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against running out of memory while thousands of callers per second are shed. Reading into
// a buffer on the stack grew each goroutine's stack to twice the buffer's size, and stacks are
// freed only by garbage collection, which is slow when the processor is saturated.
func TestSheddingUsesLittleMemory(t *testing.T) {
	const callers = 200
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, listener.Close()) })
	serverConns := make([]net.Conn, 0, callers)
	for range callers {
		conn, err := net.Dial("tcp", listener.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() }) // it may have been reset
		_, err = conn.Write(make([]byte, shedLingerBytes/4))
		require.NoError(t, err)
		accepted, err := listener.Accept()
		require.NoError(t, err)
		serverConns = append(serverConns, accepted)
	}
	gcPercent := debug.SetGCPercent(-1) // garbage collection would shrink the stacks
	defer debug.SetGCPercent(gcPercent)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	var drained, measured sync.WaitGroup
	drained.Add(callers)
	measured.Add(1)
	for _, conn := range serverConns {
		go func() {
			drainAndClose(conn)
			drained.Done()
			measured.Wait()
		}()
	}
	drained.Wait()
	runtime.ReadMemStats(&after)
	measured.Done()
	// The difference may be negative, since stacks of goroutines that ended earlier may be freed
	// meanwhile.
	usedBytes := int64(after.StackInuse+after.TotalAlloc) - int64(before.StackInuse+before.TotalAlloc)
	require.Less(t, usedBytes, int64(callers*shedLingerBytes))
}
