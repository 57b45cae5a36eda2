package gateway

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/clock"
	"laburnumfall/internal/fleet"
	"laburnumfall/internal/placement"
	"laburnumfall/internal/upstream"
)

// Guards against an attempt that is given up, and run again elsewhere, because its router
// stood still.
func TestATimerThatFiresLateGivesNoAttemptUp(t *testing.T) {
	for name, tt := range map[string]struct {
		due     time.Duration // before now
		answers bool
		givenUp bool
	}{
		"in time":              {due: maxTimerDelay / 2, givenUp: true},
		"late":                 {due: 2 * maxTimerDelay},
		"the answer is there":  {due: maxTimerDelay / 2, answers: true},
		"late, and it's there": {due: 2 * maxTimerDelay, answers: true},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			require.NoError(t, err)
			defer func() { require.NoError(t, l.Close()) }()
			now := &clock.MockClock{Time: time.Unix(1e9, 0)}
			g := &Gateway{Clock: now}
			g.Settings.RetrySlack, g.Settings.RetryWindow = 10, time.Minute
			g.placer.Routers = 1
			conn, err := (&upstream.Pool{Clock: now}).Get(context.Background(), fleet.Incarnation{ID: "a"}, l.Addr().String())
			require.NoError(t, err)
			defer func() { _ = conn.Close() }() // it may have been given up
			there, err := l.Accept()
			require.NoError(t, err)
			defer func() { require.NoError(t, there.Close()) }()
			if tt.answers {
				_, err := there.Write([]byte("H"))
				require.NoError(t, err)
				require.Eventually(t, func() bool { return !conn.Quiet() }, time.Second, time.Millisecond)
			}
			q := &request{route: &fleet.Route{Kind: fleet.RouteIdempotent, MaxAttempts: 2, Timeout: time.Minute}, arrivedAt: now.Time, deadline: now.Time.Add(time.Minute), attempts: 1}
			w := &hangWatchdog{gateway: g, request: q, choice: &placement.Choice{}, conn: conn}
			w.start()
			require.NotNil(t, w.timer)
			w.dueAt = now.Time.Add(-tt.due)
			w.fire()
			require.Equal(t, !tt.answers && !tt.givenUp, w.dueAt.After(now.Time), "the target gets its time anew")
			require.Equal(t, tt.givenUp, w.stop())
		})
	}
}
