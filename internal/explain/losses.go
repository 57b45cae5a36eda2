package explain

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"time"

	"laburnumfall/internal/fleet"
)

// By names what losses are told by.
type Grouping string

// What losses can be told by.
const (
	ByRoute   Grouping = "route"
	ByAccount Grouping = "account"
	BySize    Grouping = "size" // of prompts, within their route
)

// Bys are all of them.
var Groupings = []Grouping{ByRoute, ByAccount, BySize}

// halfTaken is the part of a target's slots below which it counts as idle where nothing
// waits at it.
const halfTaken = 0.5

// A Loss tells what became of some callers' requests, in parts of them. An attempt that
// comes again after a refusal is the same request.
type LossStats struct {
	Name     string `json:"name"`
	Requests int    `json:"requests"`
	// Within is the part that was within its account's share when it came first.
	Within float64 `json:"within"`
	InAim  float64 `json:"in_aim"`
	// Back, Foreseen and Slow are late answers: of callers that were refused first, of
	// requests that were sent although their target was known to be late, and others.
	Back     float64 `json:"back"`
	Foreseen float64 `json:"foreseen"`
	Slow     float64 `json:"slow"`
	// Share and Other were refused in the end: beyond their account's share, or for
	// another reason.
	Share float64 `json:"share"`
	Other float64 `json:"other"`
	// Failed had an answer of failure, one that broke off, or left.
	Failed float64 `json:"failed"`
	// Idle is the part of refused attempts at which the target chosen had at most half of
	// its slots taken and nothing to read.
	Idle float64 `json:"idle"`
}

// outcome is how a request ended so far.
type outcome uint8

const (
	ended outcome = iota // in failure
	refusedShare
	refusedOther
	inAim
	lateBack
	lateForeseen
	lateSlow
	outcomes
)

// asked is one caller's request.
type asked struct {
	route, account string
	size           int
	first          time.Time // when it came first
	within         bool
	end            outcome
	refused, idle  int // attempts
}

// LossesOf reads what became of callers' requests.
func ReadLossStats(sources []Source, by Grouping) ([]LossStats, error) {
	predicted := make(map[string]int64) // by request: until the first byte, in ms
	requests := make(map[string]*asked)
	var lines []Line
	for _, s := range sources {
		err := each(s, func(l *Line) {
			switch {
			case l.Message == messageSend:
				predicted[l.Request] = l.Predicted
			case l.Message == messageDone && l.Aim > 0:
				lines = append(lines, *l)
			}
		})
		if err != nil {
			return nil, err
		}
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return a.came().Compare(b.came()) })
	for i := range lines {
		l := &lines[i]
		a := requests[l.asks()]
		if a == nil {
			a = &asked{route: l.Route, account: l.Account, size: l.Own + l.Shared, first: l.came(), within: l.Within}
			requests[l.asks()] = a
		}
		a.add(l, predicted[l.Request])
	}
	return lossesBy(slices.Collect(maps.Values(requests)), by), nil
}

// came returns when the request of a line of its end came.
func (l *Line) came() time.Time {
	return l.At.Add(-time.Duration(l.Took) * time.Millisecond)
}

// asks names what attempts at one request have in common: a prompt comes again as it was,
// all else under another ID.
func (l *Line) asks() string {
	if l.Own+l.Shared == 0 {
		return l.Request
	}
	return fmt.Sprintf("%s/%s/%d/%d", l.Route, l.Account, l.Own, l.Shared)
}

// add counts an attempt that took a predicted time, in ms, to its first byte.
func (a *asked) add(l *Line, predicted int64) {
	switch {
	case l.Status == http.StatusOK:
		a.end = a.answered(l, predicted)
	case l.Status == http.StatusTooManyRequests || l.Status == http.StatusServiceUnavailable:
		a.refused++
		if l.Queue == 0 && l.Load <= halfTaken {
			a.idle++
		}
		a.end = refusedOther
		if l.Reason == fleet.ReasonOverShare {
			a.end = refusedShare
		}
	default:
		a.end = ended
	}
}

// answered returns whether an answer was in time, and if not, why.
func (a *asked) answered(l *Line, predicted int64) outcome {
	waited := l.came().Sub(a.first).Milliseconds()
	switch {
	case waited+l.First <= l.Aim:
		return inAim
	case a.refused > 0:
		return lateBack
	case predicted > l.Aim:
		return lateForeseen
	default:
		return lateSlow
	}
}

// lossesBy groups requests.
func lossesBy(list []*asked, by Grouping) []LossStats {
	groups := make(map[string][]*asked)
	for _, a := range list {
		switch by {
		case ByAccount:
			groups[a.account] = append(groups[a.account], a)
		case ByRoute, BySize:
			groups[a.route] = append(groups[a.route], a)
		}
	}
	if by == BySize {
		groups = bySize(groups)
	}
	losses := make([]LossStats, 0, len(groups))
	for _, name := range slices.Sorted(maps.Keys(groups)) {
		losses = append(losses, lossOf(name, groups[name]))
	}
	return losses
}

// bySize splits each route's requests into the largest tenth, the fifth below it, and the
// rest.
func bySize(routes map[string][]*asked) map[string][]*asked {
	groups := make(map[string][]*asked)
	for route, list := range routes {
		slices.SortFunc(list, func(a, b *asked) int { return cmp.Or(cmp.Compare(a.size, b.size), a.first.Compare(b.first)) })
		n := len(list)
		groups[route+" rest"] = list[:n*7/10]
		groups[route+" fifth"] = list[n*7/10 : n*9/10]
		groups[route+" largest"] = list[n*9/10:]
	}
	return groups
}

func lossOf(name string, list []*asked) LossStats {
	var count [outcomes]int
	within, refused, idle := 0, 0, 0
	for _, a := range list {
		count[a.end]++
		refused += a.refused
		idle += a.idle
		if a.within {
			within++
		}
	}
	part := func(n int) float64 { return float64(n) / float64(max(len(list), 1)) }
	return LossStats{
		Name: name, Requests: len(list), Within: part(within), InAim: part(count[inAim]),
		Back: part(count[lateBack]), Foreseen: part(count[lateForeseen]), Slow: part(count[lateSlow]),
		Share: part(count[refusedShare]), Other: part(count[refusedOther]), Failed: part(count[ended]),
		Idle: float64(idle) / float64(max(refused, 1)),
	}
}

// PrintLosses writes them as a table.
func PrintLossStats(w io.Writer, list []LossStats) error {
	const head = "%-24s %9s %7s %7s | %7s %8s %7s | %7s %7s %7s | %7s\n"
	const row = "%-24s %9d %7.3f %7.3f | %7.3f %8.3f %7.3f | %7.3f %7.3f %7.3f | %7.3f\n"
	if _, err := fmt.Fprintf(w, head, "", "requests", "within", "in aim", "back", "foreseen", "slow", "share", "other", "failed", "idle"); err != nil {
		return fmt.Errorf("print losses: %w", err)
	}
	for _, l := range list {
		if _, err := fmt.Fprintf(w, row, l.Name, l.Requests, l.Within, l.InAim, l.Back, l.Foreseen, l.Slow, l.Share, l.Other, l.Failed, l.Idle); err != nil {
			return fmt.Errorf("print losses: %w", err)
		}
	}
	return nil
}
