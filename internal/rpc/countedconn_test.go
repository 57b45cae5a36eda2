package rpc

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// stalledConn is a connection of a process that stalls between setting a write deadline and writing,
// for longer than the deadline.
type stalledConn struct {
	*net.TCPConn
	// duringStall, if set, is called during each stall.
	duringStall func()
}

// SetWriteDeadline implements net.Conn.
func (c *stalledConn) SetWriteDeadline(time.Time) error {
	if c.duringStall != nil {
		c.duringStall()
	}
	return c.TCPConn.SetWriteDeadline(time.Now().Add(-time.Second))
}

// connPair returns both ends of a TCP connection.
func connPair(t *testing.T) (near, far *net.TCPConn) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }() // it is not used any more
	dialed, err := net.Dial("tcp4", listener.Addr().String())
	require.NoError(t, err)
	accepted, err := listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() {
		_ = dialed.Close()
		_ = accepted.Close()
	})
	near, ok := dialed.(*net.TCPConn)
	require.True(t, ok)
	far, ok = accepted.(*net.TCPConn)
	require.True(t, ok)
	return near, far
}

// isWritable reports whether the send buffer of a connection has room.
func isWritable(t *testing.T, conn *net.TCPConn) bool {
	socket, err := conn.SyscallConn()
	require.NoError(t, err)
	ready, pollErr := 0, error(nil)
	require.NoError(t, socket.Control(func(fd uintptr) {
		ready, pollErr = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLOUT}}, 0)
	}))
	if errors.Is(pollErr, unix.EINTR) {
		return false
	}
	require.NoError(t, pollErr)
	return ready > 0
}

// A write must not fail because its deadline passed during a stall of the process: the connection
// would be lost with all calls on it, although the peer reads.
func TestWriteSurvivesStallBeforeIt(t *testing.T) {
	near, far := connPair(t)
	var counter Counter
	conn := &countedConn{Conn: &stalledConn{TCPConn: near}, counter: &counter}
	for range 3 {
		n, err := conn.Write([]byte("heartbeat"))
		require.NoError(t, err)
		require.Equal(t, 9, n)
	}
	received := make([]byte, 27)
	_, err := io.ReadFull(far, received)
	require.NoError(t, err)
	require.Equal(t, "heartbeatheartbeatheartbeat", string(received))
	require.EqualValues(t, 27, counter.Sent.Load())
}

// The same for a message that is larger than the socket's buffers: the peer reads it while the process
// is stalled, and is not to blame that nothing was written meanwhile.
func TestLargeWriteSurvivesStalls(t *testing.T) {
	near, far := connPair(t)
	message := bytes.Repeat([]byte("snapshot"), 2<<20)
	var received bytes.Buffer
	readSome := func() {
		for !isWritable(t, near) {
			_, err := io.CopyN(&received, far, 64<<10)
			require.NoError(t, err)
		}
	}
	var counter Counter
	conn := &countedConn{Conn: &stalledConn{TCPConn: near, duringStall: readSome}, counter: &counter}
	n, err := conn.Write(message)
	require.NoError(t, err)
	require.Len(t, message, n)
	require.NoError(t, near.CloseWrite())
	_, err = io.Copy(&received, far)
	require.NoError(t, err)
	require.True(t, bytes.Equal(message, received.Bytes()))
}

// A peer that does not read must not block a sender forever.
func TestWriteToSilentPeerEnds(t *testing.T) {
	near, _ := connPair(t)
	var counter Counter
	conn := &countedConn{Conn: &stalledConn{TCPConn: near}, counter: &counter}
	_, err := conn.Write(make([]byte, 16<<20))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
}

// A stall of the process before a write must not end a connection between two processes of the fleet.
func TestConnSurvivesStallBeforeWrite(t *testing.T) {
	near, far := connPair(t)
	var counter Counter
	server := newConn(context.Background(), &stalledConn{TCPConn: far}, &echoHandler{}, &counter, nil)
	defer server.Close()
	client := newConn(context.Background(), &stalledConn{TCPConn: near}, &echoHandler{}, &counter, nil)
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for range 3 {
		var got string
		require.NoError(t, client.Call(ctx, "echo", "hello", &got))
		require.Equal(t, "hello", got)
	}
}

// A connection whose write failed must end at both ends at once. If it stayed open, it would answer
// nothing, and each call over it would wait until its own time is up.
func TestFailedWriteEndsConn(t *testing.T) {
	near, far := connPair(t)
	var counter Counter
	server := newConn(context.Background(), &stalledConn{TCPConn: far}, &echoHandler{}, &counter, nil)
	defer server.Close()
	require.Error(t, server.Notify("fill", strings.Repeat("x", 16<<20)))
	select {
	case <-server.Done():
	case <-time.After(10 * time.Second):
		require.Fail(t, "the connection stayed open")
	}
	_, err := io.Copy(io.Discard, near)
	require.NoError(t, err, "the peer sees the end of the connection")
}

// stallingHandler answers calls after it has made the peer stall, and stalls as that peer until the
// time of the call is up.
type stallingHandler struct {
	callEnd <-chan struct{}
}

// Call implements Handler.
func (*stallingHandler) Call(_ context.Context, peer *Conn, _ string, params json.RawMessage) (any, error) {
	return params, peer.Notify("stall", nil)
}

// Notify implements Handler.
func (h *stallingHandler) Notify(*Conn, string, json.RawMessage) {
	<-h.callEnd
	time.Sleep(time.Millisecond) // the call notices first that its time is up
}

// A result must not be thrown away because the time of its call passed while the process was stalled
// and the result lay unread.
func TestCallReturnsResultThatArrivedInStall(t *testing.T) {
	near, far := connPair(t)
	var counter Counter
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	server := newConn(context.Background(), far, &stallingHandler{}, &counter, nil)
	defer server.Close()
	client := newConn(context.Background(), near, &stallingHandler{callEnd: ctx.Done()}, &counter, nil)
	defer client.Close()
	var got string
	require.NoError(t, client.Call(ctx, "echo", "hello", &got))
	require.Equal(t, "hello", got)
}

// silentHandler answers no calls.
type silentHandler struct{}

// Call implements Handler.
func (silentHandler) Call(ctx context.Context, _ *Conn, _ string, _ json.RawMessage) (any, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// Notify implements Handler.
func (silentHandler) Notify(*Conn, string, json.RawMessage) {}

// A call without a result must end when its time is up, whether or not its connection is read.
func TestUnansweredCallEnds(t *testing.T) {
	for name, handler := range map[string]Handler{
		"connection is read":     silentHandler{},
		"connection is not read": &stallingHandler{callEnd: make(chan struct{})},
	} {
		t.Run(name, func(t *testing.T) {
			near, far := connPair(t)
			var counter Counter
			server := newConn(context.Background(), far, silentHandler{}, &counter, nil)
			defer server.Close()
			client := newConn(context.Background(), near, handler, &counter, nil)
			defer client.Close()
			require.NoError(t, server.Notify("stall", nil))
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
			defer cancel()
			require.ErrorIs(t, client.Call(ctx, "echo", "hello", nil), context.DeadlineExceeded)
		})
	}
}
