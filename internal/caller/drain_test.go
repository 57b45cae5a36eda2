package caller

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against closing a connection without a response although its request has been read in
// part. Requests that wait for a read slot must count as in progress when the router closes.
func TestCloseAnswersRequestWaitingForReadSlot(t *testing.T) {
	manager, listener, done := startClosable(t)
	first := dialCaller(t, listener.Addr().String())
	require.NoError(t, sendRequest(first))
	for range maxUnreadRequests {
		manager.readSlots <- struct{}{} // occupy all read slots
	}
	waiting := dialCaller(t, listener.Addr().String())
	_, err := io.WriteString(waiting, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return manager.ConnCount() == 2 }, 5*time.Second, time.Millisecond)
	time.Sleep(50 * time.Millisecond) // the request starts waiting
	require.NoError(t, listener.Close())
	time.Sleep(50 * time.Millisecond) // the router starts closing
	for range maxUnreadRequests {
		<-manager.readSlots
	}
	requireNoContent(t, waiting)
	require.NoError(t, <-done)
}

// Guards against the same failure when the header of a request arrives in parts.
func TestCloseAnswersPartlyReadRequest(t *testing.T) {
	manager, listener, done := startClosable(t)
	conn := dialCaller(t, listener.Addr().String())
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return manager.ConnCount() == 1 }, 5*time.Second, time.Millisecond)
	time.Sleep(50 * time.Millisecond) // the router reads the first part
	require.NoError(t, listener.Close())
	time.Sleep(50 * time.Millisecond) // the router starts closing
	_, err = io.WriteString(conn, "\r\n")
	require.NoError(t, err)
	requireNoContent(t, conn)
	require.NoError(t, <-done)
}

// Guards against resetting connections that are in the accept queue when the listener closes.
func TestAcceptsQueuedConnectionsBeforeClose(t *testing.T) {
	manager, listener, done := startClosable(t)
	manager.mu.Lock() // blocks accepting
	var conns []net.Conn
	for range 3 {
		conn := dialCaller(t, listener.Addr().String())
		_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
		conns = append(conns, conn)
	}
	closed := make(chan error, 1)
	go func() {
		(&Manager{}).DrainAcceptQueue(listener)
		closed <- listener.Close()
	}()
	time.Sleep(acceptQueueTimeout / 5)
	manager.mu.Unlock()
	for _, conn := range conns {
		requireNoContent(t, conn)
	}
	require.NoError(t, <-closed)
	require.NoError(t, <-done)
}

// Guards against closing a connection that has just been accepted while its first request is on its
// way.
func TestCloseAnswersNewConnection(t *testing.T) {
	manager, listener, done := startClosable(t)
	conn := dialCaller(t, listener.Addr().String())
	require.Eventually(t, func() bool { return manager.ConnCount() == 1 }, 5*time.Second, time.Millisecond)
	manager.mu.Lock()
	for _, info := range manager.conns {
		info.acceptedAt = time.Now().Add(5 * time.Second) // it stays new, however slow this machine is
	}
	manager.mu.Unlock()
	require.NoError(t, listener.Close())
	time.Sleep(50 * time.Millisecond) // the router starts closing
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	requireNoContent(t, conn)
	require.NoError(t, <-done)
}

// Guards against the same failure for a pipelined request, which net/http has read together with
// the one before it.
func TestCloseAnswersPipelinedRequest(t *testing.T) {
	release, entered := make(chan struct{}), make(chan struct{})
	_, listener, done := startClosableWith(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			close(entered)
			<-release
		}
		w.WriteHeader(http.StatusNoContent)
	}))
	conn := dialCaller(t, listener.Addr().String())
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\nGET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	<-entered
	require.NoError(t, listener.Close())
	time.Sleep(50 * time.Millisecond) // the router starts closing
	close(release)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
	reader := bufio.NewReader(conn)
	for range 2 {
		resp, err := http.ReadResponse(reader, nil)
		require.NoError(t, err, "the caller gets a response")
		require.NoError(t, resp.Body.Close())
	}
	require.NoError(t, <-done)
}

// Guards against a shutdown that lasts until the process is killed. A caller sends only a part of
// its request, and the wait for it must be bounded.
func TestCloseDoesNotWaitForIncompleteRequest(t *testing.T) {
	manager, listener, done := startClosableWith(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // fails when the connection closes
	}))
	conn := dialCaller(t, listener.Addr().String())
	_, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\npart")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return manager.ConnCount() == 1 && manager.UnansweredCount() == 1 }, 5*time.Second, time.Millisecond)
	require.NoError(t, listener.Close())
	requireStopped(t, done)
}

// Guards against a shutdown that takes a second longer than necessary. An idle connection whose
// requests have all been answered must not count as unanswered.
func TestIdleConnectionsCountAsAnswered(t *testing.T) {
	manager, address := startManager(t, 1000, noLimits, respondNoContent)
	require.NoError(t, sendRequest(dialCaller(t, address)))
	require.Eventually(t, func() bool { return manager.UnansweredCount() == 0 }, 10*time.Second, time.Millisecond)
}

// Guards against a process that is killed as if it hung and loses its last log lines. Waits for
// queued connections must not last longer than the grace period.
func TestWaitsEndWithGracePeriod(t *testing.T) {
	var manager Manager
	now := time.Now()
	require.Equal(t, now.Add(time.Second), manager.deadlineWithinGrace(now, time.Second), "not stopping")
	for graceLeft, want := range map[time.Duration]time.Duration{
		time.Minute: time.Second, time.Millisecond: time.Millisecond, -time.Second: -time.Second,
	} {
		graceEnd := now.Add(graceLeft)
		manager.graceEnd.Store(&graceEnd)
		require.Equal(t, now.Add(want), manager.deadlineWithinGrace(now, time.Second))
	}
}

// startClosable runs a Manager until its listener closes.
func startClosable(t *testing.T) (*Manager, net.Listener, chan error) {
	return startClosableWith(t, respondNoContent)
}

func startClosableWith(t *testing.T, handler http.Handler) (*Manager, net.Listener, chan error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	manager := newManager(1000, handler)
	done := make(chan error, 1)
	go func() { done <- manager.Run(listener) }()
	return manager, listener, done
}

func requireNoContent(t *testing.T, conn net.Conn) {
	t.Helper()
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err, "the caller gets a response")
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusNoContent, resp.StatusCode)
}
