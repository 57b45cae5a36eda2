package placement

import (
	"time"

	"laburnumfall/internal/fleet"
)

// copyWeight is the part of the time of reading parts that copying them counts in a
// choice, however fast it is: the copy takes memory in which other parts are kept,
// which are then read anew, and is billed. A queue must be longer than that by far before a
// prompt is better off elsewhere.
const copyWeight = 4

// stayFor is how long parts stay where they were sent while their home was behind. Queues
// of engines last for some hundred milliseconds; were parts to stay for good, an engine that
// starts again would get no work.
const stayFor = 2 * time.Second

// A need is what a target has to do before it can begin to answer a prompt.
type need struct {
	read   int    // tokens
	copied int    // tokens that it copies from another engine instead
	from   *state // which keeps them, or nil
}

// keepers are the targets that come first in the order by which a prompt's shared
// parts are placed.
type keepers struct {
	// home is the first that takes this request, of the fleet or of this router's zone:
	// where the parts belong.
	home *state
	// first and second may be leaving: until they are gone they still keep parts.
	first, second *state
	// known is where this router itself sent a prompt with these parts last, if they are
	// thought to be kept there still, or nil. They stay there while they have just been
	// sent there.
	known *state
	stay  bool
}

// keepers returns where a prompt's shared parts belong. Every router computes the
// same from the last shared part; only what it sent itself is its own.
func (p *Placer) keepers(now time.Time, r Request) keepers {
	shared := r.shared()
	if len(shared) == 0 {
		return keepers{}
	}
	var k keepers
	var all, zone ranking // of those that take the request
	var firstScore, secondScore uint64
	key := shared[len(shared)-1].ID
	for _, s := range p.pools[r.Pool] {
		score := rendezvous(key, s.hash)
		if p.open(now, s) {
			all.add(s, score)
			if s.Zone == p.Zone {
				zone.add(s, score)
			}
		}
		if p.cold(now, s) {
			continue // it keeps nothing yet
		}
		switch {
		case k.first == nil || score > firstScore:
			k.second, secondScore = k.first, firstScore
			k.first, firstScore = s, score
		case k.second == nil || score > secondScore:
			k.second, secondScore = s, score
		}
	}
	k.home = all.first
	if zone.first != nil && p.local(r) {
		k.home = zone.first
	}
	if l, ok := p.last[key]; ok && p.states[l.target.Incarnation] == l.target && l.target.lacking(now, r) == 0 {
		k.known, k.stay = l.target, now.Sub(l.since) < stayFor
	}
	return k
}

// elsewhere reports whether parts are known to be kept at another target than this one.
func (k keepers) elsewhere(s *state) bool {
	return k.known != nil && k.known != s
}

// source returns the target that most likely keeps what another one lacks, or nil.
func (k keepers) source(now time.Time, s *state) *state {
	switch {
	case k.elsewhere(s):
		return k.known
	case s != k.first:
		return k.first
	case s.recent(now):
		return k.second // the home has just come; this was it before
	default:
		return nil
	}
}

// need returns what a target has to do for a prompt. At its home a part counts as
// kept, since other routers send it there too, unless this router has just sent it
// elsewhere: callers of an account come in through few routers, so most likely no other has
// asked for the account's parts, and while their home was behind they were read elsewhere.
// Sent home at once, they would be read again. What an engine lacks it copies from there,
// if engines can: that takes a fraction of the time of reading, and disturbs no other
// request at either.
func (p *Placer) need(now time.Time, s *state, r Request, k keepers) need {
	lacking := s.lacking(now, r)
	n := need{read: r.Own()}
	counts := s != k.home || k.stay && k.elsewhere(s)
	if counts {
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
	if counts {
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
	p.setBounds(pools)
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
	return s.downs == 0 && !now.Before(s.absent) && (s.silent == 0 || now.Sub(s.oldest) <= silentAfter)
}

// done notes that the copy, if any, is over.
func (n need) done() {
	if n.from != nil {
		n.from.copying -= n.copied
	}
}
