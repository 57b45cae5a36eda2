package backpressure

import "time"

// never is later than any time of a clock.
var never = time.Unix(1<<40, 0)

// A Status is what a target has signaled. The zero value is that of a target without signals.
type Status struct {
	// BackoffEnd is when the target takes requests again. It is in the past, or zero, if the target
	// takes requests.
	BackoffEnd time.Time
	// LeavingEnd is until when the target counts as leaving.
	LeavingEnd time.Time
}

// BackingOff reports whether the target wants no requests for some time.
func (s Status) BackingOff(now time.Time) bool {
	return now.Before(s.BackoffEnd)
}

// Leaving reports whether the target has said that it is about to end.
func (s Status) Leaving(now time.Time) bool {
	return now.Before(s.LeavingEnd)
}

// Blocked reports whether the target must not get requests.
func (s Status) Blocked(now time.Time) bool {
	return s.BackingOff(now) || s.Leaving(now)
}

// NextChange returns when the status changes without a further signal, and zero if it does not.
func (s Status) NextChange(now time.Time) time.Time {
	switch {
	case !s.Blocked(now):
		return time.Time{}
	case !s.BackingOff(now), s.Leaving(now) && s.LeavingEnd.Before(s.BackoffEnd):
		return s.LeavingEnd
	default:
		return s.BackoffEnd
	}
}
