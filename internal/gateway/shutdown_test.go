package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"
)

// Symptom: a router that leaves closes callers' connections without an answer, though
// it has read their requests.
// Sequence: requests wait for their turn to be read; nothing else is in progress, and
// the router closes.
// Cause: what waits for its turn did not count as being in progress.
func TestStoppingAnswersWhatWaitsForItsTurn(t *testing.T) {
	c, l, done := closable(t)
	first := dialCaller(t, l.Addr().String())
	require.NoError(t, ask(first))
	for range maxUnreadRequests {
		c.readSlots <- struct{}{} // others are being read
	}
	waits := dialCaller(t, l.Addr().String())
	_, err := io.WriteString(waits, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return c.connCount() == 2 }, 5*time.Second, time.Millisecond)
	time.Sleep(50 * time.Millisecond) // it has begun to read
	require.NoError(t, l.Close())
	time.Sleep(50 * time.Millisecond) // and the router has begun to close
	for range maxUnreadRequests {
		<-c.readSlots
	}
	requireAnswer(t, waits)
	require.NoError(t, <-done)
}

// Symptom, sequence and cause as above, where the head of the request comes in parts.
func TestStoppingAnswersWhatIsBeingRead(t *testing.T) {
	c, l, done := closable(t)
	half := dialCaller(t, l.Addr().String())
	_, err := io.WriteString(half, "GET / HTTP/1.1\r\nHost: h\r\n")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return c.connCount() == 1 }, 5*time.Second, time.Millisecond)
	time.Sleep(50 * time.Millisecond) // it has begun to read
	require.NoError(t, l.Close())
	time.Sleep(50 * time.Millisecond) // and the router has begun to close
	_, err = io.WriteString(half, "\r\n")
	require.NoError(t, err)
	requireAnswer(t, half)
	require.NoError(t, <-done)
}

// Symptom: callers whose connections a router never took are reset as it leaves.
// Sequence: their connections wait to be accepted when its listener closes.
func TestCallersInTheQueueAreLetInBeforeItCloses(t *testing.T) {
	c, l, done := closable(t)
	c.mu.Lock() // accepting stands still
	var conns []net.Conn
	for range 3 {
		conn := dialCaller(t, l.Addr().String())
		_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
		conns = append(conns, conn)
	}
	closed := make(chan error, 1)
	go func() {
		(&connManager{}).drainAcceptQueue(l)
		closed <- l.Close()
	}()
	time.Sleep(acceptQueueTimeout / 5)
	c.mu.Unlock()
	for _, conn := range conns {
		requireAnswer(t, conn)
	}
	require.NoError(t, <-closed)
	require.NoError(t, <-done)
}

// Symptom: a caller that has just connected to a router that leaves has its connection
// closed while its request is on the way.
// Sequence: the connection is accepted; the router closes; the request comes.
// Cause: a connection without a request counted as unused from its beginning.
func TestStoppingAnswersACallerThatHasJustConnected(t *testing.T) {
	c, l, done := closable(t)
	conn := dialCaller(t, l.Addr().String())
	require.Eventually(t, func() bool { return c.connCount() == 1 }, 5*time.Second, time.Millisecond)
	c.mu.Lock()
	for _, known := range c.conns {
		known.acceptedAt = time.Now().Add(5 * time.Second) // it stays new, however slow this machine is
	}
	c.mu.Unlock()
	require.NoError(t, l.Close())
	time.Sleep(50 * time.Millisecond) // and the router has begun to close
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	requireAnswer(t, conn)
	require.NoError(t, <-done)
}

// Symptom, sequence and cause as above, where the request came with the one before: the
// library has read it with that one.
func TestStoppingAnswersWhatCameWithTheOneBefore(t *testing.T) {
	release, entered := make(chan struct{}), make(chan struct{})
	_, l, done := closableWith(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			close(entered)
			<-release
		}
		w.WriteHeader(http.StatusNoContent)
	}))
	conn := dialCaller(t, l.Addr().String())
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\nGET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	<-entered
	require.NoError(t, l.Close())
	time.Sleep(50 * time.Millisecond) // the router has begun to close
	close(release)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
	answers := bufio.NewReader(conn)
	for range 2 {
		resp, err := http.ReadResponse(answers, nil)
		require.NoError(t, err, "the caller has an answer")
		require.NoError(t, resp.Body.Close())
	}
	require.NoError(t, <-done)
}

// Symptom: a router that was told to stop is killed at the end of its grace.
// Sequence: a caller sends half a request, and nothing more, while the router closes.
// Cause: what is being read was waited for without a bound.
func TestStoppingDoesNotWaitForHalfARequest(t *testing.T) {
	c, l, done := closableWith(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // it is cut
	}))
	half := dialCaller(t, l.Addr().String())
	_, err := io.WriteString(half, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\npart")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return c.connCount() == 1 && c.unansweredCount() == 1 }, 5*time.Second, time.Millisecond)
	require.NoError(t, l.Close())
	requireEnd(t, done)
}

// Symptom: each stop takes a second longer than it has to.
// Sequence: callers keep connections on which all was answered.
// Cause: what a connection has carried before counts as a request without an answer.
func TestConnectionsWithoutARequestAreNotWaitedFor(t *testing.T) {
	c, address := startCallers(t, 1000, noLimits, answerNothing)
	require.NoError(t, ask(dialCaller(t, address)))
	require.Eventually(t, func() bool { return c.unansweredCount() == 0 }, 10*time.Second, time.Millisecond)
}

// Symptom: a router that was told to stop ends as if it hung: with an error, and without
// its last lines.
// Sequence: the end of its grace comes while callers stand in its queue.
// Cause: they were let in for their own time, behind the end of the grace.
func TestNothingIsWaitedForBehindTheGrace(t *testing.T) {
	var c connManager
	now := time.Now()
	require.Equal(t, now.Add(time.Second), c.deadlineWithinGrace(now, time.Second), "not told to stop")
	for left, want := range map[time.Duration]time.Duration{
		time.Minute: time.Second, time.Millisecond: time.Millisecond, -time.Second: -time.Second,
	} {
		end := now.Add(left)
		c.graceEnd.Store(&end)
		require.Equal(t, now.Add(want), c.deadlineWithinGrace(now, time.Second))
	}
}

// closable runs callers until their listener closes.
func closable(t *testing.T) (*connManager, net.Listener, chan error) {
	return closableWith(t, answerNothing)
}

func closableWith(t *testing.T, h http.Handler) (*connManager, net.Listener, chan error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	c := &connManager{
		handler: h, maxConns: 1000, log: hclog.NewNullLogger(),
		newServer: func(h http.Handler) *http.Server { return &http.Server{Handler: h} },
	}
	done := make(chan error, 1)
	go func() { done <- c.run(l, noLimits) }()
	return c, l, done
}

func requireAnswer(t *testing.T, conn net.Conn) {
	t.Helper()
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err, "the caller has an answer")
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusNoContent, resp.StatusCode)
}
