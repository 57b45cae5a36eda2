package quorum

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// ledGroup returns a group of five that has a leader, and that leader.
func ledGroup(t *testing.T) (*group, string) {
	t.Helper()
	g := newGroup(t.Fatalf, 5)
	g.run(3 * time.Second)
	require.Len(t, g.leaders(), 1)
	return g, g.leaders()[0]
}

// gap runs the group until it has a leader, and returns how long that took.
func (g *group) gap(t *testing.T) time.Duration {
	t.Helper()
	began := g.now
	for len(g.leaders()) == 0 {
		require.Less(t, g.now.Sub(began), 5*time.Second, "no leader")
		g.run(10 * time.Millisecond)
	}
	return g.now.Sub(began)
}

// Symptom: after power is back everywhere, requests are refused for most of a second
// more, since routers have no configuration.
// Sequence: all keepers start at the same time.
// Cause: each counted as having promised the old leader not to vote, and so did the
// old leader.
func TestALeaderThatRestartsWithAllOthersLeadsSoon(t *testing.T) {
	for _, size := range []int{3, 5, 9} {
		g := newGroup(t.Fatalf, size)
		g.run(3 * time.Second)
		require.Len(t, g.leaders(), 1)
		for _, id := range g.ids() {
			g.start(id)
		}
		require.Less(t, g.gap(t), 300*time.Millisecond)
	}
}

// The others start a little later than the old leader.
func TestALeaderThatRestartsBeforeTheOthersAsksAgain(t *testing.T) {
	g, old := ledGroup(t)
	for _, id := range g.ids() {
		g.nodes[id] = nil
	}
	g.start(old)
	g.run(500 * time.Millisecond)
	for _, id := range g.ids() {
		if id != old {
			g.start(id)
		}
	}
	require.Less(t, g.gap(t), 300*time.Millisecond)
}

// Symptom: each restart of the leader leaves the group without one for a second.
// Sequence: the leader alone is killed and restarted after a moment.
// Cause: the others wait for it until their promise has lapsed.
func TestALeaderThatRestartsAloneLeadsAgainSoon(t *testing.T) {
	g, old := ledGroup(t)
	g.nodes[old] = nil
	g.run(100 * time.Millisecond)
	g.start(old)
	require.Less(t, g.gap(t), 300*time.Millisecond)
}

// Symptom: a rolling restart leaves the group without a leader for a second.
// Sequence: the leader is told to stop.
// Cause: it stops like one that crashes.
func TestALeaderThatResignsIsFollowedAtOnce(t *testing.T) {
	g, old := ledGroup(t)
	g.nodes[old].Resign(g.now)
	require.Empty(t, g.leaders())
	g.settle(old)
	g.run(10 * time.Millisecond)
	g.nodes[old] = nil
	require.Less(t, g.gap(t), 100*time.Millisecond)
	require.NotEqual(t, old, g.leaders()[0])
}

// Symptom: a rolling restart leaves the group without a leader for a second, at times.
// Sequence: the leader's last entries arrive after its word that it resigns.
// Cause: they renew the promise to it.
func TestWhatALeaderSentBeforeItResignedPromisesNothing(t *testing.T) {
	g, old := ledGroup(t)
	_, ok := g.propose(old, "last")
	require.True(t, ok)
	g.nodes[old].Resign(g.now)
	g.settle(old)
	slices.Reverse(g.wire)
	g.run(10 * time.Millisecond)
	g.nodes[old] = nil
	require.Less(t, g.gap(t), 700*time.Millisecond)
}

// Symptom: two leaders at once.
// Sequence: a request for votes of the leader, sent before it led, comes late.
// Cause: it is taken for the leader's word that it leads no more.
func TestALateRequestForVotesDoesNotReleaseFromTheLeader(t *testing.T) {
	g := newGroup(t.Fatalf, 3)
	g.run(3 * time.Second)
	leader := g.leaders()[0]
	for _, id := range g.ids() {
		n := g.nodes[id]
		if id == leader {
			continue
		}
		term := n.Term()
		for _, kind := range []MessageKind{MsgPreVote, MsgVote} {
			n.Step(g.now, Message{Kind: kind, From: leader, To: id, Term: term})
		}
		require.True(t, n.promised(g.now))
		n.Step(g.now, Message{Kind: MsgResign, From: leader, To: id, Term: term - 1})
		require.True(t, n.promised(g.now), "of an earlier term")
		other := "k1"
		if other == leader || other == id {
			other = "k2"
		}
		if other != leader && other != id {
			n.Step(g.now, Message{Kind: MsgResign, From: other, To: id, Term: term})
			require.True(t, n.promised(g.now), "of another")
		}
	}
}

// Symptom: after a loss of all power in which the leader lost its disk too, requests are
// refused for most of a second, since routers have no configuration.
// Sequence: all keepers start at the same time; the former leader's VM asks to join in its
// place with an empty disk.
// Cause: the others wait out their promise to a leader that cannot come back.
func TestALeaderThatWasReplacedIsNotWaitedFor(t *testing.T) {
	for _, size := range []int{3, 5, 9} {
		g, old := ledGroup(t)
		if size != 5 {
			g = newGroup(t.Fatalf, size)
			g.run(3 * time.Second)
			old = g.leaders()[0]
		}
		for _, id := range g.ids() {
			g.start(id)
		}
		g.nodes[old] = nil
		g.run(50 * time.Millisecond)
		for _, id := range g.ids() {
			if n := g.nodes[id]; n != nil {
				n.MarkReplaced(g.now, old)
				g.settle(id)
			}
		}
		require.Less(t, g.gap(t), 450*time.Millisecond, "%d members", size)
	}
}

// What holds for a node that has just restarted does not for one that has heard a leader
// since: a request to join that comes late must not free it from its promise.
func TestAPromiseToALeaderThatIsHeardStands(t *testing.T) {
	g, leader := ledGroup(t)
	for _, id := range g.ids() {
		if id != leader {
			g.start(id)
		}
	}
	g.run(200 * time.Millisecond)
	require.Equal(t, []string{leader}, g.leaders())
	g.nodes[leader] = nil
	for _, id := range g.ids() {
		if n := g.nodes[id]; n != nil {
			n.MarkReplaced(g.now, leader)
			require.True(t, n.promised(g.now), id)
			g.settle(id)
		}
	}
	require.Greater(t, g.gap(t), ElectionTimeout-3*HeartbeatInterval)
}

// Another member's replacement frees nobody from a promise to the leader.
func TestAReplacementOfAFollowerChangesNothing(t *testing.T) {
	g, leader := ledGroup(t)
	for _, id := range g.ids() {
		g.start(id)
	}
	for _, id := range g.ids() {
		if id == leader {
			continue
		}
		n := g.nodes[id]
		n.MarkReplaced(g.now, id)
		require.True(t, n.promised(g.now), id)
	}
}
