package origin

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"laburnumfall/internal/fleet"
)

// Peers are the addresses of all routers by availability zone.
type Peers map[fleet.Zone][]string

const (
	// holderCount is how many routers are told where a stream began. In a fleet of up to smallFleet
	// routers there are smallFleetHolderCount: one event may end a larger part of it.
	holderCount           = 2
	smallFleetHolderCount = 3
	smallFleet            = 64
)

// holders returns the addresses of the routers that keep the stream of a request, in different zones as
// far as there are, since zones do not fail together. All routers that know the same peers agree
// (rendezvous hashing).
func (p Peers) holders(request string) []string {
	zones, total := make([]string, 0, len(p)), 0
	for zone, addresses := range p {
		if len(addresses) > 0 {
			zones, total = append(zones, string(zone)), total+len(addresses)
		}
	}
	count := holderCount
	if total <= smallFleet {
		count = min(smallFleetHolderCount, total)
	}
	zones = highest(zones, request, count)
	holders := make([]string, 0, count)
	for rank := 0; len(holders) < count; rank++ {
		for _, zone := range zones {
			if ranked := highest(p[fleet.Zone(zone)], request, rank+1); len(ranked) > rank && len(holders) < count {
				holders = append(holders, ranked[rank])
			}
		}
	}
	return holders
}

// highest returns the count names with the highest rendezvous scores, the highest first.
func highest(names []string, request string, count int) []string {
	type scored struct {
		name  string
		score uint64
	}
	best, requestHash := make([]scored, 0, count+1), xxhash.Sum64String(request)
	for _, name := range names {
		candidate := scored{name, rendezvousScore(requestHash, xxhash.Sum64String(name))}
		if len(best) == count && candidate.score < best[count-1].score {
			continue
		}
		best = append(best, candidate)
		slices.SortFunc(best, func(a, b scored) int { return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name)) })
		best = best[:min(len(best), count)]
	}
	top := make([]string, 0, len(best))
	for _, entry := range best {
		top = append(top, entry.name)
	}
	return top
}

func rendezvousScore(request, name uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], request)
	binary.LittleEndian.PutUint64(buf[8:], name)
	return xxhash.Sum64(buf[:])
}
