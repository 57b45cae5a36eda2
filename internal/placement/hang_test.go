package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Symptom: requests go on to a target that answers nothing, though its health
// check is good.
// Sequence: one target hangs; the callers of its requests leave after some
// seconds.
// Cause: a caller that leaves counts for the target as an answer would.
func TestATargetThatHangsIsLeftWhenItsCallersLeave(t *testing.T) {
	p := placer(3)
	r := prompt(1, 1000, 200)
	home := p.keepers(start, r).home.ID
	now := start
	type attempt struct {
		c    *Choice
		left time.Time
	}
	var hanging []attempt
	atHome := 0
	for range 300 { // 15 s
		now = now.Add(50 * time.Millisecond)
		for len(hanging) > 0 && !now.Before(hanging[0].left) {
			p.EndAttempt(now, hanging[0].c, Canceled)
			hanging = hanging[1:]
		}
		c := send(t, p, now, r)
		if c.Target.ID == home {
			atHome++
			hanging = append(hanging, attempt{c, now.Add(2400 * time.Millisecond)})
			continue
		}
		p.RecordFirstByte(now, c)
		p.EndAttempt(now, c, Served)
	}
	require.Less(t, atHome, 20, "22 where a caller that leaves counts as an answer")
}

func TestACallerThatLeavesEarlySpeaksAgainstNobody(t *testing.T) {
	p := placer(3)
	r := prompt(1, 1000, 200)
	home := p.keepers(start, r).home.ID
	now := start
	for range 100 {
		now = now.Add(50 * time.Millisecond)
		c := send(t, p, now, r)
		require.Equal(t, home, c.Target.ID)
		p.EndAttempt(now.Add(20*time.Millisecond), c, Canceled)
	}
}
