package prefixindex

import "time"

// maxGone bounds the corrections that are remembered.
const maxGone = 1024

// use returns the entry of a part at a target as the most recently used one.
func (x *Index) use(now time.Time, t *target, key Key, tokens int) *entry {
	id := pair{key, t.tag}
	e := x.entries[id]
	switch {
	case e == nil:
		e = &entry{key: key, target: t, createdAt: now}
		x.insert(id, e)
	case e.target != t: // another target has the same tag
		x.remove(e)
		e = &entry{key: key, target: t, createdAt: now}
		x.insert(id, e)
	default:
		e.unlink()
	}
	t.kept += tokens - e.tokens
	e.tokens, e.usedAt = tokens, now
	e.linkNewest()
	return e
}

// entry returns the entry of a part at a target, or nil.
func (x *Index) entry(t *target, partID uint64) *entry {
	if e := x.entries[pair{KeyOf(partID), t.tag}]; e != nil && e.target == t {
		return e
	}
	return nil
}

func (x *Index) insert(id pair, e *entry) {
	if x.entries == nil {
		x.entries, x.parts = make(map[pair]*entry), make(map[Key]*entry)
	}
	x.entries[id] = e
	if e.nextHolder = x.parts[e.key]; e.nextHolder != nil {
		e.nextHolder.prevHolder = e
	}
	x.parts[e.key] = e
}

func (x *Index) remove(e *entry) {
	delete(x.entries, pair{e.key, e.target.tag})
	switch {
	case e.prevHolder != nil:
		e.prevHolder.nextHolder = e.nextHolder
	case e.nextHolder != nil:
		x.parts[e.key] = e.nextHolder
	default:
		delete(x.parts, e.key)
	}
	if e.nextHolder != nil {
		e.nextHolder.prevHolder = e.prevHolder
	}
	e.unlink()
	e.target.kept -= e.tokens
}

// markGone removes an entry whose part was found evicted, and tells the fleet.
func (x *Index) markGone(now time.Time, e *entry) {
	if x.gone == nil || len(x.gone) >= maxGone {
		x.gone = make(map[pair]time.Time)
	}
	x.gone[pair{e.key, e.target.tag}] = now
	x.news.gone(now, e)
	x.remove(e)
}

// drop removes all entries of a target.
func (x *Index) drop(t *target) {
	for t.oldest != nil {
		x.remove(t.oldest)
	}
}

// evict removes the least recently used parts that do not fit beside the running requests. A part
// that was just used is in use, so it stays even if it does not fit.
func (x *Index) evict(t *target) {
	for t.kept+t.held > t.capacity && t.oldest != nil && t.oldest.usedAt.Before(t.newest.usedAt) {
		x.remove(t.oldest)
	}
}

// enforceLimit removes the oldest entries of one target after the other.
func (x *Index) enforceLimit() {
	limit := x.MaxEntries
	if limit <= 0 {
		limit = DefaultMaxEntries
	}
	for len(x.entries) > limit && len(x.order) > 0 {
		x.turn = (x.turn + 1) % len(x.order)
		if e := x.order[x.turn].oldest; e != nil {
			x.remove(e)
		}
	}
}

func (e *entry) linkNewest() {
	t := e.target
	if e.older, e.newer = t.newest, nil; t.newest != nil {
		t.newest.newer = e
	} else {
		t.oldest = e
	}
	t.newest = e
}

func (e *entry) unlink() {
	if e.older != nil {
		e.older.newer = e.newer
	} else {
		e.target.oldest = e.newer
	}
	if e.newer != nil {
		e.newer.older = e.older
	} else {
		e.target.newest = e.older
	}
	e.older, e.newer = nil, nil
}
