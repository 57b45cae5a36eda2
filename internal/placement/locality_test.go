package placement

import (
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/fleet"
)

// inZones returns placers of one router in each of three zones, before as many engines of
// 500,000 tokens.
func inZones(engines int) []*Placer {
	var list []*Placer
	for _, zone := range []fleet.Zone{"z0", "z1", "z2"} {
		p := &Placer{Zone: zone, Routers: 86}
		p.SetPools(map[string]fleet.Pool{"engines": {Engine: &fleet.Engine{Slots: 64, Memory: 500_000, CopyRate: 200}}})
		p.SetTargets(start, instances(engines))
		list = append(list, p)
	}
	return list
}

// homes returns where routers of three zones keep a prompt's shared parts.
func homes(list []*Placer, r Request) map[string]bool {
	at := map[string]bool{}
	for _, p := range list {
		at[p.keepers(start, r).home.ID] = true
	}
	return at
}

// Guards against bodies that cross zones for parts that each zone has room for, and against
// parts that push each other out since each zone keeps all.
func TestSmallPartsAreKeptInEachZone(t *testing.T) {
	for name, tt := range map[string]struct {
		engines, shared, homes int
	}{
		"small parts, many engines": {60, 6_000, 3},
		"large parts":               {60, 13_000, 1},
		"few engines":               {9, 6_000, 1},
		"few engines, tiny parts":   {9, 300, 3},
	} {
		t.Run(name, func(t *testing.T) {
			list := inZones(tt.engines)
			for subject := range uint64(50) {
				require.Len(t, homes(list, prompt(subject, tt.shared, 3000)), tt.homes)
			}
		})
	}
}

// Guards against a zone that reads what the fleet has read.
func TestAZoneCopiesFromTheHomeOfTheFleet(t *testing.T) {
	for subject := range uint64(20) {
		list := inZones(60)
		r := prompt(subject, 6_000, 3000)
		for _, p := range list {
			k := p.keepers(start, r)
			require.Equal(t, p.Zone, k.home.Zone)
			c := send(t, p, start, r)
			if k.home != k.first {
				require.Equal(t, k.first.Address, c.CopyFrom)
			}
		}
	}
}

// Guards against requests without a home in a zone whose engines have gone.
func TestAZoneWithoutEnginesUsesOthers(t *testing.T) {
	p := inZones(60)[0]
	p.SetEvacuated(fleet.Evacuations{Revision: 1, Zones: []fleet.Zone{"z0"}})
	p.SetTargets(start, instances(60))
	c := send(t, p, start, prompt(1, 6_000, 300))
	require.NotEqual(t, fleet.Zone("z0"), c.Target.Zone)
	require.True(t, c.IsOwner)
}
