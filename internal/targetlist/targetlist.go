// Package targetlist keeps which targets there are, from a list that lags and may
// be read at several places.
//
// A List is deterministic: (time, list) in, targets out.
package targetlist

import (
	"cmp"
	"slices"
	"time"

	"laburnumfall/internal/fleet"
)

const (
	// memory is how long a target that was seen leaving stays out whatever a list
	// says, and how long the newest start seen under an ID stands against older ones.
	// Lists that lag by more than that are not worth heeding.
	memory = time.Minute
	// longestLag bounds how much later than another reading one may show what the other
	// has shown: five times the most by which the platform's list lags. A target whose
	// start nobody tells, and that is listed as ready so long after it was last seen
	// leaving, has started again.
	longestLag = 4 * time.Second
	// damagedFor is how long a known target whose entry is damaged keeps its last good
	// one, which covers two readings in a row. What leaves must get no new work three
	// seconds after the list shows it, and a damaged entry may hide that; the list lags
	// and is read for up to 1.4 s.
	damagedFor = 1500 * time.Millisecond
	// emptyFor is how long the last good list stays where one without any sound entry
	// follows. Targets that are really all gone take no work meanwhile, and whoever
	// comes is told so after a failed connection; targets that leave are listed first.
	emptyFor = 10 * time.Second
)

// A List holds the newest list. Its zero value is empty.
type List struct {
	// Routed reports whether any route names a pool; nil means that all are named.
	Routed func(pool string) bool

	targets []fleet.Instance
	readAt  time.Time         // of the newest list
	goodAt  time.Time         // of the newest list that was believed
	emptyAt time.Time         // of the first list without a sound entry since then, if any
	known   map[string]*known // by ID
}

// known is what is remembered of the newest start under one ID.
type known struct {
	fleet.Instance           // as it was listed last
	listed         bool      // in the newest list, or held in its place
	seenAt         time.Time // when it was last in a list
	left           bool      // it was seen leaving
	leftAt         time.Time // when that was seen last
}

// Take takes a whole list that was read at readAt, and reports whether the
// targets changed. A list older than the present one is ignored.
//
// Two readers may see the list in different states. A target that one has seen
// leaving must not come back because the other one lags, or it would get new
// work while it leaves; and one that has started again must not be replaced by its
// former start. A new start is a new target, whatever was known of the one before.
//
// A list without any sound entry is believed only after emptyFor: more often than all
// targets at once, whoever writes the list is gone. A damaged entry does not say that its
// target is gone either.
func (r *List) Take(readAt time.Time, list fleet.TargetListing) bool {
	if readAt.Before(r.readAt) {
		return false
	}
	r.readAt = readAt
	if r.doubtful(list) {
		return false
	}
	r.goodAt = readAt
	if r.known == nil {
		r.known = make(map[string]*known)
	}
	held := make(map[string]bool) // listed before
	for id, k := range r.known {
		held[id], k.listed = k.listed, false
	}
	for _, in := range r.choose(list.Targets) {
		r.see(in, held[in.ID])
	}
	for _, id := range list.DamagedIDs() {
		if k := r.known[id]; k != nil && !k.listed {
			k.listed = held[id] && readAt.Sub(k.seenAt) <= damagedFor
		}
	}
	r.forget()
	fresh := r.listed()
	if slices.Equal(fresh, r.targets) {
		return false
	}
	r.targets = fresh
	return true
}

// doubtful reports whether a list is empty and that has not lasted for long enough.
func (r *List) doubtful(list fleet.TargetListing) bool {
	if len(list.Targets) > 0 || len(r.targets) == 0 {
		r.emptyAt = time.Time{}
		return false
	}
	if r.emptyAt.IsZero() {
		r.emptyAt = r.readAt
	}
	return r.readAt.Sub(r.emptyAt) < emptyFor
}

// choose returns one entry for each ID: one of a pool that routes name, of these the
// latest start, of one start the entry that is leaving, of others the one that was used
// before. A list should not hold two; where it does, another writer wrote one, or the list
// changed between its pages.
func (r *List) choose(list []fleet.Instance) []fleet.Instance {
	sorted := slices.Clone(list)
	slices.SortStableFunc(sorted, func(a, b fleet.Instance) int {
		return cmp.Or(
			cmp.Compare(a.ID, b.ID), yesFirst(r.routed(a), r.routed(b)), cmp.Compare(b.StartMillis, a.StartMillis), yesFirst(a.Leaving, b.Leaving),
			yesFirst(r.used(a), r.used(b)), cmp.Compare(a.Address, b.Address), cmp.Compare(a.Pool, b.Pool),
		)
	})
	return slices.CompactFunc(sorted, func(a, b fleet.Instance) bool { return a.ID == b.ID })
}

func yesFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

// routed reports whether a route names the target's pool. What another writer writes of a
// service that nobody knows must not take a target's place.
func (r *List) routed(in fleet.Instance) bool {
	return r.Routed == nil || r.Routed(in.Pool)
}

// used reports whether the target was last listed as this entry has it.
func (r *List) used(in fleet.Instance) bool {
	k := r.known[in.ID]
	return k != nil && k.Address == in.Address && k.Pool == in.Pool
}

// see takes the entry of one ID.
func (r *List) see(in fleet.Instance, held bool) {
	k := r.known[in.ID]
	switch {
	case k != nil && r.routed(k.Instance) && !r.routed(in):
		return // whoever wrote it: the target that is known is not listed any more
	case k == nil || r.isNew(k, in):
		k = &known{}
		r.known[in.ID] = k
	case in.StartMillis != 0 && in.StartMillis < k.StartMillis:
		// A reader that lags shows the start before. What is known of the newer one
		// stands: also that it is gone, if the list before did not have it.
		k.listed = held
		return
	case in.StartMillis == 0:
		in.StartMillis = k.StartMillis // this reader's source tells no start
	}
	if in.Leaving {
		k.left, k.leftAt = true, r.readAt
	}
	in.Leaving = k.left
	k.Instance, k.listed, k.seenAt = in, true, r.readAt
}

// isNew reports whether an entry is of a later start than what is known under its ID.
func (r *List) isNew(k *known, in fleet.Instance) bool {
	switch {
	case r.readAt.Sub(k.seenAt) > memory:
		return true
	case in.StartMillis != 0 && k.StartMillis != 0:
		return in.StartMillis > k.StartMillis || in.StartMillis == k.StartMillis && r.readAt.Sub(k.leftAt) > memory && k.left && !in.Leaving
	default:
		// Nobody can tell the starts. A target never goes back from leaving to ready,
		// so a list that shows that was either read by a reader that lags, or shows
		// the next start.
		return k.left && !in.Leaving && r.readAt.Sub(k.leftAt) > longestLag
	}
}

// forget drops what is not listed any more and cannot matter.
func (r *List) forget() {
	for id, k := range r.known {
		if !k.listed && r.readAt.Sub(k.seenAt) > memory {
			delete(r.known, id)
		}
	}
}

// place is where targets of a pool listen.
type place struct{ pool, address string }

// listed returns the targets in the order of their IDs. Of two of a pool at one address
// that tell their starts, only the later one is there: a target that crashed stays listed
// for some seconds, while its address is given to another. Otherwise both stay: an entry
// of another writer must hide no sound one, and the target that is there refuses, without
// running it, what names the other.
func (r *List) listed() []fleet.Instance {
	latest := make(map[place]int64)
	for _, k := range r.known {
		at := place{pool: k.Pool, address: k.Address}
		if k.listed && k.Address != "" {
			latest[at] = max(latest[at], k.StartMillis)
		}
	}
	list := make([]fleet.Instance, 0, len(r.known))
	for _, k := range r.known {
		if k.listed && (k.StartMillis == 0 || k.StartMillis >= latest[place{pool: k.Pool, address: k.Address}]) {
			list = append(list, k.Instance)
		}
	}
	slices.SortFunc(list, func(a, b fleet.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// Targets returns the targets, in the order of their IDs.
func (r *List) Targets() []fleet.Instance {
	return r.targets
}

// ReadAt returns when the newest list that was believed was read.
func (r *List) ReadAt() time.Time {
	return r.goodAt
}
