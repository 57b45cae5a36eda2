// Package fairshare implements weighted fair sharing of the targets' slots among accounts across
// the whole fleet.
//
// The Divider runs in the leading keeper and divides the slots among the routers by the service
// that each account has received. The Queues run in each router and choose the account that gets
// the next free slot. Both are deterministic: each call takes the current time and one event, and
// they have no clock of their own.
package fairshare

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/message"
)

// The timing of leases and divisions.
const (
	// RouterLease is how long a router may dispatch, counted from when it sent the report that its
	// newest grant answers.
	RouterLease = 2 * time.Second
	// leaseMargin is added when the leader waits for a lease to expire, because the router's clock
	// may run slower than the leader's.
	leaseMargin = RouterLease / 4
	// DivideInterval is the longest time between divisions while work waits.
	DivideInterval = 100 * time.Millisecond
	// minDivideInterval is the shortest time between two divisions.
	minDivideInterval = 10 * time.Millisecond
	// expiredRouterRetention is how long the last values of a router whose lease has expired are
	// kept, so that no service is counted twice if it returns.
	expiredRouterRetention = time.Hour
)

// A Divider divides the slots of the targets among the routers. Set the exported fields, call Start
// and then SetConfig.
type Divider struct {
	// Term is the leader's term. It is part of each grant.
	Term uint64
	// Blank says that no earlier leader had a configuration, and so none has granted slots.
	Blank bool

	configNumber uint64
	configText   json.RawMessage
	accounts     map[string]*accountState
	targets      map[string]*targetState
	classes      []*targetClass
	byEvent      map[string][]*targetClass
	routers      map[routerKey]*routerState
	routerList   []*routerState // sorted by name and incarnation
	leaving      map[string]bool

	unknownLeasesUntil time.Time // until then, unknown routers may hold slots
	lastDivision       time.Time
	divisionRequested  bool // divide before the end of the interval
	divisions          uint64
	idleSlots          int  // slots that routers hold and do not use
	starvedRouters     int  // routers with waiting work and no idle slot
	unleasedSlots      int  // slots that no router held after the last division
	slotsShort         bool // the last division could not assign all slots that it wanted to
	grants             []RouterGrant
}

type routerKey struct {
	name        string
	incarnation uint64
}

// accountState is the fleet-wide service of one account.
type accountState struct {
	name        string
	share       float64
	virtualTime float64 // settled cost over share, raised after idle times
	chargedCost float64 // estimated cost of the running requests
	waiting     int
	running     int
	backlogged  bool
	lastWaiting time.Time      // when the account last had waiting work
	classes     []*targetClass // classes that it may use
	meanCost    float64        // moving average of the cost of a request
}

// effectiveVirtualTime returns the virtual time including the charge of the running requests.
func (a *accountState) effectiveVirtualTime() float64 {
	return a.virtualTime + a.chargedCost/a.share
}

// targetState is a target and the accounting of its slots.
type targetState struct {
	fleet.Target
	class     *targetClass
	freeSlots int
	// noEarlierLeases says that no earlier leader can have granted its slots.
	noEarlierLeases bool
	// adoptedSlots counts the slots that routers reported to hold from an earlier leader. No other
	// router can hold these slots once they are released.
	adoptedSlots int
}

// routerState is one incarnation of a router as the leader sees it.
type routerState struct {
	key            routerKey
	zone           fleet.Zone
	seq            uint64
	reportSent     time.Time // by the router's clock
	reportReceived time.Time // by the leader's clock
	leaseExpiry    time.Time // when the lease has certainly expired, by the leader's clock
	configNumber   uint64
	leaving        bool
	acknowledged   bool // it has acknowledged a grant of this term
	queues         []message.QueueLength
	usage          map[string]message.Usage
	running        []string // accounts in usage with running requests
	holdings       map[string]message.SlotUsage
	assigned       map[string]int // the slots that the leader wants it to hold
	unackedGrants  []unackedGrant
	idleSlots      int
	starved        bool
	grantSeq       uint64
	// sentConfigNumber is the configuration that was sent last, in answer to the report
	// configSentAtSeq.
	sentConfigNumber      uint64
	configSentAtSeq       uint64
	virtualTimesSentAtSeq uint64 // Seq of the report that the virtual times sent last include
	needsGrant            bool
	reserved              map[string]int     // slots that it may hold, as of the last division
	roundingCredit        map[string]float64 // rounding error by account
	sentVirtualTimes      map[string]float64 // the virtual times sent last
	slotsAdopted          bool
	expired               bool
	expiredAt             time.Time
}

type unackedGrant struct {
	seq   uint64
	slots map[string]int
}

// Start starts a term. Until all leases of earlier terms have expired, slots that no report
// accounts for are not granted.
func (d *Divider) Start(now time.Time) {
	d.accounts = make(map[string]*accountState)
	d.targets = make(map[string]*targetState)
	d.routers = make(map[routerKey]*routerState)
	d.unknownLeasesUntil = now.Add(RouterLease + leaseMargin)
	d.lastDivision = now
}

// SetConfig puts a configuration in force. The first one of a term comes from the replicated log;
// no router holds slots of the targets that later ones add.
func (d *Divider) SetConfig(now time.Time, config fleet.Config, text json.RawMessage) {
	inherited := d.configNumber == 0 && !d.Blank
	d.configNumber, d.configText = config.Number, text
	d.setAccounts(config)
	d.setTargets(config, inherited)
	d.setClasses(config)
	for _, router := range d.routerList {
		router.needsGrant = !router.expired
		for name := range router.assigned {
			if target := d.targets[name]; target == nil || !target.Live() {
				delete(router.assigned, name)
			}
		}
	}
	d.divisionRequested = true
	d.divide(now)
}

// SetLeavingTargets sets the targets that the platform's list of VMs shows as leaving. The list
// lags: it can take a target out of service, but it cannot bring a leaving one back.
func (d *Divider) SetLeavingTargets(now time.Time, names []string) {
	leaving := make(map[string]bool, len(names))
	for _, name := range names {
		leaving[name] = true
	}
	if maps.Equal(leaving, d.leaving) {
		return
	}
	d.leaving = leaving
	for _, router := range d.routerList {
		router.needsGrant = !router.expired
		for name := range leaving {
			delete(router.assigned, name)
		}
	}
	d.divide(now)
}

func (d *Divider) setAccounts(config fleet.Config) {
	next := make(map[string]*accountState, len(config.Accounts))
	for _, account := range config.Accounts {
		state := d.accounts[account.Name]
		if state == nil {
			state = &accountState{name: account.Name, meanCost: 1}
		}
		state.share = account.Share
		next[account.Name] = state
	}
	d.accounts = next
}

func (d *Divider) setTargets(config fleet.Config, inherited bool) {
	next := make(map[string]*targetState, len(config.Targets))
	for _, target := range config.Targets {
		old := d.targets[target.Name]
		noEarlierLeases := !inherited && (old == nil || old.noEarlierLeases)
		next[target.Name] = &targetState{Target: target, noEarlierLeases: noEarlierLeases}
		if old != nil {
			next[target.Name].adoptedSlots = old.adoptedSlots
		}
	}
	d.targets = next
}

// Tick expires leases and divides the slots if a division is due.
func (d *Divider) Tick(now time.Time) {
	for _, router := range d.routerList {
		if !router.expired && !router.leaseExpiry.IsZero() && !now.Before(router.leaseExpiry) {
			d.expire(now, router)
		}
	}
	d.routerList = slices.DeleteFunc(d.routerList, func(router *routerState) bool {
		old := router.expired && now.Sub(router.expiredAt) > expiredRouterRetention
		if old {
			delete(d.routers, router.key)
		}
		return old
	})
	if now.Before(d.NextTick()) {
		return
	}
	d.refreshTotals(now)
	d.divide(now)
}

// expire ends a router's lease. Its running requests count as served: they had the service, even if
// the router never reports it.
func (d *Divider) expire(now time.Time, router *routerState) {
	d.addToTotals(router, -1)
	for name, usage := range router.usage {
		if account := d.accounts[name]; account != nil {
			account.virtualTime += usage.EstimatedCost / account.share
		}
		usage.Served += usage.EstimatedCost
		usage.EstimatedCost, usage.Running = 0, 0
		router.usage[name] = usage
	}
	router.queues = nil
	router.running = nil
	router.unackedGrants = nil
	router.needsGrant = false
	router.expired, router.expiredAt = true, now
	clear(router.holdings)
	clear(router.assigned)
	d.updateIdleSlots(router)
	d.divisionRequested = true
}

// NextTick returns when Tick must be called next.
func (d *Divider) NextTick() time.Time {
	if d.divisionRequested {
		return d.lastDivision.Add(minDivideInterval)
	}
	return d.lastDivision.Add(DivideInterval)
}

// TakeGrants returns and clears the grants made since the last call.
func (d *Divider) TakeGrants() []RouterGrant {
	grants := d.grants
	d.grants = nil
	return grants
}
