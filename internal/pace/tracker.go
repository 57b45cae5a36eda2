package pace

import (
	"math"
	"time"
)

const (
	// Lifetime is how long a statement counts, with linearly falling weight: other work takes a machine
	// for about that long, and a statement is made at a random moment of it.
	Lifetime = 600 * time.Millisecond
	// maxSlowdown bounds the effect of a statement. A target that states more, rightly or not, is
	// avoided all the same.
	maxSlowdown = 4
	// newsDifference is how far a statement must differ from what other routers assume to be worth
	// telling them.
	newsDifference = 0.2
	// clockSlack is how much newer a statement from other routers must be than a router's own. Their
	// age leaves out the time that messages travel and wait.
	clockSlack = 60 * time.Millisecond
)

// A Statement is how many times as long as usual work takes at a target, and when the target said so.
type Statement struct {
	Slowdown float64
	At       time.Time
}

// weight falls from 1 to 0 over the lifetime of a statement.
func (s Statement) weight(now time.Time) float64 {
	return max(1-max(float64(now.Sub(s.At)), 0)/float64(Lifetime), 0)
}

// expected returns the slowdown to expect at a target of a lasting pace.
func (s Statement) expected(now time.Time, lasting float64) float64 {
	return lasting + (s.Slowdown-lasting)*s.weight(now)
}

// A Tracker tracks the pace of one run of a target. The zero value is a target of usual pace.
type Tracker struct {
	latest  Statement
	shared  Statement // the newest statement that other routers know
	unsent  bool      // latest is news to other routers
	lasting lastingPace
}

// State records what the target has stated. A statement below usual counts as usual: a target must not
// get more work by what it states.
func (t *Tracker) State(now time.Time, slowdown float64) {
	t.latest = Statement{Slowdown: bounded(slowdown), At: now}
	t.unsent = math.Abs(t.latest.Slowdown-t.shared.expected(now, t.Lasting())) >= newsDifference
	t.lasting.state(now, t.latest.Slowdown)
}

// Merge records a statement that another router has passed on, unless the router's own is as new.
func (t *Tracker) Merge(s Statement) {
	s.Slowdown = bounded(s.Slowdown)
	if s.At.After(t.shared.At) {
		t.shared = s
	}
	if s.At.Sub(t.latest.At) > clockSlack {
		t.latest, t.unsent = s, false
	}
}

// News returns the latest statement if other routers do not know it, and counts it as sent. A
// statement that is lost on its way is not sent again; the target's next one takes its place.
func (t *Tracker) News(now time.Time) (Statement, bool) {
	if !t.unsent {
		return Statement{}, false
	}
	t.unsent = false
	if t.latest.weight(now) == 0 {
		return Statement{}, false
	}
	t.shared = t.latest
	return t.latest, true
}

// RecordAnswer records the time that an answer took, divided by the time that it takes at the pace that
// the target has stated.
func (t *Tracker) RecordAnswer(ratio float64) {
	if ratio > 0 && !math.IsInf(ratio, 1) {
		t.lasting.recordAnswer(ratio)
	}
}

// Lasting returns the pace of the target, other work on its machine aside.
func (t *Tracker) Lasting() float64 {
	return t.lasting.get()
}

// Slowdown returns how many times as long as usual work takes now, as far as is known.
func (t *Tracker) Slowdown(now time.Time) float64 {
	return t.latest.expected(now, t.Lasting())
}

// Over returns the mean of the expected slowdown over work that begins now and takes the given time at
// usual pace.
func (t *Tracker) Over(now time.Time, work time.Duration) float64 {
	lasting, weight := t.Lasting(), t.latest.weight(now)
	if weight == 0 || t.latest.Slowdown == lasting {
		return lasting
	}
	left := weight * float64(Lifetime)
	span := float64(work) * t.latest.expected(now, lasting)
	if span > left {
		weight *= left / span / 2 // it is 0 after that
	} else {
		weight -= span / 2 / float64(Lifetime)
	}
	return lasting + (t.latest.Slowdown-lasting)*weight
}

func bounded(slowdown float64) float64 {
	if !(slowdown > 1) { // also NaN
		return 1
	}
	return min(slowdown, maxSlowdown)
}
