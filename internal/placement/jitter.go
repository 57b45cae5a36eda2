package placement

import (
	"time"

	"laburnumfall/internal/quota"
)

// jitterDivisor sets the largest jitter: the period between two load reports divided by it.
const jitterDivisor = 2

// A jitter is a random cost per target, different for each prompt.
//
// Routers learn each other's load once per report period. If all of them chose the target with
// the shortest queue, all requests of one period would go to the same target and queue there.
type jitter struct {
	limit time.Duration
	seed  uint64
}

func (p *Placer) jitterFor(r Request) jitter {
	if len(r.Parts) == 0 || p.NoJitter {
		return jitter{}
	}
	return jitter{limit: quota.ReportPeriod(p.Routers) / jitterDivisor, seed: r.Parts[len(r.Parts)-1].ID}
}

// cost returns the random cost of a target, below the limit.
func (j jitter) cost(s *state) time.Duration {
	const steps = 1 << 16
	return j.limit / steps * time.Duration(rendezvousScore(j.seed, s.hash)%steps)
}
