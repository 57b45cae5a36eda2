package placement

import (
	"math"
	"time"
)

// RecordFirstByte records that the first byte of an attempt's answer has arrived. Later calls for
// the same attempt do nothing.
func (p *Placer) RecordFirstByte(now time.Time, c *Choice) {
	if !c.awaitingFirstByte {
		return
	}
	c.awaitingFirstByte = false
	c.TTFB = now.Sub(c.sentAt)
	if c.state.poolPace != nil {
		c.paceAtAnswer = c.state.pace.Slowdown(now)
	}
	c.state.recordFirstByte(now, c.PrefillTokens)
	c.plan.releaseSource()
}

// learnSpeed updates the estimated speed of targets from a complete answer. Queueing makes an
// engine look slower than it is, never faster, so a high rate weighs more than a low one.
//
// Failed answers are not used. When targets failed within 2 ms, engines were estimated to prefill
// thousands of tokens per millisecond. For 20 s, every prompt went to whichever target had no
// queue and was prefilled there again; its first byte was predicted after 26 ms and came after
// one second. The rise from a single answer is also bounded: a prompt that happens to be fully
// cached looks as if it had been prefilled in no time.
func (p *Placer) learnSpeed(now time.Time, c *Choice) {
	const (
		minTokens  = 500 // with fewer, prefill does not dominate the time to first byte
		riseWeight = 0.2
		fallWeight = 0.005
		maxRise    = 1.5 // times the current estimate
	)
	ttfb := c.TTFB
	if c.isPrompt && c.paceAtAnswer > 0 {
		p.learnPace(c)
		return
	}
	if c.PrefillTokens == 0 {
		// Queueing for slots is predicted separately. When the mean included it, a service that
		// takes 30 ms was predicted to need 1 s while its slots were all taken, and requests that
		// it would have answered in 140 ms were refused.
		p.learnServiceTime(now, c, time.Duration(float64(ttfb)/c.slotRounds/c.slowdown()), assumedServiceTime)
		return
	}
	if !c.ownPartOnly || c.PrefillTokens < minTokens || ttfb <= 0 {
		return
	}
	observed := min(float64(c.PrefillTokens)/(float64(ttfb)/float64(time.Millisecond)), maxRise*p.prefillRate())
	weight := fallWeight
	if observed > p.prefillRate() {
		weight = riseWeight
	}
	p.learnedPrefillRate = p.prefillRate() + weight*(observed-p.prefillRate())
}

const (
	// maxServiceTimeFactor bounds the service time taken from one answer, as a multiple of the
	// estimate when its request was sent. A router that was suspended reads late answers all at
	// once. Thirty such answers of 9 s would raise the estimate for a 30 ms service above any
	// caller's timeout.
	maxServiceTimeFactor = 4
	// serviceTimeFreshFor is how long the estimated service time is used unchanged without a new
	// answer. After that, the excess over the assumed time halves every serviceTimeHalfLife. If
	// all targets seem too slow, nothing is sent, so no answer could correct the estimate.
	serviceTimeFreshFor = 2 * time.Second
	serviceTimeHalfLife = 2 * time.Second
)

// serviceTime is the mean time that a pool's targets work on a request.
type serviceTime struct {
	mean      float64   // milliseconds
	updatedAt time.Time // time of the latest answer
}

func (p *Placer) learnServiceTime(now time.Time, c *Choice, elapsed, assumed time.Duration) {
	const weight = 0.05
	pool := c.Target.Pool
	if p.serviceTimes == nil {
		p.serviceTimes = make(map[string]serviceTime)
	}
	mean := p.meanServiceTime(now, pool, assumed)
	observed := min(float64(elapsed)/float64(time.Millisecond), maxServiceTimeFactor*c.expectedMs)
	p.serviceTimes[pool] = serviceTime{mean: mean + weight*(observed-mean), updatedAt: now}
}

// meanServiceTime returns how long a pool's targets work on a request, in milliseconds. It is the
// assumed time until an answer has been measured.
func (p *Placer) meanServiceTime(now time.Time, pool string, assumed time.Duration) float64 {
	assumedMs := float64(assumed) / float64(time.Millisecond)
	s, ok := p.serviceTimes[pool]
	switch stale := now.Sub(s.updatedAt) - serviceTimeFreshFor; {
	case !ok:
		return assumedMs
	case s.mean > assumedMs && stale > 0:
		return assumedMs + (s.mean-assumedMs)*math.Exp2(-stale.Seconds()/serviceTimeHalfLife.Seconds())
	default:
		return s.mean
	}
}
