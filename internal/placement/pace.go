package placement

import (
	"cmp"
	"slices"
	"time"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/message"
	"laburnumfall/internal/pace"
)

// unevenFor is how long a pool counts as uneven after one of its targets has last stated its pace.
const unevenFor = time.Minute

// A poolPace is what is known of the pace of one pool's targets. It outlasts the time when the pool counts
// as uneven, so that a pool without work for some time is not learned anew.
type poolPace struct {
	pace     pace.Pool
	statedAt time.Time // when a target last stated its pace
}

// recordPace records the slowdown that a target has stated, which makes its pool uneven.
func (p *Placer) recordPace(now time.Time, s *state, slowdown float64) {
	if slowdown <= 0 {
		return
	}
	p.markUneven(s.Pool, now)
	s.pace.State(now, slowdown)
}

// markUneven makes a pool one whose targets differ in pace, as one of them has stated.
func (p *Placer) markUneven(pool string, statedAt time.Time) {
	known := p.poolPaces[pool]
	if known == nil {
		if p.poolPaces == nil {
			p.poolPaces, p.uneven = make(map[string]*poolPace), make(map[string]*pace.Pool)
		}
		known = &poolPace{pace: pace.Pool{StartRate: p.prefillRate()}}
		p.poolPaces[pool] = known
	}
	if statedAt.After(known.statedAt) {
		known.statedAt = statedAt
	}
	if p.uneven[pool] != nil {
		return
	}
	p.uneven[pool] = &known.pace
	p.setPoolPace(pool)
	if end := known.statedAt.Add(unevenFor); p.nextEven.IsZero() || end.Before(p.nextEven) {
		p.nextEven = end
	}
}

// setPoolPace applies that a pool has become uneven, or has ceased to be.
func (p *Placer) setPoolPace(pool string) {
	for _, s := range p.byPool[pool] {
		s.poolPace = p.uneven[pool]
	}
	p.prefixes.stale = true
}

// refreshUneven ends the unevenness of pools whose targets have stated nothing for unevenFor.
func (p *Placer) refreshUneven(now time.Time) {
	if len(p.uneven) == 0 || now.Before(p.nextEven) {
		return
	}
	p.nextEven = time.Time{}
	for pool := range p.uneven {
		end := p.poolPaces[pool].statedAt.Add(unevenFor)
		if !now.Before(end) {
			delete(p.uneven, pool)
			p.setPoolPace(pool)
			continue
		}
		if p.nextEven.IsZero() || end.Before(p.nextEven) {
			p.nextEven = end
		}
	}
}

// dropOtherPaces drops what is known of pools that no target belongs to.
func (p *Placer) dropOtherPaces() {
	for pool := range p.poolPaces {
		if len(p.byPool[pool]) == 0 {
			delete(p.poolPaces, pool)
			delete(p.uneven, pool)
		}
	}
}

// PaceNews returns what targets have stated to this router and other routers do not know, sorted by
// target ID.
func (p *Placer) PaceNews(now time.Time) []message.TargetPace {
	p.refreshUneven(now)
	var list []message.TargetPace
	if len(p.uneven) == 0 {
		return nil
	}
	for target, s := range p.states {
		if statement, ok := s.pace.News(now); ok {
			list = append(list, message.NewTargetPace(target, statement.Slowdown, now.Sub(statement.At)))
		}
	}
	slices.SortFunc(list, func(a, b message.TargetPace) int { return cmp.Compare(a.Target, b.Target) })
	return list
}

// SetPaces records what targets have stated to any router.
func (p *Placer) SetPaces(statements map[fleet.Incarnation]pace.Statement) {
	for target, statement := range statements {
		if s := p.states[target]; s != nil {
			p.markUneven(s.Pool, statement.At)
			s.pace.Merge(statement)
		}
	}
}

// Slowdown returns how many times as long as usual work takes at a target, as far as is known, and 0 if
// the targets of its pool state nothing.
func (p *Placer) Slowdown(now time.Time, target fleet.Incarnation) float64 {
	s := p.states[target]
	if s == nil || s.poolPace == nil {
		return 0
	}
	return s.pace.Slowdown(now)
}

// SlowCount returns the number of targets at which work takes at least one and a half times as long as at
// their lasting pace.
func (p *Placer) SlowCount(now time.Time) int {
	const slow = 1.5
	count := 0
	for _, s := range p.states {
		if s.poolPace != nil && s.pace.Slowdown(now) >= slow*s.pace.Lasting() {
			count++
		}
	}
	return count
}

// pacedWait is predictWait for a pool whose targets differ in pace: the queue and the prefill take as
// long as the target's pace over that time makes them.
func (p *Placer) pacedWait(now time.Time, s *state, plan prefillPlan) (queueTime, prefillTime time.Duration) {
	rate := s.poolPace.Rate()
	queuedMs := (float64(s.pendingTokens) + s.remoteTokens(now, rate/s.pace.Slowdown(now))) / rate
	queuedMs += p.slotWait(now, s)
	prefillMs := float64(plan.prefillTokens) / rate
	slowdown := s.pace.Over(now, milliseconds(queuedMs+prefillMs))
	return milliseconds(queuedMs * slowdown), milliseconds(prefillMs * slowdown)
}

// prefillRateOf returns the prefill rate of a pool's engines in prompt tokens per millisecond.
func (p *Placer) prefillRateOf(pool string) float64 {
	if uneven := p.uneven[pool]; uneven != nil {
		return uneven.Rate()
	}
	return p.prefillRate()
}

// fixedTime returns the time to the first byte of a streamed answer that depends neither on its prompt
// nor on the target. It is known for pools whose targets differ in pace.
func (p *Placer) fixedTime(r Request) time.Duration {
	if uneven := p.uneven[r.Pool]; uneven != nil && len(r.Parts) > 0 {
		return uneven.Fixed()
	}
	return 0
}

// slowdown returns how many times as long as usual work took at the target when it answered.
func (c *Choice) slowdown() float64 {
	if c.paceAtAnswer == 0 {
		return 1
	}
	return c.paceAtAnswer
}

// learnPace updates the pace of a pool's engines and of one target by a complete answer. Queues are only
// predicted, so that requests that met one are not used.
func (p *Placer) learnPace(c *Choice) {
	const (
		maxQueuePart = 10  // of the predicted time to the first byte
		minTokens    = 500 // with fewer, prefill does not tell the target's pace
	)
	pool := c.state.poolPace // nil if the pool has ceased to be uneven since the first byte
	if pool == nil || !c.ownPartOnly || c.TTFB <= 0 || c.QueueTime > c.PredictedTTFB/maxQueuePart {
		return
	}
	prefillTime := c.TTFB - c.QueueTime - pool.Fixed()
	if c.PrefillTokens >= minTokens {
		expected := milliseconds(float64(c.PrefillTokens) * c.paceAtAnswer / pool.Rate())
		c.state.pace.RecordAnswer(float64(max(prefillTime, 1)) / float64(expected))
	}
	pool.Record(float64(c.PrefillTokens)*c.paceAtAnswer, c.TTFB-c.QueueTime)
}
