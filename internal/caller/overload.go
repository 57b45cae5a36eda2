package caller

import "time"

const (
	// overloadThreshold is how long a request may wait unread before its router counts as
	// overloaded. It is a quarter of the second after which callers abandon an unread request.
	overloadThreshold = 250 * time.Millisecond
	// minOverloadPeriod is how long an overloaded router reports that it is not ready. The load
	// balancer checks every second and takes a router out of rotation after the second failed
	// check. The remaining time is for requests on open connections.
	minOverloadPeriod = 3 * time.Second
	// queueCheckInterval is the interval between checks of the accept queue. If two checks are more
	// than maxQueueCheckGap apart, the queue may have been empty between them.
	queueCheckInterval = 50 * time.Millisecond
	maxQueueCheckGap   = 4 * queueCheckInterval
	// maxOverloadPeriod bounds the period when the overload recurs each time.
	maxOverloadPeriod = 4 * minOverloadPeriod
)

// An overloadDetector decides whether a router is overloaded by its callers.
//
// The load balancer assigns callers to routers by their identity, so a large account may come in
// through one router of many and send more requests than its processor can even refuse. Requests
// then wait unread until their callers have left, and all further work of this router is wasted
// while other routers idle. An overloaded router reports to the load balancer that it is not ready,
// and closes connections after their responses, so that callers reconnect through other routers.
type overloadDetector struct {
	overloadedUntil time.Time // end of the overload period
	repeatUntil     time.Time // an overload before this time counts as a repeat
	repeats         int       // number of consecutive repeats

	queueCheckedAt     time.Time // time of the last check of the accept queue
	queueNonEmptySince time.Time // time since which every check found the accept queue non-empty
}

// queueCheckDue reports whether it is time to check the accept queue.
func (d *overloadDetector) queueCheckDue(now time.Time) bool {
	return now.Sub(d.queueCheckedAt) >= queueCheckInterval
}

// recordQueueCheck records whether the accept queue has connections, and reports whether an
// overload period begins. If the queue is never empty, each connection in it has waited for as long
// as the queue takes to be processed, and most of their callers have left.
func (d *overloadDetector) recordQueueCheck(now time.Time, nonEmpty bool) bool {
	gapTooLong := now.Sub(d.queueCheckedAt) > maxQueueCheckGap
	d.queueCheckedAt = now
	if !nonEmpty || gapTooLong {
		d.queueNonEmptySince = now
	}
	return d.recordWait(now, now.Sub(d.queueNonEmptySince))
}

// recordWait records how long a request waited unread, and reports whether an overload period
// begins.
func (d *overloadDetector) recordWait(now time.Time, wait time.Duration) bool {
	if wait < overloadThreshold || now.Before(d.overloadedUntil) {
		return false
	}
	if now.After(d.repeatUntil) {
		d.repeats = 0
	}
	period := min(minOverloadPeriod<<min(d.repeats, 4), maxOverloadPeriod)
	d.repeats++
	d.overloadedUntil = now.Add(period)
	d.repeatUntil = d.overloadedUntil.Add(period)
	return true
}

// isOverloaded reports whether an overload period is in progress.
func (d *overloadDetector) isOverloaded(now time.Time) bool {
	return now.Before(d.overloadedUntil)
}
