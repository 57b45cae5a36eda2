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
	// DefaultPeriod is how often the ticker of a program comes.
	DefaultPeriod = 500 * time.Millisecond
	// DefaultThreshold is how late the ticker of a program comes at least in a stall.
	DefaultThreshold = 250 * time.Millisecond
)

// A Stall is a stretch of time in which a process did not run.
type Stall struct {
	From, To time.Time
	// Usage is what the process used from the tick before until the late one.
	Usage Usage
}

// Duration is how late the tick came.
func (s Stall) Duration() time.Duration {
	return s.To.Sub(s.From)
}

// A Detector finds stalls in the times of a ticker. It has no clock of its own.
type Detector struct {
	// Period is the ticker's, and Limit how late a tick comes at least in a stall.
	Period, Threshold time.Duration

	last time.Time
	used Usage
}

// Tick takes the time of a tick, and what the process has used since its start. It returns
// a stall and true if the tick came late. A ticker drops the ticks that nobody took.
func (m *Detector) Tick(now time.Time, used Usage) (Stall, bool) {
	due, before := m.last.Add(m.Period), m.used
	first := m.last.IsZero()
	m.last, m.used = now, used
	if first || now.Sub(due) < m.Threshold {
		return Stall{}, false
	}
	return Stall{From: due, To: now, Usage: used.Sub(before)}, true
}

// A Monitor logs the stalls of its process. Set the exported fields, then call Run.
type Monitor struct {
	Log hclog.Logger
	// OnStall, if set, is told of each stall.
	OnStall func(Stall)
	// Period and Limit are those of the package if they are not set.
	Period, Threshold time.Duration
}

// Run watches until ctx ends.
func (w *Monitor) Run(ctx context.Context) error {
	m := Detector{Period: orDefault(w.Period, DefaultPeriod), Threshold: orDefault(w.Threshold, DefaultThreshold)}
	for {
		if s, ok := m.Tick(time.Now(), CurrentUsage()); ok {
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

func (w *Monitor) note(s Stall) {
	w.Log.Warn("stalled", "late", s.Duration().Milliseconds(), "processor", s.Usage.CPUTime.Milliseconds(),
		"preempted", s.Usage.Preemptions, "faults", s.Usage.MajorFaults, "collections", s.Usage.GCCycles,
		"suspended", s.Usage.SuspendedTime.Milliseconds(), "pressure", pressure())
	if w.OnStall != nil {
		w.OnStall(s)
	}
}

func orDefault(value, fallback time.Duration) time.Duration {
	if value > 0 {
		return value
	}
	return fallback
}
