// Package placement chooses the target of each request.
//
// A Placer is deterministic: it takes a time and what happened, and answers
// with a choice; it has no clock, goroutine or socket. Every router runs one
// and none talks to another about single requests: routers agree on where a
// shared part of a prompt is kept because all rank the same targets by the same
// hash of it (rendezvous hashing).
package placement

import (
	"slices"
	"time"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/warmup"
)

// The figures of a choice. None depends on a deployment; what does is stated by
// the configuration or learned from answers.
const (
	// assumedRate is how many prompt tokens an engine reads in a millisecond
	// until answers have shown it. Half of what present engines do, so that a
	// first estimate errs towards spreading.
	assumedRate = 30.0
	// assumedTime is how long a plain service works on a request until answers
	// have shown it.
	assumedTime = 30 * time.Millisecond
	// assumedStream is the same for the stream of an engine.
	assumedStream = time.Second
	// rereadWeight is how many times its own duration the reading of a prompt
	// counts in a choice: it also delays everything else at the engine, since
	// every step of the batch takes longer meanwhile.
	rereadWeight = 4
	// othersFor is how long the count of other routers' requests is believed.
	othersFor = 2 * time.Second
	// keptFor is how long a part counts as kept where this router sent it. In
	// engines whose memory is turned over by running requests, parts last for
	// about that long after their last use.
	keptFor = 15 * time.Second
	// loadFor is how long a load that a target told still counts; it fades
	// evenly. Requests wait in engines for some hundred milliseconds.
	loadFor = 500 * time.Millisecond
	// farCost is what a target in another zone costs: the way there and back
	// twice, and bytes that are billed. Were it much more, a zone that lost targets would
	// not be helped by the others.
	farCost = 20 * time.Millisecond
	// refusedCost keeps work from a target for a moment after it was full.
	refusedCost = 400 * time.Millisecond
	refusedFor  = 300 * time.Millisecond
	// failedCost weighs the square of the part of failed requests. At one
	// failure in seven, which some services have at their best, it is 60 ms and
	// the same at all; at one in two it outweighs reading any prompt again.
	failedCost = 3 * time.Second
	// failWeight is the weight of the newest result in the part of failures.
	failWeight = 0.15
	// failMemory halves the part of failures of a target that gets no work, so
	// that it is tried again.
	failMemory = 4 * time.Second
	// downFirst and downLast bound how long a target that cannot be reached is
	// left out.
	downFirst = 300 * time.Millisecond
	downLast  = 3 * time.Second
	// silentAfter is how long a request may wait for its first byte while the
	// target answers nothing at all, before the target is thought to hang.
	silentAfter = 800 * time.Millisecond
)

// maxLast bounds the parts of which a router remembers where it sent them last. Beyond it
// all are forgotten: they are looked for at their homes then.
const maxLast = 8192

// lastSent is where this router sent a prompt last, and since when always there.
type lastSent struct {
	target *state
	since  time.Time
}

// A Part is one part of a prompt. Requests share parts; the last one is the
// request's own.
type Part struct {
	ID     uint64
	Tokens int
}

// A Request is what the choice of a target depends on.
type Request struct {
	Pool  string
	Parts []Part
	// Avoid are targets that the request was sent to before.
	Avoid []fleet.Incarnation
	// Only is the ID of the one target that may have the request, "" for any.
	Only string
}

// shared returns the parts that other requests may have too.
func (r Request) shared() []Part {
	if len(r.Parts) == 0 {
		return nil
	}
	return r.Parts[:len(r.Parts)-1]
}

// Own returns the tokens of the request's own part, which nothing but reading provides.
func (r Request) Own() int {
	if len(r.Parts) == 0 {
		return 0
	}
	return r.Parts[len(r.Parts)-1].Tokens
}

// A Choice is the target of one attempt at a request. Where the request is
// sent, tell Begin, and then Ended exactly once.
type Choice struct {
	Target fleet.Instance
	// Queue is how long others are predicted to hold the request up, and Wait
	// the time to the first byte of the answer.
	// Own is the part of Wait for reading the request's own part, which no other target
	// and no later time would spare it.
	Queue time.Duration
	Wait  time.Duration
	Own   time.Duration
	// Load is the part of the target's slots that is taken.
	Load float64
	// Unread is how many tokens of the prompt the target has to read.
	Unread int
	// CopyFrom is the address of the engine that keeps parts which this one
	// lacks, or "".
	CopyFrom string
	// Home says that the target is where the prompt's shared parts belong.
	Home bool
	// First is how long the first byte of the answer took; 0 until it comes.
	First time.Duration

	state   *state
	need    need
	sent    time.Time
	waiting bool
	warm    bool
	metered bool    // counted against what a cold target gets
	usual   float64 // milliseconds that a request was thought to take when it was sent
	rounds  float64 // of a plain service's slots, that the request has to wait for
}

// A Result is how an attempt ended.
type Result uint8

// The results.
const (
	// Served is a whole answer.
	Served Result = iota
	// Left means that the caller did not wait for the answer, or its end.
	Left
	// Refused is an answer that says that the request was not run.
	Refused
	// Failed is an answer of failure, or none.
	Failed
	// Unreached means that no connection was made.
	Unreached
)

// A Placer chooses targets. Set the exported fields, then call its methods from
// one goroutine at a time, with times that never go back.
type Placer struct {
	Zone fleet.Zone
	// Routers is how many routers share the targets.
	Routers int
	// Certain leaves chance out of choices.
	Certain bool
	// Warmup is this router's part of what cold targets get.
	Warmup warmup.Budget

	states  map[fleet.Incarnation]*state
	last    map[uint64]lastSent // by last shared part
	pools   map[string][]*state
	takers  map[string]int          // how many of a pool take new work
	locals  map[string]int          // how many of these are in this router's zone
	engines map[string]fleet.Engine // by pool
	fails   []float64               // scratch of usualFailing
	rate    float64                 // prompt tokens read in a millisecond by one engine
	bounds  map[string]warmup.Bound // by pool

	looked      look
	evacuations fleet.Evacuations
	warming     map[fleet.Incarnation]time.Time // until when targets are cold
	spent       map[string]spent                // how long a request takes, by pool
}

// SetTargets replaces the targets. What is known of those that stay is kept. One that
// starts again is another target: the former's load, failures and kept parts ended with
// it, and what still runs there ends on the former's state.
func (p *Placer) SetTargets(now time.Time, list []fleet.Instance) {
	states := make(map[fleet.Incarnation]*state, len(list))
	pools := make(map[string][]*state)
	takers, locals := make(map[string]int), make(map[string]int)
	for _, in := range list {
		s := p.states[in.Incarnation]
		evacuated := p.evacuations.Has(in.Zone)
		if s == nil || s.Leaving && !in.Leaving || s.evacuated && !evacuated { // it may have started again
			s = newState(now, in)
			p.come(now, s)
		}
		s.Instance, s.evacuated = in, evacuated
		states[in.Incarnation] = s
		pools[in.Pool] = append(pools[in.Pool], s)
		if s.takes() {
			takers[in.Pool]++
			if in.Zone == p.Zone {
				locals[in.Pool]++
			}
		}
	}
	p.states, p.pools, p.takers, p.locals, p.looked = states, pools, takers, locals, look{}
}

// Takers returns how many targets take new work.
func (p *Placer) Takers() int {
	sum := 0
	for _, n := range p.takers {
		sum += n
	}
	return sum
}

// Takes reports whether a target takes new work.
func (p *Placer) Takes(target fleet.Incarnation) bool {
	s := p.states[target]
	return s != nil && s.takes()
}

// Choose returns the target with the least predicted time to a first byte. It
// reports false if the pool has none.
func (p *Placer) Choose(now time.Time, r Request) (*Choice, bool) {
	var best *state
	var bestCost, bestQueue, bestOwn time.Duration
	var bestNeed need
	k := p.keepers(now, r)
	usual := p.usualFailing(now, r.Pool)
	chance := p.chanceOf(r)
	for _, s := range p.pools[r.Pool] {
		if r.Only != "" && s.ID != r.Only {
			continue
		}
		if !p.open(now, s) || slices.Contains(r.Avoid, s.Incarnation) && p.takers[r.Pool] > len(r.Avoid) {
			continue
		}
		n := p.need(now, s, r, k)
		queue, own := p.wait(now, s, r, n)
		copies := p.copyTime(n)
		cost := queue + rereadWeight*own + copies + copyWeight*milliseconds(float64(n.copied)/p.readRate()) + p.burden(now, s, usual)
		if s != k.home && (best == nil || cost < bestCost) {
			cost += chance.of(s)
		}
		if best == nil || cost < bestCost {
			best, bestCost, bestQueue, bestOwn, bestNeed = s, cost, queue, own+copies, n
		}
	}
	if best == nil {
		return nil, false
	}
	c := &Choice{Target: best.Instance, Queue: bestQueue, Wait: bestQueue + bestOwn, Home: best == k.home, state: best, need: bestNeed, Unread: bestNeed.read}
	if bestNeed.from != nil {
		c.CopyFrom = bestNeed.from.Address
	}
	c.Own = milliseconds(float64(r.Own()) / p.readRate())
	c.Load = float64(best.load(now)) / float64(max(best.Slots, 1))
	c.rounds = best.rounds(now)
	c.warm = c.Unread == r.Own() && bestNeed.from == nil
	return c, true
}

// Begin notes that a request is sent to the target of its choice.
func (p *Placer) Begin(now time.Time, c *Choice, r Request) {
	c.sent, c.waiting = now, true
	c.usual = p.meanTime(now, c.Target.Pool, assumedOf(r))
	c.state.begin(now, r, c.Unread)
	if p.cold(now, c.state) {
		c.metered = true
		c.state.meter.Send(now)
	}
	p.noteLast(now, c.state, r)
	if c.need.from != nil {
		c.need.from.copying += c.need.copied
	}
}

// assumedOf returns how long a request is thought to take before any answer has shown it.
func assumedOf(r Request) time.Duration {
	if len(r.Parts) == 0 {
		return assumedTime
	}
	return assumedStream
}

// noteLast notes where a prompt's shared parts were sent last.
func (p *Placer) noteLast(now time.Time, s *state, r Request) {
	shared := r.shared()
	if len(shared) == 0 {
		return
	}
	if p.last == nil || len(p.last) >= maxLast {
		p.last = make(map[uint64]lastSent)
	}
	key := shared[len(shared)-1].ID
	if p.last[key].target != s {
		p.last[key] = lastSent{target: s, since: now}
	}
}

// burden is what speaks against a target beside its queue.
func (p *Placer) burden(now time.Time, s *state, usual float64) time.Duration {
	var cost time.Duration
	if s.Zone != p.Zone {
		cost += farCost
	}
	return cost + s.trouble(now, usual)
}

// usualFailing returns the part of failures of the pool's better half.
func (p *Placer) usualFailing(now time.Time, pool string) float64 {
	p.fails = p.fails[:0]
	sound := 0
	for _, s := range p.pools[pool] {
		if s.fails == 0 {
			sound++
			continue
		}
		p.fails = append(p.fails, s.failing(now))
	}
	middle := (len(p.pools[pool])+1)/2 - sound - 1
	if middle < 0 {
		return 0 // at least half have never failed
	}
	slices.Sort(p.fails)
	return p.fails[middle]
}

// Loaded notes how many requests wait at a target, as it told.
func (p *Placer) Loaded(now time.Time, target fleet.Incarnation, waiting int) {
	if s := p.states[target]; s != nil {
		s.waiting, s.toldAt = waiting, now
	}
}

// Ended notes the end of an attempt.
func (p *Placer) Ended(now time.Time, c *Choice, r Result) {
	if c.waiting {
		c.waiting = false
		c.state.pending -= c.Unread
		c.need.done()
		if r == Left && now.Sub(c.sent) > silentAfter {
			r = Failed // the caller left because nothing came
		}
	}
	if r == Served {
		p.learn(now, c)
		if c.Unread > 0 {
			p.learnTime(now, c, now.Sub(c.sent), assumedStream)
		}
	}
	c.state.ended(now, r, p.usualFailing(now, c.Target.Pool))
	if r == Unreached {
		c.state.coolUntil(now.Add(p.bounds[c.Target.Pool].For + doubtFor))
	}
}

func milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}
