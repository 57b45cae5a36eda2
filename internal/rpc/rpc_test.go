package rpc

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/fleet"
)

// echoHandler answers each call with its parameters, and the method "refuse" with an error.
type echoHandler struct {
	notifications chan string
}

// Call implements Handler.
func (e *echoHandler) Call(_ context.Context, _ *Conn, method string, params json.RawMessage) (any, error) {
	if method == "refuse" {
		return nil, fleet.NewError(fleet.KindPrecondition, "ask nicely", "refused")
	}
	return params, nil
}

// Notify implements Handler.
func (e *echoHandler) Notify(_ *Conn, method string, _ json.RawMessage) {
	e.notifications <- method
}

func startEchoServer(t *testing.T, secret Secret) (string, *echoHandler) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	handler := &echoHandler{notifications: make(chan string, 100)}
	done := make(chan error, 1)
	var counter Counter
	go func() { done <- Serve(context.Background(), listener, "server", secret, handler, &counter) }()
	t.Cleanup(func() {
		require.NoError(t, listener.Close())
		require.NoError(t, <-done)
	})
	return listener.Addr().String(), handler
}

func TestCallsNotificationsAndTypedErrors(t *testing.T) {
	address, handler := startEchoServer(t, Secret("0123456789abcdef"))
	var counter Counter
	conn, err := Dial(context.Background(), address, "client", Secret("0123456789abcdef"), handler, &counter)
	require.NoError(t, err)
	defer conn.Close()
	require.Equal(t, "server", conn.PeerName())
	var got string
	require.NoError(t, conn.Call(context.Background(), "echo", "hello", &got))
	require.Equal(t, "hello", got)
	for range 10 {
		require.NoError(t, conn.Notify("tick", nil))
	}
	for range 10 {
		require.Equal(t, "tick", <-handler.notifications)
	}
	err = conn.Call(context.Background(), "refuse", nil, nil)
	var fleetError *fleet.Error
	require.ErrorAs(t, err, &fleetError)
	require.Equal(t, fleet.KindPrecondition, fleetError.Kind)
	require.Positive(t, counter.Sent.Load())
	require.Positive(t, counter.Received.Load())
}

// A peer with another secret, or with none, must not get a message to the handler: it could act as a
// member of the fleet, or make the process allocate memory.
func TestRefusesUnauthenticatedPeers(t *testing.T) {
	address, handler := startEchoServer(t, Secret("0123456789abcdef"))
	var counter Counter
	_, err := Dial(context.Background(), address, "stranger", Secret("another secret !!"), handler, &counter)
	require.Error(t, err)
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	notification := []byte(`{"jsonrpc":"2.0","method":"tick"}`)
	_, err = conn.Write(append([]byte{byte(len(notification))}, notification...))
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err = bufio.NewReader(conn).ReadByte()
	var netError net.Error
	require.Error(t, err)
	require.False(t, errors.As(err, &netError) && netError.Timeout(), "the connection is closed")
	require.Empty(t, handler.notifications)
}

func FuzzFrame(f *testing.F) {
	f.Add([]byte{2, '{', '}'})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x7f})
	f.Add([]byte{5, '{'})
	f.Fuzz(func(_ *testing.T, data []byte) {
		codec := &frameCodec{}
		codec.maxSize.Store(maxUnauthenticatedFrame)
		r := bufio.NewReader(bytes.NewReader(data))
		for {
			var v any
			if codec.ReadObject(r, &v) != nil {
				return
			}
		}
	})
}

// A connection must last longer than the context that bounded its setup. Otherwise a router that
// dials with the context of one call loses its leader when the call ends, four times a second.
func TestConnOutlivesDialContext(t *testing.T) {
	address, handler := startEchoServer(t, nil)
	ctx, cancel := context.WithCancel(context.Background())
	var counter Counter
	conn, err := Dial(ctx, address, "dialer", nil, handler, &counter)
	require.NoError(t, err)
	defer conn.Close()
	cancel()
	select {
	case <-conn.Done():
		require.Fail(t, "the connection ended")
	case <-time.After(50 * time.Millisecond):
	}
	var reply string
	require.NoError(t, conn.Call(context.Background(), "say", "still here", &reply))
	require.Equal(t, "still here", reply)
}

// failingListener fails the first accepts as if file descriptors had run out.
type failingListener struct {
	net.Listener
	remainingFailures atomic.Int32
}

// Accept implements net.Listener.
func (l *failingListener) Accept() (net.Conn, error) {
	if l.remainingFailures.Add(-1) >= 0 {
		return nil, syscall.EMFILE
	}
	return l.Listener.Accept()
}

// A failed accept must not end Serve: a keeper with more open connections than file descriptors
// would exit, restart and run into the same shortage.
func TestServeSurvivesAcceptErrors(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listener := &failingListener{Listener: inner}
	listener.remainingFailures.Store(3)
	done := make(chan error, 1)
	var counter Counter
	go func() { done <- Serve(context.Background(), listener, "b", nil, &echoHandler{}, &counter) }()
	conn, err := Dial(context.Background(), inner.Addr().String(), "a", nil, &echoHandler{}, &counter)
	require.NoError(t, err)
	conn.Close()
	require.EqualValues(t, 3, counter.Failed.Load())
	require.NoError(t, inner.Close())
	require.NoError(t, <-done)
}
