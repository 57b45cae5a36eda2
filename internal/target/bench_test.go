package target

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// BenchmarkConnection measures what a connection of its own costs a request:
// opened ahead, opened when it is needed, and, as the mark to measure by, kept
// and used again as the router never does.
func BenchmarkConnection(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("abc") }}
	done := make(chan error, 1)
	go func() { done <- server.Serve(l) }()
	defer func() {
		require.NoError(b, server.Shutdown())
		require.NoError(b, <-done)
	}()
	address := l.Addr().String()
	send := func(c net.Conn, keep bool) *Response {
		var req fasthttp.Request
		req.Header.SetHost(address)
		if !keep {
			req.Header.SetConnectionClose()
		}
		a, _, err := Send(c, &req, time.Now().Add(time.Minute))
		require.NoError(b, err)
		_, err = io.Copy(io.Discard, a)
		require.NoError(b, err)
		return a
	}
	b.Run("ahead", func(b *testing.B) {
		var d Dialer
		defer d.Close()
		for range b.N {
			c, err := d.Conn(context.Background(), address)
			require.NoError(b, err)
			send(c, false).Close()
		}
	})
	b.Run("then", func(b *testing.B) {
		for range b.N {
			c, err := dial(context.Background(), address)
			require.NoError(b, err)
			send(c, false).Close()
		}
	})
	b.Run("kept", func(b *testing.B) {
		c, err := dial(context.Background(), address)
		require.NoError(b, err)
		defer func() { _ = c.Close() }()
		for range b.N {
			send(c, true)
		}
	})
}
