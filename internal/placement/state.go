package placement

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/message"
	"laburnumfall/internal/pace"
	"laburnumfall/internal/probation"
	"laburnumfall/internal/warmup"
)

// maxCachedParts bounds the cached parts that are tracked per target.
const maxCachedParts = 1024

// state is what a router has recorded about one target.
type state struct {
	fleet.Instance

	hash          uint64               // of the target's ID
	addedAt       time.Time            // when the target was first listed
	copyingTokens int                  // tokens of pending copies from this target
	partLastUsed  map[uint64]time.Time // when a part was last sent here, by ID
	running       int
	pendingTokens int // prompt tokens of attempts without a first byte
	memory        heldMemory
	kept          keptPrefix

	pace     pace.Tracker
	poolPace *pace.Pool // of its pool; nil if the targets of the pool do not differ in pace

	reportedWaiting int // queue length reported by the target
	reportedAt      time.Time

	remote   message.Backlog // sent by all other routers
	remoteAt time.Time

	probation     probation.Limit
	failureRate   float64 // moving average, as of failureRateAt
	failureRateAt time.Time
	refused       bool
	refusedAt     time.Time
	evacuated     bool      // the target's zone is evacuated
	saidLeaving   bool      // the target has said that it leaves
	backoffEnd    time.Time // when the target takes requests again; zero if it does now
	maybeCold     bool      // false once coldUntil is known to have passed
	coldUntil     time.Time // latest known end of the cold period
	sendMeter     warmup.Meter

	downUntil       time.Time
	connectFailures int
	lastAnswerAt    time.Time
	unansweredSince time.Time // when the first of the unanswered requests was sent
	unanswered      int       // requests sent since the last answer; 0 if none is running
}

func newState(now time.Time, instance fleet.Instance) *state {
	return &state{Instance: instance, addedAt: now, hash: xxhash.Sum64String(instance.ID), partLastUsed: make(map[uint64]time.Time)}
}

func rendezvousScore(part, target uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], part)
	binary.LittleEndian.PutUint64(buf[8:], target)
	return xxhash.Sum64(buf[:])
}

// uncachedTokens returns how many tokens of a prompt's shared parts are probably not cached at
// the target. A part counts as cached only if all parts before it do.
func (s *state) uncachedTokens(now time.Time, r Request) int {
	tokens := 0
	for _, part := range r.shared() {
		usedAt, ok := s.partLastUsed[part.ID]
		if tokens > 0 || !ok || now.Sub(usedAt) > cacheLifetime {
			tokens += part.Tokens
		}
	}
	return tokens
}

func (s *state) startAttempt(now time.Time, r Request, prefillTokens int) {
	s.running++
	s.pendingTokens += prefillTokens
	if s.unanswered == 0 {
		s.unansweredSince = now
	}
	s.unanswered++
	if len(r.Parts) == 0 {
		return
	}
	for _, part := range r.shared() {
		s.partLastUsed[part.ID] = now
	}
	if len(s.partLastUsed) > maxCachedParts {
		s.evictParts(now)
	}
}

// evictParts drops parts that have expired, and all parts if there are still too many.
func (s *state) evictParts(now time.Time) {
	for id, usedAt := range s.partLastUsed {
		if now.Sub(usedAt) > cacheLifetime {
			delete(s.partLastUsed, id)
		}
	}
	if len(s.partLastUsed) > maxCachedParts {
		clear(s.partLastUsed)
	}
}

// reportedQueue returns the queue length that the target reported, scaled down with the age of
// the report.
func (s *state) reportedQueue(now time.Time) float64 {
	age := now.Sub(s.reportedAt)
	if age >= reportedQueueLifetime {
		return 0
	}
	return float64(s.reportedWaiting) * float64(reportedQueueLifetime-age) / float64(reportedQueueLifetime)
}

// remoteTokens returns the prompt tokens from other routers that are still to be prefilled,
// assuming that the target prefills at the given rate since the report.
func (s *state) remoteTokens(now time.Time, rate float64) float64 {
	if s.remote.Tokens == 0 {
		return 0
	}
	prefilled := rate * float64(now.Sub(s.remoteAt)) / float64(time.Millisecond)
	return max(float64(s.remote.Tokens)-prefilled, 0)
}

// runningTotal returns how many requests of all routers run at the target.
func (s *state) runningTotal(now time.Time) int {
	if s.remote.Running == 0 || now.Sub(s.remoteAt) > remoteLoadLifetime {
		return s.running
	}
	return s.running + s.remote.Running
}

// slotRounds returns the predicted time of a request as a multiple of the time on an idle target,
// from the requests that hold or wait for slots.
func (s *state) slotRounds(now time.Time) float64 {
	slots := float64(max(s.Slots, 1))
	ahead := float64(s.runningTotal(now))
	if waiting := s.reportedQueue(now); waiting > 0 {
		ahead = max(ahead, slots+waiting)
	}
	return 1 + ahead/slots
}

func (s *state) recordFirstByte(now time.Time, prefillTokens int) {
	s.pendingTokens -= prefillTokens
	s.recordAnswer(now)
}

func (s *state) recordAnswer(now time.Time) {
	s.lastAnswerAt = now
	s.unansweredSince = now
	s.unanswered = 0
	s.connectFailures = 0
	s.downUntil = time.Time{}
}

func (s *state) endAttempt(now time.Time, r Result, medianFailureRate float64) {
	s.running--
	switch r {
	case Served:
		s.recordResult(now, 0)
		s.probation.RecordSuccess()
		s.recordAnswer(now)
	case Canceled:
	case Refused:
		s.refused, s.refusedAt = true, now
		s.recordAnswer(now)
	case Failed:
		s.recordResult(now, 1)
		s.updateProbation(medianFailureRate)
	case ConnectFailed:
		s.recordResult(now, 1)
		s.updateProbation(medianFailureRate)
		s.markDown(now)
	}
	if s.running == 0 {
		s.unanswered = 0
	}
}

// recordResult updates the failure rate with one result: 1 for a failure, 0 for a success.
func (s *state) recordResult(now time.Time, failed float64) {
	s.failureRate = s.currentFailureRate(now)
	s.failureRate += failureWeight * (failed - s.failureRate)
	s.failureRateAt = now
}

// currentFailureRate returns the failure rate, which decays while nothing is sent.
func (s *state) currentFailureRate(now time.Time) float64 {
	if s.failureRate == 0 {
		return 0
	}
	return s.failureRate * math.Exp2(-now.Sub(s.failureRateAt).Seconds()/failureHalfLife.Seconds())
}

func (s *state) markDown(now time.Time) {
	pause := min(minDownTime<<min(s.connectFailures, 4), maxDownTime)
	s.connectFailures++
	s.downUntil = now.Add(pause)
}

// failurePenalty returns the cost of recent failures and of missing answers. Only a failure rate
// above the pool's median counts: if all targets fail alike, moving requests away from their
// cached parts would only add work.
func (s *state) failurePenalty(now time.Time, medianFailureRate float64) time.Duration {
	var cost time.Duration
	if s.failureRate > 0 {
		excess := max(s.currentFailureRate(now)-medianFailureRate, 0)
		cost = time.Duration(excess * excess * float64(failureCost))
	}
	cost += s.probationPenalty()
	if s.connectFailures > 0 && now.Before(s.downUntil) {
		cost += outweighsAll
	}
	if s.refused && now.Sub(s.refusedAt) < refusedDuration {
		cost += refusedCost
	}
	if s.unanswered > 0 {
		if waited := now.Sub(s.unansweredSince); waited > unresponsiveAfter {
			cost += waited
		}
	}
	return cost
}
