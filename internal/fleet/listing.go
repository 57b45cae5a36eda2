package fleet

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// A TargetListing is the result of reading a list of targets once. Other systems write the
// list.
type TargetListing struct {
	Targets []Instance
	// Damaged are the entries that do not describe a usable target.
	Damaged []DamagedEntry
	// Warming are the targets that report how much longer they are cold.
	Warming []WarmingTarget
}

// A WarmingTarget is a target that stays cold for the time Left after its list was read.
type WarmingTarget struct {
	Target Incarnation
	Left   time.Duration
}

// WarmingUntil returns until when each warming target is cold, for a listing that was read at
// readAt.
func (l TargetListing) WarmingUntil(readAt time.Time) map[Incarnation]time.Time {
	if len(l.Warming) == 0 {
		return nil
	}
	until := make(map[Incarnation]time.Time, len(l.Warming))
	for _, warming := range l.Warming {
		until[warming.Target] = readAt.Add(warming.Left)
	}
	return until
}

// A DamagedEntry is an entry of a list that could not be parsed.
type DamagedEntry struct {
	// ID is the ID of the target, or "" if the entry has no readable one.
	ID string
	// Field is the name of the invalid field, or says that the entry as a whole is invalid.
	Field string
}

// maxDamagedIDs bounds the IDs of damaged entries that are sent to all routers. It is several
// times the number of targets at one site.
const maxDamagedIDs = 1000

// DamagedIDs returns the sorted, distinct IDs of damaged entries, at most maxDamagedIDs of
// them.
func (l TargetListing) DamagedIDs() []string {
	var ids []string
	for _, entry := range l.Damaged {
		if entry.ID != "" {
			ids = append(ids, entry.ID)
		}
	}
	slices.Sort(ids)
	ids = slices.Compact(ids)
	return ids[:min(len(ids), maxDamagedIDs)]
}

// DamageSummary returns the number of damaged entries by invalid field, such as
// "id:2 slots:1". Its length depends on the number of fields, not of entries.
func (l TargetListing) DamageSummary() string {
	counts := make(map[string]int)
	for _, entry := range l.Damaged {
		counts[entry.Field]++
	}
	parts := make([]string, 0, len(counts))
	for _, field := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, field+":"+strconv.Itoa(counts[field]))
	}
	return strings.Join(parts, " ")
}
