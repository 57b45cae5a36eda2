package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/message"
)

// born returns the targets with another start of one.
func born(list []fleet.Instance, id string, at int64) []fleet.Instance {
	list = append([]fleet.Instance(nil), list...)
	for i := range list {
		if list[i].ID == id {
			list[i].Born = at
		}
	}
	return list
}

// Symptom: a target that has started again gets no work for seconds, though it answers;
// or work in the belief that it keeps prompts, or is busy.
// Sequence: it crashes under load and starts again under its ID.
// Cause: what was known of it was kept by its ID: failures, probation, that it could not
// be reached, its backlog, kept parts.
func TestATargetThatStartedAgainIsAnotherTarget(t *testing.T) {
	p := placer(3)
	r := prompt(1, 13000, 200)
	home := p.keepers(start, r).home
	var open []*Choice
	for range 3 {
		c := send(t, p, start, r)
		require.Equal(t, home, c.state)
		open = append(open, c)
	}
	p.EndAttempt(start, open[0], Failed)
	p.EndAttempt(start, open[1], ConnectFailed)
	p.SetReportedQueue(start, home.Incarnation, 9)
	p.SetRemoteBacklog(start, []message.Backlog{{Target: home.ID, Tokens: 90_000, Running: 60}})
	require.Positive(t, home.trouble(start, 0))

	p.SetTargets(start, born(instances(3), home.ID, 2000))
	next := p.keepers(start, r).home
	require.Equal(t, home.ID, next.ID, "its parts still belong there")
	require.NotSame(t, home, next)
	require.Zero(t, next.trouble(start, 0))
	require.False(t, next.probation.Active())
	require.Equal(t, 13000, next.lacking(start, r))
	require.Zero(t, next.load(start))
	require.Zero(t, next.told(start))
	require.Empty(t, p.Backlog(), "what the former start was sent is gone with it")
	require.False(t, p.Accepts(home.Incarnation))
	require.True(t, p.Accepts(next.Incarnation))

	p.RecordFirstByte(start, open[2])
	p.EndAttempt(start, open[2], Failed)
	require.Zero(t, home.running, "it ends at the former start")
	require.Zero(t, home.pending)
	require.Zero(t, next.running)
	require.Zero(t, next.pending)
	require.Zero(t, next.fails)
}

// Symptom: all parts that belong to an engine are read again after its restart.
// Sequence: the home of a part starts again under its ID; a prompt is sent there.
// Cause: it was still the home that had always been there, which copies from nobody.
func TestAHomeThatStartedAgainCopiesFromTheOneBefore(t *testing.T) {
	p := copier(9)
	r := prompt(1, 13000, 3000)
	now := start.Add(time.Hour)
	sent := send(t, p, now, r)
	require.True(t, sent.IsOwner)
	require.Nil(t, sent.need.from, "it has been there for long")
	p.SetTargets(now, born(instances(9), sent.Target.ID, 2000))
	k := p.keepers(start, r)
	require.Equal(t, sent.Target.ID, k.home.ID)
	next := send(t, p, now, r)
	require.True(t, next.IsOwner)
	require.Equal(t, k.second, next.need.from)
	require.Nil(t, send(t, p, now, r).need.from, "it has them by now")
}

// Symptom: a target is thought to be free, or busy, while versions are mixed.
// Sequence: keepers or routers of the version before tell backlogs without starts.
// Cause: a start that is not told is no other start.
func TestBacklogsWithoutAStartCount(t *testing.T) {
	p := placer(2)
	p.SetTargets(start, born(instances(2), "i-0", 2000))
	p.SetRemoteBacklog(start, []message.Backlog{
		{Target: "i-0", Tokens: 10, Running: 1},
		{Target: "i-0", Born: 2000, Tokens: 5, Running: 1},
		{Target: "i-0", Born: 1000, Tokens: 700, Running: 7},
	})
	s := p.states[fleet.Incarnation{ID: "i-0", Born: 2000}]
	require.Equal(t, 15, s.others.Tokens)
	require.Equal(t, 2, s.others.Running)
}

// Where the platform tells no start, a target that is ready again after leaving has
// started again.
func TestReadyAfterLeavingIsAnotherStart(t *testing.T) {
	p := placer(2)
	r := prompt(1, 13000, 200)
	c := send(t, p, start, r)
	list := instances(2)
	for i := range list {
		list[i].Leaving = list[i].ID == c.Target.ID
	}
	p.SetTargets(start, list)
	require.Same(t, c.state, p.states[c.Target.Incarnation])
	p.SetTargets(start, instances(2))
	require.NotSame(t, c.state, p.states[c.Target.Incarnation])
	require.Empty(t, p.Backlog())
}
