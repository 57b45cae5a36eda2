package quarantine

import (
	"maps"
	"slices"
	"time"

	"laburnumfall/internal/fleet"
)

const (
	// permitStartTimeout is how soon after a permit is received the run must start.
	permitStartTimeout = 2 * time.Second
	// minRetryAfter and maxRetryAfter bound the retry delay of a caller while another copy of its
	// request runs. That run may take several seconds, but usually ends sooner.
	minRetryAfter = time.Second
	maxRetryAfter = 5 * time.Second
	// poolDownTTL is how long a request is refused without another permit request after the
	// leader has reported that all targets of its pool terminated. The list of targets is reread
	// within that time.
	poolDownTTL = 500 * time.Millisecond
	// unreachableTTL is how long a target is reported as unreachable. It covers the lag of the list
	// of targets.
	unreachableTTL = 2 * time.Second
	// maxReported bounds the terminations and completions in one report, and the unreachable
	// targets.
	maxReported = 256
)

// An Execution is the run of a request at a target.
type Execution struct {
	Fingerprint                Fingerprint
	Account, Destination, Pool string
	Target                     fleet.Incarnation
	// SentAt is when the request was sent to the target. PermitID identifies its permit; 0 if it
	// had none.
	SentAt   time.Time
	PermitID uint64
	// Unframed says that the response looks complete but ended with its connection, as it also does
	// when a target terminates.
	Unframed bool
}

// A Guard runs in a router. It records during which requests targets terminate, reports this to
// the leader, and decides by the leader's restrictions, which include the reports of all
// routers. Set the exported fields before its use. Times must not decrease.
//
// While there is no leader, a router continues with the restrictions that it has. A request that
// needs a permit must then wait: if each router enforced a limit by itself, the limit of the
// fleet would be a multiple of it.
type Guard struct {
	// Owner identifies this router and its incarnation.
	Owner string
	// IDsReused says that targets keep their IDs over restarts and that their start times are
	// unknown.
	IDsReused bool

	revision       uint64
	term           uint64
	termSeenAt     time.Time // when this router first received an update of the term
	restrictions   map[Fingerprint]activeRestriction
	observed       map[Fingerprint]*observation
	terminated     map[fleet.Incarnation]time.Time // terminations that this router detected
	completedParts map[Fingerprint]time.Time       // when a target last completed a run of a part, or had run it for long enough
	permitRequests map[Fingerprint]int             // number of waiting requests
	permitReturns  []reportable[PermitReturn]
	unreachable    map[string]time.Time // when a connection to a target last failed, by ID
}

// activeRestriction is a Restriction with its times by this router's clock.
type activeRestriction struct {
	Restriction
	nextRunAt, permitExpiresAt, startBy time.Time
	poolDownUntil                       time.Time // until when the pool counts as down
	permitUsed                          bool      // a run has started under the permit
	permitReturned                      bool      // the permit has been returned
}

// Idle reports whether there are no restrictions and no observations, so that no request needs
// to be checked.
func (g *Guard) Idle() bool {
	return len(g.restrictions) == 0 && len(g.observed) == 0
}

// QuarantinedCount returns the number of quarantined requests.
func (g *Guard) QuarantinedCount() int {
	count := 0
	for _, restriction := range g.restrictions {
		if restriction.quarantined() {
			count++
		}
	}
	return count
}

// Decide decides whether a request may be sent to a target now. The suspects are its fingerprint and
// those of the parts of its prompt. A single permit is enough for all of them: the run shows the same
// about each.
func (g *Guard) Decide(now time.Time, suspects []Fingerprint) Decision {
	var worst Decision
	for _, suspect := range suspects {
		if decision := g.Check(now, suspect); decision.overrides(worst) {
			worst = decision
		}
	}
	return worst
}

// Check decides about one suspect whether a request may be sent to a target now.
func (g *Guard) Check(now time.Time, fp Fingerprint) Decision {
	restriction, restricted := g.restrictions[fp]
	decision := Decision{Suspect: fp, TerminationCount: max(restriction.TerminationCount, g.ownTerminationCount(now, fp))}
	switch {
	case decision.TerminationCount < suspectThreshold:
		return decision
	case !restricted:
		decision.Action = AwaitPermit // the leader has not processed this router's report yet
	case restriction.PermitHolder == g.Owner && !restriction.permitUsed && now.Before(restriction.startBy):
		decision.PermitID, decision.PermitTarget = restriction.PermitID, restriction.PermitTarget
	case restriction.PermitHolder != "" && now.Before(restriction.permitExpiresAt) && !restriction.permitReturned:
		decision.Action, decision.RetryAfter = Reject, min(max(restriction.permitExpiresAt.Sub(now), minRetryAfter), maxRetryAfter)
	case restriction.PoolDown && now.Before(restriction.poolDownUntil):
		decision.Action, decision.RetryAfter = Reject, minRetryAfter
	case restriction.quarantined() && (restriction.NoTrialsLeft || now.Before(restriction.nextRunAt)):
		decision.Action, decision.RetryAfter = Reject, max(restriction.nextRunAt.Sub(now), minRetryAfter)
	default:
		decision.Action = AwaitPermit
	}
	return decision
}

// MarkSent records that a request is sent under a permit, which cannot be used again.
func (g *Guard) MarkSent(decision Decision, fp Fingerprint) {
	if restriction, ok := g.restrictions[fp]; ok && decision.PermitID != 0 && restriction.PermitID == decision.PermitID {
		restriction.permitUsed = true
		g.restrictions[fp] = restriction
	}
}

// ReturnPermit returns the permit of a run that led to neither a termination nor a completion.
// It does nothing if the decision has no permit.
func (g *Guard) ReturnPermit(now time.Time, decision Decision, fp Fingerprint, notSent bool) {
	g.queueReturn(now, PermitReturn{Fingerprint: fp, PermitID: decision.PermitID, NotSent: notSent})
}

// ReturnUnreachable returns a permit whose target could not be reached.
func (g *Guard) ReturnUnreachable(now time.Time, decision Decision, fp Fingerprint) {
	g.queueReturn(now, PermitReturn{Fingerprint: fp, PermitID: decision.PermitID, NotSent: true, Unreachable: true})
}

func (g *Guard) queueReturn(now time.Time, permitReturn PermitReturn) {
	if permitReturn.PermitID == 0 {
		return
	}
	if restriction, ok := g.restrictions[permitReturn.Fingerprint]; ok && restriction.PermitID == permitReturn.PermitID {
		restriction.permitUsed, restriction.permitReturned = true, true
		g.restrictions[permitReturn.Fingerprint] = restriction
	}
	g.permitReturns = append(g.permitReturns, reportable[PermitReturn]{value: permitReturn, at: now})
}

// RequestPermit adds a request that waits for a permit, until CancelPermitRequest is called.
func (g *Guard) RequestPermit(fp Fingerprint) {
	if g.permitRequests == nil {
		g.permitRequests = make(map[Fingerprint]int)
	}
	g.permitRequests[fp]++
}

// CancelPermitRequest undoes one call of RequestPermit.
func (g *Guard) CancelPermitRequest(fp Fingerprint) {
	if g.permitRequests[fp]--; g.permitRequests[fp] <= 0 {
		delete(g.permitRequests, fp)
	}
}

// RecordUnreachable records that no connection to a target could be opened, for any request.
func (g *Guard) RecordUnreachable(now time.Time, targetID string) {
	if g.unreachable == nil {
		g.unreachable = make(map[string]time.Time)
	}
	if _, ok := g.unreachable[targetID]; ok || len(g.unreachable) < maxReported {
		g.unreachable[targetID] = now
	}
}

// Report returns the next report to the leader, and removes expired state.
func (g *Guard) Report(now time.Time) Report {
	g.returnUnusedPermits(now)
	g.removeExpired(now)
	report := Report{KnownRevision: g.revision, PermitRequests: slices.Sorted(maps.Keys(g.permitRequests))}
	if len(report.PermitRequests) > 0 {
		report.Unreachable = slices.Sorted(maps.Keys(g.unreachable))
	}
	for fp, observed := range g.observed {
		if len(report.Terminations)+len(report.PartTerminations)+len(report.Completions) >= maxReported {
			break // the next report has the rest
		}
		g.addToReport(now, fp, observed, &report)
	}
	for i, permitReturn := range g.permitReturns {
		if permitReturn.due(now, g.term, observationTTL) {
			g.permitReturns[i].sentAt = now
			report.PermitReturns = append(report.PermitReturns, permitReturn.value)
		}
	}
	return report
}

// returnUnusedPermits returns permits under which no run started in time, since they arrived
// after the request stopped waiting.
func (g *Guard) returnUnusedPermits(now time.Time) {
	for fp, restriction := range g.restrictions {
		if restriction.PermitHolder == g.Owner && !restriction.permitUsed && !now.Before(restriction.startBy) {
			g.ReturnPermit(now, Decision{PermitID: restriction.PermitID}, fp, true)
		}
	}
}

// ApplyUpdate applies the response of the leader of a term to the report that was made at
// reportedAt.
func (g *Guard) ApplyUpdate(now, reportedAt time.Time, term uint64, update RestrictionUpdate) {
	if term < g.term || term == g.term && update.Revision < g.revision {
		return // a newer update has arrived before this one
	}
	if term != g.term {
		g.term, g.termSeenAt = term, now
	}
	if !reportedAt.Before(g.termSeenAt) {
		g.acknowledge(reportedAt, term)
	}
	if update.Complete {
		clear(g.restrictions)
	}
	g.revision = update.Revision
	if g.restrictions == nil {
		g.restrictions = make(map[Fingerprint]activeRestriction)
	}
	for _, restriction := range update.Restrictions {
		g.applyRestriction(now, reportedAt, restriction)
	}
}

func (g *Guard) applyRestriction(now, reportedAt time.Time, restriction Restriction) {
	if restriction.TerminationCount < suspectThreshold {
		delete(g.restrictions, restriction.Fingerprint)
		// The leader has counted the terminations that were reported before, or has discarded
		// them because of a completion.
		if observed := g.observed[restriction.Fingerprint]; observed != nil {
			observed.interruptions = slices.DeleteFunc(observed.interruptions, func(interrupted reportable[interruption]) bool {
				return interrupted.value.confirmed && interrupted.value.confirmedAt.Before(reportedAt)
			})
		}
		return
	}
	if completedAt, ok := g.completedParts[restriction.Fingerprint]; ok {
		g.queueCompletion(now, restriction.Fingerprint, completedAt) // the leader asks all routers by restricting the part
	}
	previous := g.restrictions[restriction.Fingerprint]
	// The leader answered after reportedAt, so its permit certainly holds for that long, however late
	// the answer is read.
	permitExpiresAt := reportedAt.Add(restriction.PermitExpiresIn)
	startBy := now.Add(permitStartTimeout)
	if permitExpiresAt.Before(startBy) {
		startBy = permitExpiresAt
	}
	g.restrictions[restriction.Fingerprint] = activeRestriction{
		Restriction: restriction, nextRunAt: now.Add(restriction.NextRunIn), permitExpiresAt: permitExpiresAt, startBy: startBy,
		poolDownUntil: now.Add(poolDownTTL),
		permitUsed:    previous.permitUsed && previous.PermitID == restriction.PermitID, permitReturned: previous.permitReturned && previous.PermitID == restriction.PermitID,
	}
}
