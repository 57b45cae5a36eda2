// Package quota implements max-min fair sharing of the engines' token throughput among accounts,
// over all routers.
//
// The leader sums the accounts' demand. Each router derives from the sums which part of an
// account's share it may use. Everything is deterministic: methods take the time and a message,
// and there is no clock, goroutine or socket.
package quota

import "slices"

// MaxMinLevel returns the max-min fair level for the demands: accounts with less demand get all
// of it, and the others get the level. If all demands fit, it is at least the largest demand.
func MaxMinLevel(capacity float64, demands []float64) float64 {
	sorted := slices.Clone(demands)
	slices.Sort(sorted)
	remaining := capacity
	for i, demand := range sorted {
		equalShare := remaining / float64(len(sorted)-i)
		if demand >= equalShare {
			return equalShare
		}
		remaining -= demand
	}
	// All demands fit, and part of the capacity is unused.
	if len(sorted) == 0 {
		return capacity
	}
	return max(remaining, sorted[len(sorted)-1])
}
