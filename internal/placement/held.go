package placement

import (
	"slices"
	"time"

	"laburnumfall/internal/message"
)

// drainRuns is how many times the mean time of a run it takes at most until runs have ended.
const drainRuns = 4

// A heldMemory counts the tokens that this router's running attempts hold in a target's memory: their
// prompts and the outputs that they allow, a shared part that several of them use once.
type heldMemory struct {
	unique int // own parts and outputs
	shared int // sum of parts
	parts  map[uint64]heldPart

	// recent are the shared parts that have come into use of late, oldest first, which the leader's sum
	// may not include yet, and recentTokens is the sum of their tokens.
	recent       []recentPart
	recentTokens int

	runTime time.Duration // mean time of a run, as of the last sum of the leader
}

// A recentPart is the time when a shared part came into use, and its tokens.
type recentPart struct {
	id     uint64
	at     time.Time
	tokens int
}

// A heldPart is a shared part of a prompt that running attempts use.
type heldPart struct {
	tokens   int
	attempts int
}

func (m *heldMemory) add(now time.Time, r Request) {
	m.unique += r.uniqueTokens()
	for _, part := range r.shared() {
		if m.parts == nil {
			m.parts = make(map[uint64]heldPart)
		}
		held, ok := m.parts[part.ID]
		if !ok {
			held.tokens = part.Tokens
			m.shared += part.Tokens
			m.recent, m.recentTokens = append(m.recent, recentPart{id: part.ID, at: now, tokens: part.Tokens}), m.recentTokens+part.Tokens
		}
		held.attempts++
		m.parts[part.ID] = held
	}
}

func (m *heldMemory) remove(r Request) {
	m.unique -= r.uniqueTokens()
	for _, part := range r.shared() {
		held := m.parts[part.ID]
		if held.attempts--; held.attempts > 0 {
			m.parts[part.ID] = held
			continue
		}
		m.shared -= held.tokens
		delete(m.parts, part.ID)
		if i := slices.IndexFunc(m.recent, func(recent recentPart) bool { return recent.id == part.ID }); i >= 0 {
			m.recentTokens -= m.recent[i].tokens
			m.recent = slices.Delete(m.recent, i, i+1)
		}
	}
}

// dropRecent drops the parts from recent that a sum of this moment includes, though reports may have
// been lost.
func (m *heldMemory) dropRecent(now time.Time) {
	i := 0
	for i < len(m.recent) && now.Sub(m.recent[i].at) > remoteLoadLifetime {
		m.recentTokens -= m.recent[i].tokens
		i++
	}
	m.recent = slices.Delete(m.recent, 0, i)
}

// added returns how many tokens a request adds that no attempt of this router holds yet.
func (m *heldMemory) added(r Request) int {
	tokens := r.uniqueTokens()
	for _, part := range r.shared() {
		if len(m.parts) > 0 {
			if _, ok := m.parts[part.ID]; ok {
				continue
			}
		}
		tokens += part.Tokens
	}
	return tokens
}

// report adds what is held to a backlog that is sent to the leader.
func (m *heldMemory) report(b message.Backlog) message.Backlog {
	b.Held = m.unique
	for id, part := range m.parts {
		b.Parts = append(b.Parts, message.NewSharedPart(id, part.tokens))
	}
	return b
}

// uniqueTokens returns the tokens that a request holds in a target's memory at its end and shares with
// no other.
func (r Request) uniqueTokens() int {
	return r.OwnTokens() + r.Output
}

// promptTokens returns the tokens of the request's prompt.
func (r Request) promptTokens() int {
	return countTokens(r.Parts)
}

// heldTokens returns how many tokens the running requests of all routers hold in the target's memory,
// as far as it is known. This router's own are counted exactly. The leader's sum, without the unique
// tokens of this router, has those of the others, and each shared part once; shared parts that have
// come into use here since then are added, though others may use them too.
//
// Without a recent sum, the runs of others end one after the other, at the latest after drainRuns times
// the mean time of a run. What others send meanwhile is left to the rule of memory.
func (s *state) heldTokens(now time.Time) int {
	remote := s.remote.Held
	if age := now.Sub(s.remoteAt) - remoteLoadLifetime; age > 0 && remote > 0 {
		drained := float64(age) / float64(drainRuns*s.memory.meanRunTime())
		remote = int(float64(remote) * max(1-drained, 0))
	}
	return max(s.memory.unique+s.memory.shared, s.memory.unique+remote+s.memory.recentTokens)
}

func (m *heldMemory) meanRunTime() time.Duration {
	if m.runTime == 0 {
		return assumedStreamTime
	}
	return m.runTime
}
