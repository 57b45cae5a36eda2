package keeper

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against acknowledged configurations that are lost or read in an older state, withdrawn
// keys that stay valid, and keepers that never serve again. The causes would be automatic
// membership changes that leave two quorums or none, and leases on keys from responses that are
// out of date. The faults are random restarts, power losses, freezes, partitions, full disks,
// lost disks and VMs that are replaced at other addresses.
func TestRandomFaultsWithAutomaticMembership(t *testing.T) {
	histories := 1000
	if testing.Short() {
		histories = 40
	}
	ackedTotal := uint64(0)
	for seed := range histories {
		cluster := newAutoCluster(t, uint64(seed), 5)
		require.True(t, cluster.waitHealthy(), "history %d: the group does not start", seed)
		for range 20 {
			cluster.randomAction()
			cluster.run(time.Duration(20+cluster.random.IntN(700)) * time.Millisecond)
		}
		require.True(t, cluster.waitHealthy(), "history %d: the group does not recover: %s", seed, cluster.describe())
		cluster.run(2 * time.Second)
		cluster.putConfig()
		cluster.run(3 * time.Second)
		for _, router := range cluster.routers {
			require.Equal(t, cluster.newestAcked, router.configNumber, "history %d: router %s", seed, router.name)
			require.True(t, router.leaseUntil.After(cluster.clock.Time), "history %d: router %s has no lease on keys", seed, router.name)
		}
		ackedTotal += cluster.newestAcked
	}
	require.Greater(t, ackedTotal, uint64(3*histories))
}

// Measures over 20 seeds how long no keeper leads after each kind of failure, and bounds the
// longest time.
func TestTimeWithoutLeader(t *testing.T) {
	failures := []struct {
		name    string
		inject  func(cluster *autoCluster, leader *keeperVM)
		maxTime time.Duration
	}{
		{"leader killed and restarted at once", func(cluster *autoCluster, leader *keeperVM) { cluster.restart(leader, false) }, 2 * time.Second},
		{"leader stopped gracefully", func(cluster *autoCluster, leader *keeperVM) {
			require.NoError(t, leader.core.resign())
			cluster.run(4 * simStep) // sends its last messages
			leader.core, leader.lost = nil, true
		}, 2 * time.Second},
		{"leader lost", func(_ *autoCluster, leader *keeperVM) { leader.core, leader.lost = nil, true }, 2 * time.Second},
		{"leader frozen for 5 s", func(cluster *autoCluster, leader *keeperVM) {
			leader.frozenUntil = cluster.clock.Time.Add(5 * time.Second)
		}, 2 * time.Second},
		{"leader partitioned", func(_ *autoCluster, leader *keeperVM) { leader.partition = 1 }, 2 * time.Second},
		{"leader disk lost", func(cluster *autoCluster, leader *keeperVM) { cluster.replaceDisk(leader) }, 2 * time.Second},
		{"all keepers killed at once", func(cluster *autoCluster, _ *keeperVM) {
			for _, vm := range cluster.vms {
				cluster.restart(vm, true)
			}
		}, 2500 * time.Millisecond},
		{"power loss of all keepers and leader disk lost", func(cluster *autoCluster, leader *keeperVM) {
			for _, vm := range cluster.vms {
				if vm != leader {
					cluster.restart(vm, true)
				}
			}
			cluster.replaceDisk(leader)
		}, 2500 * time.Millisecond},
	}
	for _, failure := range failures {
		t.Run(failure.name, func(t *testing.T) {
			var times []time.Duration
			for seed := range uint64(20) {
				cluster := newAutoCluster(t, seed, 5)
				require.True(t, cluster.waitHealthy())
				cluster.run(time.Duration(cluster.random.IntN(500)) * time.Millisecond)
				oldLeader := cluster.leader()
				term := oldLeader.core.node.Term()
				failure.inject(cluster, oldLeader)
				failedAt := cluster.clock.Time
				cluster.run(simStep)
				for cluster.leader() == nil || cluster.leader().core.node.Term() <= term {
					cluster.run(simStep)
					require.Less(t, cluster.clock.Time.Sub(failedAt), failure.maxTime)
				}
				times = append(times, cluster.clock.Time.Sub(failedAt))
			}
			slices.Sort(times)
			t.Logf("median %s, worst %s", times[len(times)/2], times[len(times)-1])
		})
	}
}
