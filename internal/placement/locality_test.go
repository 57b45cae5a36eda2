package placement

import (
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/fleet"
)

// newPlacerPerZone returns the placers of one router in each of three zones, in front of engines
// with a KV capacity of 500,000 tokens each.
func newPlacerPerZone(engines int) []*Placer {
	var list []*Placer
	for _, zone := range []fleet.Zone{"z0", "z1", "z2"} {
		p := &Placer{Zone: zone, Routers: 86}
		p.SetPools(map[string]fleet.Pool{"engines": {Engine: &fleet.Engine{Slots: 64, KVCapacity: 500_000, CopyRate: 200}}})
		p.SetTargets(start, instances(engines))
		list = append(list, p)
	}
	return list
}

// owners returns the IDs of the owners of a prompt's shared parts, as seen from all zones.
func owners(list []*Placer, r Request) map[string]bool {
	ids := map[string]bool{}
	for _, p := range list {
		ids[p.cacheOwners(start, r).owner.ID] = true
	}
	return ids
}

// Guards against request bodies that cross zones for parts small enough to be cached in each
// zone, and against parts that evict each other because each zone caches all of them.
func TestSmallPartsAreCachedPerZone(t *testing.T) {
	for name, tt := range map[string]struct {
		engines, shared, owners int
	}{
		"small parts, many engines": {60, 6_000, 3},
		"large parts":               {60, 13_000, 1},
		"few engines":               {9, 6_000, 1},
		"few engines, tiny parts":   {9, 300, 3},
	} {
		t.Run(name, func(t *testing.T) {
			list := newPlacerPerZone(tt.engines)
			for subject := range uint64(50) {
				require.Len(t, owners(list, prompt(subject, tt.shared, 3000)), tt.owners)
			}
		})
	}
}

// Guards against prefilling parts in one zone that are cached in another.
func TestZoneOwnerCopiesFromFleetOwner(t *testing.T) {
	for subject := range uint64(20) {
		list := newPlacerPerZone(60)
		r := prompt(subject, 6_000, 3000)
		for _, p := range list {
			owners := p.cacheOwners(start, r)
			require.Equal(t, p.Zone, owners.owner.Zone)
			c := send(t, p, start, r)
			if owners.owner != owners.first {
				require.Equal(t, owners.first.Address, c.CopyFrom)
			}
		}
	}
}

// Guards against requests without an owner in a zone without engines.
func TestEvacuatedZoneUsesOtherZones(t *testing.T) {
	p := newPlacerPerZone(60)[0]
	p.SetEvacuated(fleet.EvacuatedZones{Revision: 1, Zones: []fleet.Zone{"z0"}})
	p.SetTargets(start, instances(60))
	c := send(t, p, start, prompt(1, 6_000, 300))
	require.NotEqual(t, fleet.Zone("z0"), c.Target.Zone)
	require.True(t, c.IsOwner)
}
