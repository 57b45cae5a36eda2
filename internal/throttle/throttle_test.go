package throttle_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/throttle"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// A crowd is routers that send to one service: slots that each take work time,
// and a queue of bounded length; what finds that full is refused.
type crowd struct {
	routers  []*throttle.Throttle // nil: everything is sent
	accounts []flow
	slots    int
	queue    int // requests; beyond, it refuses
	long     int // requests; more are a long queue
	work     time.Duration
}

// A flow is an account's requests a second, over all routers.
type flow struct {
	name string
	rate float64
}

// A tally is what became of an account's requests.
type tally struct {
	asked, sent, served int
	took                time.Duration // of the served, in all
}

const step = time.Millisecond

// A run is a request at the service.
type run struct {
	router  *throttle.Throttle
	count   *tally
	arrived time.Time
	ends    time.Time
}

// play runs the crowd for a time and tells what became of each account's
// requests of its second half, when everything has settled.
func (c *crowd) play(seed uint64, length time.Duration) map[string]*tally {
	rng := rand.New(rand.NewPCG(seed, 1))
	result := map[string]*tally{}
	for _, f := range c.accounts {
		result[f.name] = &tally{}
	}
	var running, waiting []run
	for now := start; now.Before(start.Add(length)); now = now.Add(step) {
		running = slices.DeleteFunc(running, func(r run) bool {
			if now.Before(r.ends) {
				return false
			}
			r.count.served++
			r.count.took += now.Sub(r.arrived)
			if r.router != nil {
				r.router.RecordAnswer(now, len(waiting) > c.long)
			}
			return true
		})
		for len(running) < c.slots && len(waiting) > 0 {
			waiting[0].ends = now.Add(c.work)
			running = append(running, waiting[0])
			waiting = waiting[1:]
		}
		for _, i := range rng.Perm(len(c.accounts)) {
			f := c.accounts[i]
			if rng.Float64() >= f.rate*step.Seconds() {
				continue
			}
			r := run{router: c.routers[rng.IntN(len(c.routers))], count: result[f.name], arrived: now}
			if now.Before(start.Add(length / 2)) {
				r.count = &tally{}
			}
			r.count.asked++
			if r.router != nil && !r.router.Allow(now, f.name) {
				continue
			}
			r.count.sent++
			if len(waiting) < c.queue {
				waiting = append(waiting, r)
			} else if r.router != nil {
				r.router.RecordAnswer(now, true)
			}
		}
	}
	return result
}

func routers(count int) []*throttle.Throttle {
	list := make([]*throttle.Throttle, count)
	for i := range list {
		list[i] = &throttle.Throttle{}
	}
	return list
}

// Symptom: requests of a small account, or on a route with few callers, are
// refused as often as those of one that floods: one in eight is served.
// Sequence: two of a service's three targets leave; it is asked for seven times
// what the last one can do, by two large accounts and a small one.
// Cause: each router sends everything on; the queue of the target is full at all
// times, and who finds a place in it is chance.
func TestASmallAccountIsServedBesideAFlood(t *testing.T) {
	for _, count := range []int{2, 6, 55} {
		for seed := range uint64(3) {
			c := crowd{
				accounts: []flow{{"large", 800}, {"middle", 500}, {"small", 8}},
				slots:    6, queue: 24, long: 12, work: 30 * time.Millisecond,
			}
			const length = 60 * time.Second
			c.routers = make([]*throttle.Throttle, count)
			before := c.play(seed, length)
			c.routers = routers(count)
			after := c.play(seed, length)
			t.Logf("%d routers: before %+v %+v, after %+v %+v", count, *before["large"], *before["small"], *after["large"], *after["small"])
			require.Less(t, before["small"].part(), 0.25)
			require.Greater(t, after["small"].part(), 0.4)
			all := func(m map[string]*tally) int { return m["large"].served + m["middle"].served + m["small"].served }
			require.Greater(t, all(after), all(before)*98/100, "as much must be served in all")
			require.Less(t, after["large"].mean(), before["large"].mean()*3/4)
			require.Greater(t, after["middle"].served, after["large"].served*8/10, "max-min between the two")
		}
	}
}

func (t *tally) mean() time.Duration { return t.took / time.Duration(t.served) }

func (t *tally) part() float64 { return float64(t.served) / float64(t.asked) }

func TestNothingIsKeptBackWhileAllIsTaken(t *testing.T) {
	c := crowd{routers: routers(6), accounts: []flow{{"a", 150}, {"b", 5}}, slots: 6, queue: 24, long: 12, work: 30 * time.Millisecond}
	for name, count := range c.play(1, 20*time.Second) {
		require.Equal(t, count.asked, count.sent, name)
	}
}

// Symptom: a service that is back gets a trickle for long.
// Sequence: all targets refuse everything for some seconds, and then take all.
// Cause: what is sent follows what was taken.
func TestAServiceThatIsBackIsUsedSoon(t *testing.T) {
	const rate = 20 // a second
	th := &throttle.Throttle{}
	now := start
	sent := 0
	for i := range 30 * rate {
		now = now.Add(time.Second / rate)
		back := i >= 10*rate
		if i == 16*rate {
			sent = 0
		}
		if !th.Allow(now, "a") {
			continue
		}
		sent++
		if back {
			th.RecordAnswer(now, false)
		} else {
			th.RecordAnswer(now, true)
		}
	}
	require.Equal(t, 14*rate, sent, "six seconds after")
}
