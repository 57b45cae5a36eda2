package keeper

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/clock"
	"laburnumfall/internal/dispatch"
	"laburnumfall/internal/journal"
	"laburnumfall/internal/quorum"
	"laburnumfall/internal/rpc"
)

// trio is three cores, two routers and two operators on fake disks, fake links
// and one clock. Everything but those fakes is the real code.
type trio struct {
	t      require.TestingT
	random *rand.Rand
	clock  clock.MockClock
	cores  map[string]*core // by name
	disks  map[string]*journal.MockDisk
	cut    map[string]bool
	names  []string
	wire   []quorum.Message
	lossy  bool

	routers map[string]*dispatch.Scheduler
	conns   map[*rpc.Conn]string // router by its link
	links   []*rpc.Conn
	ids     int

	// The naive model: what operators were told.
	accepted map[uint64]string // digest by number
	newest   uint64
	seen     map[string]uint64 // highest number by router
}

// Symptom: an accepted configuration is lost or replaced by an older one.
// Sequence: random applies (equal numbers among them), crashes that drop
// unsynced writes, full disks, cuts, lost messages, lost disks and repairs.
// Cause: any promise made before it is durable on a quorum, or by a leader
// that no longer is one.
func TestThousandHistoriesLoseNothing(t *testing.T) {
	histories := 1000
	if testing.Short() {
		histories = 50
	}
	accepted := 0
	for seed := range histories {
		g := newTrio(t, uint64(seed))
		g.run(2 * time.Second)
		for range 25 {
			g.act()
			g.run(time.Duration(20+g.random.IntN(600)) * time.Millisecond)
			g.read()
		}
		clear(g.cut)
		g.lossy = false
		for _, name := range g.names {
			if g.cores[name] == nil {
				g.restart(name)
			}
		}
		g.run(6 * time.Second)
		g.read()
		_, ok := g.whole()
		require.True(t, ok, "history %d recovers", seed)
		for name, s := range g.routers {
			require.GreaterOrEqual(t, s.ConfigNumber(), g.newest, "router %s has what was accepted", name)
		}
		accepted += len(g.accepted)
	}
	if !testing.Short() {
		require.Greater(t, accepted, 3*histories, "the histories accept something")
	}
	require.Positive(t, accepted)
}

// act does one random thing.
func (g *trio) act() {
	name := g.names[g.random.IntN(len(g.names))]
	switch g.random.IntN(12) {
	case 0, 1, 2, 3, 4:
		number := g.newest + uint64(g.random.IntN(3))
		for _, n := range g.names {
			g.apply(n, number, 1+float64(g.random.IntN(3)))
		}
	case 5:
		g.cut[name] = !g.cut[name]
	case 6:
		g.restart(name)
	case 7:
		g.lossy = !g.lossy
	case 8:
		g.loseDisk(name)
	case 9:
		g.disks[name].FailFromOp, g.disks[name].Fault = g.disks[name].Ops+1+g.random.IntN(4), journal.ErrDiskFull
		g.run(200 * time.Millisecond)
		g.restart(name)
	case 10:
		router := []string{"r1", "r2"}[g.random.IntN(2)]
		g.cut[router] = !g.cut[router]
	default:
		g.crashAll()
	}
}

// crashAll stops all keepers at once.
func (g *trio) crashAll() {
	for _, name := range g.names {
		g.restart(name)
	}
}

// Symptom: after a second loss right after a repair, an accepted configuration
// is gone.
// Sequence: a disk is lost and replaced; the moment the replacement votes,
// another disk is lost.
// Cause: a replacement that votes before it holds all that is committed.
func TestSecondDiskLostRightAfterRepair(t *testing.T) {
	for seed := range uint64(20) {
		g := newTrio(t, seed)
		g.run(3 * time.Second)
		for _, n := range g.names {
			g.apply(n, 1, 1)
		}
		g.run(500 * time.Millisecond)
		require.Equal(t, uint64(1), g.newest)
		first := g.names[g.random.IntN(3)]
		g.loseDisk(first)
		second := g.names[g.random.IntN(3)]
		g.loseDisk(second)
		g.run(5 * time.Second)
		g.read()
		c, ok := g.whole()
		require.True(t, ok)
		require.Equal(t, uint64(1), c.store.Number())
	}
}

// Symptom: a keeper frozen or cut off for an hour grants slots or answers a
// reader when it is back.
// Sequence: the leader is cut off silently; the others go on; an hour later
// the link heals.
// Cause: a role that outlives its lease.
func TestLeaderCutOffForAnHour(t *testing.T) {
	g := newTrio(t, 3)
	g.run(3 * time.Second)
	for _, n := range g.names {
		g.apply(n, 1, 1)
	}
	g.run(time.Second)
	c, ok := g.whole()
	require.True(t, ok)
	old, _ := g.byID(c.node.ID)
	g.cut[old] = true
	cutAt := g.clock.Now()
	for !slices.ContainsFunc(g.names, func(n string) bool { return n != old && g.cores[n].node.IsActiveLeader(g.clock.Now()) }) {
		g.run(20 * time.Millisecond)
		g.read()
	}
	without := g.clock.Now().Sub(cutAt)
	t.Logf("time without a leader: %s", without)
	require.Less(t, without, 2*quorum.ElectionTimeout+quorum.ElectionTimeout)
	term := uint64(0)
	for _, n := range g.names {
		if n != old {
			g.apply(n, 2, 2)
			term = max(term, g.cores[n].node.Term())
		}
	}
	g.run(time.Minute)
	g.clock.Time = g.clock.Time.Add(time.Hour) // all clocks; the old leader slept
	g.run(3 * time.Second)
	g.cut[old] = false
	g.run(3 * time.Second)
	g.read()
	now, ok := g.whole()
	require.True(t, ok)
	require.Equal(t, uint64(2), now.store.Number())
	require.Equal(t, uint64(2), g.cores[old].store.Number())
}
