package placement

import "time"

// First notes that the answer of an attempt has begun.
func (p *Placer) First(now time.Time, c *Choice) {
	if !c.waiting {
		return
	}
	c.waiting = false
	c.First = now.Sub(c.sent)
	c.state.first(now, c.Unread)
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
func (p *Placer) learn(c *Choice) {
	const (
		enough   = 500 // tokens; below, the time is not that of reading
		rise     = 0.2
		fall     = 0.005
		mostRise = 1.5 // times what is believed
	)
	took := c.First
	if c.Unread == 0 {
		// Waiting for slots is predicted by itself: with it in the mean, a service
		// of 30 ms whose slots were all taken was predicted to need a second, and
		// requests that it would have answered in 140 ms were refused.
		p.learnTime(c.Target.Pool, time.Duration(float64(took)/c.rounds), assumedTime)
		return
	}
	if !c.warm || c.Unread < enough || took <= 0 {
		return
	}
	seen := min(float64(c.Unread)/(float64(took)/float64(time.Millisecond)), mostRise*p.readRate())
	weight := fall
	if seen > p.readRate() {
		weight = rise
	}
	p.rate = p.readRate() + weight*(seen-p.readRate())
}

func (p *Placer) learnTime(pool string, took, assumed time.Duration) {
	const weight = 0.05
	if p.spent == nil {
		p.spent = make(map[string]float64)
	}
	mean := p.meanTime(pool, assumed)
	p.spent[pool] = mean + weight*(float64(took)/float64(time.Millisecond)-mean)
}

// meanTime returns how long a pool's targets work on a request, in milliseconds.
func (p *Placer) meanTime(pool string, assumed time.Duration) float64 {
	if mean, ok := p.spent[pool]; ok {
		return mean
	}
	return float64(assumed) / float64(time.Millisecond)
}
