package placement

const (
	// A prompt's shared parts are cached in each availability zone if they are smaller than the
	// KV capacity of one engine divided by engineCapacityDivisor, and smaller than the KV capacity
	// of all the zone's engines divided by zoneCapacityDivisor. With fewer engines in a zone, such
	// parts evict each other sooner.
	engineCapacityDivisor = 64
	zoneCapacityDivisor   = 1024
)

// cachePerZone reports whether a prompt's shared parts have an owner in each availability zone.
//
// A request that goes to another zone takes its body there, and that traffic is billed. Parts
// cached in every zone take KV capacity in each and are used less often there, so they are
// evicted and prefilled again sooner. That pays off for small parts only. A zone's owner copies
// what it has not cached from the owner of the fleet.
func (p *Placer) cachePerZone(r Request) bool {
	shared, capacity := 0, p.engines[r.Pool].KVCapacity
	for _, part := range r.shared() {
		shared += part.Tokens
	}
	return shared*engineCapacityDivisor < capacity && shared*zoneCapacityDivisor < capacity*p.acceptingInZone[r.Pool]
}

// A bestScore finds the target with the highest score.
type bestScore struct {
	target *state
	score  uint64
}

func (b *bestScore) consider(s *state, score uint64) {
	if b.target == nil || score > b.score {
		b.target, b.score = s, score
	}
}
