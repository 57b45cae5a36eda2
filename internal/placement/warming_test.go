package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/warmup"
)

const coldFor = 3 * time.Second

// warming returns a placer of engines that are cold for a while after their start, with a
// part of what they get.
func warming(n, part int) *Placer {
	p := &Placer{Zone: "z0", Routers: 6}
	p.Warmup.Ratio = 1
	p.SetPools(map[string]fleet.Pool{"engines": {Name: "engines", WarmFor: coldFor, WarmRate: 1.1 * float64(part), Engine: &fleet.Engine{CopyRate: 26}}})
	p.SetTargets(start, instances(n))
	return p
}

// lease renews the part, as the leader's answers do.
func lease(p *Placer, now time.Time) {
	p.Warmup.SetLease(now, warmup.Lease{Number: 1, Total: 1, Ready: true})
}

func evacuate(p *Placer, now time.Time, revision uint64, zones ...fleet.Zone) {
	p.SetEvacuated(fleet.Evacuations{Revision: revision, Zones: zones})
	p.SetTargets(now, instances(len(p.states)))
}

// spread sends requests, each of another subject, and returns how many each target got.
func spread(t *testing.T, p *Placer, now time.Time, count int, first uint64) map[string]int {
	got := map[string]int{}
	for i := range uint64(count) {
		c := send(t, p, now, prompt(first+i, 13000, 300))
		require.True(t, p.ConfirmSend(now, c))
		got[c.Target.ID]++
		p.RecordFirstByte(now, c)
		p.EndAttempt(now, c, Served)
	}
	return got
}

func inZone(got map[string]int, list []fleet.Instance, zone fleet.Zone) int {
	sum := 0
	for _, in := range list {
		if in.Zone == zone {
			sum += got[in.ID]
		}
	}
	return sum
}

// Guards against work for a zone that operators have evacuated: first attempts, homes of
// parts, and requests that were on their way.
func TestAnEvacuatedZoneGetsNothing(t *testing.T) {
	p := warming(9, 4)
	require.Positive(t, inZone(spread(t, p, start, 100, 0), instances(9), "z1"))
	var onWay *Choice
	for subject := uint64(0); onWay == nil || onWay.Target.Zone != "z1"; subject++ {
		onWay = send(t, p, start, prompt(subject, 13000, 300))
	}
	evacuate(p, start, 1, "z1")
	require.False(t, p.ConfirmSend(start, onWay))
	p.EndAttempt(start, onWay, Canceled)
	require.Zero(t, inZone(spread(t, p, start, 300, 0), instances(9), "z1"))
	for _, in := range instances(9) {
		require.Equal(t, in.Zone != "z1", p.Accepts(in.Incarnation))
	}
	evacuate(p, start, 2, "z0", "z1", "z2")
	_, ok := p.Choose(start, prompt(1, 13000, 300))
	require.False(t, ok)
	evacuated, cold := p.UnavailableReason(start, "engines")
	require.True(t, evacuated)
	require.False(t, cold)
}

// Guards against parts that are read again though the evacuated zone keeps them.
func TestPartsAreCopiedFromAnEvacuatedZone(t *testing.T) {
	p := warming(9, 4)
	for subject := range uint64(200) {
		r := prompt(subject, 13000, 300)
		home := p.keepers(start, r).home
		if home.Zone != "z1" {
			continue
		}
		evacuate(p, start, 1, "z1")
		c := send(t, p, start, r)
		require.Equal(t, home, c.need.from)
		return
	}
	require.Fail(t, "no part belongs to the zone")
}

// Guards against a rush to targets that come back cold: of an evacuated zone, new on the
// list, cold by the platform's word, or not reached before.
func TestAColdTargetGetsItsPart(t *testing.T) {
	const part = 4
	now := start.Add(time.Minute)
	for name, cool := range map[string]func(p *Placer){
		"zone taken back": func(p *Placer) {
			evacuate(p, start, 1, "z1")
			evacuate(p, now, 2)
		},
		"new on the list": func(p *Placer) {
			p.SetTargets(now, instances(9)[:1])
			p.SetTargets(now, instances(9))
		},
		"said to be cold": func(p *Placer) {
			until := map[fleet.Incarnation]time.Time{}
			for _, in := range instances(9) {
				until[in.Incarnation] = now.Add(coldFor)
			}
			p.SetColdUntil(until)
		},
		"not reached": func(p *Placer) {
			for _, in := range instances(9) {
				s := p.states[in.Incarnation]
				p.EndAttempt(now, &Choice{Target: in, state: s}, ConnectFailed)
				s.downUntil, s.downs = time.Time{}, 0
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			p := warming(9, part)
			cool(p)
			cold := p.states[fleet.Incarnation{ID: "i-1"}] // of zone z1
			require.True(t, p.cold(now, cold))
			require.False(t, p.open(now, cold), "without a lease it gets nothing")
			lease(p, now)
			sent := 0
			for i := range uint64(500) {
				at := now.Add(time.Duration(i) * time.Millisecond) // half a second
				c, ok := p.Choose(at, prompt(i, 13000, 300))
				if !ok {
					evacuated, cold := p.UnavailableReason(at, "engines")
					require.False(t, evacuated)
					require.True(t, cold)
					continue
				}
				p.StartAttempt(at, c, prompt(i, 13000, 300))
				require.True(t, p.ConfirmSend(at, c))
				p.RecordFirstByte(at, c)
				p.EndAttempt(at, c, Served)
				if c.Target.ID == "i-1" {
					sent++
				}
			}
			require.Equal(t, part, sent, "it gets all of its part, and no more")
			warm := now.Add(coldFor + doubtFor + time.Second)
			lease(p, warm)
			require.True(t, p.open(warm, cold))
			require.Greater(t, spread(t, p, warm, 500, 1000)["i-1"], part)
		})
	}
}

// Guards against a request that leaves for a cold target after this process stood still.
func TestALapsedPartIsNotUsed(t *testing.T) {
	p := warming(1, 4)
	p.SetColdUntil(map[fleet.Incarnation]time.Time{{ID: "i-0"}: start.Add(time.Minute)})
	lease(p, start)
	c := send(t, p, start, prompt(1, 13000, 300))
	require.True(t, p.ConfirmSend(start, c))
	require.False(t, p.ConfirmSend(start.Add(10*time.Second), c))
}

// Guards against a router that has just started and takes all targets for cold.
func TestTheFirstTargetsAreNotCold(t *testing.T) {
	p := &Placer{Zone: "z0"}
	p.Warmup.Ratio = 1
	p.SetPools(map[string]fleet.Pool{"engines": {WarmFor: coldFor, WarmRate: 8}})
	p.SetTargets(start, nil) // the leader has not read the list yet
	p.SetTargets(start, instances(9))
	_, ok := p.Choose(start, prompt(1, 13000, 300))
	require.True(t, ok)
}
