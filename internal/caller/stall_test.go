package caller

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/standin"
)

// Guards against closing a connection, or refusing its request as malformed, although the request
// has arrived: the read deadline passed while the process was suspended.
func TestServesRequestThatArrivedInStall(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	for name, tc := range map[string]struct {
		answered      bool   // a request has been answered on the connection before
		before        string // what the router has read before the stall
		during        string // what arrives during the stall
		want          int    // status; 0 if the connection closes without a response
		wantRetryable bool
	}{
		"new connection":                         {during: request, want: http.StatusNoContent},
		"kept connection":                        {answered: true, during: request, want: http.StatusNoContent},
		"header up to the end of a line":         {before: request[:16], during: request[16:], want: http.StatusNoContent},
		"header up to the middle of a line":      {before: request[:18], during: request[18:], want: http.StatusNoContent},
		"kept connection, part of a header":      {answered: true, before: request[:18], during: request[18:], want: http.StatusNoContent},
		"new connection, silent":                 {},
		"kept connection, silent":                {answered: true},
		"header up to the end of a line, silent": {before: request[:16], want: http.StatusRequestTimeout, wantRetryable: true},
		"part of a line, silent":                 {before: request[:18], want: http.StatusRequestTimeout, wantRetryable: true},
		"kept connection, part, silent":          {answered: true, before: request[:18], want: http.StatusRequestTimeout, wantRetryable: true},
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			require.NoError(t, err)
			defer func() { require.NoError(t, listener.Close()) }()
			caller := dialCaller(t, listener.Addr().String())
			accepted, err := listener.Accept()
			require.NoError(t, err)

			consumed := len(tc.before)
			if tc.answered {
				consumed += len(request)
			}
			conn := &standin.StalledConn{Conn: accepted, StallRead: func(bytesRead int) bool {
				if bytesRead < consumed {
					return false
				}
				_, err := io.WriteString(caller, tc.during)
				if err == nil {
					err = standin.AwaitReceived(caller)
				}
				return err == nil
			}}
			manager := newManager(10, respondNoContent)
			manager.addConn(conn, fleet.CallerLimits{HeaderTimeout: time.Hour, IdleTimeout: time.Hour}, listener.Addr())
			defer func() {
				for _, server := range manager.servers {
					require.NoError(t, server.Close())
				}
			}()

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
			if tc.wantRetryable {
				require.Equal(t, string(fleet.OutcomeNotRun), resp.Header.Get("Lf-Outcome"))
				require.NotEmpty(t, resp.Header.Get("Retry-After"))
			}
		})
	}
}

// Guards against a response that is dropped because the process was suspended for longer than the
// extended write deadline, between setting that deadline and the write.
func TestWritesHoweverOftenDeadlinePasses(t *testing.T) {
	const writes = 20000
	conn, caller := connectCaller(t)
	go func() { _, _ = io.Copy(io.Discard, caller) }() // ends when the connection closes
	stop := make(chan struct{})
	var stalls sync.WaitGroup
	stalls.Go(func() {
		past := time.Now().Add(-time.Second)
		for {
			select {
			case <-stop:
				return
			default:
				_ = conn.tcpConn.SetWriteDeadline(past) // fails only on a closed connection
			}
		}
	})
	failures := 0
	for range writes {
		require.NoError(t, conn.SetWriteDeadline(time.Now().Add(-time.Second)))
		if _, err := conn.Write([]byte("ready")); err != nil {
			failures++
		}
	}
	close(stop)
	stalls.Wait()
	require.Zero(t, failures, "of %d writes to a caller that reads", writes)
}

// Guards against the same failure, with a stall before each write.
func TestWritesInSpiteOfStallBeforeEachWrite(t *testing.T) {
	socketConn, caller := connectCaller(t)
	conn := newConn(&standin.StalledConn{Conn: socketConn.tcpConn, StallWrites: true})
	response := make([]byte, 8<<20)
	go func() {
		if conn.SetWriteDeadline(time.Now().Add(time.Hour)) == nil {
			_, _ = io.Copy(conn, bytes.NewReader(response)) // what the caller receives shows the error
		}
		_ = conn.Close() // the caller reads until then
	}()
	received, err := io.Copy(io.Discard, caller)
	require.NoError(t, err)
	require.EqualValues(t, len(response), received)
}

// Guards against a caller that holds a target, memory and a stopping router for longer than its
// deadline and the grace time, by reading just fast enough that each write of a response ends.
func TestSlowReaderSharesOneGracePeriod(t *testing.T) {
	conn, caller := connectCaller(t)
	socketConn, ok := conn.tcpConn.(*net.TCPConn)
	require.True(t, ok)
	require.NoError(t, socketConn.SetReadBuffer(4<<10))
	require.NoError(t, socketConn.SetWriteBuffer(4<<10))
	require.NoError(t, conn.SetWriteDeadline(time.Now().Add(-time.Second)))
	stop := make(chan struct{})
	var reader sync.WaitGroup
	reader.Go(func() {
		buffer := make([]byte, 64<<10)
		for {
			select {
			case <-stop:
				return
			case <-time.After(200 * time.Millisecond):
				if _, err := caller.Read(buffer); err != nil {
					return
				}
			}
		}
	})
	startedAt := time.Now()
	var err error
	for err == nil && time.Since(startedAt) < 5*lateWriteTime {
		_, err = conn.Write(make([]byte, 32<<10))
	}
	close(stop)
	reader.Wait()
	require.Error(t, err, "the caller still holds the response after %s", time.Since(startedAt))
}

// Guards against resetting connections in the accept queue of a stopping router that finds its
// grace period over when it resumes after it was suspended.
func TestAcceptsQueuedConnectionsAfterStall(t *testing.T) {
	manager, listener, done := startClosable(t)
	manager.mu.Lock() // blocks accepting
	var conns []net.Conn
	for range 3 {
		conn := dialCaller(t, listener.Addr().String())
		_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
		conns = append(conns, conn)
	}
	past := time.Now().Add(-time.Second)
	manager.graceEnd.Store(&past)
	closed := make(chan error, 1)
	go func() {
		manager.DrainAcceptQueue(listener)
		closed <- listener.Close()
	}()
	time.Sleep(acceptQueueTimeout / 10)
	manager.mu.Unlock()
	for _, conn := range conns {
		requireNoContent(t, conn)
	}
	require.NoError(t, <-closed)
	require.NoError(t, <-done)
}

// Guards against closing connections with requests that arrived while a stopping router was
// suspended beyond its grace period.
func TestCloseAnswersRequestThatArrivedInStall(t *testing.T) {
	manager, listener, done := startClosable(t)
	first := dialCaller(t, listener.Addr().String())
	require.NoError(t, sendRequest(first))
	for range maxUnreadRequests {
		manager.readSlots <- struct{}{} // occupy all read slots
	}
	_, err := io.WriteString(first, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	require.NoError(t, standin.AwaitReceived(first))
	past := time.Now().Add(-time.Second)
	manager.graceEnd.Store(&past)
	require.NoError(t, listener.Close())
	time.Sleep(unansweredPollInterval)
	for range maxUnreadRequests {
		<-manager.readSlots
	}
	requireNoContent(t, first)
	require.NoError(t, <-done)
}
