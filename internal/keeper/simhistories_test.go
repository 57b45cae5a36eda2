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

// A simCluster is a simulated group of three keepers and two routers, to which operators apply
// configurations. Members change only when a replacement joins. Disks, network and clock are
// fakes; all other code is real.
type simCluster struct {
	t           require.TestingT
	random      *rand.Rand
	clock       clock.MockClock
	cores       map[string]*core // by name
	disks       map[string]*journal.MockDisk
	partitioned map[string]bool
	names       []string
	inFlight    []quorum.Message
	lossy       bool

	routers          map[string]*dispatch.Scheduler
	routerNames      map[*rpc.Conn]string // by connection
	routerConns      []*rpc.Conn
	replacementCount int

	// The reference model: the responses that operators got.
	acceptedDigests map[uint64]string // digest by number
	newestAccepted  uint64
	highestNumbers  map[string]uint64 // by router
}

// Guards against accepted configurations that are lost or replaced by older ones, because a
// keeper promises something before it is durable on a quorum or while it no longer leads. The
// faults are random crashes that drop unsynced writes, full disks, partitions, lost messages and
// replaced disks, while operators apply configurations, some of them with equal numbers.
func TestRandomFaultsWithoutAutomaticMembership(t *testing.T) {
	histories := 1000
	if testing.Short() {
		histories = 50
	}
	acceptedTotal := 0
	for seed := range histories {
		cluster := newSimCluster(t, uint64(seed))
		cluster.run(2 * time.Second)
		for range 25 {
			cluster.randomAction()
			cluster.run(time.Duration(20+cluster.random.IntN(600)) * time.Millisecond)
			cluster.checkReads()
		}
		clear(cluster.partitioned)
		cluster.lossy = false
		for _, name := range cluster.names {
			if cluster.cores[name] == nil {
				cluster.crashAndRestart(name)
			}
		}
		cluster.run(6 * time.Second)
		cluster.checkReads()
		_, ok := cluster.healthyLeader()
		require.True(t, ok, "history %d: the group does not recover", seed)
		for name, scheduler := range cluster.routers {
			require.GreaterOrEqual(t, scheduler.ConfigNumber(), cluster.newestAccepted, "router %s lacks an accepted configuration", name)
		}
		acceptedTotal += len(cluster.acceptedDigests)
	}
	if !testing.Short() {
		require.Greater(t, acceptedTotal, 3*histories, "too few configurations were accepted")
	}
	require.Positive(t, acceptedTotal)
}

// randomAction applies configurations or injects a fault.
func (cluster *simCluster) randomAction() {
	name := cluster.names[cluster.random.IntN(len(cluster.names))]
	switch cluster.random.IntN(12) {
	case 0, 1, 2, 3, 4:
		number := cluster.newestAccepted + uint64(cluster.random.IntN(3))
		for _, keeperName := range cluster.names {
			cluster.apply(keeperName, number, 1+float64(cluster.random.IntN(3)))
		}
	case 5:
		cluster.partitioned[name] = !cluster.partitioned[name]
	case 6:
		cluster.crashAndRestart(name)
	case 7:
		cluster.lossy = !cluster.lossy
	case 8:
		cluster.replaceDisk(name)
	case 9:
		cluster.disks[name].FailFromOp, cluster.disks[name].Fault = cluster.disks[name].Ops+1+cluster.random.IntN(4), journal.ErrDiskFull
		cluster.run(200 * time.Millisecond)
		cluster.crashAndRestart(name)
	case 10:
		router := []string{"r1", "r2"}[cluster.random.IntN(2)]
		cluster.partitioned[router] = !cluster.partitioned[router]
	default:
		cluster.crashAndRestartAll()
	}
}

// crashAndRestartAll crashes and restarts all keepers at once.
func (cluster *simCluster) crashAndRestartAll() {
	for _, name := range cluster.names {
		cluster.crashAndRestart(name)
	}
}

// Guards against the loss of an accepted configuration when a second disk is lost as soon as the
// replacement of the first one votes, because the replacement votes before it has every committed
// entry.
func TestSecondDiskLossRightAfterReplacement(t *testing.T) {
	for seed := range uint64(20) {
		cluster := newSimCluster(t, seed)
		cluster.run(3 * time.Second)
		for _, name := range cluster.names {
			cluster.apply(name, 1, 1)
		}
		cluster.run(500 * time.Millisecond)
		require.Equal(t, uint64(1), cluster.newestAccepted)
		first := cluster.names[cluster.random.IntN(3)]
		cluster.replaceDisk(first)
		second := cluster.names[cluster.random.IntN(3)]
		cluster.replaceDisk(second)
		cluster.run(5 * time.Second)
		cluster.checkReads()
		c, ok := cluster.healthyLeader()
		require.True(t, ok)
		require.Equal(t, uint64(1), c.store.ConfigNumber())
	}
}

// Guards against a leader that, after an hour in a partition or frozen, still grants slots or
// answers reads, because its role outlives its lease.
func TestLeaderPartitionedForOneHour(t *testing.T) {
	cluster := newSimCluster(t, 3)
	cluster.run(3 * time.Second)
	for _, name := range cluster.names {
		cluster.apply(name, 1, 1)
	}
	cluster.run(time.Second)
	c, ok := cluster.healthyLeader()
	require.True(t, ok)
	oldLeader, _ := cluster.coreByID(c.node.ID)
	cluster.partitioned[oldLeader] = true
	partitionedAt := cluster.clock.Now()
	for !slices.ContainsFunc(cluster.names, func(name string) bool {
		return name != oldLeader && cluster.cores[name].node.IsActiveLeader(cluster.clock.Now())
	}) {
		cluster.run(20 * time.Millisecond)
		cluster.checkReads()
	}
	leaderless := cluster.clock.Now().Sub(partitionedAt)
	t.Logf("time without leader: %s", leaderless)
	require.Less(t, leaderless, 2*quorum.ElectionTimeout+quorum.ElectionTimeout)
	term := uint64(0)
	for _, name := range cluster.names {
		if name != oldLeader {
			cluster.apply(name, 2, 2)
			term = max(term, cluster.cores[name].node.Term())
		}
	}
	cluster.run(time.Minute)
	cluster.clock.Time = cluster.clock.Time.Add(time.Hour) // all clocks advance; the old leader was suspended
	cluster.run(3 * time.Second)
	cluster.partitioned[oldLeader] = false
	cluster.run(3 * time.Second)
	cluster.checkReads()
	currentLeader, ok := cluster.healthyLeader()
	require.True(t, ok)
	require.Equal(t, uint64(2), currentLeader.store.ConfigNumber())
	require.Equal(t, uint64(2), cluster.cores[oldLeader].store.ConfigNumber())
}
