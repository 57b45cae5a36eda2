package admission

import (
	"time"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/placement"
)

// memoryRefusal returns the refusal of a request for which no target has memory, or nil if memory is not
// what is lacking. A prompt that is larger than any target's memory gets no time to retry.
func (c Controller) memoryRefusal(now time.Time, r placement.Request) *Refusal {
	wait, tooLarge, ok := c.Placer.MemoryWait(now, r)
	switch {
	case !ok:
		return nil
	case tooLarge:
		return &Refusal{Reason: fleet.ReasonPromptTooLarge}
	default:
		return &Refusal{Reason: fleet.ReasonMemoryFull, RetryAfter: max(wait, MinRetryAfter), QueueTime: wait, PredictedTTFB: wait}
	}
}
