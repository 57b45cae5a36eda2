// Package admission decides whether a request is sent to a target now, and to which,
// or refused at once with the time to come back.
//
// A Desk is deterministic: it takes a time and a request; it has no clock, goroutine
// or socket. Routers go by it, and so do the measurements of internal/workload.
//
// What is within an account's share is sent. What is beyond it is sent where one of the
// desk's rules lets it in, each of which is a type and a file of its own.
package admission

import (
	"time"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/placement"
	"laburnumfall/internal/quota"
)

const (
	// Soon is when a caller may come back to another router at once.
	Soon = 50 * time.Millisecond
	// Moment is when a caller may come back that found no room: about the time
	// in which a place comes free.
	Moment = 300 * time.Millisecond
	// While is when a caller may come back that found all targets evacuated.
	While = 3 * time.Second
)

// A Request is what a decision depends on.
type Request struct {
	Place   placement.Request
	Route   *fleet.Route
	Account string
	// Tokens are what it costs: one each to read, two to generate.
	Tokens float64
	// Until is when its caller or its route gives up.
	Until time.Time
	// Within says that it is within its account's share, Surplus that a crowded
	// service would refuse it, and Sent that a target has had it: it is not held
	// against the share again. Charged says that its account has paid for it.
	Within  bool
	Surplus bool
	Sent    bool
	Charged bool

	owed bool // a chance by its size
}

// A Refusal says why a request is not sent, and when its caller may come back.
type Refusal struct {
	Reason fleet.Reason
	Back   time.Duration
	Wait   time.Duration // predicted
	Queue  time.Duration // of that, for the work of others
	Load   float64       // part of the target's slots that is taken
	Excess float64       // of the account over others that lack service
}

// A Rule lets work beyond its account's share in, for a reason of its own.
type Rule interface {
	Lets(now time.Time, s *quota.Shares, r Request, c *placement.Choice) bool
}

// A Return says when a caller may come back that was refused beyond its account's share.
type Return interface {
	Back(now time.Time, s *quota.Shares, r Request) time.Duration
}

// A Desk decides for one router. Set all its fields, then call it from one goroutine at a
// time.
type Desk struct {
	Placer *placement.Placer
	Shares *quota.Shares
	Sizes  *Sizes // nil where sizes are owed nothing
	Rules  []Rule
	Return Return
}

// NewDesk returns the decisions that routers go by.
func NewDesk(p *placement.Placer, s *quota.Shares) Desk {
	return Desk{
		Placer: p, Shares: s, Sizes: &Sizes{},
		Rules:  []Rule{Room{Scales: []Scale{Yield{}, Reach{}}}, Brief{}},
		Return: InTime{},
	}
}

// Decide picks a target, or refuses at once what would only wait until its caller
// has left, and what is beyond its account's share where there is no room. Where it
// picks one, the request counts as sent there: tell the placer how it ends.
func (d Desk) Decide(now time.Time, r Request) (*placement.Choice, *Refusal) {
	size := d.Sizes.ask(r)
	r.owed = size.owed()
	choice, refused := d.decide(now, r)
	size.decided(refused == nil)
	return choice, refused
}

// decide is Decide, for a request whose size has been counted.
func (d Desk) decide(now time.Time, r Request) (*placement.Choice, *Refusal) {
	choice, ok := d.Placer.Choose(now, r.Place)
	if !ok {
		return nil, d.noTarget(now, r.Place.Pool)
	}
	switch {
	case r.Surplus && !r.Sent:
		return nil, d.refusal(now, r, choice, fleet.ReasonServiceOverloaded, Moment)
	case choice.Wait > min(r.Route.AbandonAfter(), r.Until.Sub(now)):
		return nil, d.refusal(now, r, choice, fleet.ReasonWaitTooLong, max(choice.Wait-r.Route.LatencyObjective, Soon))
	case !r.Within && !r.Sent && !d.lets(now, r, choice):
		return nil, d.refusal(now, r, choice, fleet.ReasonOverShare, d.Return.Back(now, d.Shares, r))
	}
	if !r.Charged && r.Tokens > 0 {
		d.Shares.Spend(now, r.Account, r.Tokens)
	}
	d.Placer.Begin(now, choice, r.Place)
	return choice, nil
}

// noTarget says why no target takes a request. An evacuation lasts for as long as operators
// want; whoever comes back sooner than after a while is refused again.
func (d Desk) noTarget(now time.Time, pool string) *Refusal {
	switch evacuated, warming := d.Placer.Shut(now, pool); {
	case evacuated:
		return &Refusal{Reason: fleet.ReasonAllEvacuated, Back: While}
	case warming:
		return &Refusal{Reason: fleet.ReasonWarming, Back: Moment}
	default:
		return &Refusal{Reason: fleet.ReasonNoTarget, Back: Moment}
	}
}

// lets reports whether any rule lets a request in.
func (d Desk) lets(now time.Time, r Request, c *placement.Choice) bool {
	for _, rule := range d.Rules {
		if rule.Lets(now, d.Shares, r, c) {
			return true
		}
	}
	return false
}

func (d Desk) refusal(now time.Time, r Request, c *placement.Choice, why fleet.Reason, back time.Duration) *Refusal {
	return &Refusal{Reason: why, Back: back, Wait: c.Wait, Queue: c.Queue, Load: c.Load, Excess: d.Shares.Excess(now, r.Account)}
}
