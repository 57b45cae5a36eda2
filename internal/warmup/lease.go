// Package warmup limits the rate of requests that a cold target gets from all routers.
//
// A target that has just started handles only a certain rate of requests, whoever sends them, and
// crashes at a much higher one. A slow start in each router does not bound the total: with many
// routers, each would be allowed less than one request per second. So the leader grants each
// router a numbered lease, and a lease is a fixed part of what every cold target may get. Leases
// expire on their own. The limit therefore holds when routers are partitioned, suspended or
// restarted, and when the leader changes.
//
// [LeaseTable] is used by the leader and [Budget] by a router. Both are deterministic: they take
// times and messages, and have no clock, goroutine or socket.
package warmup

import (
	"maps"
	"time"
)

const (
	// leaseDuration is how long a lease is valid after a router requested it.
	leaseDuration = 2 * time.Second
	// window is the period in which a router sends its part of a target's requests: one second,
	// for which they are counted, and the time that requests may be delayed on their way.
	window = 1100 * time.Millisecond
	// handoverDelay is how long a lease is unusable after it was granted to another router, or
	// after the number of leases has changed: until the previous lease has expired, and the last
	// requests sent under it no longer count.
	handoverDelay = leaseDuration + window
	// stepsPerDoubling is how many values the number of leases can take between two powers of
	// two. After each change, nothing is sent to cold targets for handoverDelay.
	stepsPerDoubling = 32
)

// A Lease is a router's numbered part of what cold targets may get. The zero value means no
// lease.
type Lease struct {
	// Number is between 1 and Total, the number of leases.
	Number int `json:"number"`
	Total  int `json:"of"`
	// Ready is whether the lease may be used.
	Ready bool `json:"ready,omitempty"`
}

// LeaseTable tracks on the leader which router holds which lease. It is not persisted: a new
// leader adopts the leases that routers report. Set LeaderSince to the time when the leader was
// elected, then call Renew from one goroutine at a time.
type LeaseTable struct {
	LeaderSince time.Time

	holders        map[string]holder // by router
	routerByNumber map[int]string
	total          int
	totalChangedAt time.Time // zero until the total changes for the first time
	sweptAt        time.Time
}

// A holder is a router that holds a lease.
type holder struct {
	number      int
	incarnation uint64
	renewedAt   time.Time
	readyAt     time.Time // when the lease may be used
}

// Renew returns the lease of a router, valid from the time of its request. Held is the lease that
// the router has, or the zero value.
func (t *LeaseTable) Renew(now time.Time, router string, incarnation uint64, held Lease) Lease {
	t.dropExpired(now)
	h, ok := t.holders[router]
	switch {
	case ok && h.incarnation == incarnation:
	case ok:
		h.incarnation, h.readyAt = incarnation, now.Add(handoverDelay) // its previous incarnation may have used the lease until now
	case held.Number > 0 && t.routerByNumber[held.Number] == "":
		h = holder{number: held.Number, incarnation: incarnation}
		if !held.Ready {
			h.readyAt = now.Add(handoverDelay)
		}
	case now.Sub(t.LeaderSince) <= handoverDelay:
		return Lease{} // leases of the previous leader may not have been reported yet
	default:
		h = holder{number: t.firstFree(), incarnation: incarnation, readyAt: now.Add(handoverDelay)}
	}
	h.renewedAt = now
	t.assign(router, h)
	t.growTotal(now, max(held.Total, roundUpTotal(h.number)))
	return Lease{Number: h.number, Total: t.total, Ready: !now.Before(h.readyAt) && (t.totalChangedAt.IsZero() || now.Sub(t.totalChangedAt) >= handoverDelay)}
}

func (t *LeaseTable) assign(router string, h holder) {
	if t.holders == nil {
		t.holders, t.routerByNumber = make(map[string]holder), make(map[int]string)
	}
	t.holders[router], t.routerByNumber[h.number] = h, router
}

// growTotal increases the number of leases. It never decreases during a leader's term, so the
// number used by a router that cannot reach the leader is never larger.
func (t *LeaseTable) growTotal(now time.Time, total int) {
	if total <= t.total {
		return
	}
	if t.total > 0 {
		t.totalChangedAt = now
	}
	t.total = total
}

// dropExpired removes the holders of expired leases.
func (t *LeaseTable) dropExpired(now time.Time) {
	if now.Sub(t.sweptAt) < window {
		return
	}
	t.sweptAt = now
	maps.DeleteFunc(t.holders, func(_ string, h holder) bool {
		expired := now.Sub(h.renewedAt) > leaseDuration
		if expired {
			delete(t.routerByNumber, h.number)
		}
		return expired
	})
}

func (t *LeaseTable) firstFree() int {
	for number := 1; ; number++ {
		if t.routerByNumber[number] == "" {
			return number
		}
	}
}

// roundUpTotal returns a number of leases for at least n routers, rounded up so that it does not
// change with each additional router.
func roundUpTotal(n int) int {
	step := 1
	for step*2*stepsPerDoubling <= n {
		step *= 2
	}
	return (n + step - 1) / step * step
}
