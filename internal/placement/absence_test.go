package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/fleet"
)

func incarnations(list []fleet.Instance) (all []fleet.Incarnation) {
	for _, in := range list {
		all = append(all, in.Incarnation)
	}
	return all
}

// Guards against each router finding out by requests of its own callers which targets are gone.
func TestATargetThatOthersFindGoneGetsNothing(t *testing.T) {
	const targets, gone = 8, 5
	list := instances(targets)
	p := placer(targets)
	absent := incarnations(list[:gone])
	p.SetAbsent(start, absent)
	got := spread(t, p, start, 100, 0)
	for _, in := range list[:gone] {
		require.Zero(t, got[in.ID], in.ID)
	}
	other := placer(targets)
	other.SetAbsent(start, absent)
	for subject := range uint64(100) {
		r := prompt(subject, 13000, 300)
		a, _ := p.Choose(start, r)
		b, _ := other.Choose(start, r)
		require.Equal(t, a.Home, b.Home)
	}
	p.SetAbsent(start.Add(time.Second), nil)
	got = spread(t, p, start.Add(time.Second), 200, 1000)
	for _, in := range list[:gone] {
		require.NotZero(t, got[in.ID], "%s is back", in.ID)
	}
}

// Guards against a pool that is refused as a whole by marks that are out of date.
func TestWhereAllTargetsCountAsGoneOneIsTried(t *testing.T) {
	p := placer(3)
	p.SetAbsent(start, incarnations(instances(3)))
	_, ok := p.Choose(start, prompt(1, 100, 100))
	require.True(t, ok)
}

func TestWhatARouterFindsGoneItTellsForAWhile(t *testing.T) {
	p := placer(3)
	target := instances(3)[1].Incarnation
	require.Empty(t, p.Found(start))
	p.Absent(start, target)
	p.Absent(start, fleet.Incarnation{ID: "not listed"})
	require.Equal(t, []fleet.Incarnation{target}, p.Found(start))
	p.SetAbsent(start.Add(absentHere/2), nil)
	got := spread(t, p, start.Add(absentHere/2), 50, 0)
	require.Zero(t, got[target.ID], "the leader has not heard of it yet")
	got = spread(t, p, start.Add(absentHere), 50, 100)
	require.NotZero(t, got[target.ID])
	require.Empty(t, p.Found(start.Add(foundFor)))
}
