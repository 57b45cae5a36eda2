// Package retry implements a retry budget: it bounds the attempts at requests after the first, so
// that routers do not multiply the load when targets fail.
package retry

import "time"

const (
	// bucketCount is the number of buckets that a window is divided into.
	bucketCount = 20
	// usableFraction is the part of the bound that routers may use. The rest is a margin, since
	// each router counts only its own requests and traffic is uneven between them.
	usableFraction = 0.8
)

// A Budget bounds the retries to one pool through one router: in any window, Ratio times the
// number of requests, plus this router's part of Slack. Set the exported fields, then call its
// methods from one goroutine at a time.
type Budget struct {
	Ratio  float64
	Slack  float64
	Window time.Duration

	buckets [bucketCount]bucket
}

type bucket struct {
	slot     int64
	requests int
	retries  int
}

// CountRequest counts a request from a caller.
func (b *Budget) CountRequest(now time.Time) {
	b.bucketAt(now).requests++
}

// Allow reports whether a retry is within the budget, and counts it if so. Slack is divided among
// the given number of routers.
func (b *Budget) Allow(now time.Time, routers int) bool {
	requests, retries := b.sum(now)
	bound := usableFraction * (b.Ratio*float64(requests) + b.Slack/float64(max(routers, 1)))
	if float64(retries+1) > bound {
		return false
	}
	b.bucketAt(now).retries++
	return true
}

func (b *Budget) slot(now time.Time) int64 {
	return now.UnixNano() / int64(b.Window/bucketCount)
}

func (b *Budget) bucketAt(now time.Time) *bucket {
	slot := b.slot(now)
	current := &b.buckets[slot%bucketCount]
	if current.slot != slot {
		*current = bucket{slot: slot}
	}
	return current
}

func (b *Budget) sum(now time.Time) (requests, retries int) {
	oldest := b.slot(now) - bucketCount
	for _, current := range b.buckets {
		if current.slot > oldest {
			requests += current.requests
			retries += current.retries
		}
	}
	return requests, retries
}
