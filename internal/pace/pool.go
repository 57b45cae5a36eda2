package pace

import "time"

const (
	// forgetting is the weight that earlier answers keep with each further one: about the last 200 count.
	forgetting = 0.995
	// lateWeight is the weight of an answer that took longer than predicted. Queueing and parts that were
	// not cached make answers late, never early.
	lateWeight = 0.3
	// maxRise and maxRiseTime bound the effect of one answer: as a multiple of the predicted time, and a
	// time on top of it.
	maxRise     = 2
	maxRiseTime = 50 // milliseconds
	// minSpread is how far prompts must differ in size to tell prefill from the fixed time: the variance of
	// their sizes in thousands of tokens.
	minSpread = 0.05
	// maxFixed bounds the fixed time, and maxRateFactor the rate by the one at the start.
	maxFixed      = 500 // milliseconds
	maxRateFactor = 8
)

// A Pool is the usual pace of a pool's engines, learned from answers by weighted least squares: a fixed
// time to the first byte, and the time per prompt token. Slowdown stretches the second, not the first,
// which is mostly transport and the start of a batch.
type Pool struct {
	// StartRate is the prefill rate in tokens per millisecond before the first answer.
	StartRate float64

	weight, sumX, sumXX, sumY, sumXY float64 // x in thousands of tokens, y in milliseconds
	fixed, slope                     float64 // the fit; slope in milliseconds per thousand tokens, 0 before the first answer
}

// Rate returns the prefill rate in prompt tokens per millisecond, at usual pace.
func (p *Pool) Rate() float64 {
	if p.slope == 0 {
		return p.StartRate
	}
	return 1000 / p.slope
}

// Fixed returns the part of the time to the first byte that does not depend on the prompt.
func (p *Pool) Fixed() time.Duration {
	return time.Duration(p.fixed * float64(time.Millisecond))
}

// Record adds an answer whose request met no queue: the prompt tokens that were prefilled, times the
// slowdown, and the time to the first byte.
func (p *Pool) Record(tokens float64, ttfb time.Duration) {
	if tokens < 0 || ttfb <= 0 {
		return
	}
	if p.slope == 0 {
		p.begin()
	}
	x, y := tokens/1000, float64(ttfb)/float64(time.Millisecond)
	predicted := p.fixed + p.slope*x
	y = min(y, maxRise*predicted+maxRiseTime)
	weight := 1.0
	if y > predicted {
		weight = lateWeight
	}
	for _, sum := range []*float64{&p.weight, &p.sumX, &p.sumXX, &p.sumY, &p.sumXY} {
		*sum *= forgetting
	}
	p.add(weight, x, y)
	p.fit()
}

// begin starts with two answers at the assumed rate, which later ones outweigh.
func (p *Pool) begin() {
	const small, large = 0.5, 4
	p.slope = 1000 / p.StartRate
	p.add(1, small, small*p.slope)
	p.add(1, large, large*p.slope)
}

func (p *Pool) add(weight, x, y float64) {
	p.weight += weight
	p.sumX += weight * x
	p.sumXX += weight * x * x
	p.sumY += weight * y
	p.sumXY += weight * x * y
}

func (p *Pool) fit() {
	meanX, meanY := p.sumX/p.weight, p.sumY/p.weight
	if spread := p.sumXX/p.weight - meanX*meanX; spread >= minSpread {
		start := 1000 / p.StartRate
		p.slope = min(max((p.sumXY/p.weight-meanX*meanY)/spread, start/maxRateFactor), start*maxRateFactor)
	}
	p.fixed = min(max(meanY-p.slope*meanX, 0), maxFixed)
}
