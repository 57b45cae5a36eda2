// Package stall detects stalls of a process. A ticker that fires late shows that no goroutine of
// the process ran; a held lock or a slow disk does not delay the ticker.
package stall

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
)

const (
	// DefaultPeriod is the period of a Monitor's ticker.
	DefaultPeriod = 500 * time.Millisecond
	// DefaultThreshold is the minimum delay of a tick that counts as a stall.
	DefaultThreshold = 250 * time.Millisecond
)

// A Stall is a period in which a process did not run.
type Stall struct {
	From, To time.Time
	// Usage is the resource usage of the process between the previous tick and the late one.
	Usage Usage
}

// Duration returns how late the tick was.
func (s Stall) Duration() time.Duration {
	return s.To.Sub(s.From)
}

// A Detector finds stalls from the times of a ticker. It has no clock of its own.
type Detector struct {
	// Period is the ticker's period, and Threshold the minimum delay of a tick that counts as a
	// stall.
	Period, Threshold time.Duration

	lastTick  time.Time
	lastUsage Usage
}

// Tick records the time of a tick and the resource usage of the process since its start. It
// returns the stall and true if the tick was late. A ticker drops ticks that are not received, so
// missed ticks need no handling.
func (d *Detector) Tick(now time.Time, usage Usage) (Stall, bool) {
	due, lastUsage := d.lastTick.Add(d.Period), d.lastUsage
	first := d.lastTick.IsZero()
	d.lastTick, d.lastUsage = now, usage
	if first || now.Sub(due) < d.Threshold {
		return Stall{}, false
	}
	return Stall{From: due, To: now, Usage: usage.Sub(lastUsage)}, true
}

// A Monitor logs the stalls of its process. Set the exported fields, then call Run.
type Monitor struct {
	Log hclog.Logger
	// OnStall, if set, is called for each stall.
	OnStall func(Stall)
	// OnTick, if set, is called after each tick.
	OnTick func()
	// Period and Threshold default to DefaultPeriod and DefaultThreshold.
	Period, Threshold time.Duration
}

// Run monitors the process until ctx ends.
func (m *Monitor) Run(ctx context.Context) error {
	detector := Detector{Period: orDefault(m.Period, DefaultPeriod), Threshold: orDefault(m.Threshold, DefaultThreshold)}
	for {
		if stall, ok := detector.Tick(time.Now(), CurrentUsage()); ok {
			m.report(stall)
		}
		if m.OnTick != nil {
			m.OnTick()
		}
		timer := time.NewTimer(detector.Period)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		}
	}
}

func (m *Monitor) report(stall Stall) {
	m.Log.Warn("stalled", "late", stall.Duration().Milliseconds(), "processor", stall.Usage.CPUTime.Milliseconds(),
		"preempted", stall.Usage.Preemptions, "faults", stall.Usage.MajorFaults, "collections", stall.Usage.GCCycles,
		"suspended", stall.Usage.SuspendedTime.Milliseconds(), "pressure", pressure())
	if m.OnStall != nil {
		m.OnStall(stall)
	}
}

func orDefault(value, fallback time.Duration) time.Duration {
	if value > 0 {
		return value
	}
	return fallback
}
