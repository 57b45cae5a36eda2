package prefixindex

import "time"

// A Verdict is what the time to the first byte of an answer says about parts that were believed kept.
type Verdict uint8

// The verdicts.
const (
	Unclear Verdict = iota
	Kept
	Gone
)

const (
	// minBelieved is the size of parts below which their prefill does not show in an answer's time.
	minBelieved = 1000
	// An answer says that parts are gone if it took longer than predicted by minGone to maxGoneTime
	// times the prefill of these parts. A delay beyond that has another cause. It says that they
	// were kept if the delay is less than maxKept times the prefill.
	maxKept     = 0.25
	minGone     = 0.75
	maxGoneTime = 1.5
	// maxQueue is how long the predicted queue may be as a multiple of the prefill: predictions of
	// long queues err by more than what is to be found.
	maxQueue = 0.5
	// minUnused is how long a part must have been unused to be evicted: just used parts yield last.
	minUnused = time.Second
)

// An Answer is what is known of an answer to a prompt when its first byte arrives.
type Answer struct {
	// Believed is the size of the shared parts that were believed kept, in tokens, and PrefillRate
	// the speed of prefill in tokens per millisecond.
	Believed    int
	PrefillRate float64
	// Queue is the part of Predicted that other requests cause, and Fixed the part that does not depend on
	// the target's pace.
	Queue, Fixed, Predicted, TTFB time.Duration
	// Slowdown is how many times as long as predicted work takes at the target, as it says; 0 if it is
	// unknown.
	Slowdown float64
	// Unused is the time between the last known use of the parts and this request.
	Unused time.Duration
}

// Verdict returns what the answer says about the parts. A target that says that it is slow at the
// moment is given more time.
func (a Answer) Verdict() Verdict {
	if a.Believed < minBelieved || a.PrefillRate <= 0 || a.TTFB <= 0 {
		return Unclear
	}
	slowdown := max(a.Slowdown, 1)
	prefill := slowdown * float64(a.Believed) / a.PrefillRate * float64(time.Millisecond)
	delay := float64(a.TTFB-a.Fixed) - slowdown*float64(a.Predicted-a.Fixed)
	switch {
	case float64(a.Queue) > maxQueue*prefill:
		return Unclear
	case delay < maxKept*prefill:
		return Kept
	case delay >= minGone*prefill && delay <= maxGoneTime*prefill && a.Unused >= minUnused:
		return Gone
	default:
		return Unclear
	}
}
