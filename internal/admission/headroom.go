package admission

import (
	"time"

	"laburnumfall/internal/placement"
	"laburnumfall/internal/quota"
)

const (
	// headroomDivisor sets the headroom: a request over its account's share is admitted if its
	// predicted time to first byte, including prefill, is at most the route's latency objective
	// divided by it. Such a request does not push others past their objectives. One that needs a
	// long prefill waits until it is within the share.
	headroomDivisor = 2
	// excessTolerance is the ratio between the service of an account and that of an underserved
	// one above which headroom shrinks. A ratio of 2 counts as unfair.
	excessTolerance = 1.3
	// maxLoad is the part of a target's slots that may be in use for it to admit requests over
	// their account's share. Engines slow down with each running request, and a request within
	// its share must find a free slot.
	maxLoad = 0.75
	// startDivisor sets the part of the headroom within which a request with size credit must be
	// able to start. If it could use all of the headroom, it would be late and delay others.
	startDivisor = 4
)

// A HeadroomScale changes the headroom of an account: it takes a fraction of the headroom and
// returns the changed fraction.
type HeadroomScale interface {
	Scale(now time.Time, shares *quota.Shares, account string, fraction float64) float64
}

// Headroom admits requests that make no other request late: the first byte is predicted well
// within the latency objective, and slots are free. Without it, accounts would get no more than
// their share of the configured capacity, even with idle engines.
//
// For a request with size credit that can start almost at once, prefill of its own part does not
// count: that takes the same time at any target and at any time.
type Headroom struct {
	Scales []HeadroomScale
}

var _ Rule = Headroom{}

// Admits implements Rule.
func (h Headroom) Admits(now time.Time, shares *quota.Shares, r Request, choice *placement.Choice) bool {
	fraction := 1.0
	for _, scale := range h.Scales {
		fraction = scale.Scale(now, shares, r.Account, fraction)
	}
	headroom := time.Duration(float64(r.Route.LatencyObjective/headroomDivisor) * fraction)
	wait := choice.PredictedTTFB
	if startDelay := choice.PredictedTTFB - choice.OwnPrefillTime; r.sizeCredit && startDelay <= headroom/startDivisor {
		wait = startDelay
	}
	return wait <= headroom && choice.Load <= maxLoad*fraction
}

// ShrinkByExcess reduces the headroom of an account by how much more service it gets than
// accounts that are underserved. Without it, accounts with cached or short prompts use all
// headroom. Others, whose prompts need prefill, get less than half as much.
type ShrinkByExcess struct{}

var _ HeadroomScale = ShrinkByExcess{}

// Scale implements HeadroomScale.
func (ShrinkByExcess) Scale(now time.Time, shares *quota.Shares, account string, fraction float64) float64 {
	if excess := shares.ExcessRatio(now, account); excess > excessTolerance {
		fraction *= (excessTolerance / excess) * (excessTolerance / excess)
	}
	return fraction
}

// GrowByDeficit increases the headroom of an account, up to the whole latency objective, by how
// much more service another account gets. It is applied after ShrinkByExcess, so that an account
// between two others is compared with both.
type GrowByDeficit struct{}

var _ HeadroomScale = GrowByDeficit{}

// Scale implements HeadroomScale.
func (GrowByDeficit) Scale(now time.Time, shares *quota.Shares, account string, fraction float64) float64 {
	if deficit := shares.DeficitRatio(now, account); deficit > excessTolerance {
		fraction = min(fraction*(deficit/excessTolerance)*(deficit/excessTolerance), headroomDivisor)
	}
	return fraction
}
