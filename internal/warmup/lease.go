// Package warmup bounds the requests that a cold target gets from all routers.
//
// A target that has just started takes only so many requests a second, whoever sends them,
// and ends if it gets far more. A ramp in each router bounds nothing over a fleet: with
// many routers, less than one request a second is due to each. So the leader leases each
// router a numbered seat, and a seat is a fixed part of what every cold target may get.
// A lease lapses by itself: the bound holds too for routers that are cut off, that stood
// still or that restarted, and when the leader changes.
//
// [LeaseTable] is the leader's side and [Budget] a router's. Both are deterministic: they take
// times and messages, and have no clock, goroutine or socket.
package warmup

import (
	"maps"
	"time"
)

const (
	// lease is for how long after a router asked its seat holds.
	lease = 2 * time.Second
	// window is in which a router sends its part of a target's requests: the second for which
	// these are counted, and what requests may be held up on their way.
	window = 1100 * time.Millisecond
	// handover is how long a seat rests after it was given out anew, or after the number of
	// seats has changed: until whoever acted by what was before has lapsed, and what it sent
	// last counts no longer.
	handover = lease + window
	// steps is into how many the number of seats between two powers of two is divided. Each
	// change of the number stops sending to cold targets for a handover.
	steps = 32
)

// A Lease is a router's lease on a part of what cold targets may get. The zero value is none.
type Lease struct {
	// Number is from 1 to Total.
	Number int `json:"number"`
	Total  int `json:"of"`
	// Ready says that the seat may be used.
	Ready bool `json:"ready,omitempty"`
}

// LeaseTable is the leader's account of who holds which seat. It is soft: a new leader takes
// over what routers hold. Set LeaderSince to when the leader began, then call Renew from one
// goroutine at a time.
type LeaseTable struct {
	LeaderSince time.Time

	holders map[string]holder // by router
	taken   map[int]string
	of      int
	changed time.Time // when the number of seats did last; zero if it never did
	swept   time.Time
}

// A holder is a router that holds a seat.
type holder struct {
	number  int
	run     uint64
	renewed time.Time
	ready   time.Time // when the seat may be used
}

// Renew answers a router that holds a seat, or none, and returns the seat that it holds from
// when it asked.
func (s *LeaseTable) Renew(now time.Time, router string, run uint64, held Lease) Lease {
	s.sweep(now)
	h, ok := s.holders[router]
	switch {
	case ok && h.run == run:
	case ok:
		h.run, h.ready = run, now.Add(handover) // its former run may have used it just now
	case held.Number > 0 && s.taken[held.Number] == "":
		h = holder{number: held.Number, run: run}
		if !held.Ready {
			h.ready = now.Add(handover)
		}
	case now.Sub(s.LeaderSince) <= handover:
		return Lease{} // whoever holds a seat of the leader before has told it after that
	default:
		h = holder{number: s.free(), run: run, ready: now.Add(handover)}
	}
	h.renewed = now
	s.seat(router, h)
	s.grow(now, max(held.Total, roundUp(h.number)))
	return Lease{Number: h.number, Total: s.of, Ready: !now.Before(h.ready) && (s.changed.IsZero() || now.Sub(s.changed) >= handover)}
}

func (s *LeaseTable) seat(router string, h holder) {
	if s.holders == nil {
		s.holders, s.taken = make(map[string]holder), make(map[int]string)
	}
	s.holders[router], s.taken[h.number] = h, router
}

// grow takes the number of seats up. It never falls within a leader's term: what a router
// without a word of the leader believes is never above it.
func (s *LeaseTable) grow(now time.Time, of int) {
	if of <= s.of {
		return
	}
	if s.of > 0 {
		s.changed = now
	}
	s.of = of
}

// sweep drops those whose seats have lapsed.
func (s *LeaseTable) sweep(now time.Time) {
	if now.Sub(s.swept) < window {
		return
	}
	s.swept = now
	maps.DeleteFunc(s.holders, func(_ string, h holder) bool {
		lapsed := now.Sub(h.renewed) > lease
		if lapsed {
			delete(s.taken, h.number)
		}
		return lapsed
	})
}

func (s *LeaseTable) free() int {
	for number := 1; ; number++ {
		if s.taken[number] == "" {
			return number
		}
	}
}

// roundUp returns a number of seats, so that few routers more do not change it.
func roundUp(n int) int {
	step := 1
	for step*2*steps <= n {
		step *= 2
	}
	return (n + step - 1) / step * step
}
