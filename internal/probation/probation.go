// Package probation lets a target that failed come back in steps.
//
// What speaks against a target fades while nothing is sent there, and then it looks as
// good as any: until the first of its new answers, it would get everything that
// belongs there, and one that hangs would get as much as it takes in that time. So it
// gets one request at first, and twice as many at a time after each that it serves.
package probation

// A Limit bounds the requests at a time at a target on probation. Set TrustedConcurrency, then call
// its methods.
type Limit struct {
	// TrustedConcurrency is how many requests at a time a target must be allowed before it is
	// believed in full again.
	TrustedConcurrency int

	most int // 0 if the target is not on probation
}

// Allows reports whether one more request may go there beside those running.
func (l *Limit) Allows(running int) bool {
	return l.most == 0 || running < l.most
}

// Begin puts the target on probation, from the first step.
func (l *Limit) Begin() {
	l.most = 1
}

// Active reports whether the target is on probation.
func (l *Limit) Active() bool {
	return l.most > 0
}

// RecordSuccess notes a request that the target served.
func (l *Limit) RecordSuccess() {
	l.most *= 2
	if l.most >= l.TrustedConcurrency {
		l.most = 0
	}
}
