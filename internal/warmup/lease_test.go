package warmup_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"laburnumfall/internal/warmup"
)

const (
	step     = 20 * time.Millisecond
	period   = 140 * time.Millisecond // between two renewals of a router
	cold     = 3 * time.Second
	coldRate = 8.4 // requests per second that a cold target takes
	ratio    = 1.5
	slack    = 5.0
)

var start = time.Unix(1e9, 0)

// router sends each cold target as many requests as its budget allows.
type router struct {
	name           string
	incarnation    uint64
	budget         warmup.Budget
	limit          warmup.RateLimit
	meters         []warmup.Meter
	nextRenewal    time.Time
	partitioned    bool
	suspendedUntil time.Time // does nothing until then
}

func (r *router) start(incarnation uint64, targets int) {
	r.budget = warmup.Budget{Ratio: ratio, Slack: slack}
	r.limit = r.budget.RateLimit(cold, coldRate)
	r.meters = make([]warmup.Meter, targets)
	r.incarnation, r.nextRenewal = incarnation, time.Time{}
}

// answer is a leader's answer on its way to a router.
type answer struct {
	to          *router
	incarnation uint64
	requestedAt time.Time
	deliverAt   time.Time
	lease       warmup.Lease
}

// cluster consists of routers, a leader, and cold targets for which all routers always have
// requests.
type cluster struct {
	t               require.TestingT
	now             time.Time
	lastIncarnation uint64
	routers         []*router
	leader          warmup.LeaseTable
	inFlight        []answer
	sent            [][]time.Time // by target
}

func newCluster(t require.TestingT, routers, targets int) *cluster {
	c := &cluster{t: t, now: start, leader: warmup.LeaseTable{LeaderSince: start}, sent: make([][]time.Time, targets)}
	for i := range routers {
		c.add(i)
	}
	return c
}

func (c *cluster) add(i int) {
	r := &router{name: fmt.Sprint("r", i)}
	c.lastIncarnation++
	r.start(c.lastIncarnation, len(c.sent))
	c.routers = append(c.routers, r)
}

func (c *cluster) advance(span time.Duration, lose func() bool) {
	for end := c.now.Add(span); c.now.Before(end); c.now = c.now.Add(step) {
		c.deliver()
		for _, r := range c.routers {
			if c.now.Before(r.suspendedUntil) {
				continue
			}
			if !c.now.Before(r.nextRenewal) {
				r.nextRenewal = c.now.Add(period)
				c.renew(r, lose)
			}
			c.send(r)
		}
	}
}

func (c *cluster) renew(r *router, lose func() bool) {
	if r.partitioned || lose() {
		return
	}
	lease := c.leader.Renew(c.now, r.name, r.incarnation, r.budget.CurrentLease(c.now))
	if !lose() {
		c.inFlight = append(c.inFlight, answer{to: r, incarnation: r.incarnation, requestedAt: c.now, deliverAt: c.now.Add(step), lease: lease})
	}
}

func (c *cluster) deliver() {
	c.inFlight = slices.DeleteFunc(c.inFlight, func(a answer) bool {
		if a.deliverAt.After(c.now) || c.now.Before(a.to.suspendedUntil) {
			return false
		}
		if a.to.incarnation == a.incarnation {
			a.to.budget.SetLease(a.requestedAt, a.lease)
		}
		return true
	})
}

func (c *cluster) send(r *router) {
	for target := range c.sent {
		allowance := r.budget.Allowance(c.now, uint64(target)*0x9e3779b97f4a7c15, r.limit)
		for r.meters[target].Allows(c.now, allowance) {
			r.meters[target].RecordSend(c.now)
			c.sent[target] = append(c.sent[target], c.now)
		}
	}
}

// maxPerSecond returns the largest number of requests that a target got in any second.
func maxPerSecond(sent []time.Time) int {
	most, oldest := 0, 0
	for i, at := range sent {
		for at.Sub(sent[oldest]) >= time.Second {
			oldest++
		}
		most = max(most, i-oldest+1)
	}
	return most
}

func (c *cluster) requireRateLimit() {
	limit := c.routers[0].limit.PerSecond
	for target, sent := range c.sent {
		require.LessOrEqual(c.t, float64(maxPerSecond(sent)), limit, fmt.Sprint("target ", target))
	}
}

func neverLose() bool { return false }

// Guards against a cold target that crashes because every router sends it a few requests.
// Messages are lost, routers restart, are partitioned or suspended, and leaders change.
func TestRateLimitHoldsInEverySecond(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, rapid.IntRange(1, 40).Draw(t, "routers"), 3)
		lossy := rapid.Bool().Draw(t, "lossy")
		draws := 0
		lose := func() bool {
			draws++
			return lossy && draws%5 == 0
		}
		for range rapid.IntRange(1, 25).Draw(t, "events") {
			r := c.routers[rapid.IntRange(0, len(c.routers)-1).Draw(t, "router")]
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0:
				c.lastIncarnation++
				r.start(c.lastIncarnation, len(c.sent))
			case 1:
				r.partitioned = !r.partitioned
			case 2:
				r.suspendedUntil = c.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "still")) * time.Millisecond)
			case 3:
				c.leader = warmup.LeaseTable{LeaderSince: c.now}
			case 4:
				for i := range rapid.IntRange(1, 30).Draw(t, "more") {
					if len(c.routers) < 80 {
						c.add(1000*len(c.routers) + i)
					}
				}
			case 5: // another router starts under the name of a suspended one
				r.suspendedUntil = c.now.Add(4 * time.Second)
				c.add(0)
				c.routers[len(c.routers)-1].name = r.name
			case 6: // answers of the leader are delayed
				for i := range c.inFlight {
					c.inFlight[i].deliverAt = c.now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "late")) * time.Millisecond)
				}
			}
			c.advance(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause"))*time.Millisecond, lose)
		}
		c.advance(8*time.Second, neverLose)
		c.requireRateLimit()
	})
}

// Guards against cold targets that idle while requests wait for them.
func TestMostOfRateLimitIsUsed(t *testing.T) {
	const minUsedFraction = 0.8
	for _, routers := range []int{1, 8, 16, 56, 86, 291} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			const targets, span = 20, 11 * time.Second
			c := newCluster(t, routers, targets)
			c.advance(10*time.Second, neverLose)
			from, sum := c.now, 0
			c.advance(span, neverLose)
			c.requireRateLimit()
			for _, sent := range c.sent {
				sum += len(slices.DeleteFunc(sent, func(at time.Time) bool { return at.Before(from) }))
			}
			require.GreaterOrEqual(t, float64(sum), minUsedFraction*c.routers[0].limit.PerSecond*targets*span.Seconds())
		})
	}
}

// Guards against allocations: a decision is made for every target of a pool, for every request.
func TestDecisionDoesNotAllocate(t *testing.T) {
	b := warmup.Budget{Ratio: ratio, Slack: slack}
	b.SetLease(start, warmup.Lease{Number: 3, Total: 8, Ready: true})
	limit := b.RateLimit(cold, coldRate)
	var m warmup.Meter
	m.RecordSend(start)
	require.Zero(t, testing.AllocsPerRun(100, func() {
		if m.Allows(start, b.Allowance(start, 7, limit)) {
			m.RecordSend(start)
		}
	}))
}

func BenchmarkAllowance(b *testing.B) {
	budget := warmup.Budget{Ratio: ratio, Slack: slack}
	budget.SetLease(start, warmup.Lease{Number: 3, Total: 8, Ready: true})
	limit := budget.RateLimit(cold, coldRate)
	var m warmup.Meter
	m.RecordSend(start)
	b.ReportAllocs()
	for b.Loop() {
		m.Allows(start, budget.Allowance(start, 7, limit))
	}
}
