// Package quota shares the engines' tokens among accounts, max-min, over all
// routers.
//
// The leader adds up what the accounts ask for; each router works out from that
// what is due to an account through it. Everything here is deterministic:
// (time, message) in, answer out.
package quota

import "slices"

// MaxMinLevel returns the most that an account gets when capacity is divided max-min
// among demands: whoever asks for less gets all of it, the rest get the level.
// It is the largest demand if all fit.
func MaxMinLevel(capacity float64, demands []float64) float64 {
	sorted := slices.Clone(demands)
	slices.Sort(sorted)
	left := capacity
	for i, d := range sorted {
		even := left / float64(len(sorted)-i)
		if d >= even {
			return even
		}
		left -= d
	}
	// All fit; what is left over is nobody's.
	if len(sorted) == 0 {
		return capacity
	}
	return max(left, sorted[len(sorted)-1])
}
