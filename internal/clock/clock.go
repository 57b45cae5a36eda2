// Package clock provides the time to programs, and a settable clock to their tests.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// A Clock returns the current time, which never goes back.
type Clock interface {
	Now() time.Time
}

// A RealClock returns the wall time at its creation plus the time elapsed since, including time
// in which the machine was suspended. A step of the wall clock does not affect it, so leases
// become neither longer nor shorter.
type RealClock struct {
	wallStart time.Time
	bootStart time.Duration
}

var _ Clock = &RealClock{}

// NewRealClock returns a clock that starts at the current wall time.
func NewRealClock() *RealClock {
	return &RealClock{wallStart: time.Now().Round(0), bootStart: bootTime()}
}

// Now implements Clock.
func (c *RealClock) Now() time.Time {
	return c.wallStart.Add(bootTime() - c.bootStart)
}

// bootTime returns the time since the machine booted. Unlike the monotonic clock of the time
// package, it includes suspended time: a lease must not outlive a suspension.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("read CLOCK_BOOTTIME (available on Linux since 2.6.39): " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// A MockClock returns a time that tests set.
type MockClock struct {
	Time time.Time
}

var _ Clock = &MockClock{}

// Now implements Clock.
func (c *MockClock) Now() time.Time {
	return c.Time
}
