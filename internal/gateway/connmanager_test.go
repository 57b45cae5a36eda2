package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"laburnumfall/internal/fleet"
)

func startCallers(t *testing.T, most int, limits func() fleet.CallerLimits, h http.Handler) (*connManager, string) {
	c := newCallers(most, h)
	return c, c.start(t, limits)
}

func newCallers(most int, h http.Handler) *connManager {
	return &connManager{
		handler:   h,
		maxConns:  most,
		newServer: func(h http.Handler) *http.Server { return &http.Server{Handler: h} },
		log:       hclog.NewNullLogger(),
	}
}

// start has connections taken at an address.
func (c *connManager) start(t *testing.T, limits func() fleet.CallerLimits) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	done := make(chan error, 1)
	go func() { done <- c.run(l, limits) }()
	t.Cleanup(func() {
		require.NoError(t, l.Close())
		require.NoError(t, <-done)
	})
	return l.Addr().String()
}

// answerNothing answers at once.
var answerNothing = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })

func noLimits() fleet.CallerLimits { return fleet.CallerLimits{} }

// ask makes a request on an open connection.
func ask(c net.Conn) error {
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

func dialCaller(t *testing.T, address string) net.Conn {
	c, err := net.Dial("tcp4", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() }) // it may be closed already
	return c
}

// Symptom: callers time out at a router that answers others within
// milliseconds.
// Sequence: refused callers come back on new connections and leave the old ones
// open, until the process has no descriptor left.
// Cause: nothing bounds the connections that are idle.
func TestIdleConnectionsMakeRoomForNewCallers(t *testing.T) {
	const most = 8
	c, address := startCallers(t, most, noLimits, answerNothing)
	var conns []net.Conn
	for range 5 * most {
		conn := dialCaller(t, address)
		require.NoError(t, ask(conn))
		require.Eventually(t, c.allIdle, 5*time.Second, time.Millisecond) // they are so in the order of their answers
		conns = append(conns, conn)
	}
	require.Eventually(t, func() bool { return c.connCount() <= most+1 }, 5*time.Second, time.Millisecond)
	require.NoError(t, ask(conns[len(conns)-1]), "the newest is still open")
	require.Error(t, ask(conns[0]), "the one that was idle the longest is closed")
}

// allIdle reports whether no open connection is in use.
func (c *connManager) allIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, known := range c.conns {
		if known.idleSince.IsZero() {
			return false
		}
	}
	return true
}

func TestNewLimitsHoldForNewConnections(t *testing.T) {
	var idle atomic.Int64
	idle.Store(int64(time.Minute))
	_, address := startCallers(t, 100, func() fleet.CallerLimits {
		return fleet.CallerLimits{IdleTimeout: time.Duration(idle.Load())}
	}, answerNothing)
	old := dialCaller(t, address)
	require.NoError(t, ask(old))
	idle.Store(int64(30 * time.Millisecond))
	fresh := dialCaller(t, address)
	require.NoError(t, ask(fresh))
	require.NoError(t, fresh.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err := fresh.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF, "its idle time is over")
	require.NoError(t, ask(old), "the old one keeps its own")
}

// Symptom: a router that is pressed by callers stays on an old configuration for
// seconds, and its lease on keys lapses.
// Sequence: far more requests come in than it can work on; its talk with the
// keepers waits its turn behind all of them.
// Cause: every request is read at once.
func TestRequestsAreReadAFewAtATime(t *testing.T) {
	var inside, most atomic.Int64
	c := newCallers(1000, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		most.Store(max(most.Load(), inside.Add(1)))
		time.Sleep(2 * time.Millisecond)
		inside.Add(-1)
		w.WriteHeader(http.StatusNoContent)
	}))
	c.unreadTimeout = time.Hour // or one that gets no processor meanwhile counts no more
	address := c.start(t, noLimits)
	const callers = 6 * maxUnreadRequests
	done := make(chan error, callers)
	for range callers {
		conn := dialCaller(t, address)
		go func() {
			err := ask(conn)
			if err == nil {
				err = ask(conn) // on a kept connection
			}
			done <- err
		}()
	}
	for range callers {
		require.NoError(t, <-done)
	}
	require.LessOrEqual(t, most.Load(), int64(maxUnreadRequests))
}

// Symptom: callers wait behind one that sends nothing.
// Sequence: as many callers as may be read at a time each send a part of a
// request.
// Cause: a request counts as being read until it is whole.
func TestSlowCallersHoldNobodyUp(t *testing.T) {
	_, address := startCallers(t, 1000, noLimits, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err == nil {
			w.WriteHeader(http.StatusNoContent)
		}
	}))
	for range 2 * maxUnreadRequests {
		_, err := io.WriteString(dialCaller(t, address), "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\npart")
		require.NoError(t, err)
	}
	conn := dialCaller(t, address)
	require.NoError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
	require.NoError(t, ask(conn))
}

// Symptom: a request that a router has begun to read ends without an answer.
// Sequence: it waits, on a kept connection, until few enough others are read;
// meanwhile a new caller makes the router close idle connections.
// Cause: a connection counts as idle until its request's turn has come.
func TestARequestThatWaitsToBeReadIsNotClosed(t *testing.T) {
	release := make(chan struct{})
	c, address := startCallers(t, maxUnreadRequests+1, noLimits, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-release
		}
		w.WriteHeader(http.StatusNoContent)
	}))
	kept := dialCaller(t, address)
	require.NoError(t, ask(kept))
	for range maxUnreadRequests {
		_, err := io.WriteString(dialCaller(t, address), "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
	}
	require.Eventually(t, func() bool { return len(c.readSlots) == maxUnreadRequests }, 5*time.Second, 10*time.Microsecond)
	done := make(chan error, 1)
	go func() { done <- ask(kept) }()
	time.Sleep(20 * time.Millisecond)
	dialCaller(t, address)
	time.Sleep(20 * time.Millisecond)
	close(release)
	require.NoError(t, <-done)
}

// Symptom: targets get requests of callers that left long before.
// Sequence: a request waits to be read; its caller gives up and closes; the
// library has not come to read the close when the request is judged.
// Cause: only the request's context tells that its caller has gone.
func TestACallerThatHasClosedHasLeft(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }() // the test is over
	caller := dialCaller(t, l.Addr().String())
	conn, err := l.Accept()
	require.NoError(t, err)
	defer func() { _ = conn.Close() }() // the test is over
	ctx := contextWithConn(context.Background(), conn)
	require.False(t, callerLeft(ctx))
	require.NoError(t, caller.Close())
	require.Eventually(t, func() bool { return callerLeft(ctx) }, 5*time.Second, time.Millisecond)
	require.NoError(t, ctx.Err())
}

// Symptom: a router that was told to stop is killed at the end of its grace;
// callers whose connections it took last get no answer.
// Sequence: connections come while the servers are closed.
// Cause: closing a server waits for its accepting to end, which waits for a lock
// that the closing holds.
func TestStoppingWhileCallersComeIn(t *testing.T) {
	over := time.Now()
	for name, end := range map[string]*time.Time{"with time left": nil, "with none": &over} {
		t.Run(name, func(t *testing.T) {
			for range 100 {
				stopWhileCallersComeIn(t, end)
			}
		})
	}
}

func stopWhileCallersComeIn(t *testing.T, end *time.Time) {
	c := &connManager{
		handler: answerNothing, maxConns: 1000, log: hclog.NewNullLogger(),
		newServer: func(h http.Handler) *http.Server { return &http.Server{Handler: h} },
	}
	c.graceEnd.Store(end)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	done := make(chan error, 1)
	go func() { done <- c.run(l, noLimits) }()
	var conns []net.Conn
	for range 10 {
		conns = append(conns, dialCaller(t, l.Addr().String()))
	}
	require.NoError(t, l.Close())
	requireEnd(t, done)
	for _, conn := range conns {
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
		_, err := conn.Read(make([]byte, 1))
		require.NotErrorIs(t, err, os.ErrDeadlineExceeded, "nobody is left waiting")
	}
}

func requireEnd(t *testing.T, done chan error) {
	t.Helper()
	select {
	case err := <-done:
		require.NoError(t, err)
	case <-time.After(10 * time.Second):
		require.Fail(t, "the callers' connections were not closed")
	}
}

// Symptom: callers wait for an answer that never comes, after a change of the
// configuration.
// Sequence: a connection is accepted; before its server has taken it, new limits
// replace that server.
// Cause: a feed that closes drops what it holds.
func TestAFeedThatClosesGivesOutWhatItHolds(t *testing.T) {
	for range 100 {
		f := newConnListener(nil)
		a, b := net.Pipe()
		require.NoError(t, b.Close())
		f.conns <- a
		require.NoError(t, f.Close())
		got, err := f.Accept()
		require.NoError(t, err)
		require.Equal(t, a, got)
		_, err = f.Accept()
		require.ErrorIs(t, err, net.ErrClosed)
	}
}
