// Package stall tells when a process stood still: a ticker that comes late shows that no
// goroutine of the process ran. A lock that is held, or a disk that is slow, does not delay
// the ticker.
package stall

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
)

const (
	// Period is how often the ticker of a program comes.
	Period = 500 * time.Millisecond
	// Limit is how late the ticker of a program comes at least in a stall.
	Limit = 250 * time.Millisecond
)

// A Stall is a stretch of time in which a process did not run.
type Stall struct {
	From, To time.Time
	// Used is what the process used from the tick before until the late one.
	Used Usage
}

// Late is how late the tick came.
func (s Stall) Late() time.Duration {
	return s.To.Sub(s.From)
}

// A Meter finds stalls in the times of a ticker. It has no clock of its own.
type Meter struct {
	// Period is the ticker's, and Limit how late a tick comes at least in a stall.
	Period, Limit time.Duration

	last time.Time
	used Usage
}

// Tick takes the time of a tick, and what the process has used since its start. It returns
// a stall and true if the tick came late. A ticker drops the ticks that nobody took.
func (m *Meter) Tick(now time.Time, used Usage) (Stall, bool) {
	due, before := m.last.Add(m.Period), m.used
	first := m.last.IsZero()
	m.last, m.used = now, used
	if first || now.Sub(due) < m.Limit {
		return Stall{}, false
	}
	return Stall{From: due, To: now, Used: used.Sub(before)}, true
}

// A Watch logs the stalls of its process. Set the exported fields, then call Run.
type Watch struct {
	Log hclog.Logger
	// Noted, if set, is told of each stall.
	Noted func(Stall)
	// Period and Limit are those of the package if they are not set.
	Period, Limit time.Duration
}

// Run watches until ctx ends.
func (w *Watch) Run(ctx context.Context) error {
	m := Meter{Period: orDefault(w.Period, Period), Limit: orDefault(w.Limit, Limit)}
	for {
		if s, ok := m.Tick(time.Now(), Use()); ok {
			w.note(s)
		}
		timer := time.NewTimer(m.Period)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		}
	}
}

func (w *Watch) note(s Stall) {
	w.Log.Warn("stalled", "late", s.Late().Milliseconds(), "processor", s.Used.Processor.Milliseconds(),
		"preempted", s.Used.Preempted, "faults", s.Used.Faults, "collections", s.Used.Collections,
		"suspended", s.Used.Suspended.Milliseconds(), "pressure", pressure())
	if w.Noted != nil {
		w.Noted(s)
	}
}

func orDefault(value, fallback time.Duration) time.Duration {
	if value > 0 {
		return value
	}
	return fallback
}
