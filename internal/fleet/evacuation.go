package fleet

import "slices"

// Evacuations are the availability zones whose targets get no new work, by operators'
// orders. A value is never changed.
type EvacuatedZones struct {
	// Revision counts the changes. Of two values, the one with the higher is newer.
	Revision uint64 `json:"revision"`
	Zones    []Zone `json:"zones,omitempty"` // in order
}

// Has reports whether a zone is evacuated.
func (e EvacuatedZones) Contains(z Zone) bool {
	_, found := slices.BinarySearch(e.Zones, z)
	return found
}

// With returns the value in which a zone is evacuated. Where it is already, nothing
// changes, so that an order may be sent again.
func (e EvacuatedZones) With(z Zone) EvacuatedZones {
	at, found := slices.BinarySearch(e.Zones, z)
	if found {
		return e
	}
	return EvacuatedZones{Revision: e.Revision + 1, Zones: slices.Insert(slices.Clone(e.Zones), at, z)}
}

// Without returns the value in which a zone is not evacuated.
func (e EvacuatedZones) Without(z Zone) EvacuatedZones {
	at, found := slices.BinarySearch(e.Zones, z)
	if !found {
		return e
	}
	return EvacuatedZones{Revision: e.Revision + 1, Zones: slices.Delete(slices.Clone(e.Zones), at, at+1)}
}
