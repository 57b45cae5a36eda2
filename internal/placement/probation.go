package placement

import "time"

const (
	// suspectThreshold is how far a target's failure rate must exceed the median of its pool for
	// probation. One result weighs 0.15, so it takes two failures in a row, after which most
	// requests go elsewhere. If every target of a pool is on probation, or none fails more than
	// the others, requests are not held back.
	suspectThreshold = 0.25
	// trustedConcurrency is the number of concurrent requests at which probation ends. It is more
	// than a router usually has at one target.
	trustedConcurrency = 32
	// probationCost is the penalty for exceeding the concurrency limit of a target on probation.
	// It outweighs prefilling a long prompt elsewhere.
	probationCost = 5 * time.Second
)

// updateProbation handles a failed request: it puts the target on probation, or restarts the
// probation, if its failure rate is too far above the median.
func (s *state) updateProbation(medianFailureRate float64) {
	if s.probation.Active() || s.failureRate-medianFailureRate >= suspectThreshold {
		s.probation.TrustedConcurrency = trustedConcurrency
		s.probation.Begin()
	}
}

// probationPenalty returns the cost of one more request in addition to those running.
func (s *state) probationPenalty() time.Duration {
	if s.probation.Allows(s.running) {
		return 0
	}
	return probationCost
}
