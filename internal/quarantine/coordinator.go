package quarantine

import (
	"maps"
	"slices"
	"time"
)

const (
	// sameTerminationWindow is how far apart in time two reports may be of the same termination
	// of a target whose ID is reused. Routers see its connections close within milliseconds of
	// each other, and a target takes longer to restart.
	sameTerminationWindow = 1500 * time.Millisecond
	// suspectTTL and quarantineTTL are how long an entry is kept after the last termination. A
	// caller usually repeats such a request for as long as it fails. A day gives operators time
	// to investigate.
	suspectTTL    = 10 * time.Minute
	quarantineTTL = 24 * time.Hour
	// permitTTL is how long a permit is valid if its router does not return it. The longest
	// timeouts of routes are about ten seconds.
	permitTTL = 20 * time.Second
	// firstTrialDelay is the time from the quarantine to the first trial, and nextTrialDelay that
	// from one trial to the next. The first delay is short, since the request may only have
	// happened to run during three terminations.
	firstTrialDelay = 10 * time.Second
	nextTrialDelay  = time.Minute
	// firstPartTrialDelay replaces firstTrialDelay for a part of prompts. Most of those that are
	// restricted only ran beside the cause.
	firstPartTrialDelay = 3 * time.Second
	// maxListLag is how long a terminated target may stay in the list of targets, which lags by
	// some seconds.
	maxListLag = 10 * time.Second
	// maxTerminatedTargets bounds the incarnations that are stored for one request.
	maxTerminatedTargets = 8
	// maxTracked bounds the requests that the leader tracks in memory, mostly those with one
	// termination or a completion that are not in the log. Each takes about 300 bytes. When the
	// bound is reached, those that were reported least recently are evicted.
	maxTracked = 8192
)

// A Transition is a change of the state of a request. Its text is logged.
type Transition string

// The transitions.
const (
	Suspected       Transition = "suspected" // copies of the request run one at a time
	Quarantined     Transition = "convicted" // the request is held back
	TerminatedAgain Transition = "ended"     // another target terminated
	PermitGranted   Transition = "granted"   // one run is permitted
	PermitReturned  Transition = "returned"  // the run led to no termination or completion
	Cleared         Transition = "cleared"   // the request got a complete response
	Expired         Transition = "lapsed"    // no target terminated for a long time
	Lifted          Transition = "lifted"    // an operator ended the quarantine
)

// A TransitionRecord is a transition and the entry after it, or before it if the entry was
// removed. It is logged.
type TransitionRecord struct {
	Transition Transition
	Entry      Entry
}

// A Coordinator runs in the leader. It combines the reports of all routers and decides which
// requests are restricted. Set the exported field and call Load before the other methods; times
// must not decrease. A decision takes effect when its entries are committed to the log.
//
// A termination counts once per incarnation, regardless of which routers report it and how
// often. A completion cancels earlier terminations. Reports may therefore be duplicated,
// delayed and reordered.
type Coordinator struct {
	// AvailableTargets returns the IDs of the targets of a pool that accept new work, in any
	// order.
	AvailableTargets func(pool string) []string

	tracked            map[Fingerprint]*trackedRequest
	terminated         map[string]time.Time // recently terminated targets, by ID
	pendingEntries     []Entry
	pendingTransitions []TransitionRecord
	sweptAt            time.Time
}

// trackedRequest is the leader's state of one request.
type trackedRequest struct {
	Entry

	completedAt time.Time // of the latest completion
	reportedAt  time.Time // of the latest report about the request
	poolDownAt  time.Time // when a permit was last requested while all targets of the pool were down
	logged      bool      // the entry is in the log or about to be written to it
}

// Load replaces the state by the entries of the log.
func (c *Coordinator) Load(now time.Time, entries []Entry) {
	c.tracked = make(map[Fingerprint]*trackedRequest, len(entries))
	c.terminated = make(map[string]time.Time)
	for _, entry := range entries {
		c.tracked[entry.Fingerprint] = &trackedRequest{Entry: entry, reportedAt: now, logged: true}
	}
}

// HandleReport processes a router's report. TakeChanges then returns the resulting changes.
func (c *Coordinator) HandleReport(now time.Time, router string, report Report) {
	for _, completion := range report.Completions {
		c.addCompletion(now, completion)
	}
	for _, terminations := range [][]Termination{report.Terminations, report.PartTerminations} {
		for _, termination := range terminations {
			c.addTermination(now, router, termination)
		}
	}
	for _, permitReturn := range report.PermitReturns {
		c.returnPermit(now, router, permitReturn)
	}
	for _, fp := range report.PermitRequests {
		c.grantPermit(now, router, fp, report.Unreachable)
	}
	c.sweep(now)
}

// TakeChanges returns the entries to be written to the log, in order, and the transitions behind
// them, and removes both from the coordinator.
func (c *Coordinator) TakeChanges() ([]Entry, []TransitionRecord) {
	entries, transitions := c.pendingEntries, c.pendingTransitions
	c.pendingEntries, c.pendingTransitions = nil, nil
	return entries, transitions
}

// Lift ends the restriction of a request by order of an operator. It returns false if the
// request is not restricted.
func (c *Coordinator) Lift(now time.Time, fp Fingerprint) bool {
	req := c.tracked[fp]
	if req == nil || !req.logged {
		return false
	}
	req.completedAt = now
	c.remove(req, Lifted)
	return true
}

// TerminationCount returns the number of terminations that count against a request.
func (c *Coordinator) TerminationCount(fp Fingerprint) int {
	if req := c.tracked[fp]; req != nil {
		return len(req.TerminatedTargets)
	}
	return 0
}

// track returns the state of a request, which it creates if needed, and updates its report time.
func (c *Coordinator) track(now time.Time, fp Fingerprint) *trackedRequest {
	req := c.tracked[fp]
	if req == nil {
		if len(c.tracked) >= maxTracked {
			c.evictUnlogged()
		}
		req = &trackedRequest{Entry: Entry{Fingerprint: fp}}
		c.tracked[fp] = req
	}
	req.reportedAt = now
	return req
}

// evictUnlogged evicts the least recently reported requests that are not in the log.
func (c *Coordinator) evictUnlogged() {
	evictOldest(c.tracked, maxTracked/evictionDivisor, func(req *trackedRequest) (time.Time, bool) { return req.reportedAt, !req.logged })
}

func (c *Coordinator) addTermination(now time.Time, router string, termination Termination) {
	terminatedAt := now.Add(-max(termination.Age, 0))
	req := c.track(now, termination.Fingerprint)
	if !termination.IDReused || termination.Age < sameTerminationWindow {
		c.terminated[termination.Target.ID] = terminatedAt
	}
	// The run under the permit has ended, even if another router reported the termination first.
	permitEnded := req.PermitHolder == router && terminatedAt.After(req.PermitExpiresAt.Add(-permitTTL))
	if permitEnded {
		req.PermitHolder = ""
	}
	wasQuarantined := req.Quarantined()
	if permitEnded && termination.PermitID == req.PermitID && !req.isCleared(terminatedAt) {
		req.IsolatedTerminations++
	}
	if req.isCleared(terminatedAt) || req.hasTermination(termination, terminatedAt) {
		switch {
		case req.Quarantined() && !wasQuarantined:
			c.quarantine(now, req)
		case permitEnded:
			c.save(req, PermitReturned)
		}
		return
	}
	req.Account, req.Destination, req.Pool = termination.Account, termination.Destination, termination.Pool
	previousCount := len(req.TerminatedTargets)
	req.TerminatedTargets = append(slices.Clone(req.TerminatedTargets), TerminatedTarget{Target: termination.Target, At: terminatedAt})
	if len(req.TerminatedTargets) > maxTerminatedTargets {
		req.TerminatedTargets = req.TerminatedTargets[1:]
	}
	switch {
	case previousCount < suspectThreshold && len(req.TerminatedTargets) >= suspectThreshold:
		c.save(req, Suspected)
	case req.Quarantined() && !wasQuarantined:
		c.quarantine(now, req)
	case req.logged:
		c.save(req, TerminatedAgain)
	}
}

func (c *Coordinator) quarantine(now time.Time, req *trackedRequest) {
	req.NextTrialAt = now.Add(firstTrialDelay)
	if req.Fingerprint.IsPart() {
		req.NextTrialAt = now.Add(firstPartTrialDelay)
	}
	c.save(req, Quarantined)
}

// isCleared reports whether a completion shows that a termination had another cause. A part that
// terminates targets does so each time, so a completion also clears it of terminations soon after.
func (r *trackedRequest) isCleared(terminatedAt time.Time) bool {
	clearedUntil := r.completedAt
	if r.Fingerprint.IsPart() && !r.completedAt.IsZero() {
		clearedUntil = clearedUntil.Add(completedPartTTL)
	}
	return !terminatedAt.After(clearedUntil)
}

// hasTermination reports whether a termination has been counted already.
func (r *trackedRequest) hasTermination(termination Termination, terminatedAt time.Time) bool {
	return slices.ContainsFunc(r.TerminatedTargets, func(known TerminatedTarget) bool {
		same := !termination.IDReused || terminatedAt.Sub(known.At).Abs() < sameTerminationWindow && !r.beforePermit(known, termination)
		return known.Target.MayEqual(termination.Target) && same
	})
}

// beforePermit reports whether a known termination happened before the grant of the permit under
// which the request of another termination ran.
func (r *trackedRequest) beforePermit(known TerminatedTarget, termination Termination) bool {
	return termination.PermitID != 0 && termination.PermitID == r.PermitID && known.At.Before(r.PermitExpiresAt.Add(-permitTTL))
}

func (c *Coordinator) addCompletion(now time.Time, completion Completion) {
	completedAt := now.Add(-max(completion.Age, 0))
	req := c.track(now, completion.Fingerprint)
	if !completedAt.After(req.completedAt) {
		return
	}
	req.completedAt = completedAt
	remaining := slices.DeleteFunc(slices.Clone(req.TerminatedTargets), func(target TerminatedTarget) bool { return req.isCleared(target.At) })
	if len(remaining) == len(req.TerminatedTargets) {
		return
	}
	req.TerminatedTargets, req.IsolatedTerminations = remaining, min(req.IsolatedTerminations, len(remaining))
	if !req.logged {
		return
	}
	if len(remaining) < suspectThreshold {
		c.remove(req, Cleared)
		req.TerminatedTargets = remaining
		return
	}
	c.save(req, Cleared)
}

// save queues the entry for the log.
func (c *Coordinator) save(req *trackedRequest, transition Transition) {
	req.logged = true
	c.pendingEntries = append(c.pendingEntries, req.Entry)
	c.pendingTransitions = append(c.pendingTransitions, TransitionRecord{Transition: transition, Entry: req.Entry})
}

// remove queues the removal of the entry from the log. The time of completion is kept for a
// while, since earlier terminations may still be reported.
func (c *Coordinator) remove(req *trackedRequest, transition Transition) {
	c.pendingTransitions = append(c.pendingTransitions, TransitionRecord{Transition: transition, Entry: req.Entry})
	req.Entry = Entry{Fingerprint: req.Fingerprint, Account: req.Account, Destination: req.Destination, Pool: req.Pool, PermitID: req.PermitID}
	req.logged = false
	c.pendingEntries = append(c.pendingEntries, Entry{Fingerprint: req.Fingerprint})
}

// sweep removes expired state, at most once per second.
func (c *Coordinator) sweep(now time.Time) {
	if now.Sub(c.sweptAt) < time.Second {
		return
	}
	c.sweptAt = now
	maps.DeleteFunc(c.terminated, func(_ string, at time.Time) bool { return now.Sub(at) > maxListLag })
	for fp, req := range c.tracked {
		switch {
		case !req.logged && now.Sub(req.reportedAt) > quarantineTTL, !req.logged && fp.IsPart() && now.Sub(req.reportedAt) > suspectTTL:
			delete(c.tracked, fp)
		case req.logged && !now.Before(req.ExpiresAt()):
			c.remove(req, Expired)
		}
	}
}

// UpdateFor returns the response to a router's report: the restrictions that have changed since
// the router's revision, and a restriction for each permit request that needs no permit, because
// too few terminations count against it, or whose pool is down.
func (c *Coordinator) UpdateFor(now time.Time, report Report, store *EntryStore) RestrictionUpdate {
	changed, complete := store.ChangedSince(report.KnownRevision)
	update := RestrictionUpdate{Revision: store.Revision(), Complete: complete && store.Revision() > 0}
	for _, entry := range changed {
		update.Restrictions = append(update.Restrictions, entry.Restriction(now))
	}
	for _, fp := range report.PermitRequests {
		entry, ok := store.Entry(fp)
		req := c.tracked[fp]
		switch {
		case !ok && c.TerminationCount(fp) < suspectThreshold:
			update.Restrictions = append(update.Restrictions, Restriction{Fingerprint: fp, TerminationCount: c.TerminationCount(fp)})
		case ok && req != nil && req.poolDownAt.Equal(now):
			restriction := entry.Restriction(now)
			restriction.PoolDown = true
			update.Restrictions = append(update.Restrictions, restriction)
		}
	}
	return update
}
