// Package throttle keeps back what a crowded service would refuse anyway.
//
// A service that is asked for several times what it can do refuses most requests.
// Routers that send it everything let chance decide who is served: an account with
// a few requests is refused as often as one that floods, its queue is full at all
// times, so that what it does answer is late, and each refusal costs a round trip.
// A router that keeps most of the surplus back leaves room in that queue, and may
// choose: here, max-min between accounts.
//
// Everything here is deterministic: (time, message) in, answer out. Routers tell
// each other nothing; each goes by what its own requests met.
package throttle

import (
	"math"
	"time"

	"laburnumfall/internal/quota"
)

const (
	// surplus is how many times as much is sent to a pool as it answered without a long
	// queue. The rest above one keeps its slots busy and shows whether it can take
	// more: it settles where one request in three finds a long queue, or no room. Were it
	// much less, bursts of uneven routers would leave slots free.
	surplus = 1.5
	// sound is the part of requests that find no room up to which a pool has room for
	// everything. It is well below the third that surplus leads to.
	sound = 0.05
	// memory is the time over which rates are averaged: long against a round trip,
	// short against the seconds after which callers have given up.
	memory = 2 * time.Second
	// trickle is how many requests a second a router sends where all were refused, so
	// that it sees when that ends.
	trickle = 1.0
	// levelFor is how long the level between accounts is used before it is worked out
	// anew.
	levelFor = 100 * time.Millisecond
	// saved bounds, in requests, what an account may save up while it sends little.
	saved = 2.0
	// idle is when an account that asks nothing is forgotten.
	idle = 5 * memory
)

// A Throttle bounds what one router sends to one pool. Call its methods from one
// goroutine at a time, with times that never go back.
type Throttle struct {
	accounts map[string]*account
	eased    rate
	crowded  rate
	level    float64 // requests a second that an account may send at most
	levelAt  time.Time
}

type account struct {
	asked rate
	due   float64 // requests saved up
}

// Allow counts a request of an account and reports whether it is to be sent.
func (t *Throttle) Allow(now time.Time, name string) bool {
	a := t.account(name)
	a.asked.add(now)
	if now.Sub(t.levelAt) >= levelFor {
		t.setLevel(now)
	}
	part := 1.0
	if rate := a.asked.at(now); rate > t.level {
		part = t.level / rate
	}
	a.due = min(a.due+part, saved)
	if a.due < 1 {
		return false
	}
	a.due--
	return true
}

// RecordAnswer counts an answer of a target: crowded is one that refuses the request for
// lack of room, or that tells of a long queue.
func (t *Throttle) RecordAnswer(now time.Time, crowded bool) {
	if crowded {
		t.crowded.add(now)
		return
	}
	t.eased.add(now)
}

func (t *Throttle) account(name string) *account {
	if t.accounts == nil {
		t.accounts = make(map[string]*account)
	}
	a := t.accounts[name]
	if a == nil {
		a = &account{due: 1} // its first request is sent
		t.accounts[name] = a
	}
	return a
}

// setLevel works out the level: without limit unless requests were refused.
func (t *Throttle) setLevel(now time.Time) {
	t.levelAt = now
	t.level = math.Inf(1)
	rates := make([]float64, 0, len(t.accounts))
	for name, a := range t.accounts {
		if now.Sub(a.asked.last) > idle {
			delete(t.accounts, name)
			continue
		}
		rates = append(rates, a.asked.at(now))
	}
	eased, crowded := t.eased.at(now), t.crowded.at(now)
	if crowded <= sound*(eased+crowded) {
		return
	}
	t.level = quota.MaxMinLevel(surplus*eased+trickle, rates)
}

// A rate is an average of requests a second that fades over [memory].
type rate struct {
	value float64
	last  time.Time
}

func (r *rate) add(now time.Time) {
	r.value = r.at(now) + 1/memory.Seconds()
	r.last = now
}

func (r *rate) at(now time.Time) float64 {
	return r.value * math.Exp(-now.Sub(r.last).Seconds()/memory.Seconds())
}
