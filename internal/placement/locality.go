package placement

const (
	// A prompt's shared parts are cached in each availability zone if they are smaller than the
	// memory of one engine divided by engineMemoryDivisor, and smaller than the memory of all the
	// zone's engines divided by zoneMemoryDivisor. With fewer engines in a zone, such parts evict
	// each other sooner.
	engineMemoryDivisor = 64
	zoneMemoryDivisor   = 1024
)

// cachePerZone reports whether a prompt's shared parts have an owner in each availability zone.
//
// A request that goes to another zone takes its body there, and that traffic is billed. Parts
// cached in every zone take memory in each and are used less often there, so they are evicted and
// prefilled again sooner. That pays off for small parts only. A zone's owner copies what it has
// not cached from the owner of the fleet.
func (p *Placer) cachePerZone(r Request) bool {
	shared, memory := 0, p.engines[r.Pool].KVCapacity
	for _, part := range r.shared() {
		shared += part.Tokens
	}
	return shared*engineMemoryDivisor < memory && shared*zoneMemoryDivisor < memory*p.acceptingInZone[r.Pool]
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
