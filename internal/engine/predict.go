package engine

import (
	"math"
	"time"

	"laburnumfall/internal/placement"
)

// PrefillBacklog returns how many prompt tokens the engine has to prefill before a request that
// arrives now, and how many tokens of that request's own prompt are not cached.
func (e *Engine) PrefillBacklog(parts []placement.PromptPart) (backlog, uncached int) {
	for _, req := range e.running {
		backlog += req.prefillLeft
	}
	for _, req := range e.waiting {
		backlog += req.uniqueTokens() + countTokens(req.sharedParts()) - e.cache.cachedTokens(req.sharedParts())
	}
	return backlog, countTokens(parts) - e.cache.cachedTokens(parts[:max(len(parts)-1, 0)])
}

// CopyTime returns how long a copy of tokens from this engine would take if it started now, with
// the wait for the copies in progress.
func (e *Engine) CopyTime(now time.Time, tokens int, copyRate float64) time.Duration {
	duration := time.Duration(float64(tokens) / copyRate * float64(time.Millisecond))
	if e.linkFreeAt.After(now) {
		duration += e.linkFreeAt.Sub(now)
	}
	return duration
}

// CachedTokens returns how many tokens at the beginning of a prompt are cached.
func (e *Engine) CachedTokens(parts []placement.PromptPart) int {
	return e.cache.cachedTokens(parts[:max(len(parts)-1, 0)])
}

// PredictFirstToken predicts the time to the first token of a request that arrives now. The
// engine has to prefill backlog tokens before it, and uncached tokens for the request itself.
func (e *Engine) PredictFirstToken(backlog, uncached int) time.Duration {
	steps := math.Ceil(float64(backlog+uncached) / float64(e.PrefillChunk))
	stepTime := e.BaseStepTime + time.Duration(min(len(e.running)+1, e.Slots))*e.StepTimePerRequest
	wait := time.Duration(steps*float64(stepTime)) + time.Duration(float64(backlog+uncached)/e.PrefillRate*float64(time.Millisecond))
	if excess := len(e.running) + len(e.waiting) + 1 - e.Slots; excess > 0 {
		wait += time.Duration(float64(excess) / float64(e.Slots) * float64(e.meanTimeLeft()))
	}
	return wait
}

// meanTimeLeft returns the mean time until a running request completes if no step prefills
// anything.
func (e *Engine) meanTimeLeft() time.Duration {
	if len(e.running) == 0 {
		return 0
	}
	sum := 0
	for _, req := range e.running {
		sum += req.OutputTokens - req.generated
	}
	return time.Duration(sum/len(e.running)) * e.stepTime(0)
}
