package peerlink

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"laburnumfall/internal/fleet"
)

// Peers are the addresses of all routers by availability zone.
type Peers map[fleet.Zone][]string

// Count returns the number of routers.
func (p Peers) Count() int {
	count := 0
	for _, addresses := range p {
		count += len(addresses)
	}
	return count
}

// Holders returns the addresses of count routers, or of all if there are fewer, that keep the state of
// a key, by rank. They are in different zones as far as there are, since zones do not fail together. All
// routers that know the same peers agree (rendezvous hashing).
func (p Peers) Holders(key string, count int) []string {
	zones := make([]string, 0, len(p))
	for zone, addresses := range p {
		if len(addresses) > 0 {
			zones = append(zones, string(zone))
		}
	}
	count = min(count, p.Count())
	zones = highest(zones, key, count)
	holders := make([]string, 0, count)
	for rank := 0; len(holders) < count; rank++ {
		for _, zone := range zones {
			if ranked := highest(p[fleet.Zone(zone)], key, rank+1); len(ranked) > rank && len(holders) < count {
				holders = append(holders, ranked[rank])
			}
		}
	}
	return holders
}

// highest returns the count names with the highest rendezvous scores, the highest first.
func highest(names []string, key string, count int) []string {
	type scored struct {
		name  string
		score uint64
	}
	best, keyHash := make([]scored, 0, count+1), xxhash.Sum64String(key)
	for _, name := range names {
		candidate := scored{name, rendezvousScore(keyHash, xxhash.Sum64String(name))}
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

func rendezvousScore(key, name uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], key)
	binary.LittleEndian.PutUint64(buf[8:], name)
	return xxhash.Sum64(buf[:])
}
