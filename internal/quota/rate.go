package quota

import (
	"math"
	"time"
)

// rateMemory is the time over which rates are averaged. Shares are owed over
// some seconds: long against one request, short against those.
const rateMemory = time.Second

// A rate is an average of tokens a second that fades over rateMemory.
type rate struct {
	value float64
	at    time.Time
}

func (r *rate) add(now time.Time, tokens float64) {
	r.value = r.now(now) + tokens/rateMemory.Seconds()
	r.at = now
}

func (r *rate) now(now time.Time) float64 {
	return r.value * math.Exp(-now.Sub(r.at).Seconds()/rateMemory.Seconds())
}
