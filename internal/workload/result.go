package workload

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"gonum.org/v1/gonum/stat"

	"laburnumfall/internal/quota"
)

// Figures are what the callers of some requests got. Parts are of all these requests
// unless said, from 0 to 1; times are in milliseconds.
type Metrics struct {
	Name                string  `json:"name"`
	Requests            int     `json:"requests"`
	ValueRatio          float64 `json:"worth"` // earned, of what was owed
	OnTime              float64 `json:"ontime"`
	Late                float64 `json:"late"`
	Refused             float64 `json:"refused"`
	Abandoned           float64 `json:"left"` // for want of any sign
	Failed              float64 `json:"failed"`
	RefusedWithCapacity float64 `json:"roomy"`  // refused, once or for good, while engines had room
	LongGaps            float64 `json:"paused"` // of those served, with a pause over their kind's
	P50                 float64 `json:"p50"`    // time to the first event
	P95                 float64 `json:"p95"`
	P99                 float64 `json:"p99"`
}

// A Result is what a run gave.
type Result struct {
	Scenario string  `json:"scenario"`
	Policy   string  `json:"policy"`
	Seed     uint64  `json:"seed"`
	Load     float64 `json:"load"`
	Metrics
	// Again is the part of the prompt tokens read that were of shared parts which the
	// same engine had read before, Copied what was copied, of all prompt tokens.
	Recomputed float64 `json:"again"`
	Copied     float64 `json:"copied"`
	// Busy is the part of the time in which engines worked.
	Busy float64 `json:"busy"`
	// Worst is the least that an account got of what is due to it: of its max-min
	// share of the capacity, or of what it asked for if that is less.
	WorstAccountShare float64   `json:"worst"`
	ByKind            []Metrics `json:"kinds"`
	// Sizes are the tenths of all requests by size, relative to the mean of their kind.
	BySize []Metrics `json:"sizes"`
}

func (w *world) result(name string, seed uint64) Result {
	ran := w.now.Sub(start)
	w.requests = slices.DeleteFunc(w.requests, func(r *request) bool { return r.at < time.Duration(w.Scenario.WarmupTime) })
	r := Result{Scenario: w.Scenario.Name, Policy: name, Seed: seed, Load: 1, Metrics: figures("all", w.requests, w.means())}
	r.WorstAccountShare = w.worst()
	var read, again, copied int
	var busy time.Duration
	for _, e := range w.engines {
		c := e.Counts()
		read, again, copied = read+c.PrefilledTokens, again+c.RecomputedTokens, copied+c.CopiedTokens
		busy += c.BusyTime
	}
	if read > 0 {
		r.Recomputed, r.Copied = float64(again)/float64(read), float64(copied)/float64(read+copied)
	}
	r.Busy = float64(busy) / float64(ran) / float64(len(w.engines))
	for i, k := range w.Scenario.Kinds {
		r.ByKind = append(r.ByKind, figures(k.Name, w.of(i), w.means()))
	}
	r.BySize = w.sizes()
	return r
}

func (w *world) of(kind int) []*request {
	var list []*request
	for _, r := range w.requests {
		if r.arrival.kind == kind {
			list = append(list, r)
		}
	}
	return list
}

// means returns the mean size of each kind.
func (w *world) means() []float64 {
	sums, counts := make([]float64, len(w.Scenario.Kinds)), make([]float64, len(w.Scenario.Kinds))
	for _, r := range w.requests {
		sums[r.arrival.kind] += r.size
		counts[r.arrival.kind]++
	}
	for i := range sums {
		sums[i] /= max(counts[i], 1)
	}
	return sums
}

// sizes returns the figures of each tenth of the requests by size.
func (w *world) sizes() []Metrics {
	const tenths = 10
	means := w.means()
	list := slices.Clone(w.requests)
	sort.SliceStable(list, func(i, j int) bool {
		return list[i].size/means[list[i].arrival.kind] < list[j].size/means[list[j].arrival.kind]
	})
	var out []Metrics
	for i := range tenths {
		from, to := len(list)*i/tenths, len(list)*(i+1)/tenths
		out = append(out, figures(fmt.Sprintf("size %d", i+1), list[from:to], means))
	}
	return out
}

func figures(name string, list []*request, means []float64) Metrics {
	f := Metrics{Name: name, Requests: len(list)}
	if len(list) == 0 {
		return f
	}
	var earned, owed, paused, done float64
	var firsts []float64
	one := 1 / float64(len(list))
	for _, r := range list {
		// A request counts by its size against the mean of its kind, four times at most.
		const base, most = 0.3, 4
		weight := base + (1-base)*min(r.size/means[r.arrival.kind], most)
		owed += r.kind.Value * weight
		if !r.first.IsZero() {
			firsts = append(firsts, float64(r.first.Sub(r.sentAt))/float64(time.Millisecond))
		}
		if r.withRoom {
			f.RefusedWithCapacity += one
		}
		switch {
		case r.onTime():
			f.OnTime += one
			earned += r.kind.Value * weight
		case r.fate == served:
			f.Late += one
			earned += r.kind.LateValue * weight
		case r.fate == refused:
			f.Refused += one
		case r.fate == left:
			f.Abandoned += one
		default:
			f.Failed += one
		}
		if r.fate == served {
			done++
			if r.pause > time.Duration(r.kind.MaxEventGap) {
				paused++
			}
		}
	}
	f.ValueRatio = earned / owed
	f.LongGaps = paused / max(done, 1)
	f.P50, f.P95, f.P99 = quantiles(firsts)
	return f
}

func quantiles(list []float64) (p50, p95, p99 float64) {
	if len(list) == 0 {
		return 0, 0, 0
	}
	slices.Sort(list)
	at := func(p float64) float64 { return stat.Quantile(p, stat.Empirical, list, nil) }
	return at(0.50), at(0.95), at(0.99)
}

// worst returns the least that an account got of what is due to it, of those that
// sent enough for that to be no chance.
func (w *world) worst() float64 {
	const enough = 20
	asked, got, counts := make([]float64, len(w.Scenario.AccountWeights)), make([]float64, len(w.Scenario.AccountWeights)), make([]int, len(w.Scenario.AccountWeights))
	for _, r := range w.requests {
		cost := (&attempt{request: r}).tokens()
		asked[r.account] += cost
		counts[r.account]++
		if r.fate == served {
			got[r.account] += cost
		}
	}
	seconds := time.Duration(w.Scenario.Duration - w.Scenario.WarmupTime).Seconds()
	level := quota.MaxMinLevel(w.Scenario.Capacity*seconds, asked)
	worst := 1.0
	for i := range asked {
		due := asked[i]
		if level > 0 {
			due = min(due, level)
		}
		if counts[i] >= enough {
			worst = min(worst, got[i]/due)
		}
	}
	return worst
}

// Table returns results as a Markdown table. Where several seeds were played the
// figures are the means of each policy and load.
func Table(list []Result) string {
	var b strings.Builder
	b.WriteString("| policy | load | seeds | worth | on time | late | refused | left | failed | p50 | p95 | p99 ms | paused | read again | copied | busy | worst account | refused with room |\n")
	b.WriteString("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n")
	for _, r := range MeanResults(list) {
		fmt.Fprintf(&b, "| %s | %g | %d | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f | %.0f | %.0f | %.0f | %.3f | %.3f | %.3f | %.2f | %.2f | %.3f |\n",
			r.Policy, r.Load, r.Seed, r.ValueRatio, r.OnTime, r.Late, r.Refused, r.Abandoned, r.Failed, r.P50, r.P95, r.P99, r.LongGaps, r.Recomputed, r.Copied, r.Busy, r.WorstAccountShare, r.RefusedWithCapacity)
	}
	return b.String()
}

// Means returns the means over the seeds of each policy and load, in the order in which
// these come first. Seed then is how many seeds there were; kinds and sizes are left out.
func MeanResults(list []Result) []Result {
	type key struct {
		policy string
		load   float64
	}
	var order []key
	groups := make(map[key][]Result)
	for _, r := range list {
		k := key{r.Policy, r.Load}
		if groups[k] == nil {
			order = append(order, k)
		}
		groups[k] = append(groups[k], r)
	}
	var out []Result
	for _, k := range order {
		out = append(out, mean(groups[k]))
	}
	return out
}

func mean(list []Result) Result {
	m := Result{Scenario: list[0].Scenario, Policy: list[0].Policy, Load: list[0].Load, Seed: uint64(len(list))}
	for _, figure := range figureNames {
		sum := 0.0
		for i := range list {
			sum += *list[i].figure(figure)
		}
		*m.figure(figure) = sum / float64(len(list))
	}
	return m
}

// figureNames are the figures that a check may bound.
var figureNames = []string{
	"worth", "ontime", "late", "refused", "left", "failed", "roomy", "paused", "p50", "p95", "p99", "again", "copied", "busy", "worst",
}

// figure returns the place of a figure, or nil if there is none of that name.
func (r *Result) figure(name string) *float64 {
	return map[string]*float64{
		"worth": &r.ValueRatio, "ontime": &r.OnTime, "late": &r.Late, "refused": &r.Refused, "left": &r.Abandoned, "failed": &r.Failed,
		"roomy": &r.RefusedWithCapacity, "paused": &r.LongGaps, "p50": &r.P50, "p95": &r.P95, "p99": &r.P99, "again": &r.Recomputed,
		"copied": &r.Copied, "busy": &r.Busy, "worst": &r.WorstAccountShare,
	}[name]
}

// Check returns what of the scenario's checks the results at its own load fail.
func (s Scenario) FailedChecks(list []Result) []string {
	var broken []string
	for _, c := range s.Checks {
		for _, r := range list {
			if r.Policy != c.Policy || r.Load != 1 {
				continue
			}
			value := *r.figure(c.Metric)
			if value < c.Min {
				broken = append(broken, fmt.Sprintf("%s, seed %d: %s is %.3f, not at least %g", c.Policy, r.Seed, c.Metric, value, c.Min))
			}
			if c.Max > 0 && value > c.Max {
				broken = append(broken, fmt.Sprintf("%s, seed %d: %s is %.3f, not at most %g", c.Policy, r.Seed, c.Metric, value, c.Max))
			}
		}
	}
	return broken
}
