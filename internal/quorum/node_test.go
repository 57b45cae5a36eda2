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

// group is a small fake of disks, links and one clock around real Nodes.
type group struct {
	now   time.Time
	nodes map[string]*Node
	disks map[string]*savedLog
	cut   map[string]bool
	wire  []Message
	// accepted maps an index to the data that some node saw committed.
	accepted map[uint64]string
	applied  map[string][]Entry
	fail     func(format string, args ...any)
}

// savedLog is what a node's disk holds for certain.
type savedLog struct {
	state   State
	base    Snapshot
	entries []Entry
}

func (d *savedLog) write(out Output) {
	if out.SaveState {
		d.state = out.State
	}
	if out.Snapshot != nil {
		d.base = *out.Snapshot
		d.entries = nil
	}
	if len(out.Append) > 0 {
		d.entries = append(slices.Clone(d.entries[:out.Append[0].Index-d.base.Index-1]), out.Append...)
	}
}

func newGroup(fail func(string, ...any), size int) *group {
	g := &group{
		now: time.Unix(1000, 0), nodes: map[string]*Node{}, disks: map[string]*savedLog{},
		cut: map[string]bool{}, accepted: map[uint64]string{}, applied: map[string][]Entry{}, fail: fail,
	}
	var members []Member
	for i := range size {
		id := fmt.Sprintf("k%d", i+1)
		members = append(members, Member{ID: id, Name: id, Voter: true})
	}
	for _, m := range members {
		g.disks[m.ID] = &savedLog{base: Snapshot{Members: members}}
		g.start(m.ID)
	}
	return g
}

func (g *group) ids() []string {
	ids := make([]string, 0, len(g.disks))
	for id := range g.disks {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (g *group) start(id string) {
	d := g.disks[id]
	n := &Node{ID: id, SavedState: d.state, Snapshot: d.base, Entries: slices.Clone(d.entries)}
	n.Start(g.now)
	g.nodes[id] = n
}

// settle does what the node's outputs ask.
func (g *group) settle(id string) {
	n := g.nodes[id]
	for {
		out := n.TakeOutput()
		g.wire = append(g.wire, out.SendBeforeSync...)
		g.disks[id].write(out)
		n.MarkDurable()
		g.wire = append(g.wire, out.SendAfterSync...)
		for _, e := range out.Committed {
			g.apply(id, e)
		}
		if !out.NeedsSync() && len(out.SendBeforeSync)+len(out.SendAfterSync)+len(out.Committed) == 0 {
			return
		}
	}
}

func (g *group) apply(id string, e Entry) {
	text := fmt.Sprintf("%d/%s", e.Term, e.Data)
	if before, ok := g.accepted[e.Index]; ok && before != text {
		g.fail("index %d was committed as %s and, at %s, as %s", e.Index, before, id, text)
	}
	g.accepted[e.Index] = text
	g.applied[id] = append(g.applied[id], e)
}

// deliver hands over the i-th message on the wire, or drops it.
func (g *group) deliver(i int, drop bool) {
	m := g.wire[i]
	g.wire = slices.Delete(g.wire, i, i+1)
	if drop || g.cut[m.From] || g.cut[m.To] || g.nodes[m.To] == nil {
		return
	}
	g.nodes[m.To].Step(g.now, m)
	g.settle(m.To)
}

func (g *group) run(span time.Duration) {
	const step = 10 * time.Millisecond
	for end := g.now.Add(span); g.now.Before(end); g.now = g.now.Add(step) {
		for _, id := range g.ids() {
			if n := g.nodes[id]; n != nil {
				n.Tick(g.now)
				g.settle(id)
			}
		}
		for len(g.wire) > 0 {
			g.deliver(0, false)
		}
	}
}

func (g *group) leaders() []string {
	var ids []string
	for _, id := range g.ids() {
		if n := g.nodes[id]; n != nil && n.IsActiveLeader(g.now) {
			ids = append(ids, id)
		}
	}
	return ids
}

func (g *group) propose(id, text string) (uint64, bool) {
	data, _ := json.Marshal(text)
	index, _, err := g.nodes[id].Propose(g.now, data)
	g.settle(id)
	return index, err == nil
}

func TestGroupElectsOneLeaderAndCommits(t *testing.T) {
	g := newGroup(t.Fatalf, 3)
	g.run(4 * time.Second)
	require.Len(t, g.leaders(), 1)
	index, ok := g.propose(g.leaders()[0], "a")
	require.True(t, ok)
	g.run(time.Second)
	require.Contains(t, g.accepted[index], `"a"`)
	for _, id := range g.ids() {
		require.NotEmpty(t, g.applied[id], id)
	}
}

// Symptom: two keepers both grant slots.
// Sequence: the leader is cut off without notice; the others elect another.
// Cause: the first goes on trusting promises that have run out.
func TestCutOffLeaderStopsBeforeAnotherStarts(t *testing.T) {
	g := newGroup(t.Fatalf, 3)
	g.run(4 * time.Second)
	old := g.leaders()[0]
	g.cut[old] = true
	for range 600 {
		g.run(10 * time.Millisecond)
		require.LessOrEqual(t, len(g.leaders()), 1)
	}
	require.NotContains(t, g.leaders(), old)
	require.Len(t, g.leaders(), 1)
	leader := g.leaders()[0]
	term := g.nodes[leader].Term()
	g.run(time.Hour / 60)
	g.cut[old] = false
	g.run(5 * time.Second)
	require.Equal(t, []string{leader}, g.leaders(), "a member that returns must not depose a healthy leader")
	require.Equal(t, term, g.nodes[leader].Term())
}

// Symptom: a process that was stopped acts as leader when it wakes.
// Sequence: the leader is frozen past its lease, then asked at once.
// Cause: its role still says leader; only the lease tells that it may not act.
func TestFrozenLeaderMayNotAct(t *testing.T) {
	g := newGroup(t.Fatalf, 3)
	g.run(4 * time.Second)
	old := g.leaders()[0]
	frozen := g.nodes[old]
	g.nodes[old] = nil
	g.run(10 * time.Second)
	require.Len(t, g.leaders(), 1)
	require.Equal(t, Leader, frozen.Role())
	require.False(t, frozen.IsActiveLeader(g.now))
}

// Symptom: a keeper that lost its disk votes again and forgets what was
// promised.
// Sequence: a disk is lost, its keeper joins under a new ID, catches up, is
// promoted; right after, another keeper is lost.
// Cause: a promise is bound to the disk that held it.
func TestSecondLossAfterRepairLosesNothing(t *testing.T) {
	g := newGroup(t.Fatalf, 3)
	g.run(4 * time.Second)
	leader := g.leaders()[0]
	index, _ := g.propose(leader, "kept")
	g.run(time.Second)
	lost := g.ids()[0]
	if lost == leader {
		lost = g.ids()[1]
	}
	delete(g.nodes, lost)
	delete(g.disks, lost)
	require.NoError(t, g.nodes[leader].Remove(g.now, lost))
	g.run(time.Second)
	g.disks["new"] = &savedLog{}
	g.start("new")
	require.NoError(t, g.nodes[leader].AddLearner(g.now, Member{ID: "new"}))
	require.Error(t, g.nodes[leader].Promote(g.now, "new"), "one change at a time")
	g.run(time.Second)
	require.NoError(t, g.nodes[leader].Promote(g.now, "new"))
	g.run(time.Second)
	delete(g.nodes, leader)
	g.run(6 * time.Second)
	require.Len(t, g.leaders(), 1)
	now := g.nodes[g.leaders()[0]]
	require.Contains(t, string(now.Entries[index-now.Snapshot.Index-1].Data), "kept")
}

func TestLaggingFollowerTakesSnapshot(t *testing.T) {
	g := newGroup(t.Fatalf, 3)
	g.run(4 * time.Second)
	leader := g.leaders()[0]
	slow := g.ids()[0]
	if slow == leader {
		slow = g.ids()[1]
	}
	g.cut[slow] = true
	for i := range 50 {
		g.propose(leader, fmt.Sprint(i))
	}
	g.run(time.Second)
	n := g.nodes[leader]
	require.NotNil(t, n.Compact(n.CommitIndex(), json.RawMessage(`"state"`)))
	g.settle(leader)
	g.cut[slow] = false
	g.run(2 * time.Second)
	require.JSONEq(t, `"state"`, string(g.nodes[slow].Snapshot.Data))
	index, _ := g.propose(leader, "after")
	g.run(time.Second)
	require.Equal(t, index, g.nodes[slow].CommitIndex())
}

// Any interleaving of crashes, cuts, losses, doubled and reordered messages
// keeps one history: what one node saw committed, no node sees otherwise.
func TestHistoriesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newGroup(t.Fatalf, 3)
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			id := rapid.SampledFrom(g.ids()).Draw(t, "node")
			switch rapid.IntRange(0, 12).Draw(t, "act") {
			case 0:
				g.cut[id] = !g.cut[id]
			case 1:
				g.start(id)
			case 12:
				g.nodes[id].Resign(g.now)
				g.settle(id)
				if rapid.Bool().Draw(t, "stop") {
					g.start(id)
				}
			case 2, 3:
				if g.nodes[id].Role() == Leader {
					g.propose(id, fmt.Sprint(len(g.accepted)))
				}
			case 4:
				n := g.nodes[id]
				n.Compact(n.applied, json.RawMessage(`"s"`))
				g.settle(id)
			case 5:
				if len(g.wire) > 0 {
					i := rapid.IntRange(0, len(g.wire)-1).Draw(t, "copy")
					g.wire = append(g.wire, g.wire[i])
				}
			case 6, 7, 8:
				for range min(len(g.wire), 10) {
					i := rapid.IntRange(0, len(g.wire)-1).Draw(t, "message")
					g.deliver(i, rapid.IntRange(0, 9).Draw(t, "drop") == 0)
				}
			default:
				g.run(time.Duration(rapid.IntRange(1, 150).Draw(t, "span")) * 10 * time.Millisecond)
			}
			require.LessOrEqual(t, len(g.leaders()), 1)
		}
		clear(g.cut)
		g.run(6 * time.Second)
		require.Len(t, g.leaders(), 1, "the group recovers")
	})
}

// Symptom: two leaders in one term.
// Sequence: a member votes, crashes, restarts, and is asked by another
// candidate of the same term.
// Cause: the vote was not made durable before it was answered.
func TestVoteOutlivesRestart(t *testing.T) {
	g := newGroup(t.Fatalf, 3)
	g.now = g.now.Add(time.Hour)
	ask := func(from string) Message {
		g.nodes["k1"].Step(g.now, Message{Kind: MsgVote, From: from, To: "k1", Term: 5})
		g.settle("k1")
		answer := g.wire[len(g.wire)-1]
		require.Equal(t, MsgVoteAck, answer.Kind)
		return answer
	}
	// The term is saved before the vote, so that the vote needs its own save.
	g.nodes["k1"].Step(g.now, Message{Kind: MsgAppendAck, From: "k2", To: "k1", Term: 5, Reject: true})
	g.settle("k1")
	require.False(t, ask("k2").Reject)
	g.start("k1")
	g.now = g.now.Add(time.Hour)
	require.True(t, ask("k3").Reject)
	require.False(t, ask("k2").Reject, "the same candidate may ask again")
}

// Symptom: a committed entry is overwritten.
// Sequence: a leader replicates an entry of an earlier term to a quorum and
// commits it by count; it crashes; a member with a later term's entry there
// wins and overwrites it.
// Cause: only entries of the leader's own term may be counted.
func TestEarlierTermIsNotCommittedByCount(t *testing.T) {
	g := newGroup(t.Fatalf, 3)
	old := []Entry{{Index: 1, Term: 1, Kind: EntryData, Data: json.RawMessage(`"old"`)}}
	g.disks["k1"].entries = old
	g.disks["k1"].state = State{Term: 3}
	g.start("k1")
	n := g.nodes["k1"]
	n.stand(g.now)
	n.Step(g.now, Message{Kind: MsgVoteAck, From: "k2", To: "k1", Term: 4})
	require.Equal(t, Leader, n.Role())
	g.settle("k1")
	n.Step(g.now, Message{Kind: MsgAppendAck, From: "k2", To: "k1", Term: 4, Index: 1, SentAt: g.now})
	require.Zero(t, n.CommitIndex(), "entry 1 is of term 1")
	n.Step(g.now, Message{Kind: MsgAppendAck, From: "k2", To: "k1", Term: 4, Index: 2, SentAt: g.now})
	require.Equal(t, uint64(2), n.CommitIndex())
}

// Symptom: two quorums without a member in common.
// Sequence: a second change of membership is appended before the first is
// committed, or a learner votes before it holds the log.
// Cause: changes are only safe one at a time.
func TestMembershipChangesWaitForEachOther(t *testing.T) {
	g := newGroup(t.Fatalf, 3)
	g.run(4 * time.Second)
	leader := g.leaders()[0]
	n := g.nodes[leader]
	others := slices.DeleteFunc(g.ids(), func(id string) bool { return id == leader })
	require.NoError(t, n.AddLearner(g.now, Member{ID: "new"}))
	require.True(t, n.MembershipChangePending())
	require.ErrorIs(t, n.Remove(g.now, others[0]), ErrMembershipChangePending)
	g.settle(leader)
	g.run(time.Second)
	require.False(t, n.MembershipChangePending())
	g.propose(leader, "a")
	g.run(time.Second)
	require.Error(t, n.Promote(g.now, "new"), "it holds nothing yet")
	require.Error(t, n.Remove(g.now, leader), "a leader does not remove itself")
}
