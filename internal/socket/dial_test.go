package socket_test

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/socket"
)

// stallingDialer returns a dialer whose process is suspended during its first attempts to connect, and
// the number of its attempts.
func stallingDialer(timeout, stall time.Duration, stalls int) (dialer *net.Dialer, attempts *int) {
	attempts = new(int)
	return &net.Dialer{Timeout: timeout, Control: func(string, string, syscall.RawConn) error {
		*attempts++
		if *attempts <= stalls {
			time.Sleep(stall)
		}
		return nil
	}}, attempts
}

// Guards against a target that counts as unreachable because the process was suspended while it
// connected.
func TestConnectsAfterStall(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, listener.Close()) }()
	dialer, attempts := stallingDialer(500*time.Millisecond, 700*time.Millisecond, 1)
	conn, err := socket.Dial(context.Background(), dialer, "tcp4", listener.Addr().String())
	require.NoError(t, err)
	require.NoError(t, conn.Close())
	require.Equal(t, 2, *attempts)
}

// Guards against attempts without end, and against one after the caller's time is up.
func TestConnectsOnceMoreAtMost(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, listener.Close()) }()
	dialer, attempts := stallingDialer(10*time.Millisecond, 200*time.Millisecond, 10)
	_, err = socket.Dial(context.Background(), dialer, "tcp4", listener.Addr().String())
	require.ErrorIs(t, err, context.DeadlineExceeded) // how package net reports a timeout to connect
	require.Equal(t, 2, *attempts)

	dialer, attempts = stallingDialer(10*time.Millisecond, 200*time.Millisecond, 10)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, err = socket.Dial(ctx, dialer, "tcp4", listener.Addr().String())
	require.ErrorIs(t, err, context.DeadlineExceeded)
	require.Equal(t, 1, *attempts)
}
