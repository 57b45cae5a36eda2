package placement

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/message"
	"laburnumfall/internal/probation"
	"laburnumfall/internal/warmup"
)

// maxKept bounds the parts that are remembered of one target.
const maxKept = 1024

// state is what a router believes of one target.
type state struct {
	fleet.Instance

	hash    uint64               // of the ID
	since   time.Time            // when this router heard of it
	copying int                  // tokens that others are told to copy from here
	kept    map[uint64]time.Time // part to its last use here
	running int
	pending int // tokens sent whose answer has not begun

	waiting int // requests, as the target told
	toldAt  time.Time

	others   message.Backlog // what other routers have sent
	othersAt time.Time

	probation probation.Limit
	fails     float64 // part of requests that failed
	failsAt   time.Time
	refused   bool
	refusedAt time.Time
	evacuated bool      // its zone is
	mayCold   bool      // coldUntil has not passed, as of the last look
	coldUntil time.Time // as far as is known
	meter     warmup.Meter

	downUntil time.Time
	downs     int
	absent    time.Time // until when the target counts as gone
	foundAt   time.Time // when this router found that
	heardAt   time.Time
	oldest    time.Time // when the oldest request without any answer was sent
	silent    int       // requests without any answer
}

func newState(now time.Time, in fleet.Instance) *state {
	return &state{Instance: in, since: now, hash: xxhash.Sum64String(in.ID), kept: make(map[uint64]time.Time)}
}

func rendezvous(part, target uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], part)
	binary.LittleEndian.PutUint64(buf[8:], target)
	return xxhash.Sum64(buf[:])
}

// lacking returns how many tokens of a prompt's shared parts a target does not
// keep, as far as this router knows: a part is kept only if all parts before it
// are.
func (s *state) lacking(now time.Time, r Request) int {
	tokens := 0
	for _, part := range r.shared() {
		at, ok := s.kept[part.ID]
		if tokens > 0 || !ok || now.Sub(at) > keptFor {
			tokens += part.Tokens
		}
	}
	return tokens
}

func (s *state) begin(now time.Time, r Request, unread int) {
	s.running++
	s.pending += unread
	if s.silent == 0 {
		s.oldest = now
	}
	s.silent++
	if len(r.Parts) == 0 {
		return
	}
	for _, part := range r.shared() {
		s.kept[part.ID] = now
	}
	if len(s.kept) > maxKept {
		s.forget(now)
	}
}

// forget drops parts that are no longer kept, and if that is not enough, all.
func (s *state) forget(now time.Time) {
	for id, at := range s.kept {
		if now.Sub(at) > keptFor {
			delete(s.kept, id)
		}
	}
	if len(s.kept) > maxKept {
		clear(s.kept)
	}
}

// told returns the requests that wait here as the target told, less as that
// grows old.
func (s *state) told(now time.Time) float64 {
	age := now.Sub(s.toldAt)
	if age >= loadFor {
		return 0
	}
	return float64(s.waiting) * float64(loadFor-age) / float64(loadFor)
}

// elsewhere returns the tokens that wait here from other routers, less as that
// grows old: the target reads them meanwhile.
func (s *state) elsewhere(now time.Time, rate float64) float64 {
	if s.others.Tokens == 0 {
		return 0
	}
	read := rate * float64(now.Sub(s.othersAt)) / float64(time.Millisecond)
	return max(float64(s.others.Tokens)-read, 0)
}

// load returns how many requests run here, through all routers.
func (s *state) load(now time.Time) int {
	if s.others.Running == 0 || now.Sub(s.othersAt) > othersFor {
		return s.running
	}
	return s.running + s.others.Running
}

// rounds returns how many times as long as alone a request takes here, by the
// slots that are taken before it.
func (s *state) rounds(now time.Time) float64 {
	slots := float64(max(s.Slots, 1))
	ahead := float64(s.load(now))
	if waiting := s.told(now); waiting > 0 {
		ahead = max(ahead, slots+waiting)
	}
	return 1 + ahead/slots
}

func (s *state) first(now time.Time, unread int) {
	s.pending -= unread
	s.hear(now)
}

func (s *state) hear(now time.Time) {
	s.heardAt = now
	s.oldest = now
	s.silent = 0
	s.downs = 0
	s.downUntil = time.Time{}
}

func (s *state) ended(now time.Time, r Result, usual float64) {
	s.running--
	switch r {
	case Served:
		s.note(now, 0)
		s.probation.Served()
		s.hear(now)
	case Left:
	case Refused:
		s.refused, s.refusedAt = true, now
		s.hear(now)
	case Failed:
		s.note(now, 1)
		s.suspect(usual)
	case Unreached:
		s.note(now, 1)
		s.suspect(usual)
		s.down(now)
	}
	if s.running == 0 {
		s.silent = 0
	}
}

// note mixes one result into the part of failures.
func (s *state) note(now time.Time, failed float64) {
	s.fails = s.failing(now)
	s.fails += failWeight * (failed - s.fails)
	s.failsAt = now
}

// failing returns the part of requests that fail here. It fades while nothing
// is sent.
func (s *state) failing(now time.Time) float64 {
	if s.fails == 0 {
		return 0
	}
	return s.fails * math.Exp2(-now.Sub(s.failsAt).Seconds()/failMemory.Seconds())
}

func (s *state) down(now time.Time) {
	pause := min(downFirst<<min(s.downs, 4), downLast)
	s.downs++
	s.downUntil = now.Add(pause)
}

// trouble is what a target's late failures and silence cost. Only failures
// beyond those of the whole pool count: where all fail alike, leaving the places
// where prompts are kept would only add work.
func (s *state) trouble(now time.Time, usual float64) time.Duration {
	const outweighsAll = time.Minute
	var cost time.Duration
	if s.fails > 0 {
		failing := max(s.failing(now)-usual, 0)
		cost = time.Duration(failing * failing * float64(failedCost))
	}
	cost += s.probationTime()
	if s.downs > 0 && now.Before(s.downUntil) {
		cost += outweighsAll
	}
	if s.refused && now.Sub(s.refusedAt) < refusedFor {
		cost += refusedCost
	}
	if s.silent > 0 {
		if waited := now.Sub(s.oldest); waited > silentAfter {
			cost += waited
		}
	}
	return cost
}
