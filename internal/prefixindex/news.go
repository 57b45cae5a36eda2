package prefixindex

import (
	"cmp"
	"slices"
	"time"
)

const (
	// refreshWindow is how long other routers know of a use before it is told again.
	refreshWindow = 4 * time.Second
	// maxNews bounds the changes that wait to be told, and newsLifetime for how long they wait.
	maxNews      = 512
	newsLifetime = time.Second
	// copyRank is what a part that is new or gone is worth against one that is told again.
	copyRank = 4
)

// news is a change that is not told yet.
type news struct {
	Change
	at    time.Time
	value int
}

// A newsQueue holds the changes that a router has to tell.
type newsQueue struct {
	waiting []news
	told    uint64
}

// kept queues the use of an entry unless the fleet has heard of it within refreshWindow.
func (q *newsQueue) kept(now time.Time, e *entry) {
	if !e.toldAt.IsZero() && now.Sub(e.toldAt) < refreshWindow {
		return
	}
	value := e.tokens
	if e.toldAt.IsZero() {
		value *= copyRank
	}
	e.toldAt = now
	q.add(news{Change: Change{Key: e.key, Tag: e.target.tag, Tokens: e.tokens}, at: now, value: value})
}

// withdraw reports whether an entry has not been told yet, and no longer queues it then.
func (q *newsQueue) withdraw(e *entry) bool {
	count := len(q.waiting)
	q.waiting = slices.DeleteFunc(q.waiting, func(n news) bool { return n.Key == e.key && n.Tag == e.target.tag })
	return len(q.waiting) < count
}

// gone queues that an entry's part was found evicted.
func (q *newsQueue) gone(now time.Time, e *entry) {
	q.add(news{Change: Change{Key: e.key, Tag: e.target.tag}, at: now, value: e.tokens * copyRank})
}

func (q *newsQueue) add(n news) {
	for i, other := range q.waiting {
		if other.Key == n.Key && other.Tag == n.Tag {
			q.waiting[i] = n
			return
		}
	}
	q.waiting = append(q.waiting, n)
	if len(q.waiting) > maxNews {
		q.sort()
		q.waiting = q.waiting[:maxNews/2]
	}
}

// sort puts the most valuable changes first. Equal ones stay in the order of time.
func (q *newsQueue) sort() {
	slices.SortStableFunc(q.waiting, func(a, b news) int { return cmp.Compare(b.value, a.value) })
}

// TakeChanges returns the changes that this router has to tell: the most valuable ones, at most limit.
// What has waited for too long is dropped.
func (x *Index) TakeChanges(now time.Time, limit int) []Change {
	q := &x.news
	q.waiting = slices.DeleteFunc(q.waiting, func(n news) bool { return now.Sub(n.at) > newsLifetime })
	q.sort()
	count := min(max(limit, 0), len(q.waiting))
	changes := make([]Change, 0, count)
	for _, n := range q.waiting[:count] {
		changes = append(changes, n.Change)
		if e := x.entries[pair{n.Key, n.Tag}]; e != nil {
			e.echoDue = true
		}
	}
	q.waiting = slices.Delete(q.waiting, 0, count)
	q.told += uint64(count)
	return changes
}

// recordTold records that the leader has passed on an entry: what this router has told, once, and
// otherwise what another router has.
func (e *entry) recordTold(now time.Time) {
	e.toldAt = now
	e.read = e.read || !e.echoDue
	e.echoDue = false
}

// ApplyChanges applies what other routers have told. A router's own changes come back as well: they
// add nothing to what it knows, and what it has found out or sent since outweighs them.
func (x *Index) ApplyChanges(now time.Time, changes []Change) {
	for _, c := range changes {
		t := x.byTag[c.Tag]
		if t == nil {
			continue // unknown, or not the only one of that tag
		}
		id := pair{c.Key, c.Tag}
		if c.Tokens == 0 {
			if e := x.entries[id]; e != nil && now.Sub(e.sentAt) > goneFor {
				x.remove(e)
			}
			continue
		}
		if at, ok := x.gone[id]; ok && now.Sub(at) < goneFor {
			continue
		}
		if e := x.entries[id]; e != nil && now.Sub(e.sentAt) < goneFor {
			e.recordTold(now)
			continue
		}
		x.use(now, t, c.Key, c.Tokens).recordTold(now)
		x.evict(t)
	}
	x.enforceLimit()
}
