package standin

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// startEcho starts an echo server behind a proxy. It returns the proxy and a connection through
// it.
func startEcho(t *testing.T) (*Proxy, net.Conn) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() }) // no connection depends on it
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(conn, conn) // ends with the peer
				_ = conn.Close()           // the peer has closed the connection
			}()
		}
	}()
	proxy, err := StartProxy("127.0.0.1:0", listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(proxy.Close)
	conn, err := net.Dial("tcp4", proxy.Address())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() }) // the connection may have been reset
	return proxy, conn
}

func roundTrip(t *testing.T, conn net.Conn, timeout time.Duration) error {
	_, err := conn.Write([]byte("x"))
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(timeout)))
	_, err = io.ReadFull(conn, make([]byte, 1))
	return err
}

func TestProxyFaults(t *testing.T) {
	proxy, conn := startEcho(t)
	require.NoError(t, roundTrip(t, conn, 5*time.Second))
	for _, direction := range []Direction{ToTarget, ToCaller} {
		proxy.Block(direction)
		require.Error(t, roundTrip(t, conn, 50*time.Millisecond))
		proxy.ClearFaults()
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
		_, err := io.ReadFull(conn, make([]byte, 1))
		require.NoError(t, err, "blocked bytes arrive once the fault is cleared")
	}
	proxy.SetDelay(60 * time.Millisecond)
	require.Error(t, roundTrip(t, conn, 50*time.Millisecond))
	proxy.ClearFaults()
	proxy.ResetConnections()
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err := io.ReadAll(conn)
	require.Error(t, err)
}

func TestProxyReportsFailedDial(t *testing.T) {
	address, err := ReserveAddress()
	require.NoError(t, err)
	proxy, err := StartProxy("127.0.0.1:0", address)
	require.NoError(t, err)
	t.Cleanup(proxy.Close)
	conn, err := net.Dial("tcp4", proxy.Address())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() }) // the proxy has closed the connection
	_, err = conn.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	require.True(t, proxy.DialFailed(conn.LocalAddr().String()))
	otherProxy, otherConn := startEcho(t)
	require.NoError(t, roundTrip(t, otherConn, 5*time.Second))
	require.False(t, otherProxy.DialFailed(otherConn.LocalAddr().String()))
}
