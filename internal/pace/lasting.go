package pace

import (
	"math"
	"slices"
	"time"
)

const (
	// lastingStatements is the number of statements whose median is the lasting pace that a target
	// states, and statementPause the least time between two of them, so that one spell of other work on
	// the machine counts once. With fewer than minStatements, the target may be in such a spell.
	lastingStatements = 5
	minStatements     = 2
	statementPause    = time.Second
	// answerWeight is the weight of one answer. Most of the difference between an answer's time and its
	// prediction is not the target's, so that ratios below tolerance (a logarithm) do not count.
	answerWeight    = 0.1
	answerTolerance = 0.2
	maxAnswerRatio  = 2.5
	// maxLasting bounds the lasting pace: a target of twice the usual time is avoided, but keeps some
	// work to be measured by.
	maxLasting = 2
)

// A lastingPace is how many times as long as usual work takes at a target, other work on its machine
// aside. It is the pace that the target states most of the time, corrected by its answers. The zero
// value is usual.
type lastingPace struct {
	stated    [lastingStatements]float64
	count     int // of statements, up to lastingStatements
	next      int // index of the oldest statement
	statedAt  time.Time
	logAnswer float64 // mean logarithm of answer times relative to what the target states
	value     float64 // 0 for usual
}

func (l *lastingPace) state(now time.Time, slowdown float64) {
	if l.count > 0 && now.Sub(l.statedAt) < statementPause {
		return
	}
	l.stated[l.next], l.statedAt = slowdown, now
	l.next, l.count = (l.next+1)%lastingStatements, min(l.count+1, lastingStatements)
	l.update()
}

func (l *lastingPace) recordAnswer(ratio float64) {
	l.logAnswer += answerWeight * (math.Log(min(max(ratio, 1/maxAnswerRatio), maxAnswerRatio)) - l.logAnswer)
	l.update()
}

func (l *lastingPace) update() {
	stated := 1.0
	if l.count >= minStatements {
		sorted := l.stated
		slices.Sort(sorted[:l.count])
		stated = sorted[(l.count-1)/2]
	}
	correction := math.Copysign(max(math.Abs(l.logAnswer)-answerTolerance, 0), l.logAnswer)
	l.value = min(max(min(stated, maxLasting)*math.Exp(correction), 1.0/maxLasting), maxLasting)
}

func (l *lastingPace) get() float64 {
	if l.value == 0 {
		return 1
	}
	return l.value
}
