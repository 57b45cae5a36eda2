package explain

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// A Sizes tells what callers of one route got by the size of their prompts, and how long
// those waited that were refused. A prompt that came again is one request: it was served
// if any attempt was.
type SizeStats struct {
	Route    string `json:"route"`
	Requests int    `json:"requests"`
	// All, Fifth and Largest are the parts served of all requests, of the fifth below the
	// largest tenth, and of the largest tenth.
	All     float64 `json:"all"`
	Fifth   float64 `json:"fifth"`
	Largest float64 `json:"largest"`
	// Refused counts attempts; P50 and P99 are how long these took, in ms.
	Refused int     `json:"refused"`
	P50     float64 `json:"p50"`
	P99     float64 `json:"p99"`
}

// prompt is what attempts at one request of a route have in common.
type prompt struct {
	account     string
	own, shared int // tokens
}

func (p prompt) size() int { return p.own + p.shared }

// sizeCount is what the lines of one route tell.
type sizeCount struct {
	served map[prompt]bool
	waits  []float64 // of refused attempts, in ms
}

// SizesOf reads what callers got by size, in the order of the routes.
func ReadSizeStats(sources []Source) ([]SizeStats, error) {
	routes := make(map[string]*sizeCount)
	for _, s := range sources {
		err := each(s, func(l *Line) {
			if l.Message != messageDone || l.Own+l.Shared == 0 {
				return
			}
			count := routes[l.Route]
			if count == nil {
				count = &sizeCount{served: make(map[prompt]bool)}
				routes[l.Route] = count
			}
			count.add(l)
		})
		if err != nil {
			return nil, err
		}
	}
	list := make([]SizeStats, 0, len(routes))
	for _, name := range slices.Sorted(maps.Keys(routes)) {
		list = append(list, routes[name].sizes(name))
	}
	return list, nil
}

func (c *sizeCount) add(l *Line) {
	p := prompt{account: l.Account, own: l.Own, shared: l.Shared}
	c.served[p] = c.served[p] || l.Status == http.StatusOK
	if l.Status == http.StatusTooManyRequests || l.Status == http.StatusServiceUnavailable {
		c.waits = append(c.waits, float64(l.Took))
	}
}

func (c *sizeCount) sizes(route string) SizeStats {
	prompts := slices.SortedFunc(maps.Keys(c.served), func(a, b prompt) int {
		return cmp.Or(cmp.Compare(a.size(), b.size()), cmp.Compare(a.own, b.own), cmp.Compare(a.account, b.account))
	})
	n := len(prompts)
	s := SizeStats{Route: route, Requests: n, Refused: len(c.waits)}
	s.All = c.part(prompts)
	s.Fifth = c.part(prompts[n*7/10 : n*9/10])
	s.Largest = c.part(prompts[n*9/10:])
	if len(c.waits) > 0 {
		slices.Sort(c.waits)
		s.P50 = stat.Quantile(0.50, stat.Empirical, c.waits, nil)
		s.P99 = stat.Quantile(0.99, stat.Empirical, c.waits, nil)
	}
	return s
}

// part returns the part of some prompts that was served.
func (c *sizeCount) part(prompts []prompt) float64 {
	served := 0
	for _, p := range prompts {
		if c.served[p] {
			served++
		}
	}
	return float64(served) / float64(max(len(prompts), 1))
}

// PrintSizes writes them as a table.
func PrintSizeStats(w io.Writer, list []SizeStats) error {
	if _, err := fmt.Fprintf(w, "%-16s %9s %7s %7s %7s %8s %8s %8s\n", "route", "requests", "served", "fifth", "largest", "refused", "p50 ms", "p99 ms"); err != nil {
		return fmt.Errorf("print sizes: %w", err)
	}
	for _, s := range list {
		if _, err := fmt.Fprintf(w, "%-16s %9d %7.3f %7.3f %7.3f %8d %8.0f %8.0f\n", s.Route, s.Requests, s.All, s.Fifth, s.Largest, s.Refused, s.P50, s.P99); err != nil {
			return fmt.Errorf("print sizes: %w", err)
		}
	}
	return nil
}
