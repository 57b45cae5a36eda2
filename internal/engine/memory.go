package engine

import (
	"time"

	"laburnumfall/internal/placement"
)

// memory is what an engine keeps: shared parts of prompts, and the tokens of
// running requests. A part that a running request uses cannot yield; of the others
// the least recently used yields first.
type memory struct {
	parts map[uint64]*kept
	runs  map[*run]bool
	seen  map[uint64]bool // parts that were ever read here
}

type kept struct {
	tokens int
	users  int
	last   time.Time
	read   bool // it is whole
}

// holds returns how many tokens at the beginning of a prompt are kept: a part counts
// only if all parts before it are kept.
func (m *memory) holds(parts []placement.PromptPart) int {
	sum := 0
	for _, p := range parts {
		if k := m.parts[p.ID]; k == nil || !k.read {
			break
		}
		sum += p.Tokens
	}
	return sum
}

// enter takes a request in, and returns how many tokens of its shared parts have to
// be read, and how many of these had been read here before.
func (m *memory) enter(now time.Time, r *run) (lacking, again int) {
	if m.parts == nil {
		m.parts, m.runs = make(map[uint64]*kept), make(map[*run]bool)
	}
	if m.seen == nil {
		m.seen = make(map[uint64]bool)
	}
	held := m.holds(r.shared())
	lacking = tokens(r.shared()) - held
	for _, p := range r.shared() {
		if k := m.parts[p.ID]; held <= 0 && m.seen[p.ID] && (k == nil || !k.read) {
			again += p.Tokens
		}
		held -= p.Tokens
		m.use(now, p)
	}
	m.runs[r] = true
	return lacking, min(again, lacking)
}

func (m *memory) use(now time.Time, p placement.PromptPart) {
	k := m.parts[p.ID]
	if k == nil {
		k = &kept{tokens: p.Tokens}
		m.parts[p.ID] = k
	}
	k.users++
	k.last = now
}

// keep notes that a request's prompt is read: its shared parts are whole.
func (m *memory) keep(now time.Time, r *run) {
	for _, p := range r.shared() {
		m.seen[p.ID] = true
		if k := m.parts[p.ID]; k != nil {
			k.read, k.last = true, now
		}
	}
}

// leave takes a request out. Parts that it did not get to read go with it.
func (m *memory) leave(r *run) {
	delete(m.runs, r)
	for _, p := range r.shared() {
		k := m.parts[p.ID]
		if k == nil {
			continue
		}
		if k.users--; k.users <= 0 && !k.read {
			delete(m.parts, p.ID)
		}
	}
}

// size returns the tokens in memory.
func (m *memory) size() int {
	sum := 0
	for _, k := range m.parts {
		sum += k.tokens
	}
	for r := range m.runs {
		sum += r.own() + r.made
	}
	return sum
}

// shrink lets parts yield until memory suffices, and returns the tokens that are
// still over.
func (m *memory) shrink(most int) int {
	over := m.size() - most
	for over > 0 {
		id, ok := m.oldest()
		if !ok {
			return over
		}
		over -= m.parts[id].tokens
		delete(m.parts, id)
	}
	return 0
}

func (m *memory) oldest() (uint64, bool) {
	var id uint64
	var oldest *kept
	for other, k := range m.parts {
		if k.users > 0 {
			continue
		}
		if oldest == nil || k.last.Before(oldest.last) || k.last.Equal(oldest.last) && other < id {
			id, oldest = other, k
		}
	}
	return id, oldest != nil
}

// room reports whether a prompt finds room once all that may yield has yielded.
func (m *memory) room(most, more int) bool {
	sum := more
	for _, k := range m.parts {
		if k.users > 0 {
			sum += k.tokens
		}
	}
	for r := range m.runs {
		sum += r.own() + r.made
	}
	return sum <= most
}
