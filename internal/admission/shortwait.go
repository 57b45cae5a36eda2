package admission

import (
	"time"

	"laburnumfall/internal/placement"
	"laburnumfall/internal/quota"
)

// shortWaitDivisor sets what counts as a short wait: the route's latency objective divided by it.
const shortWaitDivisor = 10

// ShortWait admits requests whose predicted time to first byte is a small part of the latency
// objective, regardless of the account's credit: they hardly delay anyone. Without it, accounts
// with more service than others get neither prefill time nor slots while these are idle, and most
// of the refused callers have short prompts.
//
// Slots that were free at the last report are free only once: what other routers have admitted of
// the account since then counts as load, the more so the more service it gets than others. Without
// that, an account that comes in through many routers fills the same slots several times over,
// ahead of accounts with less service.
type ShortWait struct{}

var _ Rule = ShortWait{}

// Admits implements Rule.
func (ShortWait) Admits(now time.Time, shares *quota.Shares, r Request, choice *placement.Choice) bool {
	return choice.PredictedTTFB-choice.FixedTime <= r.Route.LatencyObjective/shortWaitDivisor && choice.Load+loadElsewhere(now, shares, r.Account) <= maxLoad
}

// loadElsewhere returns the load by what other routers have admitted of an account since the last
// report, weighted by the account's service beyond that of an underserved one.
func loadElsewhere(now time.Time, shares *quota.Shares, account string) float64 {
	load := shares.UnreportedLoad(now, account)
	if load <= 0 {
		return 0
	}
	return load * max(shares.ExcessRatio(now, account)-1, 0)
}
