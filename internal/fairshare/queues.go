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
	// defaultServeWithin orders requests without a deadline among those with one: no request is
	// overtaken for longer than this.
	defaultServeWithin = 30 * time.Second
	// costWeight is the weight of the newest cost in a moving average.
	costWeight = 0.1
	// maxHintFactor bounds how far a hint may move an estimate from the mean.
	maxHintFactor = 4
	// intervalWeight is the weight of the newest interval in the moving average of dispatch
	// intervals.
	intervalWeight = 0.1
)

// An Item is a waiting request.
type Item struct {
	ID      uint64
	Account string
	Event   string
	// ServeBy is when the request should be served at the latest. Within an account, the earliest
	// goes first.
	ServeBy time.Time
	// CostHint is the client's estimate of the cost, or 0 if it gave none.
	CostHint float64
	// BodyBytes is the memory that the request takes in the router while it waits.
	BodyBytes int
	// ChargedCost is the estimate that the account was charged at dispatch.
	ChargedCost float64

	heapIndex int
}

// ServeByTime returns the ServeBy of a request, from its arrival and its deadline, which may be
// zero.
func ServeByTime(arrived, deadline time.Time) time.Time {
	latest := arrived.Add(defaultServeWithin)
	if deadline.IsZero() || deadline.After(latest) {
		return latest
	}
	return deadline
}

// Queues holds a router's waiting requests and the service of each account through the router. The
// zero value is ready for use.
type Queues struct {
	accounts     map[string]*localAccount
	waiting      map[uint64]*Item
	waitingCount int
	waitingBytes int // bodies of the waiting requests
	floor        float64
	meanCost     float64         // moving average over all requests
	backlogged   []*localAccount // accounts with waiting requests, unordered
}

// localAccount is an account as this router sees it.
type localAccount struct {
	config fleet.Account
	queues []*eventQueue

	virtualTime          float64 // as received from the leader; service since then is not included
	remoteCharge         float64
	settledInVirtualTime float64 // part of settledCost that virtualTime includes
	chargedInVirtualTime float64 // part of chargedCost that the leader knew of when it computed virtualTime
	fleetRatio           float64 // the fleet's work relative to this router's
	settledCost          float64
	settledCount         uint64
	chargedCost          float64
	running              int
	waiting              int
	waitingBytes         int // bodies of the waiting requests
	virtualTimeKnown     bool
	backloggedIndex      int // in Queues.backlogged, or -1

	lastDispatch     time.Time
	dispatchInterval time.Duration // moving average of the time between dispatches
}

// SetAccounts sets the accounts of a configuration. Accounts that it no longer contains keep their
// waiting requests until these are removed.
func (q *Queues) SetAccounts(accounts []fleet.Account) {
	for _, account := range accounts {
		q.account(account.Name).config = account
	}
}

func (q *Queues) account(name string) *localAccount {
	if q.accounts == nil {
		q.accounts = make(map[string]*localAccount)
		q.waiting = make(map[uint64]*Item)
	}
	account := q.accounts[name]
	if account == nil {
		account = &localAccount{config: fleet.Account{Name: name, Share: 1}, backloggedIndex: -1}
		q.accounts[name] = account
	}
	return account
}

// effectiveVirtualTime returns the router's estimate of the account's virtual time: the received
// virtual time plus the service settled and started since. Other routers received the same virtual
// time and serve the same account meanwhile. So each router scales its own part by the ratio of the
// fleet's work to its own; otherwise all of them together would overshoot.
func (a *localAccount) effectiveVirtualTime(floor float64) float64 {
	if !a.virtualTimeKnown {
		return floor + (a.settledCost+a.chargedCost)/a.config.Share
	}
	since := a.settledCost - a.settledInVirtualTime + a.chargedCost - a.chargedInVirtualTime
	if since > 0 {
		since *= max(a.fleetRatio, 1)
	}
	return a.virtualTime + a.remoteCharge + (a.chargedInVirtualTime+since)/a.config.Share
}

// Push adds a waiting request. It returns an error if that would exceed the bounds of the account
// or of the router.
func (q *Queues) Push(item *Item) error {
	account := q.account(item.Account)
	if account.waiting >= account.config.EffectiveQueueLimit() {
		return fleet.NewError(fleet.KindQueueFull, "come back after the time in Retry-After",
			"%d requests of account %q wait here", account.waiting, item.Account)
	}
	if q.exceedsMemoryBound(account, item.BodyBytes) {
		return fleet.NewError(fleet.KindQueueFull, "come back after the time in Retry-After, or send smaller requests",
			"%d bytes of account %q and %d in all wait here", account.waitingBytes, item.Account, q.waitingBytes)
	}
	heap.Push(&account.queue(item.Event).items, item)
	q.waiting[item.ID] = item
	account.waiting++
	account.waitingBytes += item.BodyBytes
	q.waitingCount++
	q.waitingBytes += item.BodyBytes
	if account.backloggedIndex < 0 {
		account.backloggedIndex = len(q.backlogged)
		q.backlogged = append(q.backlogged, account)
	}
	return nil
}

// The bounds on the bodies that wait in one router. The bound on their number alone would not
// protect the memory of a small VM.
const (
	maxAccountBytes = 64 << 20
	maxRouterBytes  = 256 << 20
)

// exceedsMemoryBound reports whether a body of this size would exceed the bound of the account or
// the router.
func (q *Queues) exceedsMemoryBound(account *localAccount, bodyBytes int) bool {
	return account.waitingBytes+bodyBytes > maxAccountBytes || q.waitingBytes+bodyBytes > maxRouterBytes
}

// Remove removes a request and reports whether it was waiting.
func (q *Queues) Remove(id uint64) (*Item, bool) {
	item, ok := q.waiting[id]
	if !ok {
		return nil, false
	}
	account := q.account(item.Account)
	heap.Remove(&account.queue(item.Event).items, item.heapIndex)
	q.recordRemoval(account, item)
	return item, true
}

func (q *Queues) recordRemoval(account *localAccount, item *Item) {
	delete(q.waiting, item.ID)
	account.waiting--
	account.waitingBytes -= item.BodyBytes
	q.waitingCount--
	q.waitingBytes -= item.BodyBytes
	if account.waiting > 0 {
		return
	}
	last := q.backlogged[len(q.backlogged)-1]
	q.backlogged[account.backloggedIndex] = last
	last.backloggedIndex = account.backloggedIndex
	q.backlogged = q.backlogged[:len(q.backlogged)-1]
	account.backloggedIndex = -1
}

// PopNext removes and returns the next request: that of the account with the lowest virtual time
// among those that wait for an event with a free slot. It charges the account the estimated cost.
func (q *Queues) PopNext(now time.Time, hasFreeSlot func(event string) bool) (*Item, bool) {
	var best *localAccount
	var queue *eventQueue
	least := math.Inf(1)
	for _, account := range q.backlogged {
		virtualTime := account.effectiveVirtualTime(q.floor)
		if virtualTime > least || virtualTime == least && best != nil && account.config.Name > best.config.Name {
			continue
		}
		if next := account.nextQueue(hasFreeSlot); next != nil {
			best, queue, least = account, next, virtualTime
		}
	}
	if best == nil {
		return nil, false
	}
	item, ok := heap.Pop(&queue.items).(*Item)
	if !ok {
		return nil, false
	}
	q.recordRemoval(best, item)
	best.recordDispatch(now)
	item.ChargedCost = queue.estimate(item.CostHint, q.meanCost)
	best.chargedCost += item.ChargedCost
	best.running++
	return item, true
}

// nextQueue returns the account's queue whose first request has the earliest ServeBy, among the
// events with a free slot.
func (a *localAccount) nextQueue(hasFreeSlot func(event string) bool) *eventQueue {
	var best *eventQueue
	for _, queue := range a.queues {
		if len(queue.items) == 0 || !hasFreeSlot(queue.event) {
			continue
		}
		if best == nil || queue.items[0].ServeBy.Before(best.items[0].ServeBy) {
			best = queue
		}
	}
	return best
}

func (a *localAccount) recordDispatch(now time.Time) {
	if !a.lastDispatch.IsZero() {
		sinceLast := now.Sub(a.lastDispatch)
		a.dispatchInterval += time.Duration(intervalWeight * float64(sinceLast-a.dispatchInterval))
	}
	a.lastDispatch = now
}

// Settle replaces the charge of a request by its cost. This includes requests that failed or were
// canceled, because they occupied the slot.
func (q *Queues) Settle(item *Item, cost float64) {
	account := q.account(item.Account)
	q.removeCharge(account, item)
	cost = max(cost, 0)
	account.settledCost += cost
	account.settledCount++
	account.queue(item.Event).recordCost(item.CostHint, cost)
	if q.meanCost == 0 {
		q.meanCost = cost
	}
	q.meanCost += costWeight * (cost - q.meanCost)
}

// Refund removes the charge of a request that no target took.
func (q *Queues) Refund(item *Item) {
	q.removeCharge(q.account(item.Account), item)
}

func (q *Queues) removeCharge(account *localAccount, item *Item) {
	account.running--
	account.chargedCost -= item.ChargedCost
	if account.running == 0 {
		account.chargedCost = 0 // removes the accumulated rounding error
	}
}

// SetVirtualTime sets a virtual time received from the leader. reported is the usage in the
// router's report that the virtual time includes.
func (q *Queues) SetVirtualTime(virtualTime message.VirtualTime, reported message.Usage) {
	account := q.account(virtualTime.Account)
	account.virtualTime, account.remoteCharge, account.fleetRatio, account.virtualTimeKnown = virtualTime.Value, virtualTime.RemoteCharge, virtualTime.FleetRatio, true
	account.settledInVirtualTime, account.chargedInVirtualTime = reported.Served, reported.EstimatedCost
}

// SetFloor sets the virtual time assumed for accounts whose virtual time has not been received.
func (q *Queues) SetFloor(floor float64) {
	q.floor = floor
}

// WaitingCount returns the number of waiting requests.
func (q *Queues) WaitingCount() int {
	return q.waitingCount
}

// WaitingOfAccount returns the number of waiting requests of an account.
func (q *Queues) WaitingOfAccount(accountName string) int {
	return q.account(accountName).waiting
}

// WaitingIDs returns the IDs of all waiting requests in order of arrival.
func (q *Queues) WaitingIDs() []uint64 {
	return slices.Sorted(maps.Keys(q.waiting))
}

// Contains reports whether the request is waiting.
func (q *Queues) Contains(id uint64) bool {
	_, ok := q.waiting[id]
	return ok
}

// ExpectedWait returns how long a request of the account that arrives now would wait, estimated
// from the dispatch rate of its queue.
func (q *Queues) ExpectedWait(now time.Time, accountName string) time.Duration {
	account := q.account(accountName)
	interval := account.dispatchInterval
	if account.waiting > 0 && !account.lastDispatch.IsZero() {
		// A queue that does not move drains more slowly than the average says.
		interval = max(interval, now.Sub(account.lastDispatch))
	}
	return time.Duration(account.waiting) * interval
}

// QueueLengths returns the numbers of waiting requests for a report.
func (q *Queues) QueueLengths() []message.QueueLength {
	var list []message.QueueLength
	for _, account := range q.backlogged {
		for _, queue := range account.queues {
			if len(queue.items) > 0 {
				list = append(list, message.QueueLength{Account: account.config.Name, Event: queue.event, Waiting: len(queue.items)})
			}
		}
	}
	return list
}

// SettledInVirtualTime returns the part of an account's settled cost that its received virtual time
// includes.
func (q *Queues) SettledInVirtualTime(accountName string) float64 {
	return roundForWire(q.account(accountName).settledInVirtualTime)
}

// Usage returns the service of each account for a report.
func (q *Queues) Usage() []message.Usage {
	var list []message.Usage
	for _, name := range slices.Sorted(maps.Keys(q.accounts)) {
		account := q.accounts[name]
		if account.settledCount == 0 && account.running == 0 {
			continue
		}
		list = append(list, message.Usage{
			Account: name, Served: roundForWire(account.settledCost), Settled: account.settledCount,
			EstimatedCost: roundForWire(account.chargedCost), Running: account.running,
		})
	}
	return list
}

// VirtualTimes returns the received virtual times, which a new leader needs.
func (q *Queues) VirtualTimes() []message.VirtualTime {
	var list []message.VirtualTime
	for _, name := range slices.Sorted(maps.Keys(q.accounts)) {
		account := q.accounts[name]
		if account.virtualTimeKnown {
			list = append(list, message.VirtualTime{Account: name, Value: account.virtualTime})
		}
	}
	return list
}

// String identifies the item in logs.
func (it *Item) String() string {
	return fmt.Sprintf("%d of %s for %s", it.ID, it.Account, it.Event)
}
