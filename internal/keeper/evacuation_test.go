package keeper

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/message"
)

// order sends an operator's order to whoever leads until it is acknowledged, and reports
// whether it was.
func (g *tended) order(p message.EvacuateRequest) bool {
	acked := false
	for range 400 {
		if l := g.leader(); l != nil {
			l.core.proposeEvacuation(g.clock.Time, p, func(_ message.EvacuateResult, err error) {
				acked = acked || err == nil
			})
		}
		g.run(2 * tendedStep)
		if acked {
			return true
		}
	}
	return false
}

// Guards against an evacuation that is forgotten, or comes back, once it was acknowledged.
func TestAnEvacuationStaysWhateverBecomesOfKeepers(t *testing.T) {
	zones := []fleet.Zone{"a", "b", "c"}
	for seed := range uint64(40) {
		g := newTended(t, seed, 5)
		for _, vm := range g.vms {
			vm.core.zones = zones
		}
		require.True(t, g.settle())
		want := map[fleet.Zone]bool{}
		for range 6 {
			p := message.EvacuateRequest{Zone: zones[g.random.IntN(len(zones))], End: g.random.IntN(3) == 0}
			if l := g.leader(); l != nil {
				l.core.zones = zones // keepers that start anew read them from their settings
			}
			require.True(t, g.order(p), "seed %d", seed)
			want[p.Zone] = !p.End
			g.strike()
			require.True(t, g.settle(), "seed %d", seed)
			for _, vm := range g.vms {
				if vm.core != nil {
					vm.core.zones = zones
				}
			}
			held := g.leader().core.store.Evacuations()
			for zone, evacuated := range want {
				require.Equal(t, evacuated, held.Contains(zone), "seed %d", seed)
			}
			answer := g.leader().core.renew(g.clock.Time, message.RenewRequest{Router: "new", Incarnation: 9})
			require.True(t, answer.EvacuatedZones == nil && held.Revision == 0 || answer.EvacuatedZones.Revision == held.Revision,
				"a router that starts is told with its first answer")
		}
	}
}

// Guards against orders of zones that do not exist, which nobody could take back.
func TestAnEvacuationOfAnUnknownZoneIsRefused(t *testing.T) {
	g := newTended(t, 1, 5)
	require.True(t, g.settle())
	c := g.leader().core
	try := func(p message.EvacuateRequest) (err error) {
		c.proposeEvacuation(g.clock.Time, p, func(_ message.EvacuateResult, e error) { err = e })
		g.run(5 * tendedStep)
		return err
	}
	var refused *fleet.Error
	for _, end := range []bool{false, true} {
		require.ErrorAs(t, try(message.EvacuateRequest{Zone: "nowhere", End: end}), &refused)
		require.Equal(t, fleet.KindMalformed, refused.Kind)
	}
	require.Zero(t, c.store.Evacuations().Revision)

	c.setTargets(g.clock.Now(), fleet.TargetListing{Targets: []fleet.Instance{{Incarnation: fleet.Incarnation{ID: "a"}, Zone: "z"}}})
	require.NoError(t, try(message.EvacuateRequest{Zone: "z"}))
	c.setTargets(g.clock.Now(), fleet.TargetListing{})
	require.NoError(t, try(message.EvacuateRequest{Zone: "z"}), "it was accepted, and is never refused after that")
	require.NoError(t, try(message.EvacuateRequest{Zone: "z", End: true}))
	require.False(t, slices.Contains(c.store.Evacuations().Zones, "z"))
}
