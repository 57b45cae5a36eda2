package roster

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"laburnumfall/internal/fleet"
)

const (
	// AbsentFor is how long a target counts as gone since a router last found it so: the list
	// shows it as ready for some seconds more. One that was gone for a moment only is back after it.
	AbsentFor = 5 * time.Second
	// mostAbsent bounds the targets that are remembered.
	mostAbsent = 4096
)

// Absences are the targets that routers have found to be gone while the list shows them: each
// router would else have to find out by itself, by a request of one of its callers. The zero
// value has none.
type Absences struct {
	at       map[fleet.Incarnation]time.Time
	revision uint64
	told     []fleet.Incarnation // as of the revision
}

// Report takes the targets that a router has found to be gone, of those that are listed.
func (a *Absences) Report(now time.Time, found []fleet.Incarnation, listed func(fleet.Incarnation) bool) {
	for _, target := range found {
		if len(a.at) >= mostAbsent || !listed(target) {
			continue
		}
		if a.at == nil {
			a.at = make(map[fleet.Incarnation]time.Time)
		}
		a.at[target] = now
	}
}

// Now returns the targets that are gone, in order, and a number that changes with them. Numbers
// of different keepers differ.
func (a *Absences) Now(now time.Time) (revision uint64, targets []fleet.Incarnation) {
	maps.DeleteFunc(a.at, func(_ fleet.Incarnation, at time.Time) bool { return now.Sub(at) >= AbsentFor })
	if len(a.at) != len(a.told) || slices.ContainsFunc(a.told, func(t fleet.Incarnation) bool { return a.at[t].IsZero() }) {
		a.told = slices.SortedFunc(maps.Keys(a.at), func(x, y fleet.Incarnation) int {
			return cmp.Or(cmp.Compare(x.ID, y.ID), cmp.Compare(x.Born, y.Born))
		})
		a.revision = max(a.revision+1, uint64(now.UnixNano()))
	}
	return a.revision, a.told
}
