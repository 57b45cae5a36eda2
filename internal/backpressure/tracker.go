package backpressure

import (
	"sync"
	"sync/atomic"
	"time"

	"laburnumfall/internal/fleet"
)

const (
	// MaxBackoff bounds how long a target gets no requests after one response. Without a bound, a
	// target that sends a wrong value by mistake would be lost until its router restarts.
	MaxBackoff = time.Minute
	// leavingTTL is how long a target counts as leaving after it last said so, if it is identified by
	// its address, which its next incarnation may have too.
	leavingTTL = time.Minute
	// unlistedTTL is how long the signals of a target are kept after it was last listed. A target
	// may be missing from a damaged or outdated list for some seconds.
	unlistedTTL = time.Minute
)

// A Tracker holds the signals of targets to this router. It may be shared by all parts of a router
// that send to targets, and used by several goroutines. The zero value has no signals, and so has a
// nil Tracker.
//
// It is deterministic: its results depend only on the times and signals that it gets.
type Tracker struct {
	// ByAddress identifies targets by their addresses. A configuration may list one target under
	// several IDs, and its start time is not known. Otherwise targets are identified by their
	// incarnations, since an address may be reused by another target.
	ByAddress bool

	mu       sync.Mutex
	entries  map[string]*entry // by ID, or by address
	revision atomic.Uint64
}

// entry is what an incarnation of a target has signaled.
type entry struct {
	target   fleet.Incarnation
	status   Status
	listedAt time.Time // when it was last listed or sent a signal
}

// Record records the signal in a response of a target. It reports whether this changes when the
// target gets requests. A shorter backoff does not end a longer one, since responses may arrive in
// another order than they were sent.
func (t *Tracker) Record(now time.Time, target fleet.Instance, signal Signal) bool {
	if signal.IsZero() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[t.key(target)]
	if e == nil || !t.matches(e, target) {
		if e != nil && e.target.StartMillis > target.StartMillis {
			return false // a late response of the previous incarnation
		}
		if t.entries == nil {
			t.entries = make(map[string]*entry)
		}
		e = &entry{target: target.Incarnation}
		t.entries[t.key(target)] = e
	}
	e.listedAt = now
	changed := false
	if until := now.Add(min(signal.Backoff, MaxBackoff)); signal.Backoff > 0 && until.After(e.status.BackoffEnd) {
		changed = true
		e.status.BackoffEnd = until
	}
	if signal.Leaving {
		changed = changed || !e.status.Leaving(now)
		e.status.LeavingEnd = t.leavingEnd(now)
	}
	if changed {
		t.revision.Add(1)
	}
	return changed
}

// Status returns what a target has signaled.
func (t *Tracker) Status(target fleet.Instance) Status {
	if t == nil {
		return Status{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[t.key(target)]; e != nil && t.matches(e, target) {
		return e.status
	}
	return Status{}
}

// BackoffCount returns how many targets want no requests at now.
func (t *Tracker) BackoffCount(now time.Time) int {
	if t == nil {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	count := 0
	for _, e := range t.entries {
		if e.status.BackingOff(now) {
			count++
		}
	}
	return count
}

// Revision changes whenever Record reports a change.
func (t *Tracker) Revision() uint64 {
	if t == nil {
		return 0
	}
	return t.revision.Load()
}

// SetTargets applies a list of targets. It removes the signals of those that have not been listed for
// unlistedTTL.
func (t *Tracker) SetTargets(now time.Time, list []fleet.Instance) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.entries) == 0 {
		return
	}
	for _, instance := range list {
		if e := t.entries[t.key(instance)]; e != nil && t.matches(e, instance) {
			e.listedAt = now
		}
	}
	for key, e := range t.entries {
		if now.Sub(e.listedAt) > unlistedTTL {
			delete(t.entries, key)
		}
	}
	t.revision.Add(1)
}

func (t *Tracker) key(target fleet.Instance) string {
	if t.ByAddress {
		return target.Address
	}
	return target.ID
}

// matches reports whether an entry with the key of a target is of the same incarnation.
func (t *Tracker) matches(e *entry, target fleet.Instance) bool {
	return t.ByAddress || e.target.MayEqual(target.Incarnation)
}

// leavingEnd returns until when a target that says now that it leaves counts as leaving. An
// incarnation never returns from leaving, but the next one may have the same address.
func (t *Tracker) leavingEnd(now time.Time) time.Time {
	if t.ByAddress {
		return now.Add(leavingTTL)
	}
	return never
}
