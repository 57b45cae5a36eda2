package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/fleet"
)

// newCopyingPlacer returns a placer for engines that copy 26 tokens per millisecond.
func newCopyingPlacer(n int) *Placer {
	p := newPlacer(n)
	p.SetPools(map[string]fleet.Pool{"engines": {Name: "engines", Engine: &fleet.Engine{CopyRate: 26}}, "plain": {}})
	return p
}

// fillQueue gives an engine a backlog of 100,000 prompt tokens.
func fillQueue(t *testing.T, p *Placer, s *state, now time.Time) {
	c := &Choice{Target: s.Instance, state: s, PrefillTokens: 100_000}
	p.StartAttempt(now, c, Request{})
	require.GreaterOrEqual(t, s.pendingTokens, 100_000)
}

// Guards against prefilling shared parts again at another engine, when the owner has a long queue
// and could provide a copy.
func TestCopiesUncachedPartsFromOwner(t *testing.T) {
	p := newCopyingPlacer(9)
	r := prompt(1, 13000, 3000)
	owner := p.cacheOwners(start, r).owner
	first := send(t, p, start, r)
	require.True(t, first.IsOwner)
	p.RecordFirstByte(start, first)
	now := start.Add(cacheLifetime + time.Second) // all targets count as old
	fillQueue(t, p, owner, now)
	c := send(t, p, now, r)
	require.False(t, c.IsOwner)
	require.Equal(t, 3000, c.PrefillTokens, "it prefills its own part only")
	require.Equal(t, owner, c.plan.source)
	require.Equal(t, owner.Address, c.CopyFrom)
	require.Equal(t, 13000, owner.copyingTokens)
	p.RecordFirstByte(now, c)
	require.Zero(t, owner.copyingTokens)
	p.EndAttempt(now, c, Served)
	require.Zero(t, owner.copyingTokens)

	next := send(t, p, now, r)
	require.Equal(t, c.Target.ID, next.Target.ID)
	require.Nil(t, next.plan.source, "the parts are cached there by now")
}

// Guards against prefilling all parts of an engine that was replaced. A new engine becomes the
// owner of the parts, while the previous owner still runs or is leaving and has them cached.
func TestNewOwnerCopiesFromPreviousOwner(t *testing.T) {
	p := newCopyingPlacer(8)
	now := start.Add(time.Hour)
	all := instances(9)
	p.SetTargets(now, all)
	for subject := range uint64(200) {
		r := prompt(subject, 13000, 3000)
		owners := p.cacheOwners(start, r)
		if owners.owner.ID != "i-8" {
			continue
		}
		c := send(t, p, now, r)
		require.True(t, c.IsOwner)
		require.Equal(t, owners.second, c.plan.source)
		again := send(t, p, now, r)
		require.Nil(t, again.plan.source)
		return
	}
	require.Fail(t, "the new engine owns no part")
}

func TestCopiesFromLeavingOwner(t *testing.T) {
	p := newCopyingPlacer(9)
	r := prompt(1, 13000, 3000)
	now := start.Add(time.Hour)
	leaving := p.cacheOwners(start, r).owner
	all := instances(9)
	for i := range all {
		all[i].Leaving = all[i].ID == leaving.ID
	}
	p.SetTargets(now, all)
	c := send(t, p, now, r)
	require.NotEqual(t, leaving.ID, c.Target.ID)
	require.Equal(t, leaving, c.plan.source)
}

// Guards against requests that wait at healthy engines until their callers time out, because
// those engines were sent to copy parts from an owner that hangs or is unreachable.
func TestNoCopyFromUnhealthyOwner(t *testing.T) {
	r := prompt(1, 13000, 3000)
	for name, makeUnhealthy := range map[string]func(p *Placer, c *Choice) time.Time{
		"connection failed": func(p *Placer, c *Choice) time.Time {
			p.EndAttempt(start, c, ConnectFailed)
			return start
		},
		"unresponsive": func(*Placer, *Choice) time.Time { return start.Add(5 * time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			p := newCopyingPlacer(9)
			now := makeUnhealthy(p, send(t, p, start, r))
			c := send(t, p, now, r)
			require.False(t, c.IsOwner)
			require.Nil(t, c.plan.source)
			require.Equal(t, 16000, c.PrefillTokens)
		})
	}
}

func TestPrefillsWithoutCopySupport(t *testing.T) {
	p := newPlacer(9)
	r := prompt(1, 13000, 3000)
	fillQueue(t, p, p.cacheOwners(start, r).owner, start)
	c := send(t, p, start, r)
	require.False(t, c.IsOwner)
	require.Empty(t, c.CopyFrom)
	require.Equal(t, 16000, c.PrefillTokens)
}

// Guards against copies that evict other parts, which are then prefilled again. With a fast link
// the transfer time alone is so small that a short queue at the owner would cause a copy.
func TestFastLinkDoesNotMakeCopiesFree(t *testing.T) {
	p := newCopyingPlacer(9)
	p.SetPools(map[string]fleet.Pool{"engines": {Engine: &fleet.Engine{CopyRate: 1e6}}})
	r := prompt(1, 13000, 3000)
	send(t, p, start, r)
	require.True(t, send(t, p, start, r).IsOwner, "one queued request does not justify a copy")
}

// Guards against prefilling the same shared parts twice within seconds. The owner is backlogged
// at an account's first prompt, which is prefilled at another engine. A second later the owner
// has caught up, and the account's next prompt comes in through the same router.
func TestRequestsFollowRecentlyMovedParts(t *testing.T) {
	for _, tc := range []struct {
		name   string
		placer *Placer
	}{{"copying engines", newCopyingPlacer(9)}, {"engines without copying", newPlacer(9)}} {
		t.Run(tc.name, func(t *testing.T) {
			p, r := tc.placer, prompt(1, 5000, 3000)
			owner := p.cacheOwners(start, r).owner
			backlog := &Choice{Target: owner.Instance, state: owner, PrefillTokens: 100_000}
			p.StartAttempt(start, backlog, Request{})
			first := send(t, p, start, r)
			require.NotEqual(t, owner.ID, first.Target.ID)
			p.RecordFirstByte(start, first)
			p.RecordFirstByte(start, backlog)

			now := start.Add(time.Second)
			next := send(t, p, now, r)
			require.Equal(t, first.Target.ID, next.Target.ID)
			require.Equal(t, 3000, next.PrefillTokens)

			// If that engine is backlogged in turn, another one copies from it if it can.
			fillQueue(t, p, next.state, now)
			third := send(t, p, now, r)
			require.NotEqual(t, first.Target.ID, third.Target.ID)
			if p.engines["engines"].CopyRate > 0 {
				require.Equal(t, next.state, third.plan.source)
				require.Equal(t, 3000, third.PrefillTokens)
			}
		})
	}
}

// Guards against copies that evict other cached parts within seconds. A queue of twice the
// prefill time at the owner was enough to send a prompt to an engine with an empty queue, which
// copied the parts, and the next router did the same with another engine.
func TestShortQueueDoesNotCauseCopy(t *testing.T) {
	const shared = 13000
	prefillTime := milliseconds(shared / assumedPrefillRate)
	for queue, atOwner := range map[time.Duration]bool{0: true, prefillTime: true, 3 * prefillTime: true, 6 * prefillTime: false} {
		p := newCopyingPlacer(9)
		p.SetPools(map[string]fleet.Pool{"engines": {Name: "engines", Engine: &fleet.Engine{CopyRate: 500}}})
		now := start.Add(cacheLifetime + time.Second) // all targets count as old
		r := prompt(1, shared, 3000)
		owners := p.cacheOwners(now, r)
		tokens := int(queue.Seconds() * 1000 * assumedPrefillRate)
		p.StartAttempt(now, &Choice{Target: owners.owner.Instance, state: owners.owner, PrefillTokens: tokens}, Request{})
		require.Equal(t, atOwner, send(t, p, now, r).IsOwner, "queue of %s", queue)
	}
}
