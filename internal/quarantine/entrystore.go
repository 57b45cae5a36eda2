package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"laburnumfall/internal/fleet"
)

const (
	// maxEntries bounds the entries with terminations. Each of them is due to at least two
	// terminations.
	maxEntries = 1024
	// maxTombstones bounds the entries that are kept only to report their removal to routers.
	maxTombstones = 256
)

// A TerminatedTarget is an incarnation of a target that terminated while it ran a request. At is
// by the clock of the keeper that was the leader.
type TerminatedTarget struct {
	Target fleet.Incarnation `json:"target"`
	At     time.Time         `json:"at"`
}

// An Entry is the replicated state of a request during which targets terminated. It is
// immutable.
type Entry struct {
	Fingerprint Fingerprint `json:"print"`
	Account     string      `json:"account,omitempty"`
	Destination string      `json:"place,omitempty"`
	Pool        string      `json:"pool,omitempty"`
	// TerminatedTargets are the incarnations that terminated. If it is empty, the entry is a
	// tombstone: the request is not restricted any more.
	TerminatedTargets []TerminatedTarget `json:"ended,omitempty"`
	// IsolatedTerminations is how many of the terminations were during runs under a permit. At such a
	// target no other request ran under a permit.
	IsolatedTerminations int `json:"alone,omitempty"`
	// Trials is how many runs were permitted while the request is quarantined, and NextTrialAt is
	// when the next one may be permitted.
	Trials      int       `json:"trials,omitempty"`
	NextTrialAt time.Time `json:"next,omitzero"`
	// PermitHolder is the router with a permit to run the request at PermitTarget until
	// PermitExpiresAt, or "". PermitID is the number of the latest permit, counted from 1.
	PermitHolder    string    `json:"holder,omitempty"`
	PermitExpiresAt time.Time `json:"until,omitzero"`
	PermitTarget    string    `json:"target,omitempty"`
	PermitID        uint64    `json:"grant,omitempty"`
	// Revision is the revision of the EntryStore in which the entry last changed.
	Revision uint64 `json:"revision,omitempty"`
}

// Quarantined reports whether the request is quarantined. Several parts of prompts run beside each other
// at each target, so that a few terminations show little unless they were during runs under permits.
func (e Entry) Quarantined() bool {
	count := len(e.TerminatedTargets)
	if e.Fingerprint.IsPart() {
		return count >= partQuarantineThreshold || count >= quarantineThreshold && e.IsolatedTerminations >= isolatedThreshold
	}
	return count >= quarantineThreshold
}

// LastTermination returns the time of the latest termination.
func (e Entry) LastTermination() time.Time {
	var last time.Time
	for _, terminated := range e.TerminatedTargets {
		if terminated.At.After(last) {
			last = terminated.At
		}
	}
	return last
}

// ExpiresAt returns when the entry is removed unless another target terminates.
func (e Entry) ExpiresAt() time.Time {
	if e.Quarantined() {
		return e.LastTermination().Add(quarantineTTL)
	}
	return e.LastTermination().Add(suspectTTL)
}

// Restriction returns the restriction that is sent to routers at time now.
func (e Entry) Restriction(now time.Time) Restriction {
	restriction := Restriction{Fingerprint: e.Fingerprint, TerminationCount: len(e.TerminatedTargets)}
	if e.Quarantined() {
		restriction.NoTrialsLeft = e.Trials >= maxTrials
		nextRunAt := e.NextTrialAt
		if restriction.NoTrialsLeft {
			nextRunAt = e.ExpiresAt()
		}
		restriction.NextRunIn = max(nextRunAt.Sub(now), 0)
	}
	if e.PermitHolder != "" && now.Before(e.PermitExpiresAt) {
		restriction.PermitHolder, restriction.PermitExpiresIn, restriction.PermitTarget, restriction.PermitID = e.PermitHolder, e.PermitExpiresAt.Sub(now), e.PermitTarget, e.PermitID
	}
	return restriction
}

// An EntryStore is the replicated state: the entries with the revision of their last change. It
// changes only by commands of the keepers' log. A quarantine therefore survives leader changes
// and restarts, and a permit is granted only once. The zero value is empty.
type EntryStore struct {
	revision uint64
	// forgottenRevision is the latest revision of the entries and tombstones that were evicted.
	// A router with an older revision needs all entries.
	forgottenRevision uint64
	entries           map[Fingerprint]Entry
}

// Put adds or replaces entries. An entry without terminated targets becomes a tombstone.
func (s *EntryStore) Put(entries []Entry) {
	if s.entries == nil {
		s.entries = make(map[Fingerprint]Entry)
	}
	for _, entry := range entries {
		s.revision++
		entry.Revision = s.revision
		s.entries[entry.Fingerprint] = entry
	}
	s.evict()
}

// evict keeps the store within its bounds. It evicts the oldest entries of the account with the
// most entries, so that one account cannot evict the entries of others.
func (s *EntryStore) evict() {
	perAccount, tombstones := make(map[string]int), 0
	for _, entry := range s.entries {
		if len(entry.TerminatedTargets) == 0 {
			tombstones++
			continue
		}
		perAccount[entry.Account]++
	}
	for live := len(s.entries) - tombstones; live > maxEntries; live-- {
		largestAccount := slices.MaxFunc(slices.Sorted(maps.Keys(perAccount)), func(a, b string) int { return cmp.Compare(perAccount[a], perAccount[b]) })
		s.removeOldest(func(entry Entry) bool { return len(entry.TerminatedTargets) > 0 && entry.Account == largestAccount })
		perAccount[largestAccount]--
	}
	for ; tombstones > maxTombstones; tombstones-- {
		s.removeOldest(func(entry Entry) bool { return len(entry.TerminatedTargets) == 0 })
	}
}

// removeOldest removes the matching entry with the lowest revision.
func (s *EntryStore) removeOldest(match func(Entry) bool) {
	var oldest Entry
	for _, entry := range s.entries {
		if match(entry) && (oldest.Revision == 0 || entry.Revision < oldest.Revision) {
			oldest = entry
		}
	}
	delete(s.entries, oldest.Fingerprint)
	s.forgottenRevision = max(s.forgottenRevision, oldest.Revision)
}

// Revision returns the number of changes so far.
func (s *EntryStore) Revision() uint64 {
	return s.revision
}

// Entry returns the entry of a request, and whether there is one that is not a tombstone.
func (s *EntryStore) Entry(fp Fingerprint) (Entry, bool) {
	entry, ok := s.entries[fp]
	return entry, ok && len(entry.TerminatedTargets) > 0
}

// Entries returns all entries except tombstones, the least recently changed first.
func (s *EntryStore) Entries() []Entry {
	entries, _ := s.ChangedSince(0)
	return entries
}

// ChangedSince returns the entries that have changed since a revision, in the order of their
// change. If the revision is 0, too old, or of another store, it returns all entries, and
// complete is true.
func (s *EntryStore) ChangedSince(revision uint64) (changed []Entry, complete bool) {
	if revision != 0 && revision == s.revision {
		return nil, false // the usual case: every router asks several times per second
	}
	complete = revision == 0 || revision < s.forgottenRevision || revision > s.revision
	for _, entry := range s.entries {
		if complete && len(entry.TerminatedTargets) > 0 || !complete && entry.Revision > revision {
			changed = append(changed, entry)
		}
	}
	slices.SortFunc(changed, func(a, b Entry) int { return cmp.Compare(a.Revision, b.Revision) })
	return changed, complete
}

// An EntrySnapshot is the encoded form of an EntryStore.
type EntrySnapshot struct {
	Revision          uint64  `json:"revision,omitempty"`
	ForgottenRevision uint64  `json:"forgotten,omitempty"`
	Entries           []Entry `json:"entries,omitempty"`
}

// Snapshot returns the content of the store.
func (s *EntryStore) Snapshot() EntrySnapshot {
	snapshot := EntrySnapshot{Revision: s.revision, ForgottenRevision: s.forgottenRevision}
	for _, entry := range s.entries {
		snapshot.Entries = append(snapshot.Entries, entry)
	}
	slices.SortFunc(snapshot.Entries, func(a, b Entry) int { return cmp.Compare(a.Revision, b.Revision) })
	return snapshot
}

// Restore replaces the content of the store.
func (s *EntryStore) Restore(snapshot EntrySnapshot) {
	*s = EntryStore{revision: snapshot.Revision, forgottenRevision: snapshot.ForgottenRevision, entries: make(map[Fingerprint]Entry, len(snapshot.Entries))}
	for _, entry := range snapshot.Entries {
		s.entries[entry.Fingerprint] = entry
	}
}
