package quorum

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// A stallCluster is a testCluster whose members can stall. Messages to a stalled member are delayed,
// and its timer fires before it reads them.
type stallCluster struct {
	*testCluster

	stalledUntil map[string]time.Time
	delayed      map[string][]Message
}

func newStallCluster(fail func(string, ...any), size int) *stallCluster {
	cluster := &stallCluster{testCluster: newTestCluster(fail, size), stalledUntil: map[string]time.Time{}, delayed: map[string][]Message{}}
	cluster.runWithStalls(5 * time.Second)
	return cluster
}

func (c *stallCluster) stall(id string, length time.Duration) {
	c.stalledUntil[id] = c.now.Add(length)
}

func (c *stallCluster) isStalled(id string) bool {
	return c.now.Before(c.stalledUntil[id])
}

func (c *stallCluster) runWithStalls(length time.Duration) {
	const step = 10 * time.Millisecond
	for end := c.now.Add(length); c.now.Before(end); c.now = c.now.Add(step) {
		for _, id := range c.ids() {
			if c.isStalled(id) {
				continue
			}
			c.nodes[id].Tick(c.now)
			c.processOutput(id)
			delayed := c.delayed[id]
			c.delayed[id] = nil
			for _, msg := range delayed {
				c.nodes[id].Step(c.now, msg)
				c.processOutput(id)
			}
		}
		sent := c.inFlight
		c.inFlight = nil
		for _, msg := range sent { // delivered in the next step
			c.delayed[msg.To] = append(c.delayed[msg.To], msg)
		}
	}
}

// highestTerm returns the highest term of any member.
func (c *stallCluster) highestTerm() uint64 {
	term := uint64(0)
	for _, node := range c.nodes {
		term = max(term, node.Term())
	}
	return term
}

// Guards against a change of leader, and a time without one, after each stall of a host that runs all
// members.
func TestSharedStallKeepsLeader(t *testing.T) {
	for _, length := range []time.Duration{500 * time.Millisecond, time.Second, 3 * time.Second, time.Minute} {
		t.Run(length.String(), func(t *testing.T) {
			cluster := newStallCluster(t.Fatalf, 5)
			leaders, term := cluster.activeLeaders(), cluster.highestTerm()
			require.Len(t, leaders, 1)
			for _, id := range cluster.ids() {
				cluster.stall(id, length)
			}
			cluster.runWithStalls(length)
			cluster.runWithStalls(3 * HeartbeatInterval)
			require.Equal(t, leaders, cluster.activeLeaders())
			require.Equal(t, term, cluster.highestTerm())
		})
	}
}

// Guards against the removal of a live member after a stall of a host that runs all members: the leader
// is active again once a quorum has answered, and the answers of the others are still unread.
func TestSharedStallIsNotSilenceOfFollowers(t *testing.T) {
	for _, size := range []int{4, 5, 6} {
		t.Run(strconv.Itoa(size), func(t *testing.T) {
			const stall, maxSilence = time.Minute, 2 * time.Second
			cluster := newStallCluster(t.Fatalf, size)
			leader := cluster.activeLeaders()[0]
			last := cluster.ids()[0]
			if last == leader {
				last = cluster.ids()[1]
			}
			for _, id := range cluster.ids() {
				cluster.stall(id, stall)
			}
			cluster.stall(last, stall+2*HeartbeatInterval)
			cluster.runWithStalls(stall)
			wasActive := false
			for range 100 {
				cluster.runWithStalls(10 * time.Millisecond)
				node := cluster.nodes[leader]
				if !node.IsActiveLeader(cluster.now) {
					continue
				}
				wasActive = true
				for _, id := range cluster.ids() {
					if id != leader {
						require.Less(t, cluster.now.Sub(node.LastFollowerContact(id)), maxSilence, "member %s", id)
					}
				}
			}
			require.True(t, wasActive)
		})
	}
}

// Guards against elections that are forced by a follower that gets little CPU time.
func TestStalledFollowerForcesNoElection(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cluster := newStallCluster(t.Fatalf, 5)
		leader, term := cluster.activeLeaders()[0], cluster.highestTerm()
		for range rapid.IntRange(1, 12).Draw(t, "stalls") {
			id := rapid.SampledFrom(cluster.ids()).Draw(t, "member")
			if id != leader {
				cluster.stall(id, time.Duration(rapid.IntRange(50, 4000).Draw(t, "length"))*time.Millisecond)
			}
			stalledCount := 0
			for _, other := range cluster.ids() {
				if cluster.isStalled(other) {
					stalledCount++
				}
			}
			if stalledCount >= 2 {
				cluster.runWithStalls(5 * time.Second) // a quorum runs at any moment
			}
			cluster.runWithStalls(time.Duration(rapid.IntRange(10, 2000).Draw(t, "pause")) * time.Millisecond)
		}
		cluster.runWithStalls(time.Second)
		require.Equal(t, term, cluster.highestTerm())
		require.Equal(t, []string{leader}, cluster.activeLeaders())
	})
}

// Guards against more than one election per stall of a leader.
func TestStalledLeaderCostsAtMostOneTerm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cluster := newStallCluster(t.Fatalf, 5)
		initialTerm := cluster.highestTerm()
		stalls := rapid.IntRange(1, 8).Draw(t, "stalls")
		for range stalls {
			leaders := cluster.activeLeaders()
			require.Len(t, leaders, 1)
			length := time.Duration(rapid.IntRange(50, 3000).Draw(t, "length")) * time.Millisecond
			cluster.stall(leaders[0], length)
			cluster.runWithStalls(length + 2*time.Second)
		}
		require.LessOrEqual(t, cluster.highestTerm(), initialTerm+uint64(stalls))
		require.Len(t, cluster.activeLeaders(), 1)
	})
}
