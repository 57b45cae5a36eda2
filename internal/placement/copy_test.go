package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/fleet"
)

// copier returns a placer of engines that copy 26 tokens in a millisecond.
func copier(n int) *Placer {
	p := placer(n)
	p.SetPools(map[string]fleet.Pool{"engines": {Name: "engines", Engine: &fleet.Engine{CopyRate: 26}}, "plain": {}})
	return p
}

// crowd fills an engine with what it has to read first.
func crowd(t *testing.T, p *Placer, s *state, now time.Time) {
	c := &Choice{Target: s.Instance, state: s, PrefillTokens: 100_000}
	p.StartAttempt(now, c, Request{})
	require.GreaterOrEqual(t, s.pending, 100_000)
}

// Symptom: shared parts of prompts are read again where their home is behind,
// though another engine keeps them.
// Sequence: a prompt's home has a long queue; the prompt goes to another engine.
// Cause: an engine reads whatever it does not keep.
func TestAnEngineCopiesWhatItLacksFromTheHome(t *testing.T) {
	p := copier(9)
	r := prompt(1, 13000, 3000)
	home := p.keepers(start, r).home
	first := send(t, p, start, r)
	require.True(t, first.IsOwner)
	p.RecordFirstByte(start, first)
	now := start.Add(keptFor + time.Second) // no target is new any more
	crowd(t, p, home, now)
	c := send(t, p, now, r)
	require.False(t, c.IsOwner)
	require.Equal(t, 3000, c.PrefillTokens, "it reads its own part alone")
	require.Equal(t, home, c.need.from)
	require.Equal(t, home.Address, c.CopyFrom)
	require.Equal(t, 13000, home.copying)
	p.RecordFirstByte(now, c)
	require.Zero(t, home.copying)
	p.EndAttempt(now, c, Served)
	require.Zero(t, home.copying)

	next := send(t, p, now, r)
	require.Equal(t, c.Target.ID, next.Target.ID)
	require.Nil(t, next.need.from, "it keeps the parts by now")
}

// Symptom: each replacement of an engine makes all parts that belong to it be read
// again.
// Sequence: an engine joins and becomes the home of a part; the one that was the
// home before is still there, or is leaving.
// Cause: only the home is thought to keep a part.
func TestANewHomeCopiesFromTheOneBefore(t *testing.T) {
	p := copier(8)
	now := start.Add(time.Hour)
	all := instances(9)
	p.SetTargets(now, all)
	for subject := range uint64(200) {
		r := prompt(subject, 13000, 3000)
		k := p.keepers(start, r)
		if k.home.ID != "i-8" {
			continue
		}
		c := send(t, p, now, r)
		require.True(t, c.IsOwner)
		require.Equal(t, k.second, c.need.from)
		again := send(t, p, now, r)
		require.Nil(t, again.need.from)
		return
	}
	require.Fail(t, "no part belongs to the new engine")
}

func TestALeavingEngineStillGivesItsParts(t *testing.T) {
	p := copier(9)
	r := prompt(1, 13000, 3000)
	now := start.Add(time.Hour)
	before := p.keepers(start, r).home
	all := instances(9)
	for i := range all {
		all[i].Leaving = all[i].ID == before.ID
	}
	p.SetTargets(now, all)
	c := send(t, p, now, r)
	require.NotEqual(t, before.ID, c.Target.ID)
	require.Equal(t, before, c.need.from)
}

// Symptom: requests wait at sound engines until their callers leave.
// Sequence: an engine hangs, or cannot be reached; requests that belong there go
// to others, which are told to copy from it.
// Cause: a copy is asked for from any engine that should keep the parts.
func TestNothingIsCopiedFromAnEngineInTrouble(t *testing.T) {
	r := prompt(1, 13000, 3000)
	for name, trouble := range map[string]func(p *Placer, c *Choice) time.Time{
		"unreached": func(p *Placer, c *Choice) time.Time {
			p.EndAttempt(start, c, ConnectFailed)
			return start
		},
		"silent": func(*Placer, *Choice) time.Time { return start.Add(5 * time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			p := copier(9)
			now := trouble(p, send(t, p, start, r))
			c := send(t, p, now, r)
			require.False(t, c.IsOwner)
			require.Nil(t, c.need.from)
			require.Equal(t, 16000, c.PrefillTokens)
		})
	}
}

func TestEnginesThatCannotCopyRead(t *testing.T) {
	p := placer(9)
	r := prompt(1, 13000, 3000)
	crowd(t, p, p.keepers(start, r).home, start)
	c := send(t, p, start, r)
	require.False(t, c.IsOwner)
	require.Empty(t, c.CopyFrom)
	require.Equal(t, 16000, c.PrefillTokens)
}

// Symptom: on engines with fast links, parts are copied about until they displace
// each other, and are read again.
// Sequence: the home of a part is a little behind.
// Cause: a copy costs no more than its time on the link.
func TestFastLinksDoNotMakeCopiesFree(t *testing.T) {
	p := copier(9)
	p.SetPools(map[string]fleet.Pool{"engines": {Engine: &fleet.Engine{CopyRate: 1e6}}})
	r := prompt(1, 13000, 3000)
	send(t, p, start, r)
	require.True(t, send(t, p, start, r).IsOwner, "one request ahead is no reason to copy")
}

// Symptom: shared parts are read twice within seconds, at two engines.
// Sequence: the home of an account's part is behind when its first prompt comes; that is
// read at another engine. A second later the home has caught up, and the next prompt of the
// account comes in through the same router.
// Cause: the home counted as keeping whatever belongs there.
func TestPartsThatWereReadElsewhereAreNotReadAgainAtHome(t *testing.T) {
	for _, tc := range []struct {
		name   string
		placer *Placer
	}{{"engines copy", copier(9)}, {"engines cannot copy", placer(9)}} {
		t.Run(tc.name, func(t *testing.T) {
			p, r := tc.placer, prompt(1, 5000, 3000)
			home := p.keepers(start, r).home
			behind := &Choice{Target: home.Instance, state: home, PrefillTokens: 100_000}
			p.StartAttempt(start, behind, Request{})
			first := send(t, p, start, r)
			require.NotEqual(t, home.ID, first.Target.ID)
			p.RecordFirstByte(start, first)
			p.RecordFirstByte(start, behind)

			now := start.Add(time.Second)
			next := send(t, p, now, r)
			require.Equal(t, first.Target.ID, next.Target.ID)
			require.Equal(t, 3000, next.PrefillTokens)

			// Where that engine is behind in turn, the home copies what it lacks, if it can.
			crowd(t, p, next.state, now)
			third := send(t, p, now, r)
			require.NotEqual(t, first.Target.ID, third.Target.ID)
			if p.engines["engines"].CopyRate > 0 {
				require.Equal(t, next.state, third.need.from)
				require.Equal(t, 3000, third.PrefillTokens)
			}
		})
	}
}

// Symptom: shared parts are read again and again, and engines' memory turns over within
// seconds, on a deployment whose routers know well where there is no queue.
// Sequence: a prompt's home has a short queue; the prompt goes to an engine without, which
// copies the parts; the next router does the same with another engine.
// Cause: a queue of twice the time in which the parts are read was enough to leave home.
// What is copied displaces parts that are kept there, which are then read anew.
func TestPartsAreNotCopiedToSaveAShortWait(t *testing.T) {
	const shared = 13000
	reading := milliseconds(shared / assumedRate)
	for queue, home := range map[time.Duration]bool{0: true, reading: true, 3 * reading: true, 6 * reading: false} {
		p := copier(9)
		p.SetPools(map[string]fleet.Pool{"engines": {Name: "engines", Engine: &fleet.Engine{CopyRate: 500}}})
		now := start.Add(keptFor + time.Second) // no target is new any more
		r := prompt(1, shared, 3000)
		k := p.keepers(now, r)
		tokens := int(queue.Seconds() * 1000 * assumedRate)
		p.StartAttempt(now, &Choice{Target: k.home.Instance, state: k.home, PrefillTokens: tokens}, Request{})
		require.Equal(t, home, send(t, p, now, r).IsOwner, "a queue of %s", queue)
	}
}
