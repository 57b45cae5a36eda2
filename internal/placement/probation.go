package placement

import "time"

const (
	// suspectFrom is the part of failures beyond the pool's usual from which on a target
	// is on probation: one result counts 0.15, so it takes three in a row, or half of
	// many.
	suspectFrom = 0.25
	// cleared is how many requests at a time a target on probation must have served
	// well before it is believed again: more than a router has there at most times.
	cleared = 16
	// probationCost keeps further requests from a target on probation that has as many
	// as it may, unless all others are worse by that. It outweighs the reading of a
	// long prompt elsewhere.
	probationCost = 5 * time.Second
)

// A probation lets a target that failed come back in steps.
//
// The part of failures fades while nothing is sent, and then a target looks as good as
// any: until the first of its new answers, a router would send it everything that
// belongs there, and one that hangs would get as much as it takes in that time. So it
// gets one request at first, and twice as many at a time after each that it serves.
// Where every target of a pool is on probation, or none fails more than the others,
// nothing is held back.
type probation struct {
	most int // requests at a time; 0 if the target is not on probation
}

// failed notes a failure at a target whose part of failures, beyond the pool's usual,
// is given.
func (p *probation) failed(beyond float64) {
	if p.most > 0 || beyond >= suspectFrom {
		p.most = 1
	}
}

func (p *probation) served() {
	if p.most == 0 {
		return
	}
	p.most *= 2
	if p.most > cleared {
		p.most = 0
	}
}

// cost returns what speaks against one more request beside those running.
func (p *probation) cost(running int) time.Duration {
	if p.most == 0 || running < p.most {
		return 0
	}
	return probationCost
}
