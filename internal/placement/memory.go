package placement

import (
	"math"
	"time"

	"laburnumfall/internal/quota"
)

const (
	// outweighsAll is a cost that no other cost of a usable target reaches.
	outweighsAll = time.Minute
	// spareDeviations is how many standard deviations of what other routers send a target must have
	// memory for beyond the mean.
	spareDeviations = 3
	// sizeWeight is the weight of the latest request in the mean size of requests.
	sizeWeight = 1.0 / 64
	// concentration is how many times the mean of all targets with memory left one of them may be sent:
	// the owner of a popular part, or the one that many routers see idle at the same moment.
	concentration = 4
)

// A memoryRule says which targets of a pool have memory for a request. A nil rule allows all.
//
// What other routers send is not known until they report it. Under overload all of them wait for memory, and
// would fill each target that has some many times over before they hear of each other. So a router that
// would send a request to a target does it with such a probability that all routers together are expected
// to send there, until they hear of it, what the target has memory for. The probability is 1 unless memory is
// scarce. A caller that is refused and comes back in another report period meets another draw.
type memoryRule struct {
	request  Request
	seed     uint64
	capacity int           // tokens per target
	mean     float64       // tokens per request
	ample    float64       // tokens left at which the probability is 1
	unseen   float64       // requests that all routers may send to one target until they hear of it
	holdTime time.Duration // how long a request holds its tokens
}

// countsMemory reports whether the memory that requests hold is counted for a pool's targets.
func (p *Placer) countsMemory(pool string) bool {
	return p.MemoryPressure && p.engines[pool].KVCapacity > 0
}

// memoryRuleFor returns the rule for a request.
func (p *Placer) memoryRuleFor(now time.Time, r Request) *memoryRule {
	if len(r.Parts) == 0 || !p.countsMemory(r.Pool) {
		return nil
	}
	capacity := p.engines[r.Pool].KVCapacity
	turn := now.UnixNano() / int64(quota.ReportPeriod(p.Routers))
	rule := &memoryRule{request: r.withOutputIn(capacity), seed: rendezvousScore(r.Parts[len(r.Parts)-1].ID, uint64(turn)), capacity: capacity}
	rule.holdTime = p.runTime(now, r.Pool)
	sum := p.memory[r.Pool]
	rule.mean = sum.meanTokens()
	rule.unseen = sum.currentUnseen(now, p.Routers, rule.holdTime)
	rule.ample = rule.mean * (rule.unseen + spareDeviations*math.Sqrt(2*rule.unseen))
	return rule
}

func (p *Placer) runTime(now time.Time, pool string) time.Duration {
	return milliseconds(p.meanServiceTime(now, pool, assumedStreamTime))
}

// withOutputIn returns the request with an output of at most what is left of a memory beside its prompt.
func (r Request) withOutputIn(capacity int) Request {
	r.Output = min(r.Output, max(capacity-r.promptTokens(), 0))
	return r
}

// allows reports whether this router sends the request to a target.
func (m *memoryRule) allows(now time.Time, s *state) bool {
	if m == nil {
		return true
	}
	left := float64(m.capacity - s.heldTokens(now) - s.memory.added(m.request))
	if left < 0 || left >= m.ample {
		return left >= 0
	}
	const steps = 1 << 16
	probability := expectedWithin(left/m.mean, spareDeviations) / m.unseen
	return float64(rendezvousScore(m.seed, s.hash)>>48) < probability*steps
}

// part returns the part of a target's memory that is held with the request.
func (m *memoryRule) part(now time.Time, s *state) float64 {
	if m == nil {
		return 0
	}
	return float64(s.heldTokens(now)+s.memory.added(m.request)) / float64(m.capacity)
}

// wait returns how long it takes until a target's runs have freed the memory that the request lacks. All
// that runs there ends within about the time of a run.
func (m *memoryRule) wait(now time.Time, s *state) time.Duration {
	held := s.heldTokens(now)
	if held == 0 {
		return 0
	}
	lacking := max(held+s.memory.added(m.request)-m.capacity, 0)
	return time.Duration(float64(m.holdTime) * float64(lacking) / float64(min(held, m.capacity)))
}

// expectedWithin returns how many requests may be expected if there is room for some: so many that with a
// number of standard deviations more there is still room. Requests arrive independently, and their sizes
// vary about as much as their mean.
func expectedWithin(room, deviations float64) float64 {
	spread := deviations * math.Sqrt2
	root := (math.Sqrt(spread*spread+4*room) - spread) / 2
	return root * root
}

// A poolMemory sums up the memory of a pool's targets.
type poolMemory struct {
	at      time.Time
	running int
	held    int
	full    int     // targets without memory for one more request of the mean size
	unseen  float64 // requests that all routers may send to one target until they hear of each other's
}

// A fleetRate is a rate of all routers in tokens per second.
type fleetRate struct {
	average float64 // moving average, as reported
	current float64 // at least average; more while the rate rises
}

func (r fleetRate) next(average float64, elapsed time.Duration) fleetRate {
	return fleetRate{average: average, current: max(average, quota.CurrentRate(r.average, average, elapsed))}
}

// SetFleetRates sets the moving averages of the tokens per second that the callers of all routers ask of all
// pools, and of those that are sent. They take effect with the next SetRemoteBacklog.
func (p *Placer) SetFleetRates(now time.Time, offered, sent float64) {
	elapsed := now.Sub(p.ratesAt)
	if elapsed < quota.ReportPeriod(p.Routers)/2 {
		return
	}
	p.offeredRate, p.sentRate, p.ratesAt = p.offeredRate.next(offered, elapsed), p.sentRate.next(sent, elapsed), now
}

// A decayingCount is a number of events, of which each counts less the older it is.
type decayingCount struct {
	value float64
	at    time.Time
}

func (c *decayingCount) current(now time.Time) float64 {
	return c.value * math.Exp(-now.Sub(c.at).Seconds())
}

func (c *decayingCount) add(now time.Time) {
	c.value, c.at = c.current(now)+1, now
}

// rateWithMemory returns how many tokens per second all routers would send if all targets had memory: what
// they send, and in proportion what this router has found no memory for. It is at most what callers ask for.
func (p *Placer) rateWithMemory(now time.Time) float64 {
	sent, blocked := p.sentCount.current(now), p.blockedCount.current(now)
	if blocked >= 1 && sent < 1 {
		return p.offeredRate.current
	}
	return min(p.sentRate.current*(1+blocked/max(sent, 1)), p.offeredRate.current)
}

// recordMemorySend records that a request is sent, the memory that it holds, and its size.
func (p *Placer) recordMemorySend(now time.Time, c *Choice, r Request) {
	if len(r.Parts) == 0 || !p.countsMemory(r.Pool) {
		return
	}
	held := r.withOutputIn(p.engines[r.Pool].KVCapacity)
	c.held = &held
	c.state.memory.add(now, held)
	p.sentCount.add(now)
	if p.meanSizes == nil {
		p.meanSizes = make(map[string]float64)
	}
	size := float64(held.promptTokens() + held.Output)
	if mean := p.meanSizes[r.Pool]; mean > 0 {
		size = mean + sizeWeight*(size-mean)
	}
	p.meanSizes[r.Pool] = size
}

// refreshMemory sums up the memory of the targets of all pools where it is counted. It is called
// with each sum of the leader.
func (p *Placer) refreshMemory(now time.Time) {
	if !p.MemoryPressure {
		return
	}
	p.memory = make(map[string]poolMemory, len(p.engines))
	runningAtAll := 0
	for pool, engine := range p.engines {
		if engine.KVCapacity == 0 {
			continue
		}
		sum, runTime := poolMemory{at: now}, p.runTime(now, pool)
		for _, s := range p.byPool[pool] {
			sum.running += s.runningTotal(now)
			sum.held += s.heldTokens(now)
			s.memory.runTime = runTime
		}
		runningAtAll += sum.running
		p.memory[pool] = sum
	}
	for pool, sum := range p.memory {
		if sum.held == 0 {
			continue
		}
		rooms := p.roomsFor(now, pool, sum.meanTokens())
		sum.full = len(p.byPool[pool]) - len(rooms)
		offered := p.rateWithMemory(now) / max(p.meanSizes[pool], sum.meanTokens()) * float64(sum.running) / float64(runningAtAll)
		sum.unseen = unseenRequests(offered*2*quota.ReportPeriod(p.Routers).Seconds(), rooms, spareDeviations)
		p.memory[pool] = sum
	}
}

// roomsFor returns how many more requests of the mean size each target of a pool has memory for, after one
// more. Targets without memory for one are left out.
func (p *Placer) roomsFor(now time.Time, pool string, mean float64) []float64 {
	rooms := make([]float64, 0, len(p.byPool[pool]))
	for _, s := range p.byPool[pool] {
		if room := float64(p.engines[pool].KVCapacity-s.heldTokens(now))/mean - 1; room >= 0 {
			rooms = append(rooms, room)
		}
	}
	return rooms
}

// meanTokens returns the mean number of tokens that a running request holds.
func (m poolMemory) meanTokens() float64 {
	return float64(m.held) / float64(max(m.running, 1))
}

// unseenRequests returns how many of the requests that all routers may send until they hear of each other's
// would go to one target that admits them all. Until then a report period passes before each reports, and
// another before each gets the sum. The requests go to the targets that admit them; the fewer these are,
// the more each gets, so that each may admit fewer.
func unseenRequests(offered float64, rooms []float64, deviations float64) float64 {
	const rounds = 6 // after which the number hardly changes
	unseen := offered * min(concentration/float64(max(len(rooms), 1)), 1)
	for range rounds {
		admitting := 0.0
		for _, room := range rooms {
			admitting += min(expectedWithin(room, deviations)/max(unseen, 1), 1)
		}
		next := offered * min(concentration/max(admitting, 1), 1)
		if next <= unseen*1.01 {
			break
		}
		unseen = next
	}
	return unseen
}

// currentUnseen returns the unseen requests with the time since the sum. Without newer sums they grow until
// as many end as are sent.
func (m poolMemory) currentUnseen(now time.Time, routers int, holdTime time.Duration) float64 {
	if routers <= 1 {
		return 0
	}
	period := quota.ReportPeriod(routers)
	age := min(now.Sub(m.at), max(holdTime, remoteLoadLifetime))
	return m.unseen * float64(max(age, period)+period) / float64(2*period)
}

// MemoryWait returns when a target may have memory for a request that Choose has refused for lack of it,
// and whether its prompt is larger than any target's memory. It reports false if memory is not what is
// lacking.
func (p *Placer) MemoryWait(now time.Time, r Request) (wait time.Duration, tooLarge, ok bool) {
	rule := p.memoryRuleFor(now, r)
	if rule == nil {
		return 0, false, false
	}
	for _, s := range p.byPool[r.Pool] {
		if !r.allows(s.Instance) || !p.canSend(now, s) {
			continue
		}
		if rule.allows(now, s) {
			return 0, false, false
		}
		if freed := rule.wait(now, s); !ok || freed < wait {
			wait, ok = freed, true
		}
	}
	wait = max(wait, quota.ReportPeriod(p.Routers)) // the next sum shows how much other routers have sent
	return wait, ok && r.promptTokens() > rule.capacity, ok
}

// MemoryUse returns how many tokens running requests hold at all targets, as far as this router knows, and
// how many targets have no memory for one more request of the mean size.
func (p *Placer) MemoryUse() (held, full int) {
	for _, sum := range p.memory {
		held += sum.held
		full += sum.full
	}
	return held, full
}
