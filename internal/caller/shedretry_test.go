package caller

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRetrySchedule(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, tc := range []struct {
		name      string
		freshWait time.Duration
		shedCount int // callers that are shed at once
		pause     time.Duration
		want      time.Duration // for the next caller
	}{
		{"first caller", 320 * time.Millisecond, 0, 0, 20 * time.Millisecond},
		{"nothing known about waits", 0, 1000, 0, 20 * time.Millisecond},
		{"one place per 2.5 ms", 320 * time.Millisecond, 40, 0, 120 * time.Millisecond},
		{"one place per 5 ms", 640 * time.Millisecond, 40, 0, 220 * time.Millisecond},
		{"more callers than places in the longest time", 320 * time.Millisecond, 10_000, 0, time.Second},
		{"all have retried", 320 * time.Millisecond, 10_000, time.Second, 20 * time.Millisecond},
		{"half of them have retried", 320 * time.Millisecond, 80, 100 * time.Millisecond, 120 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var schedule retrySchedule
			for range 1000 {
				schedule.recordRead(tc.freshWait)
			}
			for range tc.shedCount {
				require.LessOrEqual(t, schedule.next(start), maxShedRetryAfter)
			}
			require.InDelta(t, tc.want, schedule.next(start.Add(tc.pause)), float64(3*time.Millisecond))
		})
	}
}

// Guards against a router that spends its processor time on refusals while most callers of a large
// account reach it, so that it reads few requests and the account gets less service than others.
func TestSpreadRetriesLeaveTimeForReading(t *testing.T) {
	var schedule retrySchedule
	immediate := readRequests(func(time.Time) time.Duration { return minShedRetryAfter }, func(time.Duration) {})
	spread := readRequests(schedule.next, schedule.recordRead)
	t.Logf("requests read: %d if all retry at once, %d if their retries are spread", immediate, spread)
	require.Greater(t, spread, immediate)
}

// readRequests simulates callers that reach a router faster than it can read their requests, and
// returns how many requests it reads. Callers retry as often as they may.
func readRequests(retryAfter func(now time.Time) time.Duration, recordRead func(wait time.Duration)) int {
	const (
		tick          = time.Millisecond
		duration      = 5 * time.Second
		callersPerMs  = 1
		maxAttempts   = 4
		readTime      = 2500 * time.Microsecond // half a millisecond with a fifth of a core
		shedTime      = 250 * time.Microsecond
		callerPatient = time.Second
	)
	start := time.Unix(1000, 0)
	arrivals := make(map[time.Duration][]int) // attempts of the callers, by time of arrival
	var fresh []time.Duration                 // when the connections arrived whose request is not read
	readCount := 0
	processorTime := time.Duration(0)
	for now := time.Duration(0); now < duration; now += tick {
		processorTime += tick
		for range callersPerMs {
			arrivals[now] = append(arrivals[now], 1)
		}
		for _, attempt := range arrivals[now] {
			if len(fresh) < maxFreshConns {
				fresh = append(fresh, now)
				continue
			}
			processorTime -= shedTime
			if attempt < maxAttempts {
				at := (now + retryAfter(start.Add(now))).Truncate(tick)
				arrivals[at] = append(arrivals[at], attempt+1)
			}
		}
		delete(arrivals, now)
		for len(fresh) > 0 && processorTime >= readTime {
			processorTime -= readTime
			recordRead(now - fresh[0])
			if now-fresh[0] < callerPatient {
				readCount++
			}
			fresh = fresh[1:]
		}
		processorTime = min(processorTime, readTime)
	}
	return readCount
}

// Guards against shed callers that all retry at the same moment, so that most are shed again.
func TestRetriesOfShedCallersAreSpread(t *testing.T) {
	const handlerTime, shedCount = 50 * time.Millisecond, 100
	manager := newManager(1000, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(handlerTime) // the other requests wait for a read slot
		w.WriteHeader(http.StatusNoContent)
	}))
	manager.freshTimeout = time.Hour // so that connections count until their requests have been read
	address := manager.start(t)
	for range maxFreshConns {
		_, err := io.WriteString(dialCaller(t, address), "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
	}
	require.Eventually(t, func() bool { return manager.countFresh() == 0 }, 10*time.Second, time.Millisecond)
	now := time.Now()
	require.Equal(t, minShedRetryAfter, manager.recordShed(now))
	for range shedCount {
		manager.recordShed(now)
	}
	require.Greater(t, manager.recordShed(now), minShedRetryAfter+shedCount*handlerTime/maxFreshConns)
}
