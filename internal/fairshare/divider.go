// Package fairshare decides which account is served next, across the whole fleet.
//
// The Divider, in the leading keeper, divides the slots of the targets among
// the routers by the service that each account had. The Queues, in each
// router, choose the next account for a free slot. Both are deterministic:
// they take a time and a message and have no clock of their own.
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
	// RouterLease is how long a router may dispatch after the report that its
	// newest grant answers was sent.
	RouterLease = 2 * time.Second
	// lapseMargin is added where the leader waits for a lease to lapse: the
	// router's clock may run slower than the leader's.
	lapseMargin = RouterLease / 4
	// DividePeriod is the longest time between divisions while work waits.
	DividePeriod = 100 * time.Millisecond
	// dividePause is the shortest time between two divisions.
	dividePause = 10 * time.Millisecond
	// memoryOfLapsed is how long the last values of a lapsed router are kept,
	// so that its return counts nothing twice.
	memoryOfLapsed = time.Hour
)

// A Divider divides slots. Set the exported fields, then call SetConfig.
type Divider struct {
	// Term is the leader's term, which its grants carry.
	Term uint64
	// Blank says that no earlier leader had a configuration, and so none gave
	// slots away.
	Blank bool

	number   uint64
	text     json.RawMessage
	accounts map[string]*account
	targets  map[string]*target
	classes  []*class
	byEvent  map[string][]*class
	routers  map[routerKey]*router
	order    []*router // by name and incarnation
	gone     map[string]bool

	cautious time.Time // until when slots may be held by unknown routers
	divided  time.Time
	wanted   bool // a division is wanted before the period is over
	rounds   uint64
	idle     int  // slots that routers hold and do not use
	hungry   int  // routers with waiting work and no idle slot
	unused   int  // slots that no router held after the last division
	short    bool // the last division could not give all that it wanted to
	out      []Addressed
}

type routerKey struct {
	name string
	inc  uint64
}

// account is the fleet-wide service of one account.
type account struct {
	name       string
	share      float64
	level      float64 // settled cost over share, lifted after idle times
	charged    float64 // estimated cost of running requests
	waiting    int
	running    int
	backlogged bool
	waited     time.Time // when work last waited
	classes    []*class  // that it may use
	cost       float64   // mean cost of a request
}

// effective returns the level with the running requests charged.
func (a *account) effective() float64 {
	return a.level + a.charged/a.share
}

// target is one target and who holds its slots.
type target struct {
	fleet.Target
	class *class
	free  int
	// fresh says that no earlier leader can have given its slots away.
	fresh bool
	// adopted counts the slots that routers were found to hold from an earlier
	// leader. What they let go of these, nobody else can hold.
	adopted int
}

// router is one incarnation of a router as the leader knows it.
type router struct {
	key     routerKey
	zone    fleet.Zone
	seq     uint64
	sent    time.Time // router's clock
	heard   time.Time // leader's clock: when its newest report came
	lapses  time.Time // leader's clock: when its lease has surely lapsed
	number  uint64
	leaving bool
	known   bool // has acknowledged a grant of this term
	queues  []message.QueueLength
	usage   map[string]message.Usage
	running []string // accounts of usage that run something
	holding map[string]message.SlotUsage
	slots   map[string]int // what the leader wants it to hold
	unacked []unacked
	idle    int
	hungry  bool
	granted uint64
	// sentNumber is the configuration last sent, after the report sentAfter.
	sentNumber uint64
	sentAfter  uint64
	levelled   uint64 // seq of the report that the levels last sent include
	dirty      bool
	reserved   map[string]int     // slots that it may hold, at the last division
	credit     map[string]float64 // rounding error per account
	told       map[string]float64 // levels last sent
	adopted    bool
	lapsed     bool
	lapsedAt   time.Time
}

type unacked struct {
	seq   uint64
	slots map[string]int
}

// Start begins a term: until all leases of earlier terms have lapsed, slots
// that no report accounts for are not given away.
func (d *Divider) Start(now time.Time) {
	d.accounts = make(map[string]*account)
	d.targets = make(map[string]*target)
	d.routers = make(map[routerKey]*router)
	d.cautious = now.Add(RouterLease + lapseMargin)
	d.divided = now
}

// SetConfig puts a configuration in force. The first one of a term is the one
// that the leader found in the log; targets that a later one adds are new to
// every router.
func (d *Divider) SetConfig(now time.Time, c fleet.Config, text json.RawMessage) {
	first := d.number == 0 && !d.Blank
	d.number, d.text = c.Number, text
	d.setAccounts(c)
	d.setTargets(c, first)
	d.setClasses(c)
	for _, r := range d.order {
		r.dirty = !r.lapsed
		for name := range r.slots {
			if t := d.targets[name]; t == nil || !t.Live() {
				delete(r.slots, name)
			}
		}
	}
	d.wanted = true
	d.divide(now)
}

// SetGone names targets that the platform's list shows as leaving. The list
// lags: it may take a target out, never bring a leaving one back.
func (d *Divider) SetGone(now time.Time, names []string) {
	gone := make(map[string]bool, len(names))
	for _, n := range names {
		gone[n] = true
	}
	if maps.Equal(gone, d.gone) {
		return
	}
	d.gone = gone
	for _, r := range d.order {
		r.dirty = !r.lapsed
		for n := range gone {
			delete(r.slots, n)
		}
	}
	d.divide(now)
}

func (d *Divider) setAccounts(c fleet.Config) {
	next := make(map[string]*account, len(c.Accounts))
	for _, a := range c.Accounts {
		state := d.accounts[a.Name]
		if state == nil {
			state = &account{name: a.Name, cost: 1}
		}
		state.share = a.Share
		next[a.Name] = state
	}
	d.accounts = next
}

func (d *Divider) setTargets(c fleet.Config, first bool) {
	next := make(map[string]*target, len(c.Targets))
	for _, t := range c.Targets {
		old := d.targets[t.Name]
		fresh := !first && (old == nil || old.fresh)
		next[t.Name] = &target{Target: t, fresh: fresh}
		if old != nil {
			next[t.Name].adopted = old.adopted
		}
	}
	d.targets = next
}

// Tick lets leases lapse and divides when it is time.
func (d *Divider) Tick(now time.Time) {
	for _, r := range d.order {
		if !r.lapsed && !r.lapses.IsZero() && !now.Before(r.lapses) {
			d.lapse(now, r)
		}
	}
	d.order = slices.DeleteFunc(d.order, func(r *router) bool {
		old := r.lapsed && now.Sub(r.lapsedAt) > memoryOfLapsed
		if old {
			delete(d.routers, r.key)
		}
		return old
	})
	if now.Before(d.Deadline()) {
		return
	}
	d.update(now)
	d.divide(now)
}

// lapse ends a router's lease. What it still ran is counted as served: it had
// the service, whether or not it can ever report it.
func (d *Divider) lapse(now time.Time, r *router) {
	d.sum(r, -1)
	for name, u := range r.usage {
		if a := d.accounts[name]; a != nil {
			a.level += u.EstimatedCost / a.share
		}
		u.Served += u.EstimatedCost
		u.EstimatedCost, u.Running = 0, 0
		r.usage[name] = u
	}
	r.queues = nil
	r.running = nil
	r.unacked = nil
	r.dirty = false
	r.lapsed, r.lapsedAt = true, now
	clear(r.holding)
	clear(r.slots)
	d.weigh(r)
	d.wanted = true
}

// Deadline returns when the next Tick is due.
func (d *Divider) Deadline() time.Time {
	if d.wanted {
		return d.divided.Add(dividePause)
	}
	return d.divided.Add(DividePeriod)
}

// Take returns the grants made since the last Take.
func (d *Divider) Take() []Addressed {
	out := d.out
	d.out = nil
	return out
}
