package standin

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// echo starts a server that sends back what it gets, behind a proxy.
func echo(t *testing.T) (*Proxy, net.Conn) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() }) // nothing is on it
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c) // ends with its other end
				_ = c.Close()        // as that did
			}()
		}
	}()
	p, err := StartProxy("127.0.0.1:0", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(p.Close)
	c, err := net.Dial("tcp4", p.Address())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() }) // it may be reset
	return p, c
}

func roundTrip(t *testing.T, c net.Conn, within time.Duration) error {
	_, err := c.Write([]byte("x"))
	require.NoError(t, err)
	require.NoError(t, c.SetReadDeadline(time.Now().Add(within)))
	_, err = io.ReadFull(c, make([]byte, 1))
	return err
}

func TestProxyFaults(t *testing.T) {
	p, c := echo(t)
	require.NoError(t, roundTrip(t, c, 5*time.Second))
	for _, d := range []Direction{ToTarget, ToCaller} {
		p.Block(d)
		require.Error(t, roundTrip(t, c, 50*time.Millisecond))
		p.ClearFaults()
		require.NoError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
		_, err := io.ReadFull(c, make([]byte, 1))
		require.NoError(t, err, "what was held back arrives")
	}
	p.SetDelay(60 * time.Millisecond)
	require.Error(t, roundTrip(t, c, 50*time.Millisecond))
	p.ClearFaults()
	p.ResetConnections()
	require.NoError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err := io.ReadAll(c)
	require.Error(t, err)
}

func TestACallerOfNobodyIsAlone(t *testing.T) {
	address, err := ReserveAddress()
	require.NoError(t, err)
	p, err := StartProxy("127.0.0.1:0", address)
	require.NoError(t, err)
	t.Cleanup(p.Close)
	c, err := net.Dial("tcp4", p.Address())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() }) // it is closed there already
	_, err = c.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	require.True(t, p.DialFailed(c.LocalAddr().String()))
	other, reached := echo(t)
	require.NoError(t, roundTrip(t, reached, 5*time.Second))
	require.False(t, other.DialFailed(reached.LocalAddr().String()))
}
