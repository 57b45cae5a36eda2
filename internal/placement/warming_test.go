package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/warmup"
)

const coldFor = 3 * time.Second

// newWarmingPlacer returns a placer for engines that are cold for a while after their start.
// While an engine is cold, the placer may send it the given number of requests per window.
func newWarmingPlacer(n, allowance int) *Placer {
	p := &Placer{Zone: "z0", Routers: 6}
	p.Warmup.Ratio = 1
	p.SetPools(map[string]fleet.Pool{"engines": {Name: "engines", WarmupTime: coldFor, WarmupRate: 1.1 * float64(allowance), Engine: &fleet.Engine{CopyRate: 26}}})
	p.SetTargets(start, instances(n))
	return p
}

// renewLease renews the warm-up lease, as the leader's answers do.
func renewLease(p *Placer, now time.Time) {
	p.Warmup.SetLease(now, warmup.Lease{Number: 1, Total: 1, Ready: true})
}

func evacuate(p *Placer, now time.Time, revision uint64, zones ...fleet.Zone) {
	p.SetEvacuated(fleet.EvacuatedZones{Revision: revision, Zones: zones})
	p.SetTargets(now, instances(len(p.states)))
}

// sendMany sends requests, each about another subject, and returns how many each target got.
func sendMany(t *testing.T, p *Placer, now time.Time, count int, firstSubject uint64) map[string]int {
	counts := map[string]int{}
	for i := range uint64(count) {
		c := send(t, p, now, prompt(firstSubject+i, 13000, 300))
		require.True(t, p.ConfirmSend(now, c))
		counts[c.Target.ID]++
		p.RecordFirstByte(now, c)
		p.EndAttempt(now, c, Served)
	}
	return counts
}

func countInZone(counts map[string]int, list []fleet.Instance, zone fleet.Zone) int {
	sum := 0
	for _, instance := range list {
		if instance.Zone == zone {
			sum += counts[instance.ID]
		}
	}
	return sum
}

// Guards against sending work to an evacuated zone: first attempts, requests for parts owned
// there, and requests chosen before the evacuation.
func TestEvacuatedZoneGetsNoWork(t *testing.T) {
	p := newWarmingPlacer(9, 4)
	require.Positive(t, countInZone(sendMany(t, p, start, 100, 0), instances(9), "z1"))
	var inFlight *Choice
	for subject := uint64(0); inFlight == nil || inFlight.Target.Zone != "z1"; subject++ {
		inFlight = send(t, p, start, prompt(subject, 13000, 300))
	}
	evacuate(p, start, 1, "z1")
	require.False(t, p.ConfirmSend(start, inFlight))
	p.EndAttempt(start, inFlight, Canceled)
	require.Zero(t, countInZone(sendMany(t, p, start, 300, 0), instances(9), "z1"))
	for _, instance := range instances(9) {
		require.Equal(t, instance.Zone != "z1", p.Accepts(instance.Incarnation))
	}
	evacuate(p, start, 2, "z0", "z1", "z2")
	_, ok := p.Choose(start, prompt(1, 13000, 300))
	require.False(t, ok)
	evacuated, cold := p.UnavailableReason(start, "engines")
	require.True(t, evacuated)
	require.False(t, cold)
}

// Guards against prefilling parts again that are cached in the evacuated zone.
func TestCopiesFromEvacuatedZone(t *testing.T) {
	p := newWarmingPlacer(9, 4)
	for subject := range uint64(200) {
		r := prompt(subject, 13000, 300)
		owner := p.cacheOwners(start, r).owner
		if owner.Zone != "z1" {
			continue
		}
		evacuate(p, start, 1, "z1")
		c := send(t, p, start, r)
		require.Equal(t, owner, c.plan.source)
		return
	}
	require.Fail(t, "the zone owns no part")
}

// Guards against a burst of requests at cold targets: those of a zone whose evacuation ended, new
// on the list, reported cold by the platform, or unreachable before.
func TestColdTargetGetsItsAllowance(t *testing.T) {
	const allowance = 4
	now := start.Add(time.Minute)
	for name, makeCold := range map[string]func(p *Placer){
		"evacuation ended": func(p *Placer) {
			evacuate(p, start, 1, "z1")
			evacuate(p, now, 2)
		},
		"newly listed": func(p *Placer) {
			p.SetTargets(now, instances(9)[:1])
			p.SetTargets(now, instances(9))
		},
		"reported cold": func(p *Placer) {
			until := map[fleet.Incarnation]time.Time{}
			for _, instance := range instances(9) {
				until[instance.Incarnation] = now.Add(coldFor)
			}
			p.SetColdUntil(until)
		},
		"cannot be reached": func(p *Placer) {
			for _, instance := range instances(9) {
				s := p.states[instance.Incarnation]
				p.EndAttempt(now, &Choice{Target: instance, state: s}, ConnectFailed)
				s.downUntil, s.connectFailures = time.Time{}, 0
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			p := newWarmingPlacer(9, allowance)
			makeCold(p)
			cold := p.states[fleet.Incarnation{ID: "i-1"}] // in zone z1
			require.True(t, p.isCold(now, cold))
			require.False(t, p.canSend(now, cold), "no requests without a lease")
			renewLease(p, now)
			sent := 0
			for i := range uint64(500) {
				at := now.Add(time.Duration(i) * time.Millisecond) // spread over half a second
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
			require.Equal(t, allowance, sent, "exactly its allowance")
			warmAt := now.Add(coldFor + restartMargin + time.Second)
			renewLease(p, warmAt)
			require.True(t, p.canSend(warmAt, cold))
			require.Greater(t, sendMany(t, p, warmAt, 500, 1000)["i-1"], allowance)
		})
	}
}

// Guards against sending a request to a cold target after this process was suspended, when the
// lease has expired.
func TestExpiredLeaseIsNotUsed(t *testing.T) {
	p := newWarmingPlacer(1, 4)
	p.SetColdUntil(map[fleet.Incarnation]time.Time{{ID: "i-0"}: start.Add(time.Minute)})
	renewLease(p, start)
	c := send(t, p, start, prompt(1, 13000, 300))
	require.True(t, p.ConfirmSend(start, c))
	require.False(t, p.ConfirmSend(start.Add(10*time.Second), c))
}

// Guards against a router that considers all targets cold after its own start.
func TestInitialTargetsAreNotCold(t *testing.T) {
	p := &Placer{Zone: "z0"}
	p.Warmup.Ratio = 1
	p.SetPools(map[string]fleet.Pool{"engines": {WarmupTime: coldFor, WarmupRate: 8}})
	p.SetTargets(start, nil) // the leader has not read the list yet
	p.SetTargets(start, instances(9))
	_, ok := p.Choose(start, prompt(1, 13000, 300))
	require.True(t, ok)
}

// Guards against a request to a target that was shown as leaving between the choice and the send, for
// which a stall of the process leaves much time.
func TestConfirmSendRejectsLeavingTarget(t *testing.T) {
	p := newPlacer(1)
	c := send(t, p, start, prompt(1, 1000, 500))
	require.True(t, p.ConfirmSend(start, c))
	leaving := instances(1)
	leaving[0].Leaving = true
	p.SetTargets(start, leaving)
	require.False(t, p.ConfirmSend(start, c))
}
