package caller

import (
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/standin"
)

// connectCaller returns both ends of a connection of a caller.
func connectCaller(t *testing.T) (conn *Conn, caller net.Conn) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }() // it is not used any more
	caller, err = net.Dial("tcp4", listener.Addr().String())
	require.NoError(t, err)
	accepted, err := listener.Accept()
	require.NoError(t, err)
	conn, ok := wrapConn(accepted).(*Conn)
	require.True(t, ok)
	t.Cleanup(func() {
		_ = caller.Close()
		_ = conn.Close()
	})
	return conn, caller
}

// Guards against a response that is dropped because its write deadline passed while the process was
// suspended, after the deadline was checked and before the write.
func TestWritesAfterDeadlineThatPassedInStall(t *testing.T) {
	conn, caller := connectCaller(t)
	require.NoError(t, conn.SetWriteDeadline(time.Now().Add(-time.Second)))
	for range 2 {
		n, err := conn.Write([]byte("ready"))
		require.NoError(t, err)
		require.Equal(t, 5, n)
	}
	received := make([]byte, 10)
	_, err := caller.Read(received)
	require.NoError(t, err)
}

// Guards against a large response that is dropped for the same reason. net/http copies it by ReadFrom
// if the connection has it, which leads past Write.
func TestCopiesAfterDeadline(t *testing.T) {
	conn, caller := connectCaller(t)
	require.NoError(t, conn.SetWriteDeadline(time.Now().Add(-time.Second)))
	n, err := io.Copy(conn, io.LimitReader(strings.NewReader("ready"), 5))
	require.NoError(t, err)
	require.EqualValues(t, 5, n)
	_, err = io.ReadFull(caller, make([]byte, 5))
	require.NoError(t, err)
}

// Guards against a caller that does not read and occupies a target for longer than its deadline and
// the grace time.
func TestWriteToStuckCallerEnds(t *testing.T) {
	conn, _ := connectCaller(t)
	require.NoError(t, conn.SetWriteDeadline(time.Now().Add(50*time.Millisecond)))
	_, err := conn.Write(make([]byte, 64<<20))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
}

// Guards against a response that the caller of a refused request never sees, because closing a
// connection with unread bytes resets it.
func TestCallerReadsResponseToRefusedRequest(t *testing.T) {
	conn, caller := connectCaller(t)
	_, err := io.WriteString(caller, strings.Repeat("x", 40<<10))
	require.NoError(t, err)
	require.NoError(t, standin.AwaitReceived(caller))
	_, err = conn.Write([]byte("refused"))
	require.NoError(t, err)
	conn.LingerOnClose()
	require.NoError(t, conn.Close())
	require.NoError(t, caller.SetReadDeadline(time.Now().Add(10*time.Second)))
	response, err := io.ReadAll(caller)
	require.NoError(t, err)
	require.Equal(t, "refused", string(response))
	_, err = io.WriteString(caller, "the rest")
	require.NoError(t, err, "the rest of the request is read")
}
