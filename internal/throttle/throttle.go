// Package throttle limits the requests sent to an overloaded service.
//
// A service with several times more demand than capacity refuses most requests. If routers
// forward all of them, chance decides which are served: an account with few requests is refused
// as often as one that floods the service. The service's queue is always full, so even its
// answers are late, and each refusal costs a round trip. A router that holds most of the excess
// back keeps that queue short and chooses which requests to send, by max-min fairness between
// accounts.
//
// Everything is deterministic: methods take the time and an event, and there is no clock,
// goroutine or socket. Routers do not coordinate; each one uses the results of its own requests.
package throttle

import (
	"math"
	"time"

	"laburnumfall/internal/quota"
)

const (
	// overcommit is the rate at which requests are sent to a pool, relative to the rate of
	// answers without overload. The excess over 1 keeps the slots busy and detects free capacity:
	// one request in three then meets a long queue or is refused. With a much lower value, bursts
	// that are uneven between routers would leave slots free.
	overcommit = 1.5
	// maxOverloadedFraction is the part of answers with overload up to which nothing is held
	// back. It is well below the third that overcommit leads to.
	maxOverloadedFraction = 0.05
	// rateTimeConstant is the time over which rates are averaged. It is long compared with a
	// round trip and short compared with the seconds after which callers give up.
	rateTimeConstant = 2 * time.Second
	// probeRate is how many requests per second a router sends while all are refused, so that it
	// notices when the service recovers.
	probeRate = 1.0
	// levelLifetime is how long the fair level between accounts is used before it is recomputed.
	levelLifetime = 100 * time.Millisecond
	// maxCredit bounds the requests that an account may save up while it sends few.
	maxCredit = 2.0
	// accountIdleTimeout is how long an account without requests is remembered.
	accountIdleTimeout = 5 * rateTimeConstant
)

// A Throttle limits what one router sends to one pool. Call its methods from one goroutine at a
// time, with times that never decrease.
type Throttle struct {
	accounts   map[string]*account
	accepted   rate      // answers without overload
	overloaded rate      // answers with overload
	level      float64   // maximum requests per second of an account
	levelAt    time.Time // when level was computed
}

type account struct {
	requested rate
	credit    float64 // in requests
}

// Allow counts a request of an account and reports whether it may be sent.
func (t *Throttle) Allow(now time.Time, name string) bool {
	a := t.account(name)
	a.requested.add(now)
	if now.Sub(t.levelAt) >= levelLifetime {
		t.updateLevel(now)
	}
	fraction := 1.0
	if rate := a.requested.current(now); rate > t.level {
		fraction = t.level / rate
	}
	a.credit = min(a.credit+fraction, maxCredit)
	if a.credit < 1 {
		return false
	}
	a.credit--
	return true
}

// RecordAnswer counts an answer of a target. Overloaded means that the target refused the request
// for lack of capacity, or reported a long queue.
func (t *Throttle) RecordAnswer(now time.Time, overloaded bool) {
	if overloaded {
		t.overloaded.add(now)
		return
	}
	t.accepted.add(now)
}

func (t *Throttle) account(name string) *account {
	if t.accounts == nil {
		t.accounts = make(map[string]*account)
	}
	a := t.accounts[name]
	if a == nil {
		a = &account{credit: 1} // the first request is sent
		t.accounts[name] = a
	}
	return a
}

// updateLevel recomputes the fair level between accounts. It is infinite while few answers report
// overload.
func (t *Throttle) updateLevel(now time.Time) {
	t.levelAt = now
	t.level = math.Inf(1)
	rates := make([]float64, 0, len(t.accounts))
	for name, a := range t.accounts {
		if now.Sub(a.requested.updatedAt) > accountIdleTimeout {
			delete(t.accounts, name)
			continue
		}
		rates = append(rates, a.requested.current(now))
	}
	accepted, overloaded := t.accepted.current(now), t.overloaded.current(now)
	if overloaded <= maxOverloadedFraction*(accepted+overloaded) {
		return
	}
	t.level = quota.MaxMinLevel(overcommit*accepted+probeRate, rates)
}

// A rate is a moving average of requests per second that decays exponentially.
type rate struct {
	value     float64
	updatedAt time.Time
}

func (r *rate) add(now time.Time) {
	r.value = r.current(now) + 1/rateTimeConstant.Seconds()
	r.updatedAt = now
}

func (r *rate) current(now time.Time) float64 {
	return r.value * math.Exp(-now.Sub(r.updatedAt).Seconds()/rateTimeConstant.Seconds())
}
