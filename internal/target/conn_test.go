package target

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"
)

// rawServer answers each connection with what play writes, after the head of
// the request was read.
func rawServer(t *testing.T, play func(c net.Conn, request string)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var open sync.WaitGroup
	t.Cleanup(func() {
		_ = l.Close()
		open.Wait()
	})
	open.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			open.Go(func() {
				defer func() { _ = c.Close() }()
				buf := make([]byte, 4096)
				n, err := c.Read(buf)
				if err == nil {
					play(c, string(buf[:n]))
				}
			})
		}
	})
	return l.Addr().String()
}

func ask(d *Dialer, address, path string) (body string, status int, err error) {
	c, err := d.Conn(context.Background(), address)
	if err != nil {
		return "", 0, err
	}
	var req fasthttp.Request
	req.Header.SetHost(address)
	req.SetRequestURI(path)
	a, _, err := Send(c, &req, time.Now().Add(2*time.Second))
	if err != nil {
		return "", 0, err
	}
	defer a.Close()
	data, err := io.ReadAll(a)
	return string(data), a.Status, err
}

func TestAnswersThatAreNotWholeAreErrors(t *testing.T) {
	tests := []struct {
		name, raw, body string
		bad             bool
	}{
		{name: "whole", raw: "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", body: "abc"},
		{name: "short", raw: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", bad: true},
		{name: "longer than stated", raw: "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabcdef", body: "abc"},
		{name: "a second answer behind", raw: "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabcHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nxyz", body: "abc"},
		{name: "chunked", raw: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", body: "abc"},
		{name: "chunked and cut", raw: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", bad: true},
		{name: "chunk cut", raw: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nabc", bad: true},
		{name: "bad chunk size", raw: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n", bad: true},
		{name: "to the end", raw: "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabc", body: "abc"},
		{name: "no body", raw: "HTTP/1.1 204 No Content\r\n\r\n", body: ""},
		{name: "told to go on first", raw: "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", body: "abc"},
		{name: "garbage", raw: "\x16\x03\x01nonsense\r\n\r\n", bad: true},
		{name: "nothing", raw: "", bad: true},
		{name: "half a head", raw: "HTTP/1.1 200 OK\r\nContent-Le", bad: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			address := rawServer(t, func(c net.Conn, _ string) { _, _ = io.WriteString(c, tt.raw) })
			var d Dialer
			defer d.Close()
			body, _, err := ask(&d, address, "/")
			if tt.bad {
				require.Error(t, err)
				return
			}
			require.NoError(t, err)
			require.Equal(t, tt.body, body)
		})
	}
}

// Symptom: a caller gets bytes of another's answer.
// Sequence: a target answers before it is asked, twice, late, or with another
// length, on connections that would be used again.
// Cause: a connection that is not at a clean boundary carries a second request.
func TestNoAnswerReachesAnother(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tricks := rapid.SliceOfN(rapid.IntRange(0, 5), 8, 8).Draw(rt, "tricks")
		var mu sync.Mutex
		next := 0
		address := rawServer(t, func(c net.Conn, request string) {
			mu.Lock()
			trick := tricks[next%len(tricks)]
			next++
			mu.Unlock()
			playTrick(c, trick, request)
		})
		var d Dialer
		defer d.Close()
		var callers sync.WaitGroup
		answers := make([]string, 8)
		errs := make([]error, 8)
		for i := range answers {
			callers.Go(func() {
				answers[i], _, errs[i] = ask(&d, address, fmt.Sprintf("/mine-%d-", i))
			})
		}
		callers.Wait()
		for i, got := range answers {
			mine := fmt.Sprintf("mine-%d-", i)
			if errs[i] != nil {
				require.True(rt, strings.HasPrefix(mine, got), "a broken answer is still its caller's own: %q", got)
				continue
			}
			require.Equal(rt, mine, got)
		}
	})
}

func playTrick(c net.Conn, trick int, request string) {
	_, rest, _ := strings.Cut(request, "/")
	mine, _, _ := strings.Cut(rest, " ")
	answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(mine), mine)
	switch trick {
	case 0:
		_, _ = io.WriteString(c, answer)
	case 1:
		_, _ = io.WriteString(c, answer+answer)
	case 2:
		time.Sleep(time.Millisecond)
		_, _ = io.WriteString(c, answer+"pad")
		time.Sleep(time.Millisecond)
		_, _ = io.WriteString(c, answer)
	case 3:
		_, _ = io.WriteString(c, answer[:len(answer)-2])
	case 4:
		_, _ = io.WriteString(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(mine)+9, mine))
	default:
		_, _ = io.WriteString(c, "garbage")
	}
}

// Symptom: a request is answered by bytes that came before it was sent.
// Sequence: a target writes on a connection that was opened ahead.
// Cause: the unused connection is taken without a look at it.
func TestSpareConnectionThatSpeaksFirstIsNotUsed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	var d Dialer
	defer d.Close()
	d.openAhead(l.Addr().String())
	spare, err := l.Accept()
	require.NoError(t, err)
	defer func() { _ = spare.Close() }()
	_, err = io.WriteString(spare, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nxyz")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return !IsIdle(d.spare[l.Addr().String()][0].Conn) }, time.Second, time.Millisecond)
	c, err := d.Conn(context.Background(), l.Addr().String())
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	require.NotEqual(t, spare.RemoteAddr().String(), c.LocalAddr().String())
}

func TestNobodyThereIsADialError(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	require.NoError(t, l.Close())
	var d Dialer
	_, _, err = ask(&d, address, "/")
	var dialErr *DialError
	require.ErrorAs(t, err, &dialErr)
}
