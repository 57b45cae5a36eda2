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

// Metrics describe the outcomes of a set of requests. Rates are fractions of all these requests,
// from 0 to 1, unless stated otherwise; times are in milliseconds.
type Metrics struct {
	Name                string  `json:"name"`
	Requests            int     `json:"requests"`
	ValueRatio          float64 `json:"worth"` // earned value divided by the value if all responses were on time
	OnTime              float64 `json:"ontime"`
	Late                float64 `json:"late"`
	Refused             float64 `json:"refused"`
	Abandoned           float64 `json:"left"` // the caller left at its deadline or after a long wait without an event
	Failed              float64 `json:"failed"`
	RefusedWithCapacity float64 `json:"roomy"`  // refused at least once while engines had free capacity
	LongGaps            float64 `json:"paused"` // fraction of the served requests with an event gap over the maximum of their kind
	P50                 float64 `json:"p50"`    // time to the first event
	P95                 float64 `json:"p95"`
	P99                 float64 `json:"p99"`
}

// A Result holds the metrics of one run.
type Result struct {
	Scenario string  `json:"scenario"`
	Policy   string  `json:"policy"`
	Seed     uint64  `json:"seed"`
	Load     float64 `json:"load"`
	Metrics
	// Recomputed is the fraction of the prefilled tokens that belong to shared parts that the
	// same engine had prefilled before. Copied is the fraction of all prompt tokens that were
	// copied from another engine.
	Recomputed float64 `json:"again"`
	Copied     float64 `json:"copied"`
	// Busy is the mean fraction of time in which engines worked.
	Busy float64 `json:"busy"`
	// WorstAccountShare is the lowest fraction that an account received of its entitlement: its
	// max-min fair share of the capacity, or the tokens it requested if these are fewer.
	WorstAccountShare float64   `json:"worst"`
	ByKind            []Metrics `json:"kinds"`
	// BySize holds the metrics of each decile of the requests by size, relative to the mean size
	// of their kind.
	BySize []Metrics `json:"sizes"`
}

// result computes the metrics of the run from all requests sent after the warm-up time.
func (sim *simulation) result(name string, seed uint64) Result {
	duration := sim.now.Sub(start)
	sim.requests = slices.DeleteFunc(sim.requests, func(r *request) bool { return r.at < time.Duration(sim.scenario.WarmupTime) })
	result := Result{Scenario: sim.scenario.Name, Policy: name, Seed: seed, Load: 1, Metrics: computeMetrics("all", sim.requests, sim.meanSizes())}
	result.WorstAccountShare = sim.worstAccountShare()
	var prefilled, recomputed, copied int
	var busyTime time.Duration
	for _, e := range sim.engines {
		counts := e.Counts()
		prefilled, recomputed, copied = prefilled+counts.PrefilledTokens, recomputed+counts.RecomputedTokens, copied+counts.CopiedTokens
		busyTime += counts.BusyTime
	}
	if prefilled > 0 {
		result.Recomputed, result.Copied = float64(recomputed)/float64(prefilled), float64(copied)/float64(prefilled+copied)
	}
	result.Busy = float64(busyTime) / float64(duration) / float64(len(sim.engines))
	for i, kind := range sim.scenario.Kinds {
		result.ByKind = append(result.ByKind, computeMetrics(kind.Name, sim.requestsOfKind(i), sim.meanSizes()))
	}
	result.BySize = sim.metricsBySize()
	return result
}

func (sim *simulation) requestsOfKind(kindIndex int) []*request {
	var requests []*request
	for _, req := range sim.requests {
		if req.arrival.kindIndex == kindIndex {
			requests = append(requests, req)
		}
	}
	return requests
}

// meanSizes returns the mean request size of each kind.
func (sim *simulation) meanSizes() []float64 {
	sums, counts := make([]float64, len(sim.scenario.Kinds)), make([]float64, len(sim.scenario.Kinds))
	for _, req := range sim.requests {
		sums[req.arrival.kindIndex] += req.weightedTokens
		counts[req.arrival.kindIndex]++
	}
	for i := range sums {
		sums[i] /= max(counts[i], 1)
	}
	return sums
}

// metricsBySize returns the metrics of each decile of the requests by size.
func (sim *simulation) metricsBySize() []Metrics {
	const groups = 10
	meanSizes := sim.meanSizes()
	requests := slices.Clone(sim.requests)
	sort.SliceStable(requests, func(i, j int) bool {
		return requests[i].weightedTokens/meanSizes[requests[i].arrival.kindIndex] < requests[j].weightedTokens/meanSizes[requests[j].arrival.kindIndex]
	})
	var deciles []Metrics
	for i := range groups {
		from, to := len(requests)*i/groups, len(requests)*(i+1)/groups
		deciles = append(deciles, computeMetrics(fmt.Sprintf("size %d", i+1), requests[from:to], meanSizes))
	}
	return deciles
}

// computeMetrics returns the metrics of some requests, given the mean request size of each kind.
func computeMetrics(name string, requests []*request, meanSizes []float64) Metrics {
	metrics := Metrics{Name: name, Requests: len(requests)}
	if len(requests) == 0 {
		return metrics
	}
	var earned, owed, longGaps, served float64
	var firstEventTimes []float64
	requestFraction := 1 / float64(len(requests))
	for _, req := range requests {
		// The weight of a request depends on its size relative to the mean of its kind, of which
		// four times the mean counts at most.
		const baseWeight, maxRelativeSize = 0.3, 4
		weight := baseWeight + (1-baseWeight)*min(req.weightedTokens/meanSizes[req.arrival.kindIndex], maxRelativeSize)
		owed += req.kind.Value * weight
		if !req.firstEventAt.IsZero() {
			firstEventTimes = append(firstEventTimes, float64(req.firstEventAt.Sub(req.sentAt))/float64(time.Millisecond))
		}
		if req.refusedWithCapacity {
			metrics.RefusedWithCapacity += requestFraction
		}
		switch {
		case req.onTime():
			metrics.OnTime += requestFraction
			earned += req.kind.Value * weight
		case req.outcome == outcomeServed:
			metrics.Late += requestFraction
			earned += req.kind.LateValue * weight
		case req.outcome == outcomeRefused:
			metrics.Refused += requestFraction
		case req.outcome == outcomeAbandoned:
			metrics.Abandoned += requestFraction
		default:
			metrics.Failed += requestFraction
		}
		if req.outcome == outcomeServed {
			served++
			if req.longestGap > time.Duration(req.kind.MaxEventGap) {
				longGaps++
			}
		}
	}
	metrics.ValueRatio = earned / owed
	metrics.LongGaps = longGaps / max(served, 1)
	metrics.P50, metrics.P95, metrics.P99 = quantiles(firstEventTimes)
	return metrics
}

func quantiles(values []float64) (p50, p95, p99 float64) {
	if len(values) == 0 {
		return 0, 0, 0
	}
	slices.Sort(values)
	quantile := func(probability float64) float64 { return stat.Quantile(probability, stat.Empirical, values, nil) }
	return quantile(0.50), quantile(0.95), quantile(0.99)
}

// worstAccountShare returns the lowest fraction that an account received of its entitlement.
// Accounts with fewer than minRequests requests are left out, since their fraction depends on
// chance.
func (sim *simulation) worstAccountShare() float64 {
	const minRequests = 20
	requested, received, counts := make([]float64, len(sim.scenario.AccountWeights)), make([]float64, len(sim.scenario.AccountWeights)), make([]int, len(sim.scenario.AccountWeights))
	for _, req := range sim.requests {
		cost := (&attempt{request: req}).cost()
		requested[req.account] += cost
		counts[req.account]++
		if req.outcome == outcomeServed {
			received[req.account] += cost
		}
	}
	seconds := time.Duration(sim.scenario.Duration - sim.scenario.WarmupTime).Seconds()
	maxMinLevel := quota.MaxMinLevel(sim.scenario.Capacity*seconds, requested)
	worstShare := 1.0
	for i := range requested {
		entitled := requested[i]
		if maxMinLevel > 0 {
			entitled = min(entitled, maxMinLevel)
		}
		if counts[i] >= minRequests {
			worstShare = min(worstShare, received[i]/entitled)
		}
	}
	return worstShare
}

// Table returns results as a Markdown table of the means over the seeds of each policy and load.
func Table(results []Result) string {
	var table strings.Builder
	table.WriteString("| policy | load | seeds | worth | on time | late | refused | left | failed | p50 | p95 | p99 ms | paused | read again | copied | busy | worst account | refused with room |\n")
	table.WriteString("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n")
	for _, result := range MeanResults(results) {
		fmt.Fprintf(&table, "| %s | %g | %d | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f | %.0f | %.0f | %.0f | %.3f | %.3f | %.3f | %.2f | %.2f | %.3f |\n",
			result.Policy, result.Load, result.Seed, result.ValueRatio, result.OnTime, result.Late, result.Refused, result.Abandoned, result.Failed, result.P50, result.P95, result.P99, result.LongGaps, result.Recomputed, result.Copied, result.Busy, result.WorstAccountShare, result.RefusedWithCapacity)
	}
	return table.String()
}

// MeanResults returns the means over the seeds of each policy and load, in the order of their
// first result. The field Seed holds the number of seeds. ByKind and BySize are left empty.
func MeanResults(results []Result) []Result {
	type key struct {
		policy string
		load   float64
	}
	var groupKeys []key
	groups := make(map[key][]Result)
	for _, result := range results {
		groupKey := key{result.Policy, result.Load}
		if groups[groupKey] == nil {
			groupKeys = append(groupKeys, groupKey)
		}
		groups[groupKey] = append(groups[groupKey], result)
	}
	var means []Result
	for _, groupKey := range groupKeys {
		means = append(means, meanResult(groups[groupKey]))
	}
	return means
}

func meanResult(results []Result) Result {
	means := Result{Scenario: results[0].Scenario, Policy: results[0].Policy, Load: results[0].Load, Seed: uint64(len(results))}
	for _, metric := range metricNames {
		sum := 0.0
		for i := range results {
			sum += *results[i].metric(metric)
		}
		*means.metric(metric) = sum / float64(len(results))
	}
	return means
}

// metricNames are the names of the metrics that a check may bound.
var metricNames = []string{
	"worth", "ontime", "late", "refused", "left", "failed", "roomy", "paused", "p50", "p95", "p99", "again", "copied", "busy", "worst",
}

// metric returns a pointer to the metric with a name, or nil if there is none.
func (r *Result) metric(name string) *float64 {
	return map[string]*float64{
		"worth": &r.ValueRatio, "ontime": &r.OnTime, "late": &r.Late, "refused": &r.Refused, "left": &r.Abandoned, "failed": &r.Failed,
		"roomy": &r.RefusedWithCapacity, "paused": &r.LongGaps, "p50": &r.P50, "p95": &r.P95, "p99": &r.P99, "again": &r.Recomputed,
		"copied": &r.Copied, "busy": &r.Busy, "worst": &r.WorstAccountShare,
	}[name]
}

// FailedChecks returns a message for each check of the scenario that a result at load 1 fails.
func (s Scenario) FailedChecks(results []Result) []string {
	var failures []string
	for _, check := range s.Checks {
		for _, result := range results {
			if result.Policy != check.Policy || result.Load != 1 {
				continue
			}
			value := *result.metric(check.Metric)
			if value < check.Min {
				failures = append(failures, fmt.Sprintf("%s, seed %d: %s is %.3f, not at least %g", check.Policy, result.Seed, check.Metric, value, check.Min))
			}
			if check.Max > 0 && value > check.Max {
				failures = append(failures, fmt.Sprintf("%s, seed %d: %s is %.3f, not at most %g", check.Policy, result.Seed, check.Metric, value, check.Max))
			}
		}
	}
	return failures
}
