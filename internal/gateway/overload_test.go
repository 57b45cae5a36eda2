package gateway

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var noon = time.Unix(1e9, 0)

func TestPressureByHowLongRequestsWait(t *testing.T) {
	for _, tc := range []struct {
		name   string
		wait   time.Duration
		behind bool
	}{
		{"no wait", 0, false},
		{"a short one", overloadThreshold - time.Millisecond, false},
		{"a long one", overloadThreshold, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var p overloadDetector
			require.Equal(t, tc.behind, p.recordWait(noon, tc.wait))
			require.Equal(t, tc.behind, p.isOverloaded(noon))
			require.False(t, p.isOverloaded(noon.Add(minOverloadPeriod)))
		})
	}
}

// Symptom: the failed requests of a whole fleet are those of one router.
// Sequence: the clients of a large account come in through one router, more of
// them than its processor can refuse; its queue of new connections grows until
// each in it is older than its caller waits.
// Cause: nothing tells the balancer that the router is behind; each request that
// it reads is read soon.
func TestAQueueOfConnectionsThatIsNeverEmptyIsPressure(t *testing.T) {
	var p overloadDetector
	now := noon
	for now.Sub(noon) < overloadThreshold {
		require.False(t, p.recordQueueCheck(now, true))
		now = now.Add(queueCheckInterval)
	}
	require.True(t, p.recordQueueCheck(now, true))
	require.True(t, p.isOverloaded(now))
}

func TestAQueueThatIsEmptyAtTimesIsNoPressure(t *testing.T) {
	var p overloadDetector
	for i := range 100 {
		require.False(t, p.recordQueueCheck(noon.Add(time.Duration(i)*queueCheckInterval), i%5 != 0))
	}
}

// Symptom: a router without load sends its callers away.
// Sequence: two connections wait at once, some time later two more.
// Cause: the time between counts as if the queue had never been empty.
func TestLooksFarApartAreNotOneStretch(t *testing.T) {
	var p overloadDetector
	for i := range 100 {
		require.False(t, p.recordQueueCheck(noon.Add(time.Duration(i)*10*maxQueueCheckGap), true))
	}
}

// Symptom: a router flaps between taking all callers and none.
// Sequence: each time it is ready again the same callers come back and it is
// behind at once.
// Cause: the relief is the same however often that happens.
func TestReliefGrowsWhereTheLoadComesBack(t *testing.T) {
	var p overloadDetector
	now := noon
	for _, want := range []time.Duration{minOverloadPeriod, 2 * minOverloadPeriod, 4 * minOverloadPeriod, maxOverloadPeriod, maxOverloadPeriod} {
		require.True(t, p.recordWait(now, time.Second))
		require.False(t, p.recordWait(now, time.Second), "it is behind already")
		require.Equal(t, want, p.overloadedUntil.Sub(now))
		now = p.overloadedUntil
	}
	now = now.Add(2 * maxOverloadPeriod)
	require.True(t, p.recordWait(now, time.Second))
	require.Equal(t, minOverloadPeriod, p.overloadedUntil.Sub(now), "long ago does not count")
}

func TestQueuedConnectionsAreSeen(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() }) // nothing is on it
	require.False(t, hasPendingConn(l))
	dialCaller(t, l.Addr().String())
	require.Eventually(t, func() bool { return hasPendingConn(l) }, 5*time.Second, time.Millisecond)
	conn, err := l.Accept()
	require.NoError(t, err)
	require.NoError(t, conn.Close())
	require.False(t, hasPendingConn(l))
}

// Symptom and cause as above; here the connections are accepted, and what waits is
// their requests.
func TestRequestsThatWaitUnreadArePressure(t *testing.T) {
	release := make(chan struct{})
	handler := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release })
	c, address := startCallers(t, 1000, noLimits, handler)
	t.Cleanup(func() { close(release) })
	require.False(t, c.isOverloaded())
	for range 20 * maxUnreadRequests {
		_, err := dialCaller(t, address).Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
		require.NoError(t, err)
	}
	require.Eventually(t, c.isOverloaded, 10*time.Second, 5*time.Millisecond)
}
