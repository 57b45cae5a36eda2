package quarantine

import (
	"maps"
	"slices"
	"time"

	"laburnumfall/internal/fleet"
)

const (
	// observationTTL is how long a router keeps its observations, so that it can report them to a
	// new leader. A request may be repeated only after minutes.
	observationTTL = time.Hour
	// unconfirmedTTL is how long an interrupted exchange counts as a termination while it is
	// unknown whether the target has terminated. The list of targets shows this within seconds.
	unconfirmedTTL = 10 * time.Second
	// partObservationTTL is how long observations of parts of prompts are reported to new leaders.
	// Most parts only ran beside the cause of a termination.
	partObservationTTL = suspectTTL
	// completedPartTTL is how long after a completion of a part no termination counts against it. A
	// part that terminates targets does so each time.
	completedPartTTL = 2 * time.Second
	// maxCompletedParts bounds the parts whose last completion a router knows.
	maxCompletedParts = 8192
	// maxObserved bounds the requests of which a router keeps observations.
	maxObserved = 4096
	// evictionDivisor divides the size of a full map to get the number of entries to evict.
	evictionDivisor = 4
)

// observation is what this router has itself observed of one request.
type observation struct {
	createdAt     time.Time
	interruptions []reportable[interruption]
	completion    reportable[time.Time]
}

// interruption is an exchange that a target cut. Once confirmed, it is a termination of the
// target.
type interruption struct {
	Execution
	confirmed   bool
	confirmedAt time.Time
}

// reportable is an item that is reported to each leader until it is acknowledged.
type reportable[T any] struct {
	value   T
	at      time.Time // when it was observed
	ackTerm uint64    // term of the leader that last acknowledged it; 0 if none has
	sentAt  time.Time // when the last report with it was made
}

// due reports whether the item must be reported to the leader of a term. A new leader has only
// the state in the log.
func (r reportable[T]) due(now time.Time, term uint64, ttl time.Duration) bool {
	return now.Sub(r.at) <= ttl && (r.ackTerm == 0 || r.ackTerm != term)
}

// acknowledge records that the leader of a term has received the report that was made at
// reportedAt.
func (r *reportable[T]) acknowledge(reportedAt time.Time, term uint64) {
	if r.sentAt.Equal(reportedAt) {
		r.ackTerm = term
	}
}

// ownTerminationCount returns the number of terminations during a request that this router has
// itself observed. It includes unconfirmed ones, but not for a part of prompts: a fault of the
// network may cut many requests that share parts.
func (g *Guard) ownTerminationCount(now time.Time, fp Fingerprint) int {
	observed := g.observed[fp]
	if observed == nil {
		return 0
	}
	count := 0
	for _, interrupted := range observed.interruptions {
		unconfirmed := !interrupted.value.confirmed && !fp.IsPart() && now.Sub(interrupted.at) <= unconfirmedTTL
		if unconfirmed || interrupted.value.confirmed && now.Sub(interrupted.at) <= fp.observationTTL() {
			count++
		}
	}
	return count
}

// RecordInterruption records that a target cut the exchange of a request, for one of its suspects. It
// reports whether the caller must find out whether the target has terminated, and call
// RecordTermination or RecordAlive with the result. Until then the interruption counts as a
// termination; the worst consequence is that the next copy of the request waits for the leader's
// decision.
func (g *Guard) RecordInterruption(now time.Time, execution Execution) (unconfirmed bool) {
	if completedAt, ok := g.completedParts[execution.Fingerprint]; ok && execution.PermitID == 0 && now.Sub(completedAt) <= completedPartTTL {
		return false
	}
	observed := g.observe(now, execution.Fingerprint)
	confirmed := g.knownTerminated(now, execution)
	for i, previous := range observed.interruptions {
		if previous.value.Target == execution.Target && g.sameTermination(now, previous.at, execution) {
			if confirmed {
				observed.interruptions[i].value.confirm(now)
			}
			return !observed.interruptions[i].value.confirmed
		}
	}
	current := interruption{Execution: execution}
	if confirmed {
		current.confirm(now)
	}
	observed.interruptions = append(observed.interruptions, reportable[interruption]{value: current, at: now})
	return !confirmed
}

func (i *interruption) confirm(now time.Time) {
	if !i.confirmed {
		i.confirmed, i.confirmedAt = true, now
	}
}

// observe returns the observation of a request, which it creates if needed.
func (g *Guard) observe(now time.Time, fp Fingerprint) *observation {
	observed := g.observed[fp]
	if observed != nil {
		return observed
	}
	if g.observed == nil {
		g.observed = make(map[Fingerprint]*observation)
	}
	if len(g.observed) >= maxObserved {
		g.removeExpired(now)
		if len(g.observed) >= maxObserved {
			evictOldest(g.observed, maxObserved/evictionDivisor, func(observed *observation) (time.Time, bool) { return observed.createdAt, true })
		}
	}
	observed = &observation{createdAt: now}
	g.observed[fp] = observed
	return observed
}

// evictOldest removes up to count entries from a map, the oldest first. The function age returns
// the age of an entry and whether it may be removed. Removing many entries at a time avoids a
// scan of a full map for each new entry.
func evictOldest[K comparable, V any](entries map[K]V, count int, age func(V) (since time.Time, evictable bool)) {
	type candidate struct {
		key   K
		since time.Time
	}
	candidates := make([]candidate, 0, len(entries))
	for key, value := range entries {
		if since, evictable := age(value); evictable {
			candidates = append(candidates, candidate{key: key, since: since})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return a.since.Compare(b.since) })
	for _, oldest := range candidates[:min(count, len(candidates))] {
		delete(entries, oldest.key)
	}
}

func (g *Guard) knownTerminated(now time.Time, execution Execution) bool {
	terminatedAt, ok := g.terminated[execution.Target]
	return ok && g.sameTermination(now, terminatedAt, execution)
}

// sameTermination reports whether a termination at terminatedAt is the one that interrupted the
// execution. A target whose ID is reused had restarted in between if the execution started after
// the termination.
func (g *Guard) sameTermination(now, terminatedAt time.Time, execution Execution) bool {
	return !g.IDsReused || now.Sub(terminatedAt) < sameTerminationWindow && !terminatedAt.Before(execution.SentAt)
}

// RecordTermination records that a target has terminated. This confirms its interruptions.
func (g *Guard) RecordTermination(now time.Time, target fleet.Incarnation) {
	if g.terminated == nil {
		g.terminated = make(map[fleet.Incarnation]time.Time)
	}
	g.terminated[target] = now
	for _, observed := range g.observed {
		for i, interrupted := range observed.interruptions {
			if interrupted.value.Target == target && now.Sub(interrupted.at) <= unconfirmedTTL {
				observed.interruptions[i].value.confirm(now)
			}
		}
	}
}

// RecordAlive records that a target was running at aliveAt. Its unconfirmed interruptions up to
// then were no terminations, and permits of the interrupted runs are returned. Responses that ended
// with their connections were complete.
func (g *Guard) RecordAlive(now, aliveAt time.Time, target fleet.Incarnation) {
	for fp, observed := range g.observed {
		disproved, complete := false, false
		observed.interruptions = slices.DeleteFunc(observed.interruptions, func(interrupted reportable[interruption]) bool {
			remove := interrupted.value.Target == target && !interrupted.value.confirmed && !interrupted.at.After(aliveAt)
			disproved, complete = disproved || remove, complete || remove && interrupted.value.Unframed
			return remove
		})
		if complete {
			g.RecordCompletion(now, fp)
		}
		if restriction := g.restrictions[fp]; disproved && restriction.permitUsed && restriction.PermitHolder == g.Owner {
			g.ReturnPermit(now, Decision{PermitID: restriction.PermitID}, fp, false)
		}
		if len(observed.interruptions) == 0 && observed.completion.at.IsZero() {
			delete(g.observed, fp)
		}
	}
}

// UnconfirmedTargets returns the targets with interruptions of which it is unknown whether the
// target has terminated.
func (g *Guard) UnconfirmedTargets(now time.Time) []fleet.Incarnation {
	targets := make(map[fleet.Incarnation]bool)
	for _, observed := range g.observed {
		for _, interrupted := range observed.interruptions {
			if !interrupted.value.confirmed && now.Sub(interrupted.at) <= unconfirmedTTL {
				targets[interrupted.value.Target] = true
			}
		}
	}
	return slices.Collect(maps.Keys(targets))
}

// RecordCompletion records a complete response of a target that ran the request, which shows
// that the request does not terminate targets. For a part of prompts, it is enough that the target has
// written an answer for some time.
func (g *Guard) RecordCompletion(now time.Time, fp Fingerprint) {
	_, restricted := g.restrictions[fp]
	observed := g.observed[fp]
	if fp.IsPart() {
		g.recordCompletedPart(now, fp)
		// Parts run often, so a completion is reported only where it changes something.
		if !restricted && (observed == nil || len(observed.interruptions) == 0) {
			return
		}
	}
	if restricted || observed != nil {
		g.queueCompletion(now, fp, now)
	}
}

// queueCompletion queues a completion for the next report, unless a later one is known.
func (g *Guard) queueCompletion(now time.Time, fp Fingerprint, completedAt time.Time) {
	observed := g.observe(now, fp)
	observed.interruptions = slices.DeleteFunc(observed.interruptions, func(interrupted reportable[interruption]) bool {
		return !interrupted.at.After(completedAt)
	})
	if completedAt.After(observed.completion.at) {
		observed.completion = reportable[time.Time]{value: completedAt, at: completedAt}
	}
}

func (g *Guard) recordCompletedPart(now time.Time, part Fingerprint) {
	if g.completedParts == nil {
		g.completedParts = make(map[Fingerprint]time.Time)
	}
	if _, ok := g.completedParts[part]; !ok && len(g.completedParts) >= maxCompletedParts {
		evictOldest(g.completedParts, maxCompletedParts/evictionDivisor, func(completedAt time.Time) (time.Time, bool) { return completedAt, true })
	}
	g.completedParts[part] = now
}

// addToReport adds the due items of one suspect to a report.
func (g *Guard) addToReport(now time.Time, fp Fingerprint, observed *observation, report *Report) {
	ttl, terminations := fp.observationTTL(), &report.Terminations
	if fp.IsPart() {
		terminations = &report.PartTerminations
	}
	if !observed.completion.at.IsZero() && observed.completion.due(now, g.term, ttl) {
		observed.completion.sentAt = now
		report.Completions = append(report.Completions, Completion{Fingerprint: fp, Age: now.Sub(observed.completion.at)})
	}
	for i, interrupted := range observed.interruptions {
		if !interrupted.value.confirmed || !interrupted.due(now, g.term, ttl) {
			continue
		}
		observed.interruptions[i].sentAt = now
		*terminations = append(*terminations, Termination{
			Fingerprint: fp, Account: interrupted.value.Account, Destination: interrupted.value.Destination, Pool: interrupted.value.Pool,
			Target: interrupted.value.Target, IDReused: g.IDsReused, PermitID: interrupted.value.PermitID, Age: now.Sub(interrupted.at),
		})
	}
}

// observationTTL returns how long observations of a suspect are kept.
func (f Fingerprint) observationTTL() time.Duration {
	if f.IsPart() {
		return partObservationTTL
	}
	return observationTTL
}

// acknowledge records that the leader of a term has received the report that was made at
// reportedAt.
func (g *Guard) acknowledge(reportedAt time.Time, term uint64) {
	for _, observed := range g.observed {
		for i := range observed.interruptions {
			observed.interruptions[i].acknowledge(reportedAt, term)
		}
		observed.completion.acknowledge(reportedAt, term)
	}
	for i := range g.permitReturns {
		g.permitReturns[i].acknowledge(reportedAt, term)
	}
}

// removeExpired removes observations that are too old to be reported or counted.
func (g *Guard) removeExpired(now time.Time) {
	for fp, observed := range g.observed {
		observed.interruptions = slices.DeleteFunc(observed.interruptions, func(interrupted reportable[interruption]) bool {
			return now.Sub(interrupted.at) > fp.observationTTL() || !interrupted.value.confirmed && now.Sub(interrupted.at) > unconfirmedTTL
		})
		if len(observed.interruptions) == 0 && now.Sub(observed.completion.at) > fp.observationTTL() {
			delete(g.observed, fp)
		}
	}
	for target, at := range g.terminated {
		if now.Sub(at) > observationTTL {
			delete(g.terminated, target)
		}
	}
	maps.DeleteFunc(g.unreachable, func(_ string, at time.Time) bool { return now.Sub(at) > unreachableTTL })
	g.permitReturns = slices.DeleteFunc(g.permitReturns, func(permitReturn reportable[PermitReturn]) bool { return now.Sub(permitReturn.at) > observationTTL })
}
