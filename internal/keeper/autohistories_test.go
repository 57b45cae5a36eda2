package keeper

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Symptom: an acknowledged configuration is lost or shown older, a withdrawn key
// goes on working, or the keepers never serve again.
// Sequence: random orders, restarts, losses of power, freezes, cuts in halves,
// full disks, lost disks and VMs that are replaced at other addresses.
// Cause: membership that changes by itself and leaves two quorums, or none; a
// lease on keys from an answer that was overtaken.
func TestAGroupThatTendsItselfThroughThousandHistories(t *testing.T) {
	histories := 1000
	if testing.Short() {
		histories = 40
	}
	acked := uint64(0)
	for seed := range histories {
		g := newTended(t, uint64(seed), 5)
		require.True(t, g.settle(), "history %d begins", seed)
		for range 20 {
			g.act()
			g.run(time.Duration(20+g.random.IntN(700)) * time.Millisecond)
		}
		require.True(t, g.settle(), "history %d recovers: %s", seed, g.state())
		g.run(2 * time.Second)
		g.put()
		g.run(3 * time.Second)
		for _, r := range g.routers {
			require.Equal(t, g.acked, r.number, "history %d: router %s", seed, r.name)
			require.True(t, r.until.After(g.clock.Time), "history %d: router %s has its lease on keys", seed, r.name)
		}
		acked += g.acked
	}
	require.Greater(t, acked, uint64(3*histories))
}

// TestTimeWithoutALeader measures, over 20 seeds, how long no keeper leads after
// each kind of failure, and holds the worst.
func TestTimeWithoutALeader(t *testing.T) {
	kinds := []struct {
		name string
		do   func(g *tended, l *keeperVM)
		most time.Duration
	}{
		{"leader killed, back at once", func(g *tended, l *keeperVM) { g.restart(l, false) }, 2 * time.Second},
		{"leader told to stop", func(g *tended, l *keeperVM) {
			require.NoError(t, l.core.resign())
			g.run(4 * tendedStep) // its last messages get out
			l.core, l.gone = nil, true
		}, 2 * time.Second},
		{"leader gone", func(_ *tended, l *keeperVM) { l.core, l.gone = nil, true }, 2 * time.Second},
		{"leader frozen for 5 s", func(g *tended, l *keeperVM) { l.frozen = g.clock.Time.Add(5 * time.Second) }, 2 * time.Second},
		{"leader cut off", func(_ *tended, l *keeperVM) { l.cut = 1 }, 2 * time.Second},
		{"leader's disk lost", func(g *tended, l *keeperVM) { g.wipe(l) }, 2 * time.Second},
		{"all killed at once", func(g *tended, _ *keeperVM) {
			for _, vm := range g.vms {
				g.restart(vm, true)
			}
		}, 2500 * time.Millisecond},
		{"all without power, and the leader's disk lost", func(g *tended, l *keeperVM) {
			for _, vm := range g.vms {
				if vm != l {
					g.restart(vm, true)
				}
			}
			g.wipe(l)
		}, 2500 * time.Millisecond},
	}
	for _, kind := range kinds {
		t.Run(kind.name, func(t *testing.T) {
			var times []time.Duration
			for seed := range uint64(20) {
				g := newTended(t, seed, 5)
				require.True(t, g.settle())
				g.run(time.Duration(g.random.IntN(500)) * time.Millisecond)
				before := g.leader()
				term := before.core.node.Term()
				kind.do(g, before)
				struck := g.clock.Time
				g.run(tendedStep)
				for g.leader() == nil || g.leader().core.node.Term() <= term {
					g.run(tendedStep)
					require.Less(t, g.clock.Time.Sub(struck), kind.most)
				}
				times = append(times, g.clock.Time.Sub(struck))
			}
			slices.Sort(times)
			t.Logf("median %s, worst %s", times[len(times)/2], times[len(times)-1])
		})
	}
}
