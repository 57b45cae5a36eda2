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

// echo answers each call with its parameters, or with a refusal.
type echo struct {
	notices chan string
}

// Call implements Handler.
func (e *echo) Call(_ context.Context, _ *Conn, method string, params json.RawMessage) (any, error) {
	if method == "refuse" {
		return nil, fleet.NewError(fleet.KindPrecondition, "ask nicely", "refused")
	}
	return params, nil
}

// Notify implements Handler.
func (e *echo) Notify(_ *Conn, method string, _ json.RawMessage) {
	e.notices <- method
}

func serveEcho(t *testing.T, secret Secret) (string, *echo) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	h := &echo{notices: make(chan string, 100)}
	done := make(chan error, 1)
	var count Counter
	go func() { done <- Serve(context.Background(), l, "server", secret, h, &count) }()
	t.Cleanup(func() {
		require.NoError(t, l.Close())
		require.NoError(t, <-done)
	})
	return l.Addr().String(), h
}

func TestLinkCarriesCallsNoticesAndTypedErrors(t *testing.T) {
	address, h := serveEcho(t, Secret("0123456789abcdef"))
	var count Counter
	c, err := Dial(context.Background(), address, "client", Secret("0123456789abcdef"), h, &count)
	require.NoError(t, err)
	defer c.Close()
	require.Equal(t, "server", c.PeerName())
	var got string
	require.NoError(t, c.Call(context.Background(), "echo", "hello", &got))
	require.Equal(t, "hello", got)
	for range 10 {
		require.NoError(t, c.Notify("tick", nil))
	}
	for range 10 {
		require.Equal(t, "tick", <-h.notices)
	}
	err = c.Call(context.Background(), "refuse", nil, nil)
	var kind *fleet.Error
	require.ErrorAs(t, err, &kind)
	require.Equal(t, fleet.KindPrecondition, kind.Kind)
	require.Positive(t, count.Sent.Load())
	require.Positive(t, count.Received.Load())
}

// Symptom: a stranger joins the fleet, or makes a process hold memory.
// Sequence: a peer with another secret, or with none, speaks first.
// Cause: messages taken before the peer has proved itself.
func TestStrangersAreRefused(t *testing.T) {
	address, h := serveEcho(t, Secret("0123456789abcdef"))
	var count Counter
	_, err := Dial(context.Background(), address, "stranger", Secret("another secret !!"), h, &count)
	require.Error(t, err)
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	call := []byte(`{"jsonrpc":"2.0","method":"tick"}`)
	_, err = c.Write(append([]byte{byte(len(call))}, call...))
	require.NoError(t, err)
	require.NoError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err = bufio.NewReader(c).ReadByte()
	var timeout net.Error
	require.Error(t, err)
	require.False(t, errors.As(err, &timeout) && timeout.Timeout(), "the link is closed")
	require.Empty(t, h.notices)
}

func FuzzFrame(f *testing.F) {
	f.Add([]byte{2, '{', '}'})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x7f})
	f.Add([]byte{5, '{'})
	f.Fuzz(func(_ *testing.T, data []byte) {
		c := &frameCodec{}
		c.bound.Store(maxStranger)
		r := bufio.NewReader(bytes.NewReader(data))
		for {
			var v any
			if c.ReadObject(r, &v) != nil {
				return
			}
		}
	})
}

// Symptom: a router finds the leader and loses it again, four times a second.
// Sequence: a link is opened within the time that one call may take; the call
// ends, and with it that time.
// Cause: the link ends with the context that bounded its opening.
func TestLinkOutlivesTheContextOfItsOpening(t *testing.T) {
	address, h := serveEcho(t, nil)
	ctx, cancel := context.WithCancel(context.Background())
	var count Counter
	conn, err := Dial(ctx, address, "dialer", nil, h, &count)
	require.NoError(t, err)
	defer conn.Close()
	cancel()
	select {
	case <-conn.Done():
		require.Fail(t, "the link ended")
	case <-time.After(50 * time.Millisecond):
	}
	var back string
	require.NoError(t, conn.Call(context.Background(), "say", "still here", &back))
	require.Equal(t, "still here", back)
}

// shortListener fails as one that lacks descriptors does, and then gives out what it has.
type shortListener struct {
	net.Listener
	failures atomic.Int32
}

// Accept implements net.Listener.
func (l *shortListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, syscall.EMFILE
	}
	return l.Listener.Accept()
}

// Symptom: a keeper ends, and starts again, while more connections are open than it has
// descriptors for.
// Sequence: accepting a link fails once; others would be accepted a moment later.
// Cause: any failure to accept ended the duty, and with it the process.
func TestAFailureToAcceptEndsNothing(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := &shortListener{Listener: inner}
	l.failures.Store(3)
	done := make(chan error, 1)
	var count Counter
	go func() { done <- Serve(context.Background(), l, "b", nil, &echo{}, &count) }()
	c, err := Dial(context.Background(), inner.Addr().String(), "a", nil, &echo{}, &count)
	require.NoError(t, err)
	c.Close()
	require.EqualValues(t, 3, count.Failed.Load())
	require.NoError(t, inner.Close())
	require.NoError(t, <-done)
}
