package placement

const (
	// localPart is the part of an engine's memory, as a divisor, up to which the shared parts
	// of a prompt are kept in each availability zone, and zonePart the same of all engines
	// of the zone: the fewer these are, the sooner such parts push each other out.
	localPart = 64
	zonePart  = 1024
)

// local reports whether a prompt's shared parts have a home in each availability zone.
//
// A request that goes to another zone takes its body there, which is billed. What is kept in
// each zone takes memory in each, and is used less often there, so that it is sooner read
// again: that pays for small parts only. What the home of a zone lacks it copies from the
// home of the fleet.
func (p *Placer) local(r Request) bool {
	shared, memory := 0, p.engines[r.Pool].KVCapacity
	for _, part := range r.shared() {
		shared += part.Tokens
	}
	return shared*localPart < memory && shared*zonePart < memory*p.locals[r.Pool]
}

// A ranking finds the first of some targets in the order of their scores.
type ranking struct {
	first *state
	score uint64
}

func (k *ranking) add(s *state, score uint64) {
	if k.first == nil || score > k.score {
		k.first, k.score = s, score
	}
}
