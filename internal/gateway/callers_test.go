package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/fleet"
)

func startCallers(t *testing.T, most int, limits func() fleet.CallerLimits, h http.Handler) (*callers, string) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	c := &callers{
		handler: h,
		most:    most,
		server:  func(h http.Handler) *http.Server { return &http.Server{Handler: h} },
	}
	done := make(chan error, 1)
	go func() { done <- c.run(l, limits) }()
	t.Cleanup(func() {
		require.NoError(t, l.Close())
		require.NoError(t, <-done)
	})
	return c, l.Addr().String()
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
		conns = append(conns, conn)
	}
	require.Eventually(t, func() bool { return c.count() <= most+1 }, 5*time.Second, time.Millisecond)
	require.NoError(t, ask(conns[len(conns)-1]), "the newest is still open")
	require.Error(t, ask(conns[0]), "the one that was idle the longest is closed")
}

func TestNewLimitsHoldForNewConnections(t *testing.T) {
	var idle atomic.Int64
	idle.Store(int64(time.Minute))
	_, address := startCallers(t, 100, func() fleet.CallerLimits {
		return fleet.CallerLimits{IdleTime: time.Duration(idle.Load())}
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
// seconds.
// Sequence: far more new connections come in than it can work on; its talk with
// the keepers waits its turn behind all of them.
// Cause: every connection is taken in at once.
func TestNewConnectionsAreTakenInAFewAtATime(t *testing.T) {
	var inside, most atomic.Int64
	release := make(chan struct{})
	_, address := startCallers(t, 1000, noLimits, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		most.Store(max(most.Load(), inside.Add(1)))
		<-release
		inside.Add(-1)
		w.WriteHeader(http.StatusNoContent)
	}))
	const callers = 3 * mostUnread
	done := make(chan error, callers)
	for range callers {
		conn := dialCaller(t, address)
		go func() { done <- ask(conn) }()
	}
	require.Eventually(t, func() bool { return inside.Load() == mostUnread }, 5*time.Second, time.Millisecond)
	time.Sleep(20 * time.Millisecond)
	require.Equal(t, int64(mostUnread), most.Load())
	close(release)
	for range callers {
		require.NoError(t, <-done)
	}
}
