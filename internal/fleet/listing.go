package fleet

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// A Listing is one reading of a list of targets that others write.
type TargetListing struct {
	Targets []Instance
	// Damaged are the entries that name no target to use.
	Damaged []DamagedEntry
	// Warming are the targets that say for how long they are still cold.
	Warming []WarmingTarget
}

// A Warming is a target that is cold for a time after its list was read.
type WarmingTarget struct {
	Target Incarnation
	Left   time.Duration
}

// WarmingUntil returns until when targets are cold, of a listing that was read at a moment.
func (l TargetListing) WarmingUntil(readAt time.Time) map[Incarnation]time.Time {
	if len(l.Warming) == 0 {
		return nil
	}
	until := make(map[Incarnation]time.Time, len(l.Warming))
	for _, w := range l.Warming {
		until[w.Target] = readAt.Add(w.Left)
	}
	return until
}

// A Damage is an entry of a list that could not be understood.
type DamagedEntry struct {
	// ID is the target's that the entry names, or "" if even that cannot be read.
	ID string
	// Field is what is wrong: a field's name, or that it is no entry at all.
	Field string
}

// mostNamed bounds the IDs of damaged entries that are passed on to all routers: some times
// what a site of today has targets.
const mostNamed = 1000

// DamagedIDs returns the IDs that damaged entries name, each once and in order, the first
// mostNamed of them.
func (l TargetListing) DamagedIDs() []string {
	var ids []string
	for _, d := range l.Damaged {
		if d.ID != "" {
			ids = append(ids, d.ID)
		}
	}
	slices.Sort(ids)
	ids = slices.Compact(ids)
	return ids[:min(len(ids), mostNamed)]
}

// Faults counts the damaged entries by what is wrong, as text such as "id:2 slots:1". It
// is as long as there are fields, however many entries there are.
func (l TargetListing) DamageSummary() string {
	counts := make(map[string]int)
	for _, d := range l.Damaged {
		counts[d.Field]++
	}
	parts := make([]string, 0, len(counts))
	for _, field := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, field+":"+strconv.Itoa(counts[field]))
	}
	return strings.Join(parts, " ")
}
