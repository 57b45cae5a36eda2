// Package roster keeps which targets there are, from a list that lags and may
// be read at several places.
//
// A Roster is deterministic: (time, list) in, targets out.
package roster

import (
	"cmp"
	"slices"
	"time"

	"laburnumfall/internal/fleet"
)

// leftMemory is how long a target that was seen leaving stays out whatever a
// list says. Lists that lag by more than that are not worth heeding.
const leftMemory = time.Minute

// A Roster holds the newest list. Its zero value is empty.
type Roster struct {
	targets []fleet.Instance
	readAt  time.Time
	left    map[string]time.Time // by ID, when it was first seen leaving
}

// Take takes a whole list that was read at readAt, and reports whether the
// targets changed. A list older than the present one is ignored.
//
// Two readers may see the list in different states: a target that one has seen
// leaving must not come back because the other one lags, or it would get new
// work while it leaves.
func (r *Roster) Take(readAt time.Time, list []fleet.Instance) bool {
	if readAt.Before(r.readAt) {
		return false
	}
	r.readAt = readAt
	r.note(list)
	fresh := slices.Clone(list)
	for i := range fresh {
		if _, left := r.left[fresh[i].ID]; left {
			fresh[i].Leaving = true
		}
	}
	slices.SortFunc(fresh, func(a, b fleet.Instance) int { return cmp.Compare(a.ID, b.ID) })
	if slices.Equal(fresh, r.targets) {
		return false
	}
	r.targets = fresh
	return true
}

func (r *Roster) note(list []fleet.Instance) {
	if r.left == nil {
		r.left = make(map[string]time.Time)
	}
	for _, in := range list {
		if _, ok := r.left[in.ID]; in.Leaving && !ok {
			r.left[in.ID] = r.readAt
		}
	}
	for id, at := range r.left {
		if r.readAt.Sub(at) > leftMemory {
			delete(r.left, id)
		}
	}
}

// Targets returns the targets, in the order of their IDs.
func (r *Roster) Targets() []fleet.Instance {
	return r.targets
}

// ReadAt returns when the newest list was read.
func (r *Roster) ReadAt() time.Time {
	return r.readAt
}
