package explain

import "time"

// maxLifecycleLines bounds the kept lines about starts and stops.
const maxLifecycleLines = 1024

// addLifecycleLine keeps a line if it is about a start or stop of its process.
func (r *RequestReport) addLifecycleLine(line *Line) {
	switch line.Message {
	case messageStart, messageStopping, messageStopped, messageOverdue, messageStop:
		if len(r.LifecycleLines) < maxLifecycleLines {
			r.LifecycleLines = append(r.LifecycleLines, *line)
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
	for _, line := range r.LifecycleLines {
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
		Why:  "there is no line about its end: it is in progress, its process was killed, or the line was dropped",
		Look: "the last lines of the process, and its next start",
	}
	switch {
	case lifecycle.overdue:
		cause = Cause{Why: "its router hung during a shutdown and ended itself at the end of the grace period", Look: "overdue: stacks"}
	case lifecycle.ended:
		cause = Cause{Why: "its process ended without a line about the request's end: the line was dropped, or written too late", Look: "log lines dropped"}
	case !lifecycle.stoppingSince.IsZero() && lifecycle.stopped && lifecycle.restarted:
		cause = Cause{Why: "its router was killed during a shutdown, after all requests in progress had ended", Look: "the lines after stopped: is there one with callers' connections closed?"}
	case !lifecycle.stoppingSince.IsZero() && lifecycle.restarted:
		cause = Cause{Why: "its router was killed during a shutdown", Look: "stopping: until; was the VM slow or paused?"}
	case lifecycle.restarted:
		cause = Cause{Why: "its process was killed, or crashed, and has restarted", Look: "the platform: what ended the process?"}
	}
	return cause
}
