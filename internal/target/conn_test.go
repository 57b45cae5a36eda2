package target

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"

	"laburnumfall/internal/socket"
)

// startRawServer starts a server that reads the header of a request on each connection and then
// sends what respond writes. It returns the address.
func startRawServer(t *testing.T, respond func(conn net.Conn, request string)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var handlers sync.WaitGroup
	t.Cleanup(func() {
		_ = listener.Close()
		handlers.Wait()
	})
	handlers.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			handlers.Go(func() {
				defer func() { _ = conn.Close() }()
				buf := make([]byte, 4096)
				n, err := conn.Read(buf)
				if err == nil {
					respond(conn, string(buf[:n]))
				}
			})
		}
	})
	return listener.Addr().String()
}

func get(dialer *Dialer, address, path string) (body string, status int, err error) {
	conn, err := dialer.Conn(context.Background(), address)
	if err != nil {
		return "", 0, err
	}
	var request fasthttp.Request
	request.Header.SetHost(address)
	request.SetRequestURI(path)
	response, _, err := Send(conn, &request, time.Now().Add(2*time.Second))
	if err != nil {
		return "", 0, err
	}
	defer response.Close()
	data, err := io.ReadAll(response)
	return string(data), response.Status, err
}

func TestIncompleteResponsesAreErrors(t *testing.T) {
	tests := []struct {
		name, raw, body string
		wantErr         bool
	}{
		{name: "whole", raw: "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", body: "abc"},
		{name: "short", raw: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", wantErr: true},
		{name: "longer than stated", raw: "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabcdef", body: "abc"},
		{name: "second response after the first", raw: "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabcHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nxyz", body: "abc"},
		{name: "chunked", raw: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", body: "abc"},
		{name: "truncated between chunks", raw: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", wantErr: true},
		{name: "truncated chunk", raw: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nabc", wantErr: true},
		{name: "malformed chunk size", raw: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n", wantErr: true},
		{name: "until close", raw: "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabc", body: "abc"},
		{name: "no body", raw: "HTTP/1.1 204 No Content\r\n\r\n", body: ""},
		{name: "interim response first", raw: "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", body: "abc"},
		{name: "garbage", raw: "\x16\x03\x01nonsense\r\n\r\n", wantErr: true},
		{name: "nothing", raw: "", wantErr: true},
		{name: "truncated header", raw: "HTTP/1.1 200 OK\r\nContent-Le", wantErr: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			address := startRawServer(t, func(conn net.Conn, _ string) { _, _ = io.WriteString(conn, tt.raw) })
			var dialer Dialer
			defer dialer.Close()
			body, _, err := get(&dialer, address, "/")
			if tt.wantErr {
				require.Error(t, err)
				return
			}
			require.NoError(t, err)
			require.Equal(t, tt.body, body)
		})
	}
}

// Guards against a caller that gets bytes of another caller's response. A target responds before
// it gets a request, twice, late or with a wrong length, on connections that could otherwise be
// reused.
func TestResponsesNeverReachOtherCallers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		faults := rapid.SliceOfN(rapid.IntRange(0, 5), 8, 8).Draw(rt, "tricks")
		var mu sync.Mutex
		next := 0
		address := startRawServer(t, func(conn net.Conn, request string) {
			mu.Lock()
			fault := faults[next%len(faults)]
			next++
			mu.Unlock()
			respondWithFault(conn, fault, request)
		})
		var dialer Dialer
		defer dialer.Close()
		var callers sync.WaitGroup
		bodies := make([]string, 8)
		errs := make([]error, 8)
		for i := range bodies {
			callers.Go(func() {
				bodies[i], _, errs[i] = get(&dialer, address, fmt.Sprintf("/mine-%d-", i))
			})
		}
		callers.Wait()
		for i, got := range bodies {
			own := fmt.Sprintf("mine-%d-", i)
			if errs[i] != nil {
				require.True(rt, strings.HasPrefix(own, got), "a broken response must still belong to its caller: %q", got)
				continue
			}
			require.Equal(rt, own, got)
		}
	})
}

func respondWithFault(conn net.Conn, fault int, request string) {
	_, rest, _ := strings.Cut(request, "/")
	own, _, _ := strings.Cut(rest, " ")
	response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(own), own)
	switch fault {
	case 0:
		_, _ = io.WriteString(conn, response)
	case 1:
		_, _ = io.WriteString(conn, response+response)
	case 2:
		time.Sleep(time.Millisecond)
		_, _ = io.WriteString(conn, response+"pad")
		time.Sleep(time.Millisecond)
		_, _ = io.WriteString(conn, response)
	case 3:
		_, _ = io.WriteString(conn, response[:len(response)-2])
	case 4:
		_, _ = io.WriteString(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(own)+9, own))
	default:
		_, _ = io.WriteString(conn, "garbage")
	}
}

// Guards against a request answered by bytes that arrived before it was sent. A target writes on
// a connection that was opened ahead, so the connection must be checked before use.
func TestSpareConnWithUnsolicitedBytesIsNotUsed(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	var dialer Dialer
	defer dialer.Close()
	dialer.preconnect(listener.Addr().String())
	spare, err := listener.Accept()
	require.NoError(t, err)
	defer func() { _ = spare.Close() }()
	_, err = io.WriteString(spare, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nxyz")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return !socket.IsIdle(dialer.spare[listener.Addr().String()][0].Conn) }, time.Second, time.Millisecond)
	conn, err := dialer.Conn(context.Background(), listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	require.NotEqual(t, spare.RemoteAddr().String(), conn.LocalAddr().String())
}

func TestRefusedConnectionIsDialError(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	var dialer Dialer
	_, _, err = get(&dialer, address, "/")
	var dialErr *DialError
	require.ErrorAs(t, err, &dialErr)
}

// Guards against a request that counts as possibly run although its deadline passed before its first
// byte was written: one that must not be repeated would be lost.
func TestUnwrittenRequestIsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, listener.Close()) }()
	var dialer Dialer
	defer dialer.Close()
	for _, length := range []int{0, 1 << 20} {
		conn, err := dialer.Conn(context.Background(), listener.Addr().String())
		require.NoError(t, err)
		var request fasthttp.Request
		request.SetRequestURI("http://h/")
		request.Header.SetMethod(fasthttp.MethodPost)
		request.SetBody(make([]byte, length))
		_, sent, err := Send(conn, &request, time.Now().Add(-time.Second))
		require.ErrorIs(t, err, os.ErrDeadlineExceeded)
		require.False(t, sent)
	}
}

// Guards against a request that counts as possibly run although no byte of it was sent: its time
// passed while the process was suspended, right before the request was written.
func TestUnsentRequestDoesNotCountAsSent(t *testing.T) {
	address := startRawServer(t, func(net.Conn, string) {})
	for name, body := range map[string]string{"small body": "x", "large body": strings.Repeat("x", 1<<20)} {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", address)
			require.NoError(t, err)
			request := fasthttp.AcquireRequest()
			defer fasthttp.ReleaseRequest(request)
			request.SetRequestURI("http://" + address + "/")
			request.SetBodyString(body)
			_, sent, err := Send(conn, request, time.Now())
			require.ErrorIs(t, err, os.ErrDeadlineExceeded)
			require.False(t, sent)
		})
	}
}
