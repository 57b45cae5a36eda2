package caller

import (
	"net"
	"net/http"
	"testing"
	"time"

	"laburnumfall/internal/socket"

	"github.com/stretchr/testify/require"
)

var testStart = time.Unix(1e9, 0)

func TestOverloadAfterLongWait(t *testing.T) {
	for _, tc := range []struct {
		name       string
		wait       time.Duration
		overloaded bool
	}{
		{"no wait", 0, false},
		{"short wait", overloadThreshold - time.Millisecond, false},
		{"long wait", overloadThreshold, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var detector overloadDetector
			require.Equal(t, tc.overloaded, detector.recordWait(testStart, tc.wait))
			require.Equal(t, tc.overloaded, detector.isOverloaded(testStart))
			require.False(t, detector.isOverloaded(testStart.Add(minOverloadPeriod)))
		})
	}
}

// Guards against an overload that the load balancer does not notice. Callers arrive faster than the
// router can refuse them, and the accept queue grows until its connections are older than callers
// wait. Requests that are read are answered soon, so only the queue shows the overload.
func TestOverloadWhileQueueIsNeverEmpty(t *testing.T) {
	var detector overloadDetector
	now := testStart
	for now.Sub(testStart) < overloadThreshold {
		require.False(t, detector.recordQueueCheck(now, true))
		now = now.Add(queueCheckInterval)
	}
	require.True(t, detector.recordQueueCheck(now, true))
	require.True(t, detector.isOverloaded(now))
}

func TestNoOverloadIfQueueEmptiesRegularly(t *testing.T) {
	var detector overloadDetector
	for i := range 100 {
		require.False(t, detector.recordQueueCheck(testStart.Add(time.Duration(i)*queueCheckInterval), i%5 != 0))
	}
}

// Guards against an idle router that reports an overload. Two connections wait at the same time,
// and some time later two more; the queue was empty in between.
func TestNoOverloadFromDistantQueueChecks(t *testing.T) {
	var detector overloadDetector
	for i := range 100 {
		require.False(t, detector.recordQueueCheck(testStart.Add(time.Duration(i)*10*maxQueueCheckGap), true))
	}
}

// Guards against a router that alternates between accepting all callers and none. The same callers
// come back as soon as it is ready again, so the overload period has to grow.
func TestOverloadPeriodGrowsOnRepeat(t *testing.T) {
	var detector overloadDetector
	now := testStart
	for _, want := range []time.Duration{minOverloadPeriod, 2 * minOverloadPeriod, 4 * minOverloadPeriod, maxOverloadPeriod, maxOverloadPeriod} {
		require.True(t, detector.recordWait(now, time.Second))
		require.False(t, detector.recordWait(now, time.Second), "it is overloaded already")
		require.Equal(t, want, detector.overloadedUntil.Sub(now))
		now = detector.overloadedUntil
	}
	now = now.Add(2 * maxOverloadPeriod)
	require.True(t, detector.recordWait(now, time.Second))
	require.Equal(t, minOverloadPeriod, detector.overloadedUntil.Sub(now), "an overload long ago does not count")
}

func TestDetectsPendingConnections(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() }) // it is only needed until the test ends
	require.False(t, socket.HasPendingConn(listener))
	dialCaller(t, listener.Addr().String())
	require.Eventually(t, func() bool { return socket.HasPendingConn(listener) }, 5*time.Second, time.Millisecond)
	conn, err := listener.Accept()
	require.NoError(t, err)
	require.NoError(t, conn.Close())
	require.False(t, socket.HasPendingConn(listener))
}

// Guards against the same overload when connections are accepted at once, and their requests wait
// for a read slot.
func TestOverloadByUnreadRequests(t *testing.T) {
	release := make(chan struct{})
	handler := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release })
	manager, address := startManager(t, 1000, noLimits, handler)
	t.Cleanup(func() { close(release) })
	require.False(t, manager.IsOverloaded())
	for range 20 * maxUnreadRequests {
		_, err := dialCaller(t, address).Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
		require.NoError(t, err)
	}
	require.Eventually(t, manager.IsOverloaded, 10*time.Second, 5*time.Millisecond)
}
