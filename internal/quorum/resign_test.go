package quorum

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newClusterWithLeader returns a cluster of five members and the ID of its leader.
func newClusterWithLeader(t *testing.T) (*testCluster, string) {
	t.Helper()
	cluster := newTestCluster(t.Fatalf, 5)
	cluster.run(3 * time.Second)
	require.Len(t, cluster.activeLeaders(), 1)
	return cluster, cluster.activeLeaders()[0]
}

// waitForLeader runs the cluster until it has an active leader and returns how long that took.
func (c *testCluster) waitForLeader(t *testing.T) time.Duration {
	t.Helper()
	start := c.now
	for len(c.activeLeaders()) == 0 {
		require.Less(t, c.now.Sub(start), 5*time.Second, "no leader")
		c.run(10 * time.Millisecond)
	}
	return c.now.Sub(start)
}

// Guards against most of a second without a leader, and so without a configuration for the routers,
// when all keepers restart at the same time: each assumes a lease of the old leader, which itself
// restarted too.
func TestLeaderElectedSoonAfterFullRestart(t *testing.T) {
	for _, size := range []int{3, 5, 9} {
		cluster := newTestCluster(t.Fatalf, size)
		cluster.run(3 * time.Second)
		require.Len(t, cluster.activeLeaders(), 1)
		for _, id := range cluster.ids() {
			cluster.startNode(id)
		}
		require.Less(t, cluster.waitForLeader(t), 300*time.Millisecond)
	}
}

// Guards against a restarted leader whose first vote requests are lost because the other members
// start later.
func TestRestartedLeaderRetriesElectionUntilOthersStart(t *testing.T) {
	cluster, oldLeader := newClusterWithLeader(t)
	for _, id := range cluster.ids() {
		cluster.nodes[id] = nil
	}
	cluster.startNode(oldLeader)
	cluster.run(500 * time.Millisecond)
	for _, id := range cluster.ids() {
		if id != oldLeader {
			cluster.startNode(id)
		}
	}
	require.Less(t, cluster.waitForLeader(t), 300*time.Millisecond)
}

// Guards against a second without a leader whenever the leader is killed and restarted: the other
// members must not wait until its old lease has expired.
func TestLeaderElectedSoonAfterLeaderRestart(t *testing.T) {
	cluster, oldLeader := newClusterWithLeader(t)
	cluster.nodes[oldLeader] = nil
	cluster.run(100 * time.Millisecond)
	cluster.startNode(oldLeader)
	require.Less(t, cluster.waitForLeader(t), 300*time.Millisecond)
}

// Guards against a second without a leader in a rolling restart: a leader that stops must resign
// instead of stopping as in a crash.
func TestSuccessorElectedAfterResignation(t *testing.T) {
	cluster, oldLeader := newClusterWithLeader(t)
	cluster.nodes[oldLeader].Resign(cluster.now)
	require.Empty(t, cluster.activeLeaders())
	cluster.processOutput(oldLeader)
	cluster.run(10 * time.Millisecond)
	cluster.nodes[oldLeader] = nil
	require.Less(t, cluster.waitForLeader(t), 100*time.Millisecond)
	require.NotEqual(t, oldLeader, cluster.activeLeaders()[0])
}

// Guards against a second without a leader in some rolling restarts: entries that the leader sent
// before its resignation arrive after it and must not renew the lease.
func TestLateAppendDoesNotRenewLeaseOfResignedLeader(t *testing.T) {
	cluster, oldLeader := newClusterWithLeader(t)
	_, ok := cluster.propose(oldLeader, "last")
	require.True(t, ok)
	cluster.nodes[oldLeader].Resign(cluster.now)
	cluster.processOutput(oldLeader)
	slices.Reverse(cluster.inFlight)
	cluster.run(10 * time.Millisecond)
	cluster.nodes[oldLeader] = nil
	require.Less(t, cluster.waitForLeader(t), 700*time.Millisecond)
}

// Guards against two active leaders: a vote request that the leader sent before its election, or a
// resignation of an earlier term or another member, must not release the lease.
func TestStaleMessagesDoNotReleaseLease(t *testing.T) {
	cluster := newTestCluster(t.Fatalf, 3)
	cluster.run(3 * time.Second)
	leader := cluster.activeLeaders()[0]
	for _, id := range cluster.ids() {
		node := cluster.nodes[id]
		if id == leader {
			continue
		}
		term := node.Term()
		for _, kind := range []MessageKind{MsgPreVote, MsgVote} {
			node.Step(cluster.now, Message{Kind: kind, From: leader, To: id, Term: term})
		}
		require.True(t, node.leaseBlocksVote(cluster.now))
		node.Step(cluster.now, Message{Kind: MsgResign, From: leader, To: id, Term: term - 1})
		require.True(t, node.leaseBlocksVote(cluster.now), "resignation of an earlier term")
		other := "k1"
		if other == leader || other == id {
			other = "k2"
		}
		if other != leader && other != id {
			node.Step(cluster.now, Message{Kind: MsgResign, From: other, To: id, Term: term})
			require.True(t, node.leaseBlocksVote(cluster.now), "resignation of another member")
		}
	}
}

// Guards against most of a second without a leader, and so without a configuration for the routers,
// after all keepers lose power and the leader also loses its disk: its VM asks to join with an empty
// disk, and the others must not wait for a leader that cannot return.
func TestReplacedLeaderReleasesLease(t *testing.T) {
	for _, size := range []int{3, 5, 9} {
		cluster, oldLeader := newClusterWithLeader(t)
		if size != 5 {
			cluster = newTestCluster(t.Fatalf, size)
			cluster.run(3 * time.Second)
			oldLeader = cluster.activeLeaders()[0]
		}
		for _, id := range cluster.ids() {
			cluster.startNode(id)
		}
		cluster.nodes[oldLeader] = nil
		cluster.run(50 * time.Millisecond)
		for _, id := range cluster.ids() {
			if node := cluster.nodes[id]; node != nil {
				node.MarkReplaced(cluster.now, oldLeader)
				cluster.processOutput(id)
			}
		}
		require.Less(t, cluster.waitForLeader(t), 450*time.Millisecond, "%d members", size)
	}
}

// Guards against two active leaders: a delayed join request releases the lease only on a node that
// has not heard from a leader since its restart.
func TestReplacementKeepsLeaseAfterLeaderContact(t *testing.T) {
	cluster, leader := newClusterWithLeader(t)
	for _, id := range cluster.ids() {
		if id != leader {
			cluster.startNode(id)
		}
	}
	cluster.run(200 * time.Millisecond)
	require.Equal(t, []string{leader}, cluster.activeLeaders())
	cluster.nodes[leader] = nil
	for _, id := range cluster.ids() {
		if node := cluster.nodes[id]; node != nil {
			node.MarkReplaced(cluster.now, leader)
			require.True(t, node.leaseBlocksVote(cluster.now), id)
			cluster.processOutput(id)
		}
	}
	require.Greater(t, cluster.waitForLeader(t), ElectionTimeout-3*HeartbeatInterval)
}

// Guards against two active leaders: only the replacement of the leader itself releases its lease.
func TestReplacedFollowerKeepsLease(t *testing.T) {
	cluster, leader := newClusterWithLeader(t)
	for _, id := range cluster.ids() {
		cluster.startNode(id)
	}
	for _, id := range cluster.ids() {
		if id == leader {
			continue
		}
		node := cluster.nodes[id]
		node.MarkReplaced(cluster.now, id)
		require.True(t, node.leaseBlocksVote(cluster.now), id)
	}
}
