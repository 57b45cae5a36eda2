package admission

import (
	"time"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/placement"
	"laburnumfall/internal/quota"
)

const (
	// callerPatience sets how long a caller waits at most before it comes back: the time that it has
	// left divided by it.
	callerPatience = 3
	// returnTime is the time that a caller needs to come back beyond what it was told: a handshake
	// with a router in another zone, and its own delays.
	returnTime = 100 * time.Millisecond
)

// HeldPlace admits requests at the time of their places like those within their account's share, as long
// as the account's debt at this router is bounded. Beyond that it admits them if there is headroom and
// they still meet the latency objective since they were refused. This headroom does not shrink with the
// service that the account gets, since its places are within its share.
//
// Without this rule, a caller that comes back meets admission like anybody else, and one that comes back
// once is often refused for good.
type HeldPlace struct{}

var _ Rule = HeldPlace{}

// Admits implements Rule.
func (HeldPlace) Admits(now time.Time, shares *quota.Shares, r Request, choice *placement.Choice) bool {
	if !r.HasPlace {
		return false
	}
	inTime := choice.PredictedTTFB <= r.Route.LatencyObjective-r.Waited
	return shares.MayOverdraw(now, r.Account) || inTime && Headroom{}.Admits(now, shares, r, choice)
}

// admitsOverShare reports whether a rule admits a request. If a place takes room beyond its account's
// balance, other requests of the account give as much back, so that places add no load.
func (c Controller) admitsOverShare(now time.Time, r Request, choice *placement.Choice) bool {
	if !c.admits(now, r, choice) {
		return false
	}
	if c.Places == nil || !c.Placer.Contended(r.Placement.Pool) {
		return true
	}
	if !r.HasPlace {
		return !c.Places.Repay(now, r.Account, r.Cost)
	}
	if !c.Shares.MayOverdraw(now, r.Account) {
		c.Places.Borrow(now, r.Account, r.Cost)
	}
	return true
}

// offerPlace offers a place to a refused request that may wait.
func (c Controller) offerPlace(now time.Time, r Request, refused *Refusal) {
	if refused == nil || c.Places == nil || !c.mayWait(r, refused.Reason) {
		return
	}
	refused.Waits = true
	if !c.expectsRoom(now, r, refused) {
		return
	}
	earliest, latest := placeWindow(now, r, refused.PredictedTTFB)
	refused.Place = c.Places.Offer(now, r.Account, r.Cost, c.Shares.LocalShare(now, r.Account), earliest, latest)
}

// expectsRoom reports whether a request would be admitted now if it had a place.
func (c Controller) expectsRoom(now time.Time, r Request, refused *Refusal) bool {
	hasHeadroom := refused.PredictedTTFB <= r.Route.LatencyObjective/headroomDivisor && refused.Load <= maxLoad
	return hasHeadroom || c.Shares.MayOverdraw(now, r.Account)
}

// mayWait reports whether a place would help a request. That is so if only its account's share is used
// up. Where targets are behind, a place would come after the latency objective, and would take the time
// of requests that still meet theirs. Requests without a prompt cannot be recognized when they come back.
func (c Controller) mayWait(r Request, reason fleet.Reason) bool {
	return reason == fleet.ReasonOverShare && len(r.Placement.Parts) > 0 && r.Cost > 0 && c.Placer.Contended(r.Placement.Pool)
}

// placeWindow returns the times between which a place is of use to a request: early enough that it meets
// its latency objective with the longest wait for which there is headroom, or with the one predicted now,
// and that its caller, which waits only for a part of its time, comes back. If the objective is out of
// reach, it may wait as long as any request that is asked to try again.
func placeWindow(now time.Time, r Request, predicted time.Duration) (earliest, latest time.Time) {
	timeLeft := r.Deadline.Sub(now)
	objective := r.Route.LatencyObjective
	wait := min(max(objective-max(predicted, objective/headroomDivisor)-returnTime, objective/retryDivisor), timeLeft/callerPatience, timeLeft-predicted)
	return now.Add(MinRetryAfter), now.Add(wait)
}
