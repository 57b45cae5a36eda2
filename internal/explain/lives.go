package explain

import "time"

// maxLives bounds the kept lines about starts and stops.
const maxLives = 1024

// addLifecycleLine keeps a line if it is about a start or stop of its process.
func (r *RequestReport) addLifecycleLine(line *Line) {
	switch line.Message {
	case messageStart, messageStopping, messageStopped, messageOverdue, messageStop:
		if len(r.Lives) < maxLives {
			r.Lives = append(r.Lives, *line)
		}
	default:
	}
}

// processLifecycle is what became of a process after the last line of the request.
type processLifecycle struct {
	stoppingSince time.Time // zero if it was not told to stop
	stopped       bool      // it had no requests in progress any more
	overdue       bool      // it hung during its shutdown and ended itself
	ended         bool      // it wrote its last line
	restarted     bool      // it started again
}

// lifecycle returns what became of the process that wrote the request's last line.
func (r *RequestReport) lifecycle() processLifecycle {
	last := r.Lines[len(r.Lines)-1]
	var lifecycle processLifecycle
	for _, line := range r.Lives {
		switch {
		case line.Process != last.Process:
		case line.Message == messageStart && line.Time.After(last.Time):
			lifecycle.restarted = true
			return lifecycle
		case line.Message == messageStart:
			lifecycle = processLifecycle{}
		case line.Message == messageStopping:
			lifecycle.stoppingSince = line.Time
		case line.Message == messageStopped:
			lifecycle.stopped = true
		case line.Message == messageOverdue:
			lifecycle.overdue = true
		case line.Message == messageStop:
			lifecycle.ended = true
		}
	}
	return lifecycle
}

// causeWithoutEnd returns the cause for a request without a line about its end.
func (r *RequestReport) causeWithoutEnd() Cause {
	lifecycle := r.lifecycle()
	cause := Cause{
		Why:  "no line tells of its end: it is in progress, its process was killed, or the line was dropped",
		Look: "the last lines of the process, and its next start",
	}
	switch {
	case lifecycle.overdue:
		cause = Cause{Why: "its router was told to stop, hung, and ended itself at the end of its grace", Look: "overdue: stacks"}
	case lifecycle.ended:
		cause = Cause{Why: "its process ended without a line of its end: the line was dropped, or came too late", Look: "log lines dropped"}
	case !lifecycle.stoppingSince.IsZero() && lifecycle.stopped && lifecycle.restarted:
		cause = Cause{Why: "its router was told to stop, had nothing left in progress, and was killed before it ended", Look: "what waits behind stopped: is callers' connections closed there?"}
	case !lifecycle.stoppingSince.IsZero() && lifecycle.restarted:
		cause = Cause{Why: "its router was told to stop and was killed before it ended", Look: "stopping: until; was the VM slow, or did it stand still?"}
	case lifecycle.restarted:
		cause = Cause{Why: "its process was killed, or crashed, and has started again", Look: "the platform: who ended it?"}
	}
	return cause
}
