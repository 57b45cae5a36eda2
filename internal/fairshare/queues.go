package fairshare

import (
	"container/heap"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/message"
)

const (
	// patience orders requests without a deadline of their own among those
	// with one: nobody overtakes a request for longer than this.
	patience = 30 * time.Second
	// estimateGain is the weight of the newest cost in a learned one.
	estimateGain = 0.1
	// hintSpan bounds how far a hint may move an estimate from the mean.
	hintSpan = 4
	// rateGain is the weight of the newest interval in a drain rate.
	rateGain = 0.1
)

// An Item is one waiting request.
type Item struct {
	ID      uint64
	Account string
	Event   string
	// Order is when the request should be served at the latest; within an
	// account the earliest goes first.
	Order time.Time
	// Hint is the caller's rough cost, or 0.
	Hint float64
	// Size is what the request takes of the router's memory while it waits.
	Size int
	// Charge is the estimate that the account was charged at dispatch.
	Charge float64

	place int
}

// OrderOf returns the order of a request that arrived and wants its answer by
// deadline, which may be zero.
func OrderOf(arrived, deadline time.Time) time.Time {
	late := arrived.Add(patience)
	if deadline.IsZero() || deadline.After(late) {
		return late
	}
	return deadline
}

// A Queues holds a router's waiting requests and the service of each account
// through it. Its zero value is ready for use.
type Queues struct {
	accounts map[string]*served
	waiting  map[uint64]*Item
	total    int
	bytes    int // of the waiting requests
	floor    float64
	cost     float64   // mean cost of all requests
	order    []*served // backlogged, in no order
}

// served is one account as the router sees it.
type served struct {
	account fleet.Account
	queues  []*queue

	level   float64 // as last heard, without what came after base
	others  float64
	base    float64 // part of settled that level includes
	counted float64 // part of charged that the leader knew of then
	spread  float64 // how many times the own work the fleet has
	settled float64
	ended   uint64
	charged float64
	running int
	waiting int
	bytes   int // of the waiting requests
	heard   bool
	place   int // in Queues.order, or -1

	lastTaken time.Time
	interval  time.Duration // mean time between dispatches
}

// SetAccounts takes over the accounts of a configuration. Accounts that it no
// longer has keep what waits until it is removed.
func (q *Queues) SetAccounts(accounts []fleet.Account) {
	for _, a := range accounts {
		q.account(a.Name).account = a
	}
}

func (q *Queues) account(name string) *served {
	if q.accounts == nil {
		q.accounts = make(map[string]*served)
		q.waiting = make(map[uint64]*Item)
	}
	s := q.accounts[name]
	if s == nil {
		s = &served{account: fleet.Account{Name: name, Share: 1}, place: -1}
		q.accounts[name] = s
	}
	return s
}

// effective returns the account's level as far as the router can know it: what
// it heard, and what was served and started since. Other routers see the same
// level and serve the same account meanwhile; each counts its own part as many
// times as the fleet has the router's work, or all would overshoot together.
func (s *served) effective(floor float64) float64 {
	if !s.heard {
		return floor + (s.settled+s.charged)/s.account.Share
	}
	since := s.settled - s.base + s.charged - s.counted
	if since > 0 {
		since *= max(s.spread, 1)
	}
	return s.level + s.others + (s.counted+since)/s.account.Share
}

// Push lets a request wait. It refuses one over the account's bound.
func (q *Queues) Push(it *Item) error {
	s := q.account(it.Account)
	if s.waiting >= s.account.EffectiveQueueLimit() {
		return fleet.NewError(fleet.KindQueueFull, "come back after the time in Retry-After",
			"%d requests of account %q wait here", s.waiting, it.Account)
	}
	if q.overfull(s, it.Size) {
		return fleet.NewError(fleet.KindQueueFull, "come back after the time in Retry-After, or send smaller requests",
			"%d bytes of account %q and %d in all wait here", s.bytes, it.Account, q.bytes)
	}
	heap.Push(&s.queue(it.Event).items, it)
	q.waiting[it.ID] = it
	s.waiting++
	s.bytes += it.Size
	q.total++
	q.bytes += it.Size
	if s.place < 0 {
		s.place = len(q.order)
		q.order = append(q.order, s)
	}
	return nil
}

// The bounds of the bodies that wait in one router. Requests are bounded in
// number too, but not by the memory of a small VM.
const (
	accountBytes = 64 << 20
	routerBytes  = 256 << 20
)

// overfull reports whether the account, or the router, has no room for a body.
func (q *Queues) overfull(s *served, size int) bool {
	return s.bytes+size > accountBytes || q.bytes+size > routerBytes
}

// Remove takes a request out and reports whether it waited.
func (q *Queues) Remove(id uint64) (*Item, bool) {
	it, ok := q.waiting[id]
	if !ok {
		return nil, false
	}
	s := q.account(it.Account)
	heap.Remove(&s.queue(it.Event).items, it.place)
	q.forget(s, it)
	return it, true
}

func (q *Queues) forget(s *served, it *Item) {
	delete(q.waiting, it.ID)
	s.waiting--
	s.bytes -= it.Size
	q.total--
	q.bytes -= it.Size
	if s.waiting > 0 {
		return
	}
	last := q.order[len(q.order)-1]
	q.order[s.place] = last
	last.place = s.place
	q.order = q.order[:len(q.order)-1]
	s.place = -1
}

// Choose takes the next request out: of the accounts that wait for an event
// with a free slot, the one with the least level. It charges the estimate of
// the request's cost.
func (q *Queues) Choose(now time.Time, free func(event string) bool) (*Item, bool) {
	var best *served
	var from *queue
	least := math.Inf(1)
	for _, s := range q.order {
		level := s.effective(q.floor)
		if level > least || level == least && best != nil && s.account.Name > best.account.Name {
			continue
		}
		if e := s.next(free); e != nil {
			best, from, least = s, e, level
		}
	}
	if best == nil {
		return nil, false
	}
	it, ok := heap.Pop(&from.items).(*Item)
	if !ok {
		return nil, false
	}
	q.forget(best, it)
	best.take(now)
	it.Charge = from.estimate(it.Hint, q.cost)
	best.charged += it.Charge
	best.running++
	return it, true
}

// next returns the account's queue with the earliest request that can go.
func (s *served) next(free func(event string) bool) *queue {
	var best *queue
	for _, e := range s.queues {
		if len(e.items) == 0 || !free(e.event) {
			continue
		}
		if best == nil || e.items[0].Order.Before(best.items[0].Order) {
			best = e
		}
	}
	return best
}

func (s *served) take(now time.Time) {
	if !s.lastTaken.IsZero() {
		gap := now.Sub(s.lastTaken)
		s.interval += time.Duration(rateGain * float64(gap-s.interval))
	}
	s.lastTaken = now
}

// Settle replaces the charge of a request by its cost. It counts also for one
// that failed or was cancelled: the slot was taken.
func (q *Queues) Settle(it *Item, cost float64) {
	s := q.account(it.Account)
	q.release(s, it)
	cost = max(cost, 0)
	s.settled += cost
	s.ended++
	s.queue(it.Event).learn(it.Hint, cost)
	if q.cost == 0 {
		q.cost = cost
	}
	q.cost += estimateGain * (cost - q.cost)
}

// Refund takes a charge back for a request that no target took.
func (q *Queues) Refund(it *Item) {
	q.release(q.account(it.Account), it)
}

func (q *Queues) release(s *served, it *Item) {
	s.running--
	s.charged -= it.Charge
	if s.running == 0 {
		s.charged = 0 // sheds the rounding error of many sums
	}
}

// Heard takes over a level. Known is the usage that the router had reported
// when the level was computed.
func (q *Queues) Heard(l message.VirtualTime, known message.Usage) {
	s := q.account(l.Account)
	s.level, s.others, s.spread, s.heard = l.Value, l.RemoteCharge, l.FleetRatio, true
	s.base, s.counted = known.Served, known.EstimatedCost
}

// SetFloor sets the level assumed for accounts of which none was heard.
func (q *Queues) SetFloor(floor float64) {
	q.floor = floor
}

// Waiting returns the number of waiting requests.
func (q *Queues) Waiting() int {
	return q.total
}

// WaitingOf returns the number of waiting requests of an account.
func (q *Queues) WaitingOf(account string) int {
	return q.account(account).waiting
}

// All returns the IDs of all waiting requests in the order of their arrival.
func (q *Queues) All() []uint64 {
	return slices.Sorted(maps.Keys(q.waiting))
}

// Waits reports whether the request waits.
func (q *Queues) Waits(id uint64) bool {
	_, ok := q.waiting[id]
	return ok
}

// Wait returns how long a request of the account that arrives at now would
// wait, from the rate at which its queue drains.
func (q *Queues) Wait(now time.Time, account string) time.Duration {
	s := q.account(account)
	interval := s.interval
	if s.waiting > 0 && !s.lastTaken.IsZero() {
		// A queue that stands still drains slower than it did.
		interval = max(interval, now.Sub(s.lastTaken))
	}
	return time.Duration(s.waiting) * interval
}

// Queues returns the waiting work for a report.
func (q *Queues) Queues() []message.QueueLength {
	var list []message.QueueLength
	for _, s := range q.order {
		for _, e := range s.queues {
			if len(e.items) > 0 {
				list = append(list, message.QueueLength{Account: s.account.Name, Event: e.event, Waiting: len(e.items)})
			}
		}
	}
	return list
}

// Counted returns the part of an account's settled cost that the level last
// heard includes.
func (q *Queues) Counted(account string) float64 {
	return roundLevel(q.account(account).base)
}

// Usage returns the service of each account for a report.
func (q *Queues) Usage() []message.Usage {
	var list []message.Usage
	for _, name := range slices.Sorted(maps.Keys(q.accounts)) {
		s := q.accounts[name]
		if s.ended == 0 && s.running == 0 {
			continue
		}
		list = append(list, message.Usage{
			Account: name, Served: roundLevel(s.settled), Settled: s.ended,
			EstimatedCost: roundLevel(s.charged), Running: s.running,
		})
	}
	return list
}

// Levels returns the levels last heard, for a new leader.
func (q *Queues) Levels() []message.VirtualTime {
	var list []message.VirtualTime
	for _, name := range slices.Sorted(maps.Keys(q.accounts)) {
		s := q.accounts[name]
		if s.heard {
			list = append(list, message.VirtualTime{Account: name, Value: s.level})
		}
	}
	return list
}

// String names the item in logs.
func (it *Item) String() string {
	return fmt.Sprintf("%d of %s for %s", it.ID, it.Account, it.Event)
}
