// Package admission decides whether a request is sent to a target now, and to which,
// or refused at once with the time to come back.
//
// A Controller is deterministic: it takes a time and a request; it has no clock, goroutine
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
	// MinRetryAfter is when a caller may come back to another router at once.
	MinRetryAfter = 50 * time.Millisecond
	// NoCapacityRetryAfter is when a caller may come back that found no room: about the time
	// in which a place comes free.
	NoCapacityRetryAfter = 300 * time.Millisecond
	// EvacuatedRetryAfter is when a caller may come back that found all targets evacuated.
	EvacuatedRetryAfter = 3 * time.Second
)

// A Request is what a decision depends on.
type Request struct {
	Placement placement.Request
	Route     *fleet.Route
	Account   string
	// Cost is what it costs: one each to read, two to generate.
	Cost float64
	// Deadline is when its caller or its route gives up.
	Deadline time.Time
	// WithinShare says that it is within its account's share, Throttled that a crowded
	// service would refuse it, and SentBefore that a target has had it: it is not held
	// against the share again. Charged says that its account has paid for it.
	WithinShare bool
	Throttled   bool
	SentBefore  bool
	Charged     bool

	owed bool // a chance by its size
}

// A Refusal says why a request is not sent, and when its caller may come back.
type Refusal struct {
	Reason        fleet.Reason
	RetryAfter    time.Duration
	PredictedTTFB time.Duration // predicted
	QueueTime     time.Duration // of that, for the work of others
	Load          float64       // part of the target's slots that is taken
	Excess        float64       // of the account over others that lack service
}

// A Rule lets work beyond its account's share in, for a reason of its own.
type Rule interface {
	Admits(now time.Time, s *quota.Shares, r Request, c *placement.Choice) bool
}

// A RetryPolicy says when a caller may come back that was refused beyond its account's share.
type RetryPolicy interface {
	RetryAfter(now time.Time, s *quota.Shares, r Request) time.Duration
}

// A Controller decides for one router. Set all its fields, then call it from one goroutine at a
// time.
type Controller struct {
	Placer       *placement.Placer
	Shares       *quota.Shares
	SizeFairness *SizeFairness // nil where sizes are owed nothing
	Rules        []Rule
	RetryPolicy  RetryPolicy
}

// NewController returns the decisions that routers go by.
func NewController(p *placement.Placer, s *quota.Shares) Controller {
	return Controller{
		Placer: p, Shares: s, SizeFairness: &SizeFairness{},
		Rules:       []Rule{Headroom{Scales: []HeadroomScale{ShrinkByExcess{}, GrowByDeficit{}}}, ShortWait{}},
		RetryPolicy: LatencyAwareRetry{},
	}
}

// Decide picks a target, or refuses at once what would only wait until its caller
// has left, and what is beyond its account's share where there is no room. Where it
// picks one, the request counts as sent there: tell the placer how it ends.
func (d Controller) Decide(now time.Time, r Request) (*placement.Choice, *Refusal) {
	size := d.SizeFairness.ask(r)
	r.owed = size.owed()
	choice, refused := d.decide(now, r)
	size.decided(refused == nil)
	return choice, refused
}

// decide is Decide, for a request whose size has been counted.
func (d Controller) decide(now time.Time, r Request) (*placement.Choice, *Refusal) {
	choice, ok := d.Placer.Choose(now, r.Placement)
	if !ok {
		return nil, d.noTarget(now, r.Placement.Pool)
	}
	switch {
	case r.Throttled && !r.SentBefore:
		return nil, d.refusal(now, r, choice, fleet.ReasonCrowded, NoCapacityRetryAfter)
	case choice.PredictedTTFB > min(r.Route.Patience(), r.Deadline.Sub(now)):
		return nil, d.refusal(now, r, choice, fleet.ReasonBehind, max(choice.PredictedTTFB-r.Route.Aim, MinRetryAfter))
	case !r.WithinShare && !r.SentBefore && !d.lets(now, r, choice):
		return nil, d.refusal(now, r, choice, fleet.ReasonOverShare, d.RetryPolicy.RetryAfter(now, d.Shares, r))
	}
	if !r.Charged && r.Cost > 0 {
		d.Shares.Spend(now, r.Account, r.Cost)
	}
	d.Placer.StartAttempt(now, choice, r.Placement)
	return choice, nil
}

// noTarget says why no target takes a request. An evacuation lasts for as long as operators
// want; whoever comes back sooner than after a while is refused again.
func (d Controller) noTarget(now time.Time, pool string) *Refusal {
	switch evacuated, warming := d.Placer.UnavailableReason(now, pool); {
	case evacuated:
		return &Refusal{Reason: fleet.ReasonEvacuated, RetryAfter: EvacuatedRetryAfter}
	case warming:
		return &Refusal{Reason: fleet.ReasonWarming, RetryAfter: NoCapacityRetryAfter}
	default:
		return &Refusal{Reason: fleet.ReasonNoTarget, RetryAfter: NoCapacityRetryAfter}
	}
}

// lets reports whether any rule lets a request in.
func (d Controller) lets(now time.Time, r Request, c *placement.Choice) bool {
	for _, rule := range d.Rules {
		if rule.Admits(now, d.Shares, r, c) {
			return true
		}
	}
	return false
}

func (d Controller) refusal(now time.Time, r Request, c *placement.Choice, why fleet.Reason, back time.Duration) *Refusal {
	return &Refusal{Reason: why, RetryAfter: back, PredictedTTFB: c.PredictedTTFB, QueueTime: c.QueueTime, Load: c.Load, Excess: d.Shares.ExcessRatio(now, r.Account)}
}
