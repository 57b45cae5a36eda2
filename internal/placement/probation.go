package placement

import "time"

const (
	// suspectFrom is the part of failures beyond the pool's usual from which on a target
	// is on probation: one result counts 0.15, so it takes two in a row, after which
	// requests go elsewhere mostly. Where every target of a pool is on probation, or none
	// fails more than the others, nothing is held back.
	suspectFrom = 0.25
	// trusted is how many requests at a time a target on probation must be allowed before
	// it is believed again: more than a router has at one target at most times.
	trusted = 32
	// probationCost keeps further requests from a target on probation that has as many
	// as it may, unless all others are worse by that. It outweighs the reading of a
	// long prompt elsewhere.
	probationCost = 5 * time.Second
)

// suspect puts a target on probation whose last request failed, if it fails more than
// its pool's usual, or is on probation already.
func (s *state) suspect(usual float64) {
	if s.probation.Active() || s.fails-usual >= suspectFrom {
		s.probation.TrustedConcurrency = trusted
		s.probation.Begin()
	}
}

// probationTime is what speaks against one more request beside those running.
func (s *state) probationTime() time.Duration {
	if s.probation.Allows(s.running) {
		return 0
	}
	return probationCost
}
