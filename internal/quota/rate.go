package quota

import (
	"math"
	"time"
)

// rateTimeConstant is the time over which rates are averaged. It is long compared with one
// request and short compared with the seconds over which shares are balanced.
const rateTimeConstant = time.Second

// A rate is a moving average of tokens per second that decays exponentially.
type rate struct {
	value     float64
	updatedAt time.Time
}

func (r *rate) add(now time.Time, tokens float64) {
	r.value = r.current(now) + tokens/rateTimeConstant.Seconds()
	r.updatedAt = now
}

// CurrentRate returns the rate in the time between two values of a moving average. It is noisier than the
// average, and rises with the load at once.
func CurrentRate(before, after float64, elapsed time.Duration) float64 {
	return after + (after-before)*rateTimeConstant.Seconds()/elapsed.Seconds()
}

func (r *rate) current(now time.Time) float64 {
	return r.value * math.Exp(-now.Sub(r.updatedAt).Seconds()/rateTimeConstant.Seconds())
}
