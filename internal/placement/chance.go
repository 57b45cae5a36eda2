package placement

import (
	"time"

	"laburnumfall/internal/quota"
)

// chancePart is the part of the period between two reports, as a divisor, up to which chance
// weighs in a choice.
const chancePart = 2

// A chance is a random cost of each target, different for each prompt.
//
// Routers hear of each other once a period. If all took the target with the shortest queue,
// whatever comes within a period would go to the same one, and wait there.
type chance struct {
	most time.Duration
	seed uint64
}

func (p *Placer) chanceOf(r Request) chance {
	if len(r.Parts) == 0 || p.NoJitter {
		return chance{}
	}
	return chance{most: quota.ReportPeriod(p.Routers) / chancePart, seed: r.Parts[len(r.Parts)-1].ID}
}

// of returns the cost of a target.
func (c chance) of(s *state) time.Duration {
	const steps = 1 << 16
	return c.most / steps * time.Duration(rendezvous(c.seed, s.hash)%steps)
}
