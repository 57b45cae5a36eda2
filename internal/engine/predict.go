package engine

import (
	"math"
	"time"

	"laburnumfall/internal/placement"
)

// Unread returns the prompt tokens that are to be read before a job that comes
// now, and how many of that job's own prompt.
func (e *Engine) PrefillBacklog(parts []placement.PromptPart) (ahead, own int) {
	for _, r := range e.running {
		ahead += r.unread
	}
	for _, r := range e.waiting {
		ahead += r.own() + tokens(r.shared()) - e.memory.holds(r.shared())
	}
	return ahead, tokens(parts) - e.memory.holds(parts[:max(len(parts)-1, 0)])
}

// CopyTime returns how long tokens that are copied from here would be on their way.
func (e *Engine) CopyTime(now time.Time, tokens int, rate float64) time.Duration {
	took := time.Duration(float64(tokens) / rate * float64(time.Millisecond))
	if e.linkEnd.After(now) {
		took += e.linkEnd.Sub(now)
	}
	return took
}

// Holds returns how many tokens at the beginning of a prompt are kept here.
func (e *Engine) CachedTokens(parts []placement.PromptPart) int {
	return e.memory.holds(parts[:max(len(parts)-1, 0)])
}

// Wait predicts the time to the first token of a job that comes now, has own tokens to
// read, and finds ahead tokens to be read before.
func (e *Engine) PredictFirstToken(ahead, own int) time.Duration {
	steps := math.Ceil(float64(ahead+own) / float64(e.PrefillChunk))
	step := e.BaseStepTime + time.Duration(min(len(e.running)+1, e.Slots))*e.StepTimePerRequest
	wait := time.Duration(steps*float64(step)) + time.Duration(float64(ahead+own)/e.PrefillRate*float64(time.Millisecond))
	if over := len(e.running) + len(e.waiting) + 1 - e.Slots; over > 0 {
		wait += time.Duration(float64(over) / float64(e.Slots) * float64(e.left()))
	}
	return wait
}

// left is the mean time until a running request ends.
func (e *Engine) left() time.Duration {
	if len(e.running) == 0 {
		return 0
	}
	sum := 0
	for _, r := range e.running {
		sum += r.OutputTokens - r.made
	}
	return time.Duration(sum/len(e.running)) * e.stepTime(0)
}
