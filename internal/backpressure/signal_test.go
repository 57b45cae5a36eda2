package backpressure_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/backpressure"
)

func TestParseBackoff(t *testing.T) {
	const date = "Thu, 03 Dec 2026 17:00:00 GMT"
	for _, tt := range []struct {
		name       string
		status     int
		retryAfter string
		date       string
		want       time.Duration
	}{
		{name: "seconds", status: 503, retryAfter: "3", want: 3 * time.Second},
		{name: "fraction", status: 503, retryAfter: " 0.25 ", want: 250 * time.Millisecond},
		{name: "date", status: 503, retryAfter: "Thu, 03 Dec 2026 17:00:07 GMT", date: date, want: 7 * time.Second},
		{name: "date in the past", status: 503, retryAfter: "Thu, 03 Dec 2026 16:59:00 GMT", date: date},
		{name: "date without Date header", status: 503, retryAfter: "Thu, 03 Dec 2026 17:00:07 GMT"},
		{name: "too large for a float", status: 503, retryAfter: "1e999", want: 24 * time.Hour},
		{name: "long", status: 503, retryAfter: "1e12", want: 24 * time.Hour},
		{name: "zero", status: 503, retryAfter: "0"},
		{name: "negative", status: 503, retryAfter: "-1"},
		{name: "negative and too large", status: 503, retryAfter: "-1e999"},
		{name: "no number", status: 503, retryAfter: "NaN"},
		{name: "infinite", status: 503, retryAfter: "inf"},
		{name: "words", status: 503, retryAfter: "soon", date: date},
		{name: "absent", status: 503},
		{name: "other status", status: 429, retryAfter: "3"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			require.Equal(t, tt.want, backpressure.ParseBackoff(tt.status, tt.retryAfter, tt.date))
		})
	}
}

func TestParseLeaving(t *testing.T) {
	for value, want := range map[string]bool{"1": true, " true": true, "0": false, "false": false, "": false, "soon": false} {
		require.Equal(t, want, backpressure.ParseLeaving(value), value)
	}
}

// Any value yields a time that can be added to a clock.
func FuzzParseBackoff(f *testing.F) {
	for _, value := range []string{"3", "0.5", "-1", "1e999", "NaN", "0x1p-2", "Thu, 03 Dec 2026 17:00:00 GMT", ""} {
		f.Add(503, value, "Thu, 03 Dec 2026 17:00:00 GMT")
	}
	f.Fuzz(func(t *testing.T, status int, retryAfter, date string) {
		backoff := backpressure.ParseBackoff(status, retryAfter, date)
		require.GreaterOrEqual(t, backoff, time.Duration(0))
		require.LessOrEqual(t, backoff, 24*time.Hour)
		if status != 503 {
			require.Zero(t, backoff)
		}
	})
}

// Guards against requests shortly before a pause ends by the target's clock, from a router whose clock
// runs 2% fast.
func TestBackoffOutlastsFastClock(t *testing.T) {
	const fast = 1.02
	for _, backoff := range []time.Duration{time.Millisecond, 2 * time.Second, time.Minute} {
		signal := backpressure.Signal{Backoff: backoff, Leaving: true}.WithDrift()
		require.GreaterOrEqual(t, float64(signal.Backoff)/fast, float64(backoff))
		require.Less(t, signal.Backoff, backoff+backoff/20)
		require.True(t, signal.Leaving)
	}
	require.True(t, backpressure.Signal{}.WithDrift().IsZero())
}
