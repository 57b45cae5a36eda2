package fairshare

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"laburnumfall/internal/fleet"
)

// A class is a set of targets that serve the same events, so that its slots
// are interchangeable.
type class struct {
	events   []string
	accounts map[string]bool
	targets  []*target
	cursor   int // where the search for a free slot goes on
	// free counts the free slots, and spare lists their targets, while a
	// division is under way.
	free  int
	spare map[fleet.Zone][]*target
	zones []fleet.Zone
	// floor is the level below which nobody who returns from idle may start.
	floor float64
	// got is how many slots each account was given by the last division.
	got map[string]int
}

func (d *Divider) setClasses(c fleet.Config) {
	events := make(map[string][]string, len(c.Targets))
	for _, e := range c.Events {
		for _, t := range e.Targets {
			events[t] = append(events[t], e.Name)
		}
	}
	old := make(map[string]*class, len(d.classes))
	for _, cl := range d.classes {
		old[strings.Join(cl.events, " ")] = cl
	}
	classes := make(map[string]*class)
	for _, t := range c.Targets {
		names := events[t.Name]
		if len(names) == 0 || !t.Live() {
			continue
		}
		slices.Sort(names)
		key := strings.Join(names, " ")
		cl := classes[key]
		if cl == nil {
			cl = newClass(c, names, old[key])
			classes[key] = cl
		}
		state := d.targets[t.Name]
		state.class = cl
		cl.targets = append(cl.targets, state)
	}
	d.orderClasses(classes)
}

func newClass(c fleet.Config, events []string, old *class) *class {
	cl := &class{events: events, accounts: make(map[string]bool), got: make(map[string]int)}
	if old != nil {
		cl.floor = old.floor
	}
	for _, e := range c.Events {
		if !slices.Contains(events, e.Name) {
			continue
		}
		for _, a := range e.Accounts {
			cl.accounts[a] = true
		}
	}
	return cl
}

// orderClasses puts the classes of few events first: what only a few may use
// is given to them before they compete for what others need too.
func (d *Divider) orderClasses(classes map[string]*class) {
	d.classes = d.classes[:0:0]
	d.byEvent = make(map[string][]*class)
	for _, cl := range classes {
		d.classes = append(d.classes, cl)
	}
	slices.SortFunc(d.classes, func(a, b *class) int {
		return cmp.Or(cmp.Compare(len(a.events), len(b.events)), slices.Compare(a.events, b.events))
	})
	for _, a := range d.accounts {
		a.classes = nil
	}
	for _, cl := range d.classes {
		for _, e := range cl.events {
			d.byEvent[e] = append(d.byEvent[e], cl)
		}
		for name := range cl.accounts {
			if a := d.accounts[name]; a != nil {
				a.classes = append(a.classes, cl)
			}
		}
	}
}

// update sums up the reports afresh, lifts accounts that return from idle, and
// moves the floors. Between divisions each report only changes the sums.
func (d *Divider) update(now time.Time) {
	for _, a := range d.accounts {
		a.charged, a.waiting, a.running = 0, 0, 0
	}
	for _, r := range d.order {
		d.sum(r, 1)
	}
	for _, a := range d.accounts {
		d.lift(now, a)
	}
	for _, cl := range d.classes {
		cl.moveFloor(d.accounts)
	}
}

// sum adds a router's part to the sums of its accounts, or takes it away.
func (d *Divider) sum(r *router, sign int) {
	for _, q := range r.queues {
		if a := d.accounts[q.Account]; a != nil {
			a.waiting += sign * q.Waiting
		}
	}
	for _, name := range r.running {
		if a := d.accounts[name]; a != nil {
			a.charged += float64(sign) * r.usage[name].EstimatedCost
			a.running += sign * r.usage[name].Running
		}
	}
}

// idleGrace is how long an account may be without waiting work and still keep
// what it lags behind. Queues empty for moments while they are served.
const idleGrace = time.Second

// lift raises an account that starts to wait to the floor of the classes that
// it may use: time without waiting work earns no credit.
func (d *Divider) lift(now time.Time, a *account) {
	waits := a.waiting > 0
	if waits && now.Sub(a.waited) > idleGrace {
		for _, cl := range a.classes {
			a.level = max(a.level, cl.floor-a.charged/a.share)
		}
	}
	a.backlogged = waits
	if waits {
		a.waited = now
	}
}

// moveFloor sets the floor to the least level of the accounts that wait for
// the class and were given some of it; if none waits, to the highest level, so
// that nobody pays later for what was free to take.
func (cl *class) moveFloor(accounts map[string]*account) {
	least, most, found := 0.0, 0.0, false
	for name := range cl.accounts {
		a := accounts[name]
		if a == nil {
			continue
		}
		most = max(most, a.effective())
		if a.backlogged && cl.got[name] > 0 && (!found || a.effective() < least) {
			least, found = a.effective(), true
		}
	}
	if found {
		cl.floor = least
		return
	}
	cl.floor = most
}

// floor returns the level that a router assumes for an account of which it has
// heard none.
func (d *Divider) floor() float64 {
	highest := 0.0
	for _, cl := range d.classes {
		highest = max(highest, cl.floor)
	}
	return roundLevel(highest)
}

// Gap returns the largest difference in level between two accounts that both
// wait and may use a class in common.
func (d *Divider) Gap() float64 {
	gap := 0.0
	for _, cl := range d.classes {
		least, most, found := 0.0, 0.0, false
		for name := range cl.accounts {
			a := d.accounts[name]
			if a == nil || !a.backlogged {
				continue
			}
			if !found {
				least, most, found = a.effective(), a.effective(), true
			}
			least, most = min(least, a.effective()), max(most, a.effective())
		}
		gap = max(gap, most-least)
	}
	return gap
}
