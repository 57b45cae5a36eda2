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

// SizeStats are statistics about the requests of one route by the size of their prompts. A repeated
// prompt counts as one request, which is served if any of its attempts is.
type SizeStats struct {
	Route    string `json:"route"`
	Requests int    `json:"requests"`
	// Served is the served fraction of all requests, ServedLargestTenth that of the tenth with the
	// largest prompts, and ServedNextFifth that of the fifth with the next largest prompts.
	Served             float64 `json:"all"`
	ServedNextFifth    float64 `json:"fifth"`
	ServedLargestTenth float64 `json:"largest"`
	// RefusedAttempts is the number of refused attempts. RefusalP50 and RefusalP99 are percentiles of
	// their durations, in ms.
	RefusedAttempts int     `json:"refused"`
	RefusalP50      float64 `json:"p50"`
	RefusalP99      float64 `json:"p99"`
}

// prompt identifies a request of a route: all its attempts have the same account and sizes.
type prompt struct {
	account                 string
	ownTokens, sharedTokens int
}

func (p prompt) tokens() int { return p.ownTokens + p.sharedTokens }

// routeSizes collects the requests of one route.
type routeSizes struct {
	servedByPrompt map[prompt]bool
	refusalTimes   []float64 // of refused attempts, in ms
}

// ReadSizeStats reads logs and returns the statistics of each route, sorted by name. Requests without
// prompts are left out.
func ReadSizeStats(sources []Source) ([]SizeStats, error) {
	routes := make(map[string]*routeSizes)
	for _, source := range sources {
		err := eachLine(source, func(line *Line) {
			if line.Message != messageDone || line.OwnTokens+line.SharedTokens == 0 {
				return
			}
			sizes := routes[line.Route]
			if sizes == nil {
				sizes = &routeSizes{servedByPrompt: make(map[prompt]bool)}
				routes[line.Route] = sizes
			}
			sizes.add(line)
		})
		if err != nil {
			return nil, err
		}
	}
	list := make([]SizeStats, 0, len(routes))
	for _, name := range slices.Sorted(maps.Keys(routes)) {
		list = append(list, routes[name].stats(name))
	}
	return list, nil
}

func (s *routeSizes) add(line *Line) {
	prompt := prompt{account: line.Account, ownTokens: line.OwnTokens, sharedTokens: line.SharedTokens}
	s.servedByPrompt[prompt] = s.servedByPrompt[prompt] || line.Status == http.StatusOK
	if line.Status == http.StatusTooManyRequests || line.Status == http.StatusServiceUnavailable {
		s.refusalTimes = append(s.refusalTimes, float64(line.Duration))
	}
}

func (s *routeSizes) stats(route string) SizeStats {
	prompts := slices.SortedFunc(maps.Keys(s.servedByPrompt), func(a, b prompt) int {
		return cmp.Or(cmp.Compare(a.tokens(), b.tokens()), cmp.Compare(a.ownTokens, b.ownTokens), cmp.Compare(a.account, b.account))
	})
	count := len(prompts)
	stats := SizeStats{Route: route, Requests: count, RefusedAttempts: len(s.refusalTimes)}
	stats.Served = s.servedFraction(prompts)
	stats.ServedNextFifth = s.servedFraction(prompts[count*7/10 : count*9/10])
	stats.ServedLargestTenth = s.servedFraction(prompts[count*9/10:])
	if len(s.refusalTimes) > 0 {
		slices.Sort(s.refusalTimes)
		stats.RefusalP50 = stat.Quantile(0.50, stat.Empirical, s.refusalTimes, nil)
		stats.RefusalP99 = stat.Quantile(0.99, stat.Empirical, s.refusalTimes, nil)
	}
	return stats
}

// servedFraction returns which fraction of the prompts was served.
func (s *routeSizes) servedFraction(prompts []prompt) float64 {
	served := 0
	for _, prompt := range prompts {
		if s.servedByPrompt[prompt] {
			served++
		}
	}
	return float64(served) / float64(max(len(prompts), 1))
}

// PrintSizeStats writes the statistics as a table.
func PrintSizeStats(w io.Writer, list []SizeStats) error {
	if _, err := fmt.Fprintf(w, "%-16s %9s %7s %7s %7s %8s %8s %8s\n", "route", "requests", "served", "fifth", "largest", "refused", "p50 ms", "p99 ms"); err != nil {
		return fmt.Errorf("print sizes: %w", err)
	}
	for _, stats := range list {
		if _, err := fmt.Fprintf(w, "%-16s %9d %7.3f %7.3f %7.3f %8d %8.0f %8.0f\n", stats.Route, stats.Requests, stats.Served, stats.ServedNextFifth, stats.ServedLargestTenth, stats.RefusedAttempts, stats.RefusalP50, stats.RefusalP99); err != nil {
			return fmt.Errorf("print sizes: %w", err)
		}
	}
	return nil
}
