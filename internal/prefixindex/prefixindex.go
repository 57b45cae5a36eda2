// Package prefixindex tracks which targets keep which shared parts of prompts.
//
// Every router has an Index. It learns from the requests that the router sends and from the changes
// that other routers tell through the leader's Log. An engine says nothing of what it evicts, so the
// Index models each engine as a cache of known capacity that evicts the least recently used part.
// What it says is a belief: a request for a part that is not there is prefilled, not lost.
package prefixindex

import (
	"time"

	"laburnumfall/internal/fleet"
)

const (
	// DefaultMaxEntries bounds the pairs of part and target in an Index. An entry takes about 250
	// bytes with its share of the maps.
	DefaultMaxEntries = 16384
	// maxAge is how long an entry counts after its last use. It bounds the harm of entries whose
	// eviction nobody saw.
	maxAge = 60 * time.Second
	// copyableAfter is how old an entry must be before other engines copy the part: a part that is
	// still being prefilled cannot be copied.
	copyableAfter = 400 * time.Millisecond
	// goneFor is how long a correction outweighs the belief of other routers, which may be older.
	goneFor = 2 * time.Second
)

// A Part is one shared part of a prompt.
type Part struct {
	ID     uint64
	Tokens int
}

// A Match is a target that is believed to keep the beginning of a prompt.
type Match struct {
	Target fleet.Incarnation
	// Position is that of the target in the list of SetTargets.
	Position int
	// Tokens is the size of the parts at the beginning of the prompt that the target keeps.
	Tokens int
	// LastUsed is when the part of these was last used that has not been used for longest.
	LastUsed time.Time
	// Copyable reports whether the parts have been there for long enough to be copied.
	Copyable bool
}

// An EventSink takes what engines say of the parts that they keep, for deployments whose engines do.
// Such events are certain, but may be late or lost; after a gap, a target is forgotten and told anew.
type EventSink interface {
	RecordKept(now time.Time, target fleet.Incarnation, part Part)
	RecordGone(now time.Time, target fleet.Incarnation, partID uint64)
	Forget(target fleet.Incarnation)
}

var _ EventSink = (*Index)(nil)

// An Index holds the parts that targets are believed to keep. It is deterministic: its methods take
// the time, which never decreases. The zero value is empty and ready for SetTargets.
type Index struct {
	// MaxEntries bounds the entries; 0 means DefaultMaxEntries.
	MaxEntries int

	targets map[fleet.Incarnation]*target
	order   []*target          // of targets, for the turn in which they shed entries
	byTag   map[uint32]*target // nil if two targets have the same tag
	parts   map[Key]*entry     // first of the holders of a part
	entries map[pair]*entry
	gone    map[pair]time.Time // latest corrections
	turn    int
	match   uint64 // number of the latest Match
	news    newsQueue
}

// A target is the model of one engine's cache.
type target struct {
	id       fleet.Incarnation
	position int // in the list of SetTargets
	tag      uint32
	capacity int // tokens
	held     int // tokens that running requests hold besides the parts
	kept     int // tokens of the parts

	oldest, newest *entry // by last use

	confirmedUse time.Time // last use of parts that an answer has shown to be kept at confirmedAt
	confirmedAt  time.Time

	match    uint64 // number of the Match to which the following belong
	prefix   int    // parts at the beginning of the prompt that are kept
	tokens   int
	lastUsed time.Time
	copyable bool
}

type pair struct {
	key    Key
	target uint32 // tag
}

// An entry is a part at a target.
type entry struct {
	key       Key
	target    *target
	tokens    int
	createdAt time.Time
	usedAt    time.Time
	sentAt    time.Time // when this router last sent the part; zero if it did not
	toldAt    time.Time // when the fleet last heard of the entry
	unread    int       // requests of this router with the part that have not ended
	read      bool      // the target has read the part, as an answer or another router says
	echoDue   bool      // the leader is about to pass on to this router what it has told itself

	older, newer           *entry // neighbors in the target's order of use
	nextHolder, prevHolder *entry
}

// SetTargets replaces the targets. capacity returns the KV capacity of a target in tokens; targets
// without one are left out. Entries of targets that are no longer listed are dropped: a restarted
// target is another incarnation and keeps nothing.
func (x *Index) SetTargets(list []fleet.Instance, capacity func(fleet.Instance) int) {
	previous := x.targets
	x.targets, x.order, x.byTag = make(map[fleet.Incarnation]*target, len(list)), nil, make(map[uint32]*target, len(list))
	for i, instance := range list {
		size := capacity(instance)
		if size <= 0 || x.targets[instance.Incarnation] != nil {
			continue
		}
		t := previous[instance.Incarnation]
		if t == nil {
			t = &target{id: instance.Incarnation, tag: tagOf(instance.Incarnation)}
		}
		t.capacity, t.position = size, i
		x.targets[t.id] = t
		x.order = append(x.order, t)
		if _, taken := x.byTag[t.tag]; taken {
			x.byTag[t.tag] = nil
		} else {
			x.byTag[t.tag] = t
		}
	}
	for id, t := range previous {
		if x.targets[id] == nil {
			x.drop(t)
		}
	}
}

// Len returns the number of entries.
func (x *Index) Len() int {
	return len(x.entries)
}

// Kept returns the tokens of the parts that a target is believed to keep.
func (x *Index) Kept(id fleet.Incarnation) int {
	if t := x.targets[id]; t != nil {
		return t.kept
	}
	return 0
}

// RecordSend records that this router sends a prompt with shared parts to a target. held is the
// number of tokens that running requests of all routers hold there besides the parts. Call RecordRead
// or RecordUnread when the request has ended. The parts count as kept at once, so that further prompts,
// also those of other routers, go to the same target.
func (x *Index) RecordSend(now time.Time, id fleet.Incarnation, parts []Part, held int) {
	t := x.targets[id]
	if t == nil {
		return
	}
	t.held = held
	for _, part := range parts {
		e := x.use(now, t, KeyOf(part.ID), part.Tokens)
		e.sentAt = now
		e.unread++
		x.news.kept(now, e)
		delete(x.gone, pair{e.key, t.tag})
	}
	x.evict(t)
	x.enforceLimit()
}

// RecordKept records that a target keeps a part.
func (x *Index) RecordKept(now time.Time, id fleet.Incarnation, part Part) {
	if t := x.targets[id]; t != nil {
		e := x.use(now, t, KeyOf(part.ID), part.Tokens)
		e.read = true
		x.news.kept(now, e)
		x.evict(t)
		x.enforceLimit()
	}
}

// RecordGone records that a target no longer keeps a part.
func (x *Index) RecordGone(now time.Time, id fleet.Incarnation, partID uint64) {
	t := x.targets[id]
	if t == nil {
		return
	}
	if e := x.entry(t, partID); e != nil {
		x.markGone(now, e)
	}
}

// RecordNotFound records that a target did not keep a part that was last used at a time. It does nothing
// if the part has been used there since.
func (x *Index) RecordNotFound(now time.Time, id fleet.Incarnation, partID uint64, usedAt time.Time) {
	t := x.targets[id]
	if t == nil {
		return
	}
	if e := x.entry(t, partID); e != nil && !e.usedAt.After(usedAt) {
		x.markGone(now, e)
	}
}

// RecordEvicted records that a target no longer keeps any part that was last used at or before a
// time: engines evict the least recently used part. It does nothing if a part that had been unused for
// longer was just found kept. It returns the number of entries dropped.
func (x *Index) RecordEvicted(now time.Time, id fleet.Incarnation, usedAt time.Time) int {
	t := x.targets[id]
	if t == nil || now.Sub(t.confirmedAt) < goneFor && !usedAt.Before(t.confirmedUse) {
		return 0
	}
	count := 0
	for t.oldest != nil && !t.oldest.usedAt.After(usedAt) {
		x.markGone(now, t.oldest)
		count++
	}
	return count
}

// RecordConfirmed records that a target still keeps parts that were last used at a time.
func (x *Index) RecordConfirmed(now time.Time, id fleet.Incarnation, usedAt time.Time) {
	if t := x.targets[id]; t != nil {
		t.confirmedUse, t.confirmedAt = usedAt, now
	}
}

// SetHeld sets the tokens that running requests of all routers hold at a target besides the parts.
func (x *Index) SetHeld(id fleet.Incarnation, held int) {
	if t := x.targets[id]; t != nil {
		t.held = held
		x.evict(t)
	}
}

// Forget drops all that is believed of a target.
func (x *Index) Forget(id fleet.Incarnation) {
	if t := x.targets[id]; t != nil {
		x.drop(t)
	}
}

// Match appends the targets that keep the beginning of a prompt to matches, which may be nil. It
// costs time in proportion to the number of holders.
func (x *Index) Match(now time.Time, parts []Part, matches []Match) []Match {
	x.match++
	for i, part := range parts {
		found := false
		for e := x.parts[KeyOf(part.ID)]; e != nil; e = e.nextHolder {
			if e.target.extend(now, e, i, x.match) {
				found = true
			}
		}
		if !found {
			break
		}
	}
	if len(parts) == 0 {
		return matches
	}
	for e := x.parts[KeyOf(parts[0].ID)]; e != nil; e = e.nextHolder {
		if t := e.target; t.match == x.match {
			matches = append(matches, Match{Target: t.id, Position: t.position, Tokens: t.tokens, LastUsed: t.lastUsed, Copyable: t.copyable})
		}
	}
	return matches
}

// extend counts the part at a position of a prompt if the target keeps it and all parts before it.
func (t *target) extend(now time.Time, e *entry, position int, match uint64) bool {
	if now.Sub(e.usedAt) > maxAge {
		return false
	}
	if position == 0 {
		t.match, t.prefix, t.tokens, t.lastUsed, t.copyable = match, 0, 0, e.usedAt, true
	}
	if t.match != match || t.prefix != position {
		return false
	}
	t.prefix++
	t.tokens += e.tokens
	if e.usedAt.Before(t.lastUsed) {
		t.lastUsed = e.usedAt
	}
	t.copyable = t.copyable && now.Sub(e.createdAt) >= copyableAfter
	return true
}

// Displaced returns how many tokens of parts used after a time a target would evict to take in more
// tokens.
func (x *Index) Displaced(id fleet.Incarnation, tokens int, usedAfter time.Time) int {
	t := x.targets[id]
	if t == nil {
		return 0
	}
	missing, displaced := t.kept+t.held+tokens-t.capacity, 0
	for e := t.oldest; e != nil && missing > 0; e = e.newer {
		missing -= e.tokens
		if e.usedAt.After(usedAfter) {
			displaced += e.tokens
		}
	}
	return displaced
}

// LastUsed returns when a part was last used at any target; zero if no target keeps it.
func (x *Index) LastUsed(partID uint64) time.Time {
	var last time.Time
	for e := x.parts[KeyOf(partID)]; e != nil; e = e.nextHolder {
		if e.usedAt.After(last) {
			last = e.usedAt
		}
	}
	return last
}
