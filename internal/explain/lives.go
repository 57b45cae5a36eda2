package explain

import "time"

// mostLives bounds the lines of starts and ends that are kept.
const mostLives = 1024

// live keeps the line of a start or an end.
func (s *RequestReport) live(l *Line) {
	switch l.Message {
	case messageStart, messageStopping, messageStopped, messageOverdue, messageStop:
		if len(s.Lives) < mostLives {
			s.Lives = append(s.Lives, *l)
		}
	default:
	}
}

// A life is how the process of a request's last line went on from there.
type life struct {
	stopping time.Time // when it was told to stop; zero if it was not
	stopped  bool      // it had nothing left to do
	overdue  bool      // it hung, and ended by itself
	ended    bool      // it wrote its last line
	again    bool      // it started again
}

func (s *RequestReport) life() life {
	last := s.Lines[len(s.Lines)-1]
	var f life
	for _, l := range s.Lives {
		switch {
		case l.Process != last.Process:
		case l.Message == messageStart && l.At.After(last.At):
			f.again = true
			return f
		case l.Message == messageStart:
			f = life{}
		case l.Message == messageStopping:
			f.stopping = l.At
		case l.Message == messageStopped:
			f.stopped = true
		case l.Message == messageOverdue:
			f.overdue = true
		case l.Message == messageStop:
			f.ended = true
		}
	}
	return f
}

// unended works out the cause for a request without the line of its end.
func (s *RequestReport) unended() Cause {
	f := s.life()
	c := Cause{
		Why:  "no line tells of its end: it is in progress, its process was killed, or the line was dropped",
		Look: "the last lines of the process, and its next start",
	}
	switch {
	case f.overdue:
		c = Cause{Why: "its router was told to stop, hung, and ended itself at the end of its grace", Look: "overdue: stacks"}
	case f.ended:
		c = Cause{Why: "its process ended without a line of its end: the line was dropped, or came too late", Look: "log lines dropped"}
	case !f.stopping.IsZero() && f.stopped && f.again:
		c = Cause{Why: "its router was told to stop, had nothing left in progress, and was killed before it ended", Look: "what waits behind stopped: is callers' connections closed there?"}
	case !f.stopping.IsZero() && f.again:
		c = Cause{Why: "its router was told to stop and was killed before it ended", Look: "stopping: until; was the VM slow, or did it stand still?"}
	case f.again:
		c = Cause{Why: "its process was killed, or crashed, and has started again", Look: "the platform: who ended it?"}
	}
	return c
}
