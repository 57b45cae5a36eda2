package gateway

import (
	"net"
	"runtime"
	"runtime/debug"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// Symptom: a router is ended for want of memory, and its requests get no answer.
// Sequence: its processor is used up, and thousands of callers a second are shed, while
// the runtime collects garbage slowly and gives no stack back meanwhile.
// Cause: the unread request of each was read onto its goroutine's stack, which grew to
// twice the buffer's size for that.
func TestShedCallersNeedLittleMemory(t *testing.T) {
	const callers = 200
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, l.Close()) })
	taken := make([]net.Conn, 0, callers)
	for range callers {
		conn, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() }) // it may have been reset
		_, err = conn.Write(make([]byte, lingerBytes/4))
		require.NoError(t, err)
		in, err := l.Accept()
		require.NoError(t, err)
		taken = append(taken, in)
	}
	growth := debug.SetGCPercent(-1) // a collection would shrink the stacks
	defer debug.SetGCPercent(growth)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	var finished, seen sync.WaitGroup
	finished.Add(callers)
	seen.Add(1)
	for _, conn := range taken {
		go func() {
			drainAndClose(conn)
			finished.Done()
			seen.Wait()
		}()
	}
	finished.Wait()
	runtime.ReadMemStats(&after)
	seen.Done()
	// Stacks of goroutines that had ended before may be given back meanwhile, more than
	// these take: the difference has a sign.
	used := int64(after.StackInuse+after.TotalAlloc) - int64(before.StackInuse+before.TotalAlloc)
	require.Less(t, used, int64(callers*lingerBytes))
}
