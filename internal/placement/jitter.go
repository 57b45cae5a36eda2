package placement

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

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

func (p *Placer) jitterFor(now time.Time, r Request) jitter {
	switch {
	case p.NoJitter:
		return jitter{}
	case len(r.Parts) > 0:
		return jitter{limit: quota.ReportPeriod(p.Routers) / jitterDivisor, seed: r.Parts[len(r.Parts)-1].ID}
	case p.uneven[r.Pool] != nil:
		// Less than a slow target costs, so that it is still avoided.
		p.choices++
		return jitter{limit: milliseconds(p.meanServiceTime(now, r.Pool, assumedServiceTime)) / jitterDivisor, seed: p.seed(now)}
	default:
		return jitter{}
	}
}

// seed returns a number that differs between choices and between routers.
func (p *Placer) seed(now time.Time) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], p.choices)
	binary.LittleEndian.PutUint64(buf[8:], uint64(now.UnixNano()))
	return xxhash.Sum64(buf[:])
}

// cost returns the random cost of a target, below the limit.
func (j jitter) cost(s *state) time.Duration {
	const steps = 1 << 16
	return j.limit / steps * time.Duration(rendezvousScore(j.seed, s.hash)%steps)
}
