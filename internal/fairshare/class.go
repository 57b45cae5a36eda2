package fairshare

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"laburnumfall/internal/fleet"
)

// targetClass is a set of targets that serve the same events, so that their slots are
// interchangeable.
type targetClass struct {
	events     []string
	accounts   map[string]bool
	targets    []*targetState
	nextTarget int // where the round-robin search for a free slot continues
	// freeSlots counts the free slots, and freeTargets lists their targets by zone, during a
	// division.
	freeSlots   int
	freeTargets map[fleet.Zone][]*targetState
	freeZones   []fleet.Zone
	// floor is the lowest virtual time at which an account that returns from idle starts.
	floor float64
	// given is the number of slots that each account got in the last division.
	given map[string]int
}

func (d *Divider) setClasses(config fleet.Config) {
	events := make(map[string][]string, len(config.Targets))
	for _, event := range config.Events {
		for _, targetName := range event.Targets {
			events[targetName] = append(events[targetName], event.Name)
		}
	}
	old := make(map[string]*targetClass, len(d.classes))
	for _, class := range d.classes {
		old[strings.Join(class.events, " ")] = class
	}
	classes := make(map[string]*targetClass)
	for _, target := range config.Targets {
		names := events[target.Name]
		if len(names) == 0 || !target.Live() {
			continue
		}
		slices.Sort(names)
		key := strings.Join(names, " ")
		class := classes[key]
		if class == nil {
			class = newTargetClass(config, names, old[key])
			classes[key] = class
		}
		state := d.targets[target.Name]
		state.class = class
		class.targets = append(class.targets, state)
	}
	d.orderClasses(classes)
}

func newTargetClass(config fleet.Config, events []string, old *targetClass) *targetClass {
	class := &targetClass{events: events, accounts: make(map[string]bool), given: make(map[string]int)}
	if old != nil {
		class.floor = old.floor
	}
	for _, event := range config.Events {
		if !slices.Contains(events, event.Name) {
			continue
		}
		for _, accountName := range event.Accounts {
			class.accounts[accountName] = true
		}
	}
	return class
}

// orderClasses orders the classes by their number of events. Slots that only a few events can use
// are divided first, before their accounts compete for slots that other events need too.
func (d *Divider) orderClasses(classes map[string]*targetClass) {
	d.classes = d.classes[:0:0]
	d.byEvent = make(map[string][]*targetClass)
	for _, class := range classes {
		d.classes = append(d.classes, class)
	}
	slices.SortFunc(d.classes, func(a, b *targetClass) int {
		return cmp.Or(cmp.Compare(len(a.events), len(b.events)), slices.Compare(a.events, b.events))
	})
	for _, account := range d.accounts {
		account.classes = nil
	}
	for _, class := range d.classes {
		for _, eventName := range class.events {
			d.byEvent[eventName] = append(d.byEvent[eventName], class)
		}
		for name := range class.accounts {
			if account := d.accounts[name]; account != nil {
				account.classes = append(account.classes, class)
			}
		}
	}
}

// refreshTotals recomputes the accounts' totals from all reports, raises accounts that return from
// idle, and updates the floors. Between divisions, reports only adjust the totals.
func (d *Divider) refreshTotals(now time.Time) {
	for _, account := range d.accounts {
		account.chargedCost, account.waiting, account.running = 0, 0, 0
	}
	for _, router := range d.routerList {
		d.addToTotals(router, 1)
	}
	for _, account := range d.accounts {
		d.raiseToFloor(now, account)
	}
	for _, class := range d.classes {
		class.updateFloor(d.accounts)
	}
}

// addToTotals adds the router's part to its accounts' totals, or subtracts it if sign is -1.
func (d *Divider) addToTotals(router *routerState, sign int) {
	for _, queue := range router.queues {
		if account := d.accounts[queue.Account]; account != nil {
			account.waiting += sign * queue.Waiting
		}
	}
	for _, name := range router.running {
		if account := d.accounts[name]; account != nil {
			account.chargedCost += float64(sign) * router.usage[name].EstimatedCost
			account.running += sign * router.usage[name].Running
		}
	}
}

// idleGrace is how long an account may have no waiting work and still keep the virtual time by
// which it lags behind. Queues are empty for moments while they are being served.
const idleGrace = time.Second

// raiseToFloor raises the virtual time of an account that starts to wait to the floor of the
// classes that it may use, so that time without waiting work earns no credit.
func (d *Divider) raiseToFloor(now time.Time, account *accountState) {
	waiting := account.waiting > 0
	if waiting && now.Sub(account.lastWaiting) > idleGrace {
		for _, class := range account.classes {
			account.virtualTime = max(account.virtualTime, class.floor-account.chargedCost/account.share)
		}
	}
	account.backlogged = waiting
	if waiting {
		account.lastWaiting = now
	}
}

// updateFloor sets the floor to the lowest virtual time among the accounts that wait for the class
// and got slots of it. If there are none, it is the highest virtual time of any account, so that
// nobody is charged later for slots that were free.
func (c *targetClass) updateFloor(accounts map[string]*accountState) {
	least, most, found := 0.0, 0.0, false
	for name := range c.accounts {
		account := accounts[name]
		if account == nil {
			continue
		}
		most = max(most, account.effectiveVirtualTime())
		if account.backlogged && c.given[name] > 0 && (!found || account.effectiveVirtualTime() < least) {
			least, found = account.effectiveVirtualTime(), true
		}
	}
	if found {
		c.floor = least
		return
	}
	c.floor = most
}

// floor returns the virtual time that routers assume for accounts whose virtual time they have not
// received.
func (d *Divider) floor() float64 {
	highest := 0.0
	for _, class := range d.classes {
		highest = max(highest, class.floor)
	}
	return roundForWire(highest)
}

// ServiceGap returns the largest difference in virtual time between two accounts that both wait and
// share a class.
func (d *Divider) ServiceGap() float64 {
	gap := 0.0
	for _, class := range d.classes {
		least, most, found := 0.0, 0.0, false
		for name := range class.accounts {
			account := d.accounts[name]
			if account == nil || !account.backlogged {
				continue
			}
			if !found {
				least, most, found = account.effectiveVirtualTime(), account.effectiveVirtualTime(), true
			}
			least, most = min(least, account.effectiveVirtualTime()), max(most, account.effectiveVirtualTime())
		}
		gap = max(gap, most-least)
	}
	return gap
}
