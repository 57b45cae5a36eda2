package origin

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"laburnumfall/internal/fleet"
)

// Peers are the addresses of all routers by availability zone.
type Peers map[fleet.Zone][]string

// holderCount is how many routers are told where a stream began.
const holderCount = 2

// holders returns the addresses of the routers that keep the stream of a request: one in each of two
// zones, which do not fail together, or two in the only zone. All routers that know the same peers agree
// (rendezvous hashing).
func (p Peers) holders(request string) []string {
	zones := make([]string, 0, len(p))
	for zone, addresses := range p {
		if len(addresses) > 0 {
			zones = append(zones, string(zone))
		}
	}
	zones = highest(zones, request, holderCount)
	var holders []string
	for _, zone := range zones {
		holders = append(holders, highest(p[fleet.Zone(zone)], request, holderCount/len(zones))...)
	}
	return holders
}

// highest returns the count names with the highest rendezvous scores, the highest first.
func highest(names []string, request string, count int) []string {
	type scored struct {
		name  string
		score uint64
	}
	var best []scored
	for _, name := range names {
		candidate := scored{name, xxhash.Sum64String(request + " " + name)}
		i, _ := slices.BinarySearchFunc(best, candidate, func(a, b scored) int { return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name)) })
		if i < count {
			best = slices.Insert(best, i, candidate)
			best = best[:min(len(best), count)]
		}
	}
	top := make([]string, 0, len(best))
	for _, entry := range best {
		top = append(top, entry.name)
	}
	return top
}
