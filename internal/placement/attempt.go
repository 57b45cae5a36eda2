package placement

import (
	"time"

	"laburnumfall/internal/fleet"
)

// A Choice is the target of one attempt at a request. If the request is sent, call StartAttempt,
// and later EndAttempt exactly once.
type Choice struct {
	Target fleet.Instance
	// QueueTime is the predicted delay by other requests. PredictedTTFB is the predicted time to
	// the first byte of the answer. OwnPrefillTime is the part of it for the request's own part
	// of the prompt, which is the same at any target and at any time. FixedTime is the part of both
	// that does not depend on the prompt, 0 if it is not known.
	QueueTime      time.Duration
	PredictedTTFB  time.Duration
	OwnPrefillTime time.Duration
	FixedTime      time.Duration
	// Load is the number of requests running at the target, divided by its slots.
	Load float64
	// PrefillTokens is the predicted number of prompt tokens that the target has to prefill.
	PrefillTokens int
	// CopyFrom is the address of the engine to copy uncached parts from, or "".
	CopyFrom string
	// Kept is how many tokens of shared parts the target is believed to keep. It is known if Tracked is
	// set.
	Kept    int
	Tracked bool
	// Memory is the part of the target's memory that running requests may hold, this one included; 0 if
	// memory is not counted.
	Memory float64
	// IsOwner is whether the target is the preferred one for the prompt's shared parts.
	IsOwner bool
	// TTFB is the measured time to the first byte of the answer, 0 until it has arrived.
	TTFB time.Duration

	state             *state
	plan              prefillPlan
	held              *Request     // as it counts in the target's memory; nil if it does not
	shared            []PromptPart // shared parts, where it is tracked what targets keep
	sentAt            time.Time
	awaitingFirstByte bool
	ownPartOnly       bool
	isPrompt          bool
	metered           bool    // counts against the rate limit of a cold target
	expectedMs        float64 // predicted service time when the request was sent, in milliseconds
	paceAtSend        float64 // slowdown of the target that was expected when the request was sent; 0 if none is stated in its pool
	paceAtAnswer      float64 // slowdown of the target at the first byte of the answer; 0 if none is stated in its pool
	slotRounds        float64 // predicted service time as a multiple of that on an idle plain service
}

// A Result is the outcome of an attempt.
type Result uint8

// Outcomes of an attempt.
const (
	// Served means that the answer is complete.
	Served Result = iota
	// Canceled means that the caller disconnected before the end of the answer.
	Canceled
	// Refused means that the target answered without running the request.
	Refused
	// Failed means that the target answered with an error, or not at all.
	Failed
	// ConnectFailed means that no connection to the target was established.
	ConnectFailed
)

// StartAttempt records that a request is sent to the chosen target.
func (p *Placer) StartAttempt(now time.Time, c *Choice, r Request) {
	c.sentAt, c.awaitingFirstByte = now, true
	if c.state.poolPace != nil {
		c.paceAtSend = c.state.pace.Slowdown(now)
	}
	c.expectedMs = p.meanServiceTime(now, c.Target.Pool, assumedDuration(r))
	p.recordMemorySend(now, c, r)
	c.state.startAttempt(now, r, c.PrefillTokens)
	if p.isCold(now, c.state) {
		c.metered = true
		c.state.sendMeter.RecordSend(now)
	}
	p.recordLastSent(now, c.state, r)
	p.recordPrefixSend(now, c, r)
	if c.plan.source != nil {
		c.plan.source.copyingTokens += c.plan.copyTokens
	}
}

// assumedDuration returns the assumed service time of a request until answers have been measured.
func assumedDuration(r Request) time.Duration {
	if len(r.Parts) == 0 {
		return assumedServiceTime
	}
	return assumedStreamTime
}

// recordLastSent records the target that a prompt's shared parts were last sent to.
func (p *Placer) recordLastSent(now time.Time, s *state, r Request) {
	shared := r.shared()
	if len(shared) == 0 {
		return
	}
	if p.lastSent == nil || len(p.lastSent) >= maxLastSent {
		p.lastSent = make(map[uint64]lastSend)
	}
	key := shared[len(shared)-1].ID
	if p.lastSent[key].target != s {
		p.lastSent[key] = lastSend{target: s, since: now}
	}
}

// EndAttempt records the outcome of an attempt.
func (p *Placer) EndAttempt(now time.Time, c *Choice, r Result) {
	answered := !c.awaitingFirstByte
	if !answered {
		c.awaitingFirstByte = false
		c.state.pendingTokens -= c.PrefillTokens
		c.plan.releaseSource()
		if r == Canceled && now.Sub(c.sentAt) > unresponsiveAfter {
			r = Failed // the caller gave up because the target sent nothing
		}
	}
	p.recordPrefixEnd(now, c, r, answered)
	if r == Served {
		p.learnSpeed(now, c)
		if c.PrefillTokens > 0 {
			p.learnServiceTime(now, c, now.Sub(c.sentAt), assumedStreamTime)
		}
	}
	if c.held != nil {
		c.state.memory.remove(*c.held)
	}
	c.state.endAttempt(now, r, p.medianFailureRate(now, c.Target.Pool))
	if r == ConnectFailed {
		c.state.markColdUntil(now.Add(p.coldLimits[c.Target.Pool].Duration + restartMargin))
	}
}
