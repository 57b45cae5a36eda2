package quota

import (
	"cmp"
	"math"
	"slices"
	"time"

	"laburnumfall/internal/message"
)

const (
	// burst is how much of its share an account may save up: uneven arrivals of
	// an account within its share must not count as too many.
	burst = time.Second
	// forgotten is how long an account that asks nothing is remembered.
	forgotten = 10 * time.Second
	// longestWait bounds when an account beyond its share is told to come back.
	longestWait = 2 * time.Second
)

// Shares is a router's account of what is due to each account through it. Set
// Capacity, then call the methods from one goroutine at a time.
type Shares struct {
	// Capacity is the tokens a second of all engines; 0 means that nobody
	// states it, and everything is within its share.
	Capacity float64

	accounts map[string]*account
	fleet    map[string]message.Demand // through all routers
	level    float64
}

type account struct {
	asked  rate
	served rate
	since  float64 // tokens admitted here since all routers were last heard of
	tokens float64 // saved up; below zero after a large request
	at     time.Time
}

// SetFleetDemand takes what each account asks for through all routers.
func (s *Shares) SetFleetDemand(demand []message.Demand) {
	s.fleet = make(map[string]message.Demand, len(demand))
	rates := make([]float64, 0, len(demand))
	for _, d := range demand {
		s.fleet[d.Account] = d
		rates = append(rates, d.Rate)
	}
	s.level = MaxMinLevel(s.Capacity, rates)
	for _, a := range s.accounts {
		a.since = 0
	}
}

// Demand returns what each account asks for through this router.
func (s *Shares) Demand(now time.Time) []message.Demand {
	list := make([]message.Demand, 0, len(s.accounts))
	for name, a := range s.accounts {
		if now.Sub(a.asked.at) > forgotten {
			delete(s.accounts, name)
			continue
		}
		list = append(list, message.Demand{Account: name, Rate: math.Round(a.asked.now(now)), Served: math.Round(a.served.now(now))})
	}
	slices.SortFunc(list, func(a, b message.Demand) int { return cmp.Compare(a.Account, b.Account) })
	return list
}

// CountRequest counts a request and reports whether it is within its account's share. A
// request of any size is, while the account has anything saved up: large ones
// must not starve.
func (s *Shares) CountRequest(now time.Time, name string, tokens float64) bool {
	a := s.account(now, name)
	a.asked.add(now, tokens)
	s.fill(now, name, a)
	return s.Capacity <= 0 || a.tokens > 0
}

// Spend takes an admitted request from what its account has saved up.
func (s *Shares) Spend(now time.Time, name string, tokens float64) {
	a := s.account(now, name)
	s.fill(now, name, a)
	a.tokens -= tokens
	a.served.add(now, tokens)
	a.since += tokens
}

// Refund gives back what was spent on a request that no target ran.
func (s *Shares) Refund(now time.Time, name string, tokens float64) {
	a := s.account(now, name)
	s.fill(now, name, a)
	a.tokens += tokens
	a.served.add(now, -min(tokens, a.served.now(now)*rateMemory.Seconds()))
	a.since = max(a.since-tokens, 0)
}

// ExcessRatio returns how many times as much an account is served as another one that
// lacks service, through all routers: the greatest of these ratios, where an
// account that asks for less than this one gets is held against what it asks. It
// is at most 1 while nobody lacks anything on account of this one.
func (s *Shares) ExcessRatio(now time.Time, name string) float64 {
	served := s.servedAll(now, name)
	excess := 0.0
	for other, d := range s.fleet {
		if other != name && d.Served > 0 {
			excess = max(excess, min(d.Rate, served)/d.Served)
		}
	}
	return excess
}

// DeficitRatio returns how many times as much as this account another one is served, through
// all routers, as far as this one asks for it: at least 1.
func (s *Shares) DeficitRatio(now time.Time, name string) float64 {
	mine := s.fleet[name]
	served := s.servedAll(now, name)
	if served <= 0 {
		return 1
	}
	deficit := 1.0
	for other, d := range s.fleet {
		if other != name {
			deficit = max(deficit, min(mine.Rate, d.Served)/served)
		}
	}
	return deficit
}

// servedAll returns what an account is served through all routers: what was last heard,
// and what this router has admitted since, as often as the account asks for more through
// all routers than here. Others admit at the same moment for the same reason, and what they
// do is heard only after it is done.
func (s *Shares) servedAll(now time.Time, name string) float64 {
	a, all := s.account(now, name), s.fleet[name]
	times := 1.0
	if here := a.asked.now(now); here > 0 {
		times = max(1, all.Rate/here)
	}
	return max(all.Served+a.since/rateMemory.Seconds()*times, a.served.now(now))
}

// RefillTime returns how long until an account has something saved up again.
func (s *Shares) RefillTime(now time.Time, name string) time.Duration {
	a := s.account(now, name)
	s.fill(now, name, a)
	due := s.due(now, name, a)
	if a.tokens > 0 || due <= 0 {
		return 0
	}
	return min(time.Duration(-a.tokens/due*float64(time.Second)), longestWait)
}

func (s *Shares) account(now time.Time, name string) *account {
	if s.accounts == nil {
		s.accounts = make(map[string]*account)
	}
	a := s.accounts[name]
	if a == nil {
		a = &account{at: now, tokens: 1} // its first request is within its share
		s.accounts[name] = a
	}
	return a
}

// due returns the tokens a second that are due to an account through this
// router: of its share, the part that it asks for here.
func (s *Shares) due(now time.Time, name string, a *account) float64 {
	here := a.asked.now(now)
	all := max(s.fleet[name].Rate, here)
	if all <= 0 {
		return s.level
	}
	share := s.level
	if s.level <= 0 {
		share = s.Capacity
	}
	return share * here / all
}

func (s *Shares) fill(now time.Time, name string, a *account) {
	due := s.due(now, name, a)
	// Debt is bounded: what was free to take in a quiet moment must not keep the
	// account out for long afterwards.
	a.tokens = max(a.tokens, -due*longestWait.Seconds())
	a.tokens = min(a.tokens+due*now.Sub(a.at).Seconds(), due*burst.Seconds())
	a.at = now
}
