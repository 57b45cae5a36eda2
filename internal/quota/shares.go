package quota

import (
	"cmp"
	"math"
	"slices"
	"time"

	"laburnumfall/internal/message"
)

const (
	// maxBurst bounds an account's balance, in time at its share. Uneven arrivals within the
	// share must not count as exceeding it.
	maxBurst = time.Second
	// accountIdleTimeout is how long an account without requests is remembered.
	accountIdleTimeout = 10 * time.Second
	// maxRefillTime bounds the Retry-After time of an account over its share, and its debt.
	maxRefillTime = 2 * time.Second
)

// Shares tracks the accounts' use of their shares on one router. Set Capacity, then call its
// methods from one goroutine at a time.
type Shares struct {
	// Capacity is the throughput of all engines in tokens per second. If it is 0, it is unknown,
	// and every request is within its account's share.
	Capacity float64

	accounts    map[string]*account
	fleetDemand map[string]message.Demand // by account, over all routers
	level       float64
}

type account struct {
	requested           rate
	served              rate
	admittedSinceReport float64 // tokens admitted by this router since the last report from the leader
	balance             float64 // tokens; negative after a large request
	refilledAt          time.Time
}

// SetFleetDemand sets the demand of each account over all routers.
func (s *Shares) SetFleetDemand(demand []message.Demand) {
	s.fleetDemand = make(map[string]message.Demand, len(demand))
	rates := make([]float64, 0, len(demand))
	for _, d := range demand {
		s.fleetDemand[d.Account] = d
		rates = append(rates, d.Rate)
	}
	s.level = MaxMinLevel(s.Capacity, rates)
	for _, a := range s.accounts {
		a.admittedSinceReport = 0
	}
}

// Demand returns the demand of each account through this router, sorted by account. It forgets
// accounts that have been idle for too long.
func (s *Shares) Demand(now time.Time) []message.Demand {
	list := make([]message.Demand, 0, len(s.accounts))
	for name, a := range s.accounts {
		if now.Sub(a.requested.updatedAt) > accountIdleTimeout {
			delete(s.accounts, name)
			continue
		}
		list = append(list, message.Demand{Account: name, Rate: math.Round(a.requested.current(now)), Served: math.Round(a.served.current(now))})
	}
	slices.SortFunc(list, func(a, b message.Demand) int { return cmp.Compare(a.Account, b.Account) })
	return list
}

// CountRequest adds a request to its account's demand and reports whether it is within the
// account's share. That holds for a request of any size while the account has a positive balance,
// so that large requests do not starve.
func (s *Shares) CountRequest(now time.Time, name string, tokens float64) bool {
	a := s.account(now, name)
	a.requested.add(now, tokens)
	s.refill(now, name, a)
	return s.Capacity <= 0 || a.balance > 0
}

// Spend takes the cost of an admitted request from its account's balance, and returns the part of it
// that counts: the debt is bounded, so the next refill drops the rest.
func (s *Shares) Spend(now time.Time, name string, tokens float64) float64 {
	a := s.account(now, name)
	s.refill(now, name, a)
	charged := min(tokens, max(a.balance+s.maxDebt(now, name, a), 0))
	a.balance -= tokens
	a.served.add(now, tokens)
	a.admittedSinceReport += tokens
	return charged
}

// Refund reverses Spend for a request that no target ran.
func (s *Shares) Refund(now time.Time, name string, tokens, charged float64) {
	a := s.account(now, name)
	s.refill(now, name, a)
	a.balance += charged
	a.served.add(now, -min(tokens, a.served.current(now)*rateTimeConstant.Seconds()))
	a.admittedSinceReport = max(a.admittedSinceReport-tokens, 0)
}

// ExcessRatio returns how many times more service an account gets than another one that is
// underserved, over all routers. It is the largest such ratio; the account's service counts only
// up to the demand of the other one. It is at most 1 if the account takes no service from others.
func (s *Shares) ExcessRatio(now time.Time, name string) float64 {
	served := s.servedFleetWide(now, name)
	excess := 0.0
	for other, d := range s.fleetDemand {
		if other != name && d.Served > 0 {
			excess = max(excess, min(d.Rate, served)/d.Served)
		}
	}
	return excess
}

// DeficitRatio returns how many times more service another account gets than this one, over all
// routers; the other's service counts only up to this account's demand. It is at least 1.
func (s *Shares) DeficitRatio(now time.Time, name string) float64 {
	demand := s.fleetDemand[name]
	served := s.servedFleetWide(now, name)
	if served <= 0 {
		return 1
	}
	deficit := 1.0
	for other, d := range s.fleetDemand {
		if other != name {
			deficit = max(deficit, min(demand.Rate, d.Served)/served)
		}
	}
	return deficit
}

// servedFleetWide estimates the service of an account over all routers: the latest reported
// value, plus what all routers have admitted since.
func (s *Shares) servedFleetWide(now time.Time, name string) float64 {
	a := s.account(now, name)
	admitted := a.admittedSinceReport * s.routerScale(now, name, a)
	return max(s.fleetDemand[name].Served+admitted/rateTimeConstant.Seconds(), a.served.current(now))
}

// routerScale returns the ratio of an account's demand over all routers to its demand here, at
// least 1. Other routers admit requests at the same time for the same reason, and their reports
// come only afterwards: what this router has admitted, multiplied by it, estimates what all have.
func (s *Shares) routerScale(now time.Time, name string, a *account) float64 {
	local := a.requested.current(now)
	if local <= 0 {
		return 1
	}
	return max(1, s.fleetDemand[name].Rate/local)
}

// UnreportedLoad estimates the load by what other routers have admitted of an account since the
// last report from the leader: its tokens, divided by those that all engines process in the time
// over which rates are averaged. It is 0 if the capacity is unknown, or for nil Shares.
func (s *Shares) UnreportedLoad(now time.Time, name string) float64 {
	if s == nil || s.Capacity <= 0 {
		return 0
	}
	a := s.account(now, name)
	admittedElsewhere := a.admittedSinceReport * (s.routerScale(now, name, a) - 1)
	return admittedElsewhere / (s.Capacity * rateTimeConstant.Seconds())
}

// RefillTime returns how long it takes until an account's balance is positive again, at most
// maxRefillTime.
func (s *Shares) RefillTime(now time.Time, name string) time.Duration {
	a := s.account(now, name)
	s.refill(now, name, a)
	localShare := s.localShare(now, name, a)
	if a.balance > 0 || localShare <= 0 {
		return 0
	}
	return min(time.Duration(-a.balance/localShare*float64(time.Second)), maxRefillTime)
}

func (s *Shares) account(now time.Time, name string) *account {
	if s.accounts == nil {
		s.accounts = make(map[string]*account)
	}
	a := s.accounts[name]
	if a == nil {
		a = &account{refilledAt: now, balance: 1} // the first request is within the share
		s.accounts[name] = a
	}
	return a
}

// localShare returns the tokens per second that an account may use through this router: its
// share, in proportion to its demand here.
func (s *Shares) localShare(now time.Time, name string, a *account) float64 {
	local := a.requested.current(now)
	total := max(s.fleetDemand[name].Rate, local)
	if total <= 0 {
		return s.level
	}
	share := s.level
	if s.level <= 0 {
		share = s.Capacity
	}
	return share * local / total
}

func (s *Shares) refill(now time.Time, name string, a *account) {
	localShare := s.localShare(now, name, a)
	a.balance = max(a.balance, -s.maxDebt(now, name, a))
	a.balance = min(a.balance+localShare*now.Sub(a.refilledAt).Seconds(), localShare*maxBurst.Seconds())
	a.refilledAt = now
}

// maxDebt returns the bound of an account's debt. It is bounded so that requests admitted while
// capacity was free do not exclude the account for long afterwards.
func (s *Shares) maxDebt(now time.Time, name string, a *account) float64 {
	return s.localShare(now, name, a) * maxRefillTime.Seconds()
}
