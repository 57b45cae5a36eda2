package placement

import (
	"time"

	"laburnumfall/internal/fleet"
)

// copyWeight is the part of the time of reading parts that copying them counts in a
// choice, however fast it is: the copy takes memory in which other parts are kept,
// and is billed.
const copyWeight = 2

// A need is what a target has to do before it can begin to answer a prompt.
type need struct {
	read   int    // tokens
	copied int    // tokens that it copies from another engine instead
	from   *state // which keeps them, or nil
}

// keepers are the targets that come first in the order by which a prompt's shared
// parts are placed.
type keepers struct {
	home *state // the first that takes new work: where the parts belong
	// first and second may be leaving: until they are gone they still keep parts.
	first, second *state
}

// keepers returns where a prompt's shared parts belong. Every router computes the
// same from the last shared part.
func (p *Placer) keepers(r Request) keepers {
	shared := r.shared()
	if len(shared) == 0 {
		return keepers{}
	}
	var k keepers
	var homeScore, firstScore, secondScore uint64
	key := shared[len(shared)-1].ID
	for _, s := range p.pools[r.Pool] {
		score := rendezvous(key, s.hash)
		if !s.Leaving && (k.home == nil || score > homeScore) {
			k.home, homeScore = s, score
		}
		switch {
		case k.first == nil || score > firstScore:
			k.second, secondScore = k.first, firstScore
			k.first, firstScore = s, score
		case k.second == nil || score > secondScore:
			k.second, secondScore = s, score
		}
	}
	return k
}

// source returns the target that most likely keeps what another one lacks, or nil.
func (k keepers) source(now time.Time, s *state) *state {
	switch {
	case s != k.first:
		return k.first
	case s.recent(now):
		return k.second // the home has just come; this was it before
	default:
		return nil
	}
}

// need returns what a target has to do for a prompt. At its home a part counts as
// kept, since other routers send it there too. What another engine lacks it copies
// from there, if engines can: that takes a fraction of the time of reading, and
// disturbs no other request at either.
func (p *Placer) need(now time.Time, s *state, r Request, k keepers) need {
	lacking := s.lacking(now, r)
	n := need{read: r.Own()}
	if s != k.home {
		n.read += lacking
	}
	if lacking == 0 || p.engines[s.Pool].CopyRate <= 0 {
		return n
	}
	from := k.source(now, s)
	if from == nil || !from.sound(now) {
		return n
	}
	n.from = from
	if s != k.home {
		n.read, n.copied = r.Own(), lacking
	}
	return n
}

// copyTime returns how long a target copies for a prompt. Copies from one engine
// come one after the other.
func (p *Placer) copyTime(n need) time.Duration {
	if n.copied == 0 {
		return 0
	}
	return milliseconds(float64(n.from.copying+n.copied) / p.engines[n.from.Pool].CopyRate)
}

// SetPools takes what the configuration tells of pools.
func (p *Placer) SetPools(pools map[string]fleet.Pool) {
	p.engines = make(map[string]fleet.Engine, len(pools))
	for name, pool := range pools {
		if pool.Engine != nil {
			p.engines[name] = *pool.Engine
		}
	}
}

// recent reports whether a target came so lately that parts which belong there
// may not have been read there yet.
func (s *state) recent(now time.Time) bool {
	return now.Sub(s.since) < keptFor
}

// sound reports whether other engines may be told to copy from a target.
func (s *state) sound(now time.Time) bool {
	return s.downs == 0 && (s.silent == 0 || now.Sub(s.oldest) <= silentAfter)
}

// done notes that the copy, if any, is over.
func (n need) done() {
	if n.from != nil {
		n.from.copying -= n.copied
	}
}
