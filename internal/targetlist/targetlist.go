// Package targetlist keeps the current targets. Its input is the platform's list of targets,
// which lags and which several readers read in different states.
//
// A List is deterministic: its result depends only on the times and listings that it gets.
package targetlist

import (
	"cmp"
	"slices"
	"time"

	"laburnumfall/internal/fleet"
)

const (
	// stateTTL is how long a target that was seen leaving stays excluded regardless of later
	// listings, and how long the newest start time seen for an ID overrides older ones. A
	// listing that lags by more than this is not taken into account.
	stateTTL = time.Minute
	// maxListLag bounds how much one reading may lag behind another one. It is five times the
	// longest lag of the platform's list. If a target without a start time is listed as ready
	// this long after it was last seen leaving, it has restarted.
	maxListLag = 4 * time.Second
	// damagedTTL is how long a target whose entry is damaged keeps its last valid entry. It covers
	// two consecutive damaged readings. A leaving target must get no new work three seconds after
	// the list shows that it leaves, which a damaged entry may hide; lag and reading of the list
	// take up to 1.4 s of that time.
	damagedTTL = 1500 * time.Millisecond
	// emptyTTL is how long the last valid listing is kept if later ones have no valid entry. If
	// all targets have really ended, requests fail during that time when they connect. Targets
	// that leave are listed as leaving before they end.
	emptyTTL = 10 * time.Second
)

// A List holds the current targets. The zero value is empty.
type List struct {
	// IsRouted reports whether any route uses a pool. If it is nil, all pools count as routed.
	IsRouted func(pool string) bool

	targets    []fleet.Instance
	readAt     time.Time               // of the newest listing
	acceptedAt time.Time               // of the newest accepted listing
	emptySince time.Time               // of the first listing without a valid entry after that; zero if none
	known      map[string]*knownTarget // by ID
}

// knownTarget is the state of the newest run of a target ID.
type knownTarget struct {
	fleet.Instance           // the last valid entry
	listed         bool      // it is in the newest listing, or kept although its entry is damaged
	listedAt       time.Time // when it was last in a listing
	seenLeaving    bool
	seenLeavingAt  time.Time // when it was last listed as leaving
}

// Update applies a complete listing that was read at readAt, and reports whether the targets
// changed. A listing older than the newest one is ignored.
//
// Two readers may see the list in different states. A target that one reader has seen leaving
// must not become ready because the other reader lags, or it would get new work while it leaves.
// A target that has restarted must not be replaced by its previous run. A new run is a new
// target, regardless of the state of the previous one.
//
// A listing without any valid entry is accepted only after emptyTTL, since a failure of the
// writer of the list is more likely than the end of all targets at once. A damaged entry does
// not mean that its target has ended either.
func (l *List) Update(readAt time.Time, listing fleet.TargetListing) bool {
	if readAt.Before(l.readAt) {
		return false
	}
	l.readAt = readAt
	if l.implausiblyEmpty(listing) {
		return false
	}
	l.acceptedAt = readAt
	if l.known == nil {
		l.known = make(map[string]*knownTarget)
	}
	wasListed := make(map[string]bool)
	for id, known := range l.known {
		wasListed[id], known.listed = known.listed, false
	}
	for _, entry := range l.deduplicate(listing.Targets) {
		l.observe(entry, wasListed[entry.ID])
	}
	for _, id := range listing.DamagedIDs() {
		if known := l.known[id]; known != nil && !known.listed {
			known.listed = wasListed[id] && readAt.Sub(known.listedAt) <= damagedTTL
		}
	}
	l.removeStale()
	targets := l.current()
	if slices.Equal(targets, l.targets) {
		return false
	}
	l.targets = targets
	return true
}

// implausiblyEmpty reports whether the listing has no valid entry, and this has lasted for less
// than emptyTTL.
func (l *List) implausiblyEmpty(listing fleet.TargetListing) bool {
	if len(listing.Targets) > 0 || len(l.targets) == 0 {
		l.emptySince = time.Time{}
		return false
	}
	if l.emptySince.IsZero() {
		l.emptySince = l.readAt
	}
	return l.readAt.Sub(l.emptySince) < emptyTTL
}

// deduplicate returns one entry for each ID. It prefers entries of routed pools, then the latest
// start time, then an entry that is leaving, then the one that was used before. Duplicate IDs
// should not occur, but another writer may have added an entry, or the list may have changed
// between the reading of two pages.
func (l *List) deduplicate(entries []fleet.Instance) []fleet.Instance {
	sorted := slices.Clone(entries)
	slices.SortStableFunc(sorted, func(a, b fleet.Instance) int {
		return cmp.Or(
			cmp.Compare(a.ID, b.ID), trueFirst(l.routed(a), l.routed(b)), cmp.Compare(b.StartMillis, a.StartMillis), trueFirst(a.Leaving, b.Leaving),
			trueFirst(l.matchesLastEntry(a), l.matchesLastEntry(b)), cmp.Compare(a.Address, b.Address), cmp.Compare(a.Pool, b.Pool),
		)
	})
	return slices.CompactFunc(sorted, func(a, b fleet.Instance) bool { return a.ID == b.ID })
}

func trueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

// routed reports whether a route uses the pool of the entry. An entry that another writer made
// for an unknown pool must not replace a target.
func (l *List) routed(entry fleet.Instance) bool {
	return l.IsRouted == nil || l.IsRouted(entry.Pool)
}

// matchesLastEntry reports whether the entry has the same address and pool as the last one of its
// ID.
func (l *List) matchesLastEntry(entry fleet.Instance) bool {
	known := l.known[entry.ID]
	return known != nil && known.Address == entry.Address && known.Pool == entry.Pool
}

// observe applies the entry of one ID.
func (l *List) observe(entry fleet.Instance, wasListed bool) {
	known := l.known[entry.ID]
	switch {
	case known != nil && l.routed(known.Instance) && !l.routed(entry):
		return // regardless of who wrote the entry, the known target is not listed any more
	case known == nil || l.isNewRun(known, entry):
		known = &knownTarget{}
		l.known[entry.ID] = known
	case entry.StartMillis != 0 && entry.StartMillis < known.StartMillis:
		// A reader that lags shows the previous run. The state of the newer run is kept,
		// including its absence if the previous listing did not have it.
		known.listed = wasListed
		return
	case entry.StartMillis == 0:
		entry.StartMillis = known.StartMillis // the source of this listing has no start times
	}
	if entry.Leaving {
		known.seenLeaving, known.seenLeavingAt = true, l.readAt
	}
	entry.Leaving = known.seenLeaving
	known.Instance, known.listed, known.listedAt = entry, true, l.readAt
}

// isNewRun reports whether an entry is of a later run than the known target with its ID.
func (l *List) isNewRun(known *knownTarget, entry fleet.Instance) bool {
	switch {
	case l.readAt.Sub(known.listedAt) > stateTTL:
		return true
	case entry.StartMillis != 0 && known.StartMillis != 0:
		return entry.StartMillis > known.StartMillis || entry.StartMillis == known.StartMillis && l.readAt.Sub(known.seenLeavingAt) > stateTTL && known.seenLeaving && !entry.Leaving
	default:
		// A start time is unknown. A target never returns from leaving to ready, so that
		// a listing that shows this is either of a lagging reader or shows the next run.
		return known.seenLeaving && !entry.Leaving && l.readAt.Sub(known.seenLeavingAt) > maxListLag
	}
}

// removeStale removes targets that have not been listed for stateTTL.
func (l *List) removeStale() {
	for id, known := range l.known {
		if !known.listed && l.readAt.Sub(known.listedAt) > stateTTL {
			delete(l.known, id)
		}
	}
}

// poolAddress is an address at which a target of a pool listens.
type poolAddress struct{ pool, address string }

// current returns the listed targets, sorted by ID. If two targets of a pool have the same
// address and known start times, it returns only the later one: a crashed target stays listed for
// some seconds, while its address is reused. Otherwise it returns both, since an entry of another
// writer must not hide a valid one. The target at the address rejects requests for the other one
// without running them.
func (l *List) current() []fleet.Instance {
	latestStart := make(map[poolAddress]int64)
	for _, known := range l.known {
		key := poolAddress{pool: known.Pool, address: known.Address}
		if known.listed && known.Address != "" {
			latestStart[key] = max(latestStart[key], known.StartMillis)
		}
	}
	targets := make([]fleet.Instance, 0, len(l.known))
	for _, known := range l.known {
		if known.listed && (known.StartMillis == 0 || known.StartMillis >= latestStart[poolAddress{pool: known.Pool, address: known.Address}]) {
			targets = append(targets, known.Instance)
		}
	}
	slices.SortFunc(targets, func(a, b fleet.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return targets
}

// Targets returns the current targets, sorted by ID.
func (l *List) Targets() []fleet.Instance {
	return l.targets
}

// ReadAt returns when the newest accepted listing was read.
func (l *List) ReadAt() time.Time {
	return l.acceptedAt
}
