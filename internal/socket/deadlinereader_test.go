package socket_test

import (
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"laburnumfall/internal/socket"
)

// Guards against the loss of bytes that arrived before the passed deadline was noticed.
func TestReadsArrivedBytesAfterDeadline(t *testing.T) {
	long := strings.Repeat("x", 40<<10)
	for name, tt := range map[string]struct {
		sent   string
		closed bool
		err    error
	}{
		"nothing":               {err: os.ErrDeadlineExceeded},
		"partial data":          {sent: "part", err: os.ErrDeadlineExceeded},
		"complete, then closed": {sent: "whole", closed: true},
		"more than a block":     {sent: long, err: os.ErrDeadlineExceeded},
		"only closed":           {closed: true},
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			require.NoError(t, err)
			defer func() { require.NoError(t, listener.Close()) }()
			localConn, err := net.Dial("tcp4", listener.Addr().String())
			require.NoError(t, err)
			defer func() { _ = localConn.Close() }() // only read from
			remoteConn, err := listener.Accept()
			require.NoError(t, err)
			defer func() { _ = remoteConn.Close() }() // may be closed already
			_, err = io.WriteString(remoteConn, tt.sent)
			require.NoError(t, err)
			if tt.closed {
				require.NoError(t, remoteConn.Close())
			}
			require.Eventually(t, func() bool { return unreadBytes(t, localConn) == len(tt.sent) }, time.Second, time.Millisecond)
			require.Eventually(t, func() bool { return !tt.closed || tt.sent != "" || socket.PeerClosed(localConn) }, time.Second, time.Millisecond)

			require.NoError(t, localConn.SetDeadline(time.Now().Add(-time.Second)))
			reader := &socket.DeadlineReader{Conn: localConn}
			got, err := io.ReadAll(reader)
			require.ErrorIs(t, err, tt.err)
			require.Equal(t, tt.sent, string(got))
			require.True(t, reader.DeadlineExceeded())
		})
	}
}

// Guards against a sender without pause that is read for as long as it sends.
func TestReadsLimitedBytesAfterDeadline(t *testing.T) {
	localConn, remoteConn := connect(t)
	_, err := io.WriteString(remoteConn, strings.Repeat("x", 40))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return unreadBytes(t, localConn) == 40 }, time.Second, time.Millisecond)
	require.NoError(t, localConn.SetDeadline(time.Now().Add(-time.Second)))
	got, err := io.ReadAll(&socket.DeadlineReader{Conn: localConn, MaxLate: 30})
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	require.Len(t, got, 30)
}

// Guards against a message that is given up because it is larger than the socket's buffers: its
// sender could not send the rest before a part of it was read.
func TestWaitsForRestOfLargeMessage(t *testing.T) {
	localConn, remoteConn := connect(t)
	message := make([]byte, 32<<20)
	sent := make(chan error, 1)
	go func() {
		_, err := remoteConn.Write(message)
		sent <- err
	}()
	require.Eventually(t, func() bool { return unreadBytes(t, localConn) > 0 }, 10*time.Second, time.Millisecond)
	require.NoError(t, localConn.SetDeadline(time.Now().Add(-time.Second)))
	reader := &socket.DeadlineReader{Conn: localConn, MaxLateWait: 10 * time.Second}
	_, err := io.ReadFull(reader, make([]byte, len(message)))
	require.NoError(t, err)
	require.NoError(t, <-sent)
}

// Guards against the same loss if the runtime notices the bytes before it notices the deadline.
func TestWaitsForRestAfterLateRead(t *testing.T) {
	localConn, remoteConn := connect(t)
	reader := &socket.DeadlineReader{Conn: localConn, MaxLateWait: 10 * time.Second}
	reader.Reset(time.Now().Add(-time.Second))
	_, err := io.WriteString(remoteConn, "part")
	require.NoError(t, err)
	_, err = io.ReadFull(reader, make([]byte, 4)) // the connection's own deadline has not passed
	require.NoError(t, err)
	time.AfterFunc(10*time.Millisecond, func() { _, _ = io.WriteString(remoteConn, "rest") }) // the read fails without it
	_, err = io.ReadFull(reader, make([]byte, 4))
	require.NoError(t, err)
}

// Guards against a wait for a silent sender, or one that goes on for longer than its limit.
func TestWaitAfterDeadlineIsLimited(t *testing.T) {
	localConn, remoteConn := connect(t)
	require.NoError(t, localConn.SetDeadline(time.Now().Add(-time.Second)))
	_, err := (&socket.DeadlineReader{Conn: localConn, MaxLateWait: time.Hour}).Read(make([]byte, 1))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded, "nothing has arrived")
	_, err = io.WriteString(remoteConn, "part")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return unreadBytes(t, localConn) == 4 }, time.Second, time.Millisecond)
	got, err := io.ReadAll(&socket.DeadlineReader{Conn: localConn, MaxLateWait: 50 * time.Millisecond})
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	require.Equal(t, "part", string(got))
}

// Guards against a wait after the deadline that nothing can interrupt.
func TestInterruptsWait(t *testing.T) {
	localConn, remoteConn := connect(t)
	require.NoError(t, localConn.SetDeadline(time.Now().Add(-time.Second)))
	_, err := io.WriteString(remoteConn, "part")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return unreadBytes(t, localConn) == 4 }, time.Second, time.Millisecond)
	reader := &socket.DeadlineReader{Conn: localConn, MaxLateWait: time.Hour}
	_, err = reader.Read(make([]byte, 4))
	require.NoError(t, err)
	failed := make(chan error, 1)
	go func() {
		_, err := reader.Read(make([]byte, 4))
		failed <- err
	}()
	require.NoError(t, reader.Interrupt(time.Unix(1, 0)))
	require.ErrorIs(t, <-failed, os.ErrDeadlineExceeded)
}

// Guards against the rest of a line that is taken for a line of its own. A bufio.Reader drops the
// error of a Read that ends in the middle of a line, so later ones must fail too.
func TestFailsUntilReset(t *testing.T) {
	localConn, remoteConn := connect(t)
	reader := &socket.DeadlineReader{Conn: localConn}
	require.NoError(t, localConn.SetDeadline(time.Now().Add(-time.Second)))
	_, err := reader.Read(make([]byte, 4))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	_, err = io.WriteString(remoteConn, "rest")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return unreadBytes(t, localConn) == 4 }, time.Second, time.Millisecond)
	_, err = reader.Read(make([]byte, 4))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	reader.Reset(time.Time{})
	n, err := reader.Read(make([]byte, 4))
	require.NoError(t, err)
	require.Equal(t, 4, n)
}

// Guards against writes that wait, and against bytes that are counted but not sent.
func TestWritesWhatFits(t *testing.T) {
	localConn, remoteConn := connect(t)
	require.NoError(t, localConn.SetDeadline(time.Now().Add(-time.Second)))
	written, err := socket.WriteAvailable(localConn, make([]byte, 64<<20))
	require.ErrorIs(t, err, socket.ErrWouldBlock)
	require.Positive(t, written)
	require.NoError(t, localConn.Close())
	received, err := io.Copy(io.Discard, remoteConn)
	require.NoError(t, err)
	require.EqualValues(t, written, received)
	_, err = socket.WriteAvailable(localConn, []byte("x"))
	require.ErrorIs(t, err, net.ErrClosed)
}

// connect returns both ends of a TCP connection.
func connect(t *testing.T) (localConn, remoteConn net.Conn) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, listener.Close()) }()
	localConn, err = net.Dial("tcp4", listener.Addr().String())
	require.NoError(t, err)
	remoteConn, err = listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() {
		_ = localConn.Close()  // may be closed already
		_ = remoteConn.Close() // may be closed already
	})
	return localConn, remoteConn
}

// unreadBytes returns how many bytes have arrived on a connection and are unread.
func unreadBytes(t *testing.T, conn net.Conn) int {
	tcpConn, ok := conn.(*net.TCPConn)
	require.True(t, ok)
	rawConn, err := tcpConn.SyscallConn()
	require.NoError(t, err)
	n := 0
	require.NoError(t, rawConn.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.TIOCINQ) }))
	require.NoError(t, err)
	return n
}

// Guards against a stream without end that is still read after its deadline.
func TestDoesNotWaitAfterDeadline(t *testing.T) {
	localConn, remoteConn := net.Pipe()
	defer func() { _ = remoteConn.Close() }() // nothing was sent
	require.NoError(t, localConn.SetDeadline(time.Now().Add(-time.Second)))
	_, err := (&socket.DeadlineReader{Conn: localConn}).Read(make([]byte, 1))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
}

// Guards against a Read that fails though the deadline that it exceeded has been replaced meanwhile, as
// net/http's background read of a request whose body was read late.
func TestResetDuringWaitAfterDeadline(t *testing.T) {
	localConn, remoteConn := connect(t)
	tcpConn, ok := localConn.(*net.TCPConn)
	require.True(t, ok)
	_, err := io.WriteString(remoteConn, "part")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return unreadBytes(t, localConn) == 4 }, time.Second, time.Millisecond)
	require.NoError(t, localConn.SetReadDeadline(time.Now().Add(-time.Second)))
	conn := &hookedConn{TCPConn: tcpConn}
	reader := &socket.DeadlineReader{Conn: conn, MaxLateWait: time.Hour}
	_, err = reader.Read(make([]byte, 4))
	require.NoError(t, err)

	replaced := make(chan error, 1)
	conn.beforeSet = func() {
		conn.beforeSet = nil
		entered := make(chan struct{})
		go func() {
			close(entered)
			replaced <- reader.SetReadDeadline(time.Time{})
		}()
		<-entered
		time.Sleep(20 * time.Millisecond) // the new deadline is set now, or waits until the other one is
	}
	time.AfterFunc(400*time.Millisecond, func() { _, _ = io.WriteString(remoteConn, "rest") }) // the read fails without it
	n, err := reader.Read(make([]byte, 4))
	require.NoError(t, err)
	require.Equal(t, 4, n)
	require.NoError(t, <-replaced)
}

// A hookedConn calls beforeSet, if set, before it sets a read deadline.
type hookedConn struct {
	*net.TCPConn
	beforeSet func()
}

// SetReadDeadline implements net.Conn.
func (c *hookedConn) SetReadDeadline(t time.Time) error {
	if c.beforeSet != nil {
		c.beforeSet()
	}
	return c.TCPConn.SetReadDeadline(t)
}
