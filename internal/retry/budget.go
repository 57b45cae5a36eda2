// Package retry bounds the attempts of requests beyond the first of each, so
// that a fault at targets is not multiplied by the routers.
package retry

import "time"

const (
	// buckets is how finely a window is counted.
	buckets = 20
	// use is the part of the bound that routers may use up: they count for
	// themselves, and traffic is uneven between them.
	use = 0.8
)

// A Budget bounds the extra attempts to one pool through one router: in any
// window at most Ratio of the requests, plus this router's part of Slack. Set
// the exported fields, then call its methods from one goroutine at a time.
type Budget struct {
	Ratio  float64
	Slack  float64
	Window time.Duration

	counts [buckets]count
}

type count struct {
	slot     int64
	requests int
	extras   int
}

// CountRequest counts a caller's request.
func (b *Budget) CountRequest(now time.Time) {
	b.at(now).requests++
}

// Allow reports whether one more extra attempt fits, and counts it if so.
// Routers is how many share Slack.
func (b *Budget) Allow(now time.Time, routers int) bool {
	requests, extras := b.sum(now)
	bound := use * (b.Ratio*float64(requests) + b.Slack/float64(max(routers, 1)))
	if float64(extras+1) > bound {
		return false
	}
	b.at(now).extras++
	return true
}

func (b *Budget) slot(now time.Time) int64 {
	return now.UnixNano() / int64(b.Window/buckets)
}

func (b *Budget) at(now time.Time) *count {
	slot := b.slot(now)
	c := &b.counts[slot%buckets]
	if c.slot != slot {
		*c = count{slot: slot}
	}
	return c
}

func (b *Budget) sum(now time.Time) (requests, extras int) {
	oldest := b.slot(now) - buckets
	for _, c := range b.counts {
		if c.slot > oldest {
			requests += c.requests
			extras += c.extras
		}
	}
	return requests, extras
}
