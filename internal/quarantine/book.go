package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"laburnumfall/internal/fleet"
)

const (
	// mostEntries bounds the entries kept. Each stands for two targets that have ended.
	mostEntries = 1024
	// mostLifted bounds what is remembered of entries that are gone.
	mostLifted = 256
)

// An Ended is one incarnation of a target that ended under a request, and when, by the clock
// of the keeper that led.
type TerminatedTarget struct {
	Target fleet.Incarnation `json:"target"`
	At     time.Time         `json:"at"`
}

// An Entry is what the keepers' log holds of a request under which targets have ended. It is
// never changed.
type Entry struct {
	Fingerprint Fingerprint `json:"print"`
	Account     string      `json:"account,omitempty"`
	Destination string      `json:"place,omitempty"`
	Pool        string      `json:"pool,omitempty"`
	// Ended are the incarnations that ended; none says that the entry is gone.
	TerminatedTargets []TerminatedTarget `json:"ended,omitempty"`
	// Trials is how many runs were granted since it is held back, and Next when the next may be.
	Trials      int       `json:"trials,omitempty"`
	NextTrialAt time.Time `json:"next,omitzero"`
	// Holder has a permit until Until, for Target; Grant counts the permits.
	PermitHolder    string    `json:"holder,omitempty"`
	PermitExpiresAt time.Time `json:"until,omitzero"`
	PermitTarget    string    `json:"target,omitempty"`
	PermitID        uint64    `json:"grant,omitempty"`
	// Revision is that of the book in which it was put.
	Revision uint64 `json:"revision,omitempty"`
}

// Convicted reports whether the request is held back.
func (e Entry) Quarantined() bool {
	return len(e.TerminatedTargets) >= convictEnds
}

// Last returns when a target ended under it last.
func (e Entry) LastTermination() time.Time {
	var last time.Time
	for _, end := range e.TerminatedTargets {
		if end.At.After(last) {
			last = end.At
		}
	}
	return last
}

// Lapses returns when the entry is forgotten unless another target ends.
func (e Entry) ExpiresAt() time.Time {
	if e.Quarantined() {
		return e.LastTermination().Add(convictFor)
	}
	return e.LastTermination().Add(suspectFor)
}

// Ruling returns what a router is told at a moment.
func (e Entry) Restriction(now time.Time) Restriction {
	r := Restriction{Fingerprint: e.Fingerprint, TerminationCount: len(e.TerminatedTargets)}
	if e.Quarantined() {
		r.NoTrialsLeft = e.Trials >= mostTrials
		next := e.NextTrialAt
		if r.NoTrialsLeft {
			next = e.ExpiresAt()
		}
		r.NextRunIn = max(next.Sub(now), 0)
	}
	if e.PermitHolder != "" && now.Before(e.PermitExpiresAt) {
		r.PermitHolder, r.PermitExpiresIn, r.PermitTarget, r.PermitID = e.PermitHolder, e.PermitExpiresAt.Sub(now), e.PermitTarget, e.PermitID
	}
	return r
}

// A Book is the durable part: the entries in the order of their last change. It changes only
// by commands of the keepers' log, so that what is held back stays so over any change of
// leader and restart, and a permit is one permit. Its zero value is empty.
type EntryStore struct {
	revision uint64
	// forgotten is the latest revision of what is not even remembered as gone.
	forgotten uint64
	entries   map[Fingerprint]Entry
}

// Put replaces entries. One without ends is gone.
func (b *EntryStore) Put(list []Entry) {
	if b.entries == nil {
		b.entries = make(map[Fingerprint]Entry)
	}
	for _, e := range list {
		b.revision++
		e.Revision = b.revision
		b.entries[e.Fingerprint] = e
	}
	b.shrink()
}

// shrink keeps the book within its bounds. What must yield is the oldest of the account that
// has most, so that one account cannot push out what others' requests have shown.
func (b *EntryStore) shrink() {
	live, gone := make(map[string]int), 0
	for _, e := range b.entries {
		if len(e.TerminatedTargets) == 0 {
			gone++
			continue
		}
		live[e.Account]++
	}
	for n := len(b.entries) - gone; n > mostEntries; n-- {
		most := slices.MaxFunc(slices.Sorted(maps.Keys(live)), func(x, y string) int { return cmp.Compare(live[x], live[y]) })
		b.forget(func(e Entry) bool { return len(e.TerminatedTargets) > 0 && e.Account == most })
		live[most]--
	}
	for ; gone > mostLifted; gone-- {
		b.forget(func(e Entry) bool { return len(e.TerminatedTargets) == 0 })
	}
}

// forget drops the oldest entry of some.
func (b *EntryStore) forget(of func(Entry) bool) {
	var oldest Entry
	for _, e := range b.entries {
		if of(e) && (oldest.Revision == 0 || e.Revision < oldest.Revision) {
			oldest = e
		}
	}
	delete(b.entries, oldest.Fingerprint)
	b.forgotten = max(b.forgotten, oldest.Revision)
}

// Revision counts the changes.
func (b *EntryStore) Revision() uint64 {
	return b.revision
}

// Entry returns the entry of a request, if there is one.
func (b *EntryStore) Entry(p Fingerprint) (Entry, bool) {
	e, ok := b.entries[p]
	return e, ok && len(e.TerminatedTargets) > 0
}

// Entries returns all entries, the least recently changed first.
func (b *EntryStore) Entries() []Entry {
	list, _ := b.ChangedSince(0)
	return list
}

// Since returns what has changed since a revision, in order. Whole says that it is all there
// is, as where the revision is too old or of another book.
func (b *EntryStore) ChangedSince(held uint64) (list []Entry, whole bool) {
	if held != 0 && held == b.revision {
		return nil, false // as nearly always: every router asks several times a second
	}
	whole = held == 0 || held < b.forgotten || held > b.revision
	for _, e := range b.entries {
		if whole && len(e.TerminatedTargets) > 0 || !whole && e.Revision > held {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(x, y Entry) int { return cmp.Compare(x.Revision, y.Revision) })
	return list, whole
}

// A SavedBook is the stored form of a Book.
type EntrySnapshot struct {
	Revision          uint64  `json:"revision,omitempty"`
	ForgottenRevision uint64  `json:"forgotten,omitempty"`
	Entries           []Entry `json:"entries,omitempty"`
}

// Save returns the stored form.
func (b *EntryStore) Snapshot() EntrySnapshot {
	s := EntrySnapshot{Revision: b.revision, ForgottenRevision: b.forgotten}
	for _, e := range b.entries {
		s.Entries = append(s.Entries, e)
	}
	slices.SortFunc(s.Entries, func(x, y Entry) int { return cmp.Compare(x.Revision, y.Revision) })
	return s
}

// Load replaces the book by a stored one.
func (b *EntryStore) Restore(s EntrySnapshot) {
	*b = EntryStore{revision: s.Revision, forgotten: s.ForgottenRevision, entries: make(map[Fingerprint]Entry, len(s.Entries))}
	for _, e := range s.Entries {
		b.entries[e.Fingerprint] = e
	}
}
