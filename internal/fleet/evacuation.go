package fleet

import "slices"

// EvacuatedZones are the availability zones whose targets get no new work, by order of an
// operator. A value is immutable.
type EvacuatedZones struct {
	// Revision counts the changes. Of two values, the one with the higher revision is newer.
	Revision uint64 `json:"revision"`
	Zones    []Zone `json:"zones,omitempty"` // sorted
}

// Contains reports whether a zone is evacuated.
func (z EvacuatedZones) Contains(zone Zone) bool {
	_, found := slices.BinarySearch(z.Zones, zone)
	return found
}

// With returns a copy to which a zone is added. If it is already evacuated, the revision
// stays the same, so that an operator's order is idempotent.
func (z EvacuatedZones) With(zone Zone) EvacuatedZones {
	index, found := slices.BinarySearch(z.Zones, zone)
	if found {
		return z
	}
	return EvacuatedZones{Revision: z.Revision + 1, Zones: slices.Insert(slices.Clone(z.Zones), index, zone)}
}

// Without returns a copy from which a zone is removed. If it is not evacuated, the revision
// stays the same.
func (z EvacuatedZones) Without(zone Zone) EvacuatedZones {
	index, found := slices.BinarySearch(z.Zones, zone)
	if !found {
		return z
	}
	return EvacuatedZones{Revision: z.Revision + 1, Zones: slices.Delete(slices.Clone(z.Zones), index, index+1)}
}
