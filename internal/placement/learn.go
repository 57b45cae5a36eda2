package placement

import (
	"math"
	"time"
)

// RecordFirstByte notes that the answer of an attempt has begun.
func (p *Placer) RecordFirstByte(now time.Time, c *Choice) {
	if !c.waiting {
		return
	}
	c.waiting = false
	c.TTFB = now.Sub(c.sent)
	c.state.first(now, c.PrefillTokens)
	c.need.done()
}

// learn takes what a whole answer tells of the targets' speed. Waiting behind others
// makes an engine look slow, never fast: high figures count more.
//
// An answer of failure tells nothing: targets that fail at once answered within two
// milliseconds, were taken to read thousands of tokens in one, and for twenty seconds
// every prompt was sent wherever there was no queue and read there anew, predicted at 26
// ms and answered after a second. What one answer may add is bounded besides: a prompt
// that happens to be kept whole looks like one that is read in no time.
func (p *Placer) learn(now time.Time, c *Choice) {
	const (
		enough   = 500 // tokens; below, the time is not that of reading
		rise     = 0.2
		fall     = 0.005
		mostRise = 1.5 // times what is believed
	)
	took := c.TTFB
	if c.PrefillTokens == 0 {
		// Waiting for slots is predicted by itself: with it in the mean, a service
		// of 30 ms whose slots were all taken was predicted to need a second, and
		// requests that it would have answered in 140 ms were refused.
		p.learnTime(now, c, time.Duration(float64(took)/c.rounds), assumedTime)
		return
	}
	if !c.warm || c.PrefillTokens < enough || took <= 0 {
		return
	}
	seen := min(float64(c.PrefillTokens)/(float64(took)/float64(time.Millisecond)), mostRise*p.readRate())
	weight := fall
	if seen > p.readRate() {
		weight = rise
	}
	p.rate = p.readRate() + weight*(seen-p.readRate())
}

const (
	// spentMost bounds what an answer may say of how long requests take, in times of what was
	// believed when its request was sent. A router that stood still reads answers late, all at
	// once: thirty such of nine seconds would put a service of 30 ms beyond what any caller
	// waits for.
	spentMost = 4
	// spentQuiet is how long the time that requests take is believed without a new answer, and
	// spentMemory halves what lies beyond the assumed time from then on. Where nothing is sent,
	// since all targets seem too slow, nothing else would ever show that they are not.
	spentQuiet  = 2 * time.Second
	spentMemory = 2 * time.Second
)

// spent is the mean time that a pool's targets work on a request.
type spent struct {
	mean float64   // milliseconds
	at   time.Time // of the newest answer
}

func (p *Placer) learnTime(now time.Time, c *Choice, took, assumed time.Duration) {
	const weight = 0.05
	pool := c.Target.Pool
	if p.spent == nil {
		p.spent = make(map[string]spent)
	}
	mean := p.meanTime(now, pool, assumed)
	seen := min(float64(took)/float64(time.Millisecond), spentMost*c.usual)
	p.spent[pool] = spent{mean: mean + weight*(seen-mean), at: now}
}

// meanTime returns how long a pool's targets work on a request, in milliseconds.
func (p *Placer) meanTime(now time.Time, pool string, assumed time.Duration) float64 {
	usual := float64(assumed) / float64(time.Millisecond)
	s, ok := p.spent[pool]
	switch quiet := now.Sub(s.at) - spentQuiet; {
	case !ok:
		return usual
	case s.mean > usual && quiet > 0:
		return usual + (s.mean-usual)*math.Exp2(-quiet.Seconds()/spentMemory.Seconds())
	default:
		return s.mean
	}
}
