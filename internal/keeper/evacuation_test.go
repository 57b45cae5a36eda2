package keeper

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/message"
)

// evacuate sends an operator's request to the leader until it is acknowledged, and reports
// whether it was.
func (cluster *autoCluster) evacuate(request message.EvacuateRequest) bool {
	acked := false
	for range 400 {
		if leader := cluster.leader(); leader != nil {
			leader.core.proposeEvacuation(cluster.clock.Time, request, func(_ message.EvacuateResult, err error) {
				acked = acked || err == nil
			})
		}
		cluster.run(2 * simStep)
		if acked {
			return true
		}
	}
	return false
}

// Guards against an acknowledged evacuation, or the end of one, that is lost when keepers fail.
func TestEvacuationsSurviveKeeperFailures(t *testing.T) {
	zones := []fleet.Zone{"a", "b", "c"}
	for seed := range uint64(40) {
		cluster := newAutoCluster(t, seed, 5)
		for _, vm := range cluster.vms {
			vm.core.zones = zones
		}
		require.True(t, cluster.waitHealthy())
		want := map[fleet.Zone]bool{}
		for range 6 {
			request := message.EvacuateRequest{Zone: zones[cluster.random.IntN(len(zones))], End: cluster.random.IntN(3) == 0}
			if leader := cluster.leader(); leader != nil {
				leader.core.zones = zones // a restarted keeper reads them from its settings
			}
			require.True(t, cluster.evacuate(request), "seed %d", seed)
			want[request.Zone] = !request.End
			cluster.injectOutage()
			require.True(t, cluster.waitHealthy(), "seed %d", seed)
			for _, vm := range cluster.vms {
				if vm.core != nil {
					vm.core.zones = zones
				}
			}
			evacuations := cluster.leader().core.store.EvacuatedZones()
			for zone, evacuated := range want {
				require.Equal(t, evacuated, evacuations.Contains(zone), "seed %d", seed)
			}
			response := cluster.leader().core.renew(cluster.clock.Time, message.RenewRequest{Router: "new", Incarnation: 9})
			require.True(t, response.EvacuatedZones == nil && evacuations.Revision == 0 || response.EvacuatedZones.Revision == evacuations.Revision,
				"a new router gets the evacuated zones with its first response")
		}
	}
}

// Guards against evacuations of zones that do not exist, which no operator could take back.
func TestRefusesEvacuationOfUnknownZone(t *testing.T) {
	cluster := newAutoCluster(t, 1, 5)
	require.True(t, cluster.waitHealthy())
	c := cluster.leader().core
	evacuate := func(request message.EvacuateRequest) (err error) {
		c.proposeEvacuation(cluster.clock.Time, request, func(_ message.EvacuateResult, proposeErr error) { err = proposeErr })
		cluster.run(5 * simStep)
		return err
	}
	var refusal *fleet.Error
	for _, end := range []bool{false, true} {
		require.ErrorAs(t, evacuate(message.EvacuateRequest{Zone: "nowhere", End: end}), &refusal)
		require.Equal(t, fleet.KindMalformed, refusal.Kind)
	}
	require.Zero(t, c.store.EvacuatedZones().Revision)

	c.setTargets(cluster.clock.Now(), fleet.TargetListing{Targets: []fleet.Instance{{Incarnation: fleet.Incarnation{ID: "a"}, Zone: "z"}}})
	require.NoError(t, evacuate(message.EvacuateRequest{Zone: "z"}))
	c.setTargets(cluster.clock.Now(), fleet.TargetListing{})
	require.NoError(t, evacuate(message.EvacuateRequest{Zone: "z"}), "an accepted request is not refused when it is repeated")
	require.NoError(t, evacuate(message.EvacuateRequest{Zone: "z", End: true}))
	require.False(t, slices.Contains(c.store.EvacuatedZones().Zones, "z"))
}
