// Package admission implements admission control: it decides whether a request is sent to a
// target now, and to which one, or is refused at once with a Retry-After time.
//
// A Controller is deterministic: its methods take the time and a request, and it has no clock,
// goroutine or socket. Routers use it, and so does the simulation in internal/workload.
//
// Requests within their account's share are sent. A request over the share is sent only if one of
// the controller's rules admits it. Each rule is a type in a file of its own.
package admission

import (
	"time"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/placement"
	"laburnumfall/internal/quota"
	"laburnumfall/internal/waitlist"
)

const (
	// MinRetryAfter is the shortest time that a refused caller is asked to wait, such as before
	// it tries another router.
	MinRetryAfter = 50 * time.Millisecond
	// NoCapacityRetryAfter is when to retry if there was no capacity. A slot becomes free in
	// about this time.
	NoCapacityRetryAfter = 300 * time.Millisecond
	// VersionRetryAfter is when to retry if no target runs the version that the request needs. One
	// that has ended may start again.
	VersionRetryAfter = time.Second
	// EvacuatedRetryAfter is when to retry if all targets are evacuated.
	EvacuatedRetryAfter = 3 * time.Second
)

// A Request holds what an admission decision depends on.
type Request struct {
	Placement placement.Request
	Route     *fleet.Route
	Account   string
	// Cost is the size of the request in tokens: a prompt token costs one, a generated token two.
	Cost float64
	// Deadline is when the caller or the route gives up.
	Deadline time.Time
	// WithinShare is whether the request is within its account's share. Throttled is whether an
	// overloaded service would refuse it. SentBefore is whether a target has already received
	// it: then it is not refused for either reason. Charged is whether its account has been
	// charged for it.
	WithinShare bool
	Throttled   bool
	SentBefore  bool
	Charged     bool
	// HasPlace is whether the time of the request's place has come. Waited is the time since it was
	// refused and got the place.
	HasPlace bool
	Waited   time.Duration
	// Charge, if set, receives how much was taken from the account's balance when it was charged.
	Charge *float64

	sizeCredit bool // admit a prompt of this size more easily
}

// A Refusal is the reason why a request is not sent, and when its caller may retry.
type Refusal struct {
	Reason        fleet.Reason
	RetryAfter    time.Duration
	PredictedTTFB time.Duration // of the best target
	QueueTime     time.Duration // part of PredictedTTFB caused by other requests
	Load          float64       // of the best target: running requests divided by slots
	Excess        float64       // service of the account relative to underserved ones
	// Waits is whether the request may have a place. Place is one that it is offered, if any.
	Waits bool
	Place waitlist.Offer
}

// A Rule admits certain requests of accounts that are over their share.
type Rule interface {
	Admits(now time.Time, shares *quota.Shares, r Request, choice *placement.Choice) bool
}

// A RetryPolicy sets when a caller may retry that was refused because its account is over its
// share.
type RetryPolicy interface {
	RetryAfter(now time.Time, shares *quota.Shares, r Request) time.Duration
}

// A Controller makes the admission decisions of one router. Set all its fields, then call its
// methods from one goroutine at a time.
type Controller struct {
	Placer       *placement.Placer
	Shares       *quota.Shares
	SizeFairness *SizeFairness // nil to treat prompts of all sizes alike
	Rules        []Rule
	RetryPolicy  RetryPolicy
	Places       *waitlist.Book // nil to give no places
}

// NewController returns a Controller with the rules that routers use.
func NewController(placer *placement.Placer, shares *quota.Shares) Controller {
	return Controller{
		Placer: placer, Shares: shares, SizeFairness: &SizeFairness{},
		Rules:       []Rule{Headroom{Scales: []HeadroomScale{ShrinkByExcess{}, GrowByDeficit{}}}, ShortWait{}, HeldPlace{}},
		RetryPolicy: LatencyAwareRetry{},
	}
}

// Decide chooses a target, or refuses the request. It refuses a request that would still be
// queued when its caller gives up, and one that is over its account's share if no rule admits it.
//
// With a chosen target, the request counts as sent: report the outcome to the placer.
func (c Controller) Decide(now time.Time, r Request) (*placement.Choice, *Refusal) {
	sized := c.SizeFairness.count(r)
	r.sizeCredit = sized.hasCredit()
	choice, refusal := c.decide(now, r)
	c.offerPlace(now, r, refusal)
	sized.recordDecision(refusal == nil)
	return choice, refusal
}

// decide does the work of Decide, after the size of the request has been counted.
func (c Controller) decide(now time.Time, r Request) (*placement.Choice, *Refusal) {
	choice, ok := c.Placer.Choose(now, r.Placement)
	if !ok {
		return nil, c.noTargetRefusal(now, r.Placement)
	}
	switch {
	case r.Throttled && !r.SentBefore:
		return nil, c.newRefusal(now, r, choice, fleet.ReasonServiceOverloaded, NoCapacityRetryAfter)
	case choice.PredictedTTFB > min(r.Route.AbandonAfter(), r.Deadline.Sub(now)):
		return nil, c.newRefusal(now, r, choice, fleet.ReasonWaitTooLong, max(choice.PredictedTTFB-r.Route.LatencyObjective, MinRetryAfter))
	case !r.WithinShare && !r.SentBefore && !c.admitsOverShare(now, r, choice):
		return nil, c.newRefusal(now, r, choice, fleet.ReasonOverShare, c.RetryPolicy.RetryAfter(now, c.Shares, r))
	}
	if !r.Charged && r.Cost > 0 {
		charge := c.Shares.Spend(now, r.Account, r.Cost)
		if r.Charge != nil {
			*r.Charge = charge
		}
	}
	c.Placer.StartAttempt(now, choice, r.Placement)
	return choice, nil
}

// noTargetRefusal returns the reason why no target takes a request. An evacuation lasts until
// operators end it, so an early retry would only be refused again.
func (c Controller) noTargetRefusal(now time.Time, r placement.Request) *Refusal {
	if end, ok := c.Placer.BackoffEnd(now, r); ok {
		return &Refusal{Reason: fleet.ReasonAllBackingOff, RetryAfter: max(end.Sub(now), MinRetryAfter)}
	}
	if refusal := c.memoryRefusal(now, r); refusal != nil {
		return refusal
	}
	if r.OnlyVersion != nil && !c.Placer.HasVersion(r) {
		return &Refusal{Reason: fleet.ReasonVersionGone, RetryAfter: VersionRetryAfter}
	}
	switch evacuated, warming := c.Placer.UnavailableReason(now, r.Pool); {
	case evacuated:
		return &Refusal{Reason: fleet.ReasonAllEvacuated, RetryAfter: EvacuatedRetryAfter}
	case warming:
		return &Refusal{Reason: fleet.ReasonWarming, RetryAfter: NoCapacityRetryAfter}
	default:
		return &Refusal{Reason: fleet.ReasonNoTarget, RetryAfter: NoCapacityRetryAfter}
	}
}

// admits reports whether any rule admits a request.
func (c Controller) admits(now time.Time, r Request, choice *placement.Choice) bool {
	for _, rule := range c.Rules {
		if rule.Admits(now, c.Shares, r, choice) {
			return true
		}
	}
	return false
}

func (c Controller) newRefusal(now time.Time, r Request, choice *placement.Choice, reason fleet.Reason, retryAfter time.Duration) *Refusal {
	return &Refusal{Reason: reason, RetryAfter: retryAfter, PredictedTTFB: choice.PredictedTTFB, QueueTime: choice.QueueTime, Load: choice.Load, Excess: c.Shares.ExcessRatio(now, r.Account)}
}
