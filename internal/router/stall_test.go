package router

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"laburnumfall/internal/clock"
	"laburnumfall/internal/dispatch"
	"laburnumfall/internal/fleet"
	"laburnumfall/internal/rpc"
	"laburnumfall/internal/standin"
)

// A stalledListener accepts connections of callers and passes them through wrap.
type stalledListener struct {
	net.Listener
	wrap func(net.Conn) net.Conn
}

// Accept implements net.Listener.
func (l stalledListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.wrap(conn), nil
}

// startCallerServer serves callers with the router's server, and returns the address. Each connection
// is passed through wrap.
func startCallerServer(t *testing.T, handler fasthttp.RequestHandler, wrap func(net.Conn) net.Conn) string {
	r := &Router{Log: hclog.NewNullLogger(), Clock: clock.NewRealClock(), metrics: newMetrics(&rpc.Counter{})}
	r.loop = newSchedulerLoop(r.Clock, &dispatch.Scheduler{Name: "r1"})
	server := r.newServer()
	server.Handler = handler
	listener, err := listenCallers("127.0.0.1:0")
	require.NoError(t, err)
	serve(t, server, stalledListener{Listener: listener, wrap: wrap})
	return listener.Addr().String()
}

// serve serves callers until the test ends.
func serve(t *testing.T, server *fasthttp.Server, listener net.Listener) {
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	t.Cleanup(func() {
		require.NoError(t, server.Shutdown())
		require.NoError(t, <-done)
	})
}

func respondNoContent(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(fasthttp.StatusNoContent) }

// Guards against closing a connection, or refusing its request as malformed, although the request
// has arrived: the read deadline passed while the process was suspended.
func TestServesRequestThatArrivedInStall(t *testing.T) {
	const head, request = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"
	for name, tc := range map[string]struct {
		answered bool   // a request has been answered on the connection before
		before   string // what the router has read before the stall
		during   string // what arrives during the stall
		want     int    // status; 0 if the connection closes without a response
	}{
		"new connection":                    {during: request, want: http.StatusNoContent},
		"kept connection":                   {answered: true, during: request, want: http.StatusNoContent},
		"part of the header":                {before: request[:18], during: request[18:], want: http.StatusNoContent},
		"kept connection, part of a header": {answered: true, before: request[:18], during: request[18:], want: http.StatusNoContent},
		"header and part of the body":       {before: head + "bo", during: "dy", want: http.StatusNoContent},
		"kept connection, silent":           {answered: true},
		"part of the header, silent":        {before: request[:18], want: http.StatusRequestTimeout},
		"part of the body, silent":          {before: head + "bo", want: http.StatusRequestTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			consumed := len(tc.before)
			if tc.answered {
				consumed += len(request)
			}
			callers := make(chan net.Conn, 1)
			address := startCallerServer(t, respondNoContent, func(conn net.Conn) net.Conn {
				return &standin.StalledConn{Conn: conn, StallRead: func(bytesRead int) bool {
					if bytesRead < consumed {
						return false
					}
					caller := <-callers
					_, err := io.WriteString(caller, tc.during)
					if err == nil {
						err = standin.AwaitReceived(caller)
					}
					return err == nil
				}}
			})
			caller, err := net.Dial("tcp4", address)
			require.NoError(t, err)
			defer func() { _ = caller.Close() }() // the test is over
			callers <- caller
			require.NoError(t, caller.SetReadDeadline(time.Now().Add(10*time.Second)))
			responses := bufio.NewReader(caller)
			if tc.answered {
				_, err := io.WriteString(caller, request)
				require.NoError(t, err)
				resp, err := http.ReadResponse(responses, nil)
				require.NoError(t, err)
				require.NoError(t, resp.Body.Close())
			}
			_, err = io.WriteString(caller, tc.before)
			require.NoError(t, err)
			resp, err := http.ReadResponse(responses, nil)
			if tc.want == 0 {
				require.True(t, errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF), "%v", err)
				return
			}
			require.NoError(t, err)
			require.NoError(t, resp.Body.Close())
			require.Equal(t, tc.want, resp.StatusCode)
			if tc.want == http.StatusRequestTimeout {
				require.Equal(t, string(fleet.OutcomeNotRun), resp.Header.Get(headerOutcome))
				require.NotEmpty(t, resp.Header.Get("Retry-After"))
			}
		})
	}
}

// Guards against a caller that does not read its response and occupies a slot of a target without
// limit.
func TestResponseToStuckCallerEnds(t *testing.T) {
	r := &Router{Log: hclog.NewNullLogger(), Clock: clock.NewRealClock()}
	server := r.newServer()
	server.Handler = func(ctx *fasthttp.RequestCtx) { ctx.SetBody(make([]byte, 64<<20)) }
	listener, err := listenCallers("127.0.0.1:0")
	require.NoError(t, err)
	require.Equal(t, writeTimeout, listener.WriteTimeout)
	listener.WriteTimeout = 10 * time.Millisecond
	serve(t, server, listener)
	conn, err := net.Dial("tcp4", listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }() // the test is over
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return server.GetOpenConnectionsCount() == 1 }, 10*time.Second, time.Millisecond)
	require.Eventually(t, func() bool { return server.GetOpenConnectionsCount() == 0 }, 10*time.Second, time.Millisecond)
}

// A gatedConn is a connection whose reads wait for the gate once it has been armed.
type gatedConn struct {
	net.Conn
	armed atomic.Bool
	gate  chan struct{}
}

// Read implements net.Conn.
func (c *gatedConn) Read(p []byte) (int, error) {
	if c.armed.Load() {
		<-c.gate
	}
	return c.Conn.Read(p)
}

// Write implements net.Conn.
func (c *gatedConn) Write(p []byte) (int, error) {
	c.armed.Store(true)
	return c.Conn.Write(p)
}

// Guards against resetting a kept connection whose next request arrived while a stopping router was
// suspended.
func TestShutdownAnswersRequestThatArrivedInStall(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	r := &Router{Log: hclog.NewNullLogger(), Clock: clock.NewRealClock()}
	server := r.newServer()
	server.Handler = respondNoContent
	listener, err := listenCallers("127.0.0.1:0")
	require.NoError(t, err)
	gate := make(chan struct{})
	serve(t, server, stalledListener{Listener: listener, wrap: func(conn net.Conn) net.Conn {
		return &gatedConn{Conn: conn, gate: gate}
	}})
	conn, err := net.Dial("tcp4", listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }() // the test is over
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
	responses := bufio.NewReader(conn)
	for i := range 2 {
		_, err = io.WriteString(conn, request)
		require.NoError(t, err)
		if i == 1 {
			require.NoError(t, standin.AwaitReceived(conn))
			time.AfterFunc(10*time.Millisecond, func() { close(gate) })
			require.NoError(t, shutDown(context.Background(), server, listener))
		}
		resp, err := http.ReadResponse(responses, nil)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, http.StatusNoContent, resp.StatusCode)
	}
}
