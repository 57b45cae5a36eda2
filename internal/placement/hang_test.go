package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against sending more requests to a target that hangs while its health check passes. Its
// callers give up after some seconds, and a canceled request used to count as an answer.
func TestCanceledRequestsCountAgainstHungTarget(t *testing.T) {
	p := newPlacer(3)
	r := prompt(1, 1000, 200)
	owner := p.cacheOwners(start, r).owner.ID
	now := start
	type attempt struct {
		choice   *Choice
		cancelAt time.Time
	}
	var hanging []attempt
	atOwner := 0
	for range 300 { // 15 s at 50 ms each
		now = now.Add(50 * time.Millisecond)
		for len(hanging) > 0 && !now.Before(hanging[0].cancelAt) {
			p.EndAttempt(now, hanging[0].choice, Canceled)
			hanging = hanging[1:]
		}
		c := send(t, p, now, r)
		if c.Target.ID == owner {
			atOwner++
			hanging = append(hanging, attempt{c, now.Add(2400 * time.Millisecond)})
			continue
		}
		p.RecordFirstByte(now, c)
		p.EndAttempt(now, c, Served)
	}
	require.Less(t, atOwner, 20, "22 if a canceled request counted as an answer")
}

func TestEarlyCancelDoesNotPenalizeTarget(t *testing.T) {
	p := newPlacer(3)
	r := prompt(1, 1000, 200)
	owner := p.cacheOwners(start, r).owner.ID
	now := start
	for range 100 {
		now = now.Add(50 * time.Millisecond)
		c := send(t, p, now, r)
		require.Equal(t, owner, c.Target.ID)
		p.EndAttempt(now.Add(20*time.Millisecond), c, Canceled)
	}
}
