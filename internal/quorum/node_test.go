package quorum

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// testCluster runs Nodes on fake disks, a fake network and one fake clock.
type testCluster struct {
	now         time.Time
	nodes       map[string]*Node
	disks       map[string]*fakeDisk
	partitioned map[string]bool
	inFlight    []Message
	// committed maps an index to the term and data that the first node saw committed there.
	committed map[uint64]string
	applied   map[string][]Entry
	fail      func(format string, args ...any)
}

// fakeDisk is the durable data of a node.
type fakeDisk struct {
	state    State
	snapshot Snapshot
	entries  []Entry
}

func (d *fakeDisk) write(out Output) {
	if out.SaveState {
		d.state = out.State
	}
	if out.Snapshot != nil {
		d.snapshot = *out.Snapshot
		d.entries = nil
	}
	if len(out.Append) > 0 {
		d.entries = append(slices.Clone(d.entries[:out.Append[0].Index-d.snapshot.Index-1]), out.Append...)
	}
}

func newTestCluster(fail func(string, ...any), size int) *testCluster {
	cluster := &testCluster{
		now: time.Unix(1000, 0), nodes: map[string]*Node{}, disks: map[string]*fakeDisk{},
		partitioned: map[string]bool{}, committed: map[uint64]string{}, applied: map[string][]Entry{}, fail: fail,
	}
	var members []Member
	for i := range size {
		id := fmt.Sprintf("k%d", i+1)
		members = append(members, Member{ID: id, Name: id, Voter: true})
	}
	for _, member := range members {
		cluster.disks[member.ID] = &fakeDisk{snapshot: Snapshot{Members: members}}
		cluster.startNode(member.ID)
	}
	return cluster
}

func (c *testCluster) ids() []string {
	ids := make([]string, 0, len(c.disks))
	for id := range c.disks {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (c *testCluster) startNode(id string) {
	disk := c.disks[id]
	node := &Node{ID: id, SavedState: disk.state, Snapshot: disk.snapshot, Entries: slices.Clone(disk.entries)}
	node.Start(c.now)
	c.nodes[id] = node
}

// processOutput sends, writes and applies the node's outputs until there are none.
func (c *testCluster) processOutput(id string) {
	node := c.nodes[id]
	for {
		out := node.TakeOutput()
		c.inFlight = append(c.inFlight, out.SendBeforeSync...)
		c.disks[id].write(out)
		node.MarkDurable()
		c.inFlight = append(c.inFlight, out.SendAfterSync...)
		for _, entry := range out.Committed {
			c.apply(id, entry)
		}
		if !out.NeedsSync() && len(out.SendBeforeSync)+len(out.SendAfterSync)+len(out.Committed) == 0 {
			return
		}
	}
}

func (c *testCluster) apply(id string, entry Entry) {
	committed := fmt.Sprintf("%d/%s", entry.Term, entry.Data)
	if earlier, ok := c.committed[entry.Index]; ok && earlier != committed {
		c.fail("index %d was committed as %s and, at %s, as %s", entry.Index, earlier, id, committed)
	}
	c.committed[entry.Index] = committed
	c.applied[id] = append(c.applied[id], entry)
}

// deliver delivers the i-th message in flight, or drops it.
func (c *testCluster) deliver(i int, drop bool) {
	msg := c.inFlight[i]
	c.inFlight = slices.Delete(c.inFlight, i, i+1)
	if drop || c.partitioned[msg.From] || c.partitioned[msg.To] || c.nodes[msg.To] == nil {
		return
	}
	c.nodes[msg.To].Step(c.now, msg)
	c.processOutput(msg.To)
}

func (c *testCluster) run(span time.Duration) {
	const step = 10 * time.Millisecond
	for end := c.now.Add(span); c.now.Before(end); c.now = c.now.Add(step) {
		for _, id := range c.ids() {
			if node := c.nodes[id]; node != nil {
				node.Tick(c.now)
				c.processOutput(id)
			}
		}
		for len(c.inFlight) > 0 {
			c.deliver(0, false)
		}
	}
}

func (c *testCluster) activeLeaders() []string {
	var ids []string
	for _, id := range c.ids() {
		if node := c.nodes[id]; node != nil && node.IsActiveLeader(c.now) {
			ids = append(ids, id)
		}
	}
	return ids
}

func (c *testCluster) propose(id, text string) (uint64, bool) {
	data, _ := json.Marshal(text)
	index, _, err := c.nodes[id].Propose(c.now, data)
	c.processOutput(id)
	return index, err == nil
}

func TestClusterElectsOneLeaderAndCommits(t *testing.T) {
	cluster := newTestCluster(t.Fatalf, 3)
	cluster.run(4 * time.Second)
	require.Len(t, cluster.activeLeaders(), 1)
	index, ok := cluster.propose(cluster.activeLeaders()[0], "a")
	require.True(t, ok)
	cluster.run(time.Second)
	require.Contains(t, cluster.committed[index], `"a"`)
	for _, id := range cluster.ids() {
		require.NotEmpty(t, cluster.applied[id], id)
	}
}

// Guards against two keepers that grant slots at once: a partitioned leader that relies on its lease
// after it has expired, while the others elect a new leader.
func TestPartitionedLeaderStopsBeforeSuccessorStarts(t *testing.T) {
	cluster := newTestCluster(t.Fatalf, 3)
	cluster.run(4 * time.Second)
	oldLeader := cluster.activeLeaders()[0]
	cluster.partitioned[oldLeader] = true
	for range 600 {
		cluster.run(10 * time.Millisecond)
		require.LessOrEqual(t, len(cluster.activeLeaders()), 1)
	}
	require.NotContains(t, cluster.activeLeaders(), oldLeader)
	require.Len(t, cluster.activeLeaders(), 1)
	leader := cluster.activeLeaders()[0]
	term := cluster.nodes[leader].Term()
	cluster.run(time.Hour / 60)
	cluster.partitioned[oldLeader] = false
	cluster.run(5 * time.Second)
	require.Equal(t, []string{leader}, cluster.activeLeaders(), "a member that returns must not depose a healthy leader")
	require.Equal(t, term, cluster.nodes[leader].Term())
}

// Guards against a suspended process that acts as leader when it resumes: its role is still Leader,
// and only the expired lease shows that it must not act.
func TestStalledLeaderLosesLease(t *testing.T) {
	cluster := newTestCluster(t.Fatalf, 3)
	cluster.run(4 * time.Second)
	oldLeader := cluster.activeLeaders()[0]
	stalledNode := cluster.nodes[oldLeader]
	cluster.nodes[oldLeader] = nil
	cluster.run(10 * time.Second)
	require.Len(t, cluster.activeLeaders(), 1)
	require.Equal(t, Leader, stalledNode.Role())
	require.False(t, stalledNode.IsActiveLeader(cluster.now))
}

// Guards against the loss of a committed entry when one keeper loses its disk, a replacement with a
// new ID joins and is promoted, and another keeper is lost right afterwards.
func TestCommittedEntrySurvivesLossAfterReplacement(t *testing.T) {
	cluster := newTestCluster(t.Fatalf, 3)
	cluster.run(4 * time.Second)
	leader := cluster.activeLeaders()[0]
	index, _ := cluster.propose(leader, "kept")
	cluster.run(time.Second)
	lost := cluster.ids()[0]
	if lost == leader {
		lost = cluster.ids()[1]
	}
	delete(cluster.nodes, lost)
	delete(cluster.disks, lost)
	require.NoError(t, cluster.nodes[leader].Remove(cluster.now, lost))
	cluster.run(time.Second)
	cluster.disks["new"] = &fakeDisk{}
	cluster.startNode("new")
	require.NoError(t, cluster.nodes[leader].AddLearner(cluster.now, Member{ID: "new"}))
	require.Error(t, cluster.nodes[leader].Promote(cluster.now, "new"), "one change at a time")
	cluster.run(time.Second)
	require.NoError(t, cluster.nodes[leader].Promote(cluster.now, "new"))
	cluster.run(time.Second)
	delete(cluster.nodes, leader)
	cluster.run(6 * time.Second)
	require.Len(t, cluster.activeLeaders(), 1)
	successor := cluster.nodes[cluster.activeLeaders()[0]]
	require.Contains(t, string(successor.Entries[index-successor.Snapshot.Index-1].Data), "kept")
}

func TestLaggingFollowerInstallsSnapshot(t *testing.T) {
	cluster := newTestCluster(t.Fatalf, 3)
	cluster.run(4 * time.Second)
	leader := cluster.activeLeaders()[0]
	lagging := cluster.ids()[0]
	if lagging == leader {
		lagging = cluster.ids()[1]
	}
	cluster.partitioned[lagging] = true
	for i := range 50 {
		cluster.propose(leader, fmt.Sprint(i))
	}
	cluster.run(time.Second)
	leaderNode := cluster.nodes[leader]
	require.NotNil(t, leaderNode.Compact(leaderNode.CommitIndex(), json.RawMessage(`"state"`)))
	cluster.processOutput(leader)
	cluster.partitioned[lagging] = false
	cluster.run(2 * time.Second)
	require.JSONEq(t, `"state"`, string(cluster.nodes[lagging].Snapshot.Data))
	index, _ := cluster.propose(leader, "after")
	cluster.run(time.Second)
	require.Equal(t, index, cluster.nodes[lagging].CommitIndex())
}

// For any interleaving of crashes, partitions, and lost, duplicated and reordered messages, all nodes
// see the same entry committed at an index, and there is at most one active leader.
func TestCommittedLogsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cluster := newTestCluster(t.Fatalf, 3)
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			id := rapid.SampledFrom(cluster.ids()).Draw(t, "node")
			switch rapid.IntRange(0, 12).Draw(t, "act") {
			case 0:
				cluster.partitioned[id] = !cluster.partitioned[id]
			case 1:
				cluster.startNode(id)
			case 12:
				cluster.nodes[id].Resign(cluster.now)
				cluster.processOutput(id)
				if rapid.Bool().Draw(t, "stop") {
					cluster.startNode(id)
				}
			case 2, 3:
				if cluster.nodes[id].Role() == Leader {
					cluster.propose(id, fmt.Sprint(len(cluster.committed)))
				}
			case 4:
				node := cluster.nodes[id]
				node.Compact(node.appliedIndex, json.RawMessage(`"s"`))
				cluster.processOutput(id)
			case 5:
				if len(cluster.inFlight) > 0 {
					i := rapid.IntRange(0, len(cluster.inFlight)-1).Draw(t, "copy")
					cluster.inFlight = append(cluster.inFlight, cluster.inFlight[i])
				}
			case 6, 7, 8:
				for range min(len(cluster.inFlight), 10) {
					i := rapid.IntRange(0, len(cluster.inFlight)-1).Draw(t, "message")
					cluster.deliver(i, rapid.IntRange(0, 9).Draw(t, "drop") == 0)
				}
			default:
				cluster.run(time.Duration(rapid.IntRange(1, 150).Draw(t, "span")) * 10 * time.Millisecond)
			}
			require.LessOrEqual(t, len(cluster.activeLeaders()), 1)
		}
		clear(cluster.partitioned)
		cluster.run(6 * time.Second)
		require.Len(t, cluster.activeLeaders(), 1, "the group recovers")
	})
}

// Guards against two leaders in one term: a member that replies to a vote request before its vote is
// durable can vote for another candidate of the term after a restart.
func TestVoteSurvivesRestart(t *testing.T) {
	cluster := newTestCluster(t.Fatalf, 3)
	cluster.now = cluster.now.Add(time.Hour)
	requestVote := func(from string) Message {
		cluster.nodes["k1"].Step(cluster.now, Message{Kind: MsgVote, From: from, To: "k1", Term: 5})
		cluster.processOutput("k1")
		reply := cluster.inFlight[len(cluster.inFlight)-1]
		require.Equal(t, MsgVoteAck, reply.Kind)
		return reply
	}
	// The term is saved first, so the vote itself must be saved as well.
	cluster.nodes["k1"].Step(cluster.now, Message{Kind: MsgAppendAck, From: "k2", To: "k1", Term: 5, Reject: true})
	cluster.processOutput("k1")
	require.False(t, requestVote("k2").Reject)
	cluster.startNode("k1")
	cluster.now = cluster.now.Add(time.Hour)
	require.True(t, requestVote("k3").Reject)
	require.False(t, requestVote("k2").Reject, "the same candidate may ask again")
}

// Guards against overwriting a committed entry: if a leader commits an entry of an earlier term by
// counting replicas and then crashes, a member with a later entry at that index can win and
// overwrite it. Only entries of the leader's own term may be counted.
func TestQuorumDoesNotCommitEntryOfEarlierTerm(t *testing.T) {
	cluster := newTestCluster(t.Fatalf, 3)
	oldEntries := []Entry{{Index: 1, Term: 1, Kind: EntryData, Data: json.RawMessage(`"old"`)}}
	cluster.disks["k1"].entries = oldEntries
	cluster.disks["k1"].state = State{Term: 3}
	cluster.startNode("k1")
	node := cluster.nodes["k1"]
	node.startElection(cluster.now)
	node.Step(cluster.now, Message{Kind: MsgVoteAck, From: "k2", To: "k1", Term: 4})
	require.Equal(t, Leader, node.Role())
	cluster.processOutput("k1")
	node.Step(cluster.now, Message{Kind: MsgAppendAck, From: "k2", To: "k1", Term: 4, Index: 1, SentAt: cluster.now})
	require.Zero(t, node.CommitIndex(), "entry 1 is of term 1")
	node.Step(cluster.now, Message{Kind: MsgAppendAck, From: "k2", To: "k1", Term: 4, Index: 2, SentAt: cluster.now})
	require.Equal(t, uint64(2), node.CommitIndex())
}

// Guards against two quorums without a common member, which can form if a second membership change is
// appended before the first is committed, or if a learner votes before it holds the log.
func TestRefusesConcurrentMembershipChanges(t *testing.T) {
	cluster := newTestCluster(t.Fatalf, 3)
	cluster.run(4 * time.Second)
	leader := cluster.activeLeaders()[0]
	node := cluster.nodes[leader]
	others := slices.DeleteFunc(cluster.ids(), func(id string) bool { return id == leader })
	require.NoError(t, node.AddLearner(cluster.now, Member{ID: "new"}))
	require.True(t, node.MembershipChangePending())
	require.ErrorIs(t, node.Remove(cluster.now, others[0]), ErrMembershipChangePending)
	cluster.processOutput(leader)
	cluster.run(time.Second)
	require.False(t, node.MembershipChangePending())
	cluster.propose(leader, "a")
	cluster.run(time.Second)
	require.Error(t, node.Promote(cluster.now, "new"), "it holds nothing yet")
	require.Error(t, node.Remove(cluster.now, leader), "a leader does not remove itself")
}
