package quorum

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// A frozenGroup is a group whose members may stand still: what is sent to one meanwhile waits,
// and its timer fires before it reads that.
type frozenGroup struct {
	*group

	until map[string]time.Time
	held  map[string][]Message
}

func newFrozenGroup(fail func(string, ...any), size int) *frozenGroup {
	g := &frozenGroup{group: newGroup(fail, size), until: map[string]time.Time{}, held: map[string][]Message{}}
	g.play(5 * time.Second)
	return g
}

func (g *frozenGroup) freeze(id string, length time.Duration) {
	g.until[id] = g.now.Add(length)
}

func (g *frozenGroup) frozen(id string) bool {
	return g.now.Before(g.until[id])
}

func (g *frozenGroup) play(length time.Duration) {
	const step = 10 * time.Millisecond
	for end := g.now.Add(length); g.now.Before(end); g.now = g.now.Add(step) {
		for _, id := range g.ids() {
			if g.frozen(id) {
				continue
			}
			g.nodes[id].Tick(g.now)
			g.settle(id)
			held := g.held[id]
			g.held[id] = nil
			for _, m := range held {
				g.nodes[id].Step(g.now, m)
				g.settle(id)
			}
		}
		wire := g.wire
		g.wire = nil
		for _, m := range wire { // it arrives in the next step
			g.held[m.To] = append(g.held[m.To], m)
		}
	}
}

// term returns the highest term of the group.
func (g *frozenGroup) term() uint64 {
	term := uint64(0)
	for _, n := range g.nodes {
		term = max(term, n.Term())
	}
	return term
}

// Guards against a change of leader, and a time without one, after each standstill of the VMs
// that all members share.
func TestAStandstillOfAllMembersChangesNoLeader(t *testing.T) {
	for _, length := range []time.Duration{500 * time.Millisecond, time.Second, 3 * time.Second, time.Minute} {
		t.Run(length.String(), func(t *testing.T) {
			g := newFrozenGroup(t.Fatalf, 5)
			leaders, term := g.leaders(), g.term()
			require.Len(t, leaders, 1)
			for _, id := range g.ids() {
				g.freeze(id, length)
			}
			g.play(length)
			g.play(3 * HeartbeatInterval)
			require.Equal(t, leaders, g.leaders())
			require.Equal(t, term, g.term())
		})
	}
}

// Guards against elections that a member forces which gets little processor.
func TestAMemberThatStandsStillForcesNoTerm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newFrozenGroup(t.Fatalf, 5)
		leader, term := g.leaders()[0], g.term()
		for range rapid.IntRange(1, 12).Draw(t, "stalls") {
			id := rapid.SampledFrom(g.ids()).Draw(t, "member")
			if id != leader {
				g.freeze(id, time.Duration(rapid.IntRange(50, 4000).Draw(t, "length"))*time.Millisecond)
			}
			busy := 0
			for _, other := range g.ids() {
				if g.frozen(other) {
					busy++
				}
			}
			if busy >= 2 {
				g.play(5 * time.Second) // a quorum runs at any moment
			}
			g.play(time.Duration(rapid.IntRange(10, 2000).Draw(t, "pause")) * time.Millisecond)
		}
		g.play(time.Second)
		require.Equal(t, term, g.term())
		require.Equal(t, []string{leader}, g.leaders())
	})
}

// Guards against more than one election for each standstill of a leader.
func TestAStandstillOfALeaderCostsOneTerm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newFrozenGroup(t.Fatalf, 5)
		before := g.term()
		stalls := rapid.IntRange(1, 8).Draw(t, "stalls")
		for range stalls {
			leaders := g.leaders()
			require.Len(t, leaders, 1)
			length := time.Duration(rapid.IntRange(50, 3000).Draw(t, "length")) * time.Millisecond
			g.freeze(leaders[0], length)
			g.play(length + 2*time.Second)
		}
		require.LessOrEqual(t, g.term(), before+uint64(stalls))
		require.Len(t, g.leaders(), 1)
	})
}
