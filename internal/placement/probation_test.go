package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/fleet"
)

// Symptom: each time that a router believes a failing target again, a burst of
// requests is lost there.
// Sequence: a target fails everything; it gets nothing until its failures have faded;
// then requests come faster than it answers.
// Cause: it is believed in full until the first of them has failed.
func TestATargetThatFailedComesBackInSteps(t *testing.T) {
	p := placer(3)
	r := prompt(1, 13000, 200)
	home := p.keepers(start, r).home.ID
	now := start
	for range 10 {
		c := send(t, p, now, r)
		result := Served
		if c.Target.ID == home {
			result = Failed
		}
		p.RecordFirstByte(now, c)
		p.EndAttempt(now, c, result)
		now = now.Add(20 * time.Millisecond)
	}
	now = now.Add(time.Minute)
	var open []*Choice
	at := func() int {
		count := 0
		for _, c := range open {
			if c.Target.ID == home {
				count++
			}
		}
		return count
	}
	for range 12 {
		open = append(open, send(t, p, now, r))
	}
	require.Equal(t, 1, at(), "one to see; 12 without steps")
	most := 1
	const enough = trusted / 2
	for most < enough {
		for _, c := range open {
			p.RecordFirstByte(now, c)
			p.EndAttempt(now, c, Served)
		}
		most = min(2*most, 1<<at())
		open = nil
		for range 3 * enough {
			open = append(open, send(t, p, now, r))
		}
		now = now.Add(time.Second)
	}
	require.GreaterOrEqual(t, at(), enough, "it is believed again")
}

// Symptom: nothing is sent although targets are up.
// Sequence: all targets of a pool fail for a while.
// Cause: each of them is held back for its failures.
func TestATroubleOfAllHoldsNobodyBack(t *testing.T) {
	p := &Placer{Zone: "z0"}
	var list []fleet.Instance
	for _, id := range []string{"a", "b", "c"} {
		list = append(list, fleet.Instance{Incarnation: fleet.Incarnation{ID: id}, Pool: "plain", Zone: "z0", Slots: 8})
	}
	p.SetTargets(start, list)
	now := start
	for range 60 {
		c := send(t, p, now, Request{Pool: "plain"})
		p.RecordFirstByte(now, c)
		p.EndAttempt(now, c, Failed)
		now = now.Add(20 * time.Millisecond)
	}
	seen := map[string]int{}
	for range 24 {
		seen[send(t, p, now, Request{Pool: "plain"}).Target.ID]++
	}
	require.Len(t, seen, 3)
	for id, count := range seen {
		require.LessOrEqual(t, count, 12, id)
	}
}
