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

// BenchmarkConnection measures the cost of one connection per request, opened ahead or on demand.
// As a baseline it also measures a reused connection, which the router never uses.
func BenchmarkConnection(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("abc") }}
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	defer func() {
		require.NoError(b, server.Shutdown())
		require.NoError(b, <-done)
	}()
	address := listener.Addr().String()
	send := func(conn net.Conn, keepAlive bool) *Response {
		var request fasthttp.Request
		request.Header.SetHost(address)
		if !keepAlive {
			request.Header.SetConnectionClose()
		}
		response, _, err := Send(conn, &request, time.Now().Add(time.Minute))
		require.NoError(b, err)
		_, err = io.Copy(io.Discard, response)
		require.NoError(b, err)
		return response
	}
	b.Run("ahead", func(b *testing.B) {
		var dialer Dialer
		defer dialer.Close()
		for range b.N {
			conn, err := dialer.Conn(context.Background(), address)
			require.NoError(b, err)
			send(conn, false).Close()
		}
	})
	b.Run("then", func(b *testing.B) {
		for range b.N {
			conn, err := dial(context.Background(), address)
			require.NoError(b, err)
			send(conn, false).Close()
		}
	})
	b.Run("kept", func(b *testing.B) {
		conn, err := dial(context.Background(), address)
		require.NoError(b, err)
		defer func() { _ = conn.Close() }()
		for range b.N {
			send(conn, true)
		}
	})
}
