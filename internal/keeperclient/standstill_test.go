package keeperclient

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against new work that is sent by what a router knew before its process stood still.
func TestARouterThatStoodStillIsNotInformed(t *testing.T) {
	start := time.Unix(1e9, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	const pause = 500 * time.Millisecond
	newPulse := func() *pulse {
		p := &pulse{}
		require.True(t, p.informed(start), "it has just started")
		require.False(t, p.beat(start, pause))
		require.False(t, p.beat(at(pause+standstill/2), pause), "it was late, and ran")
		p.heard.Store(at(pause + standstill/2).UnixNano())
		return p
	}
	const wake = 10 * time.Second
	for name, tt := range map[string]struct {
		asked    time.Duration // of the answer that came after the standstill, if any
		after    time.Duration // the standstill
		informed bool
	}{
		"nothing is heard yet":                  {after: askFirst / 2},
		"an answer from before is read":         {asked: time.Second, after: askFirst / 2},
		"the leader has answered":               {asked: wake, after: askFirst / 2, informed: true},
		"no leader answers":                     {after: askFirst, informed: true},
		"an old answer, and no leader is there": {asked: time.Second, after: askFirst, informed: true},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPulse()
			require.False(t, p.informed(at(wake)), "requests may run before the talk goes on")
			require.True(t, p.beat(at(wake), pause))
			if tt.asked > 0 {
				p.heard.Store(at(tt.asked).UnixNano())
			}
			require.Equal(t, tt.informed, p.informed(at(wake+tt.after)))
		})
	}
}
