package stall

import (
	"os"
	"runtime/metrics"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// Usage is what a process has used, or what it used in a stretch of time.
type Usage struct {
	// CPUTime is the time that its threads ran. In a stall without any, the process was
	// stopped or got no processor; one that used it all collected garbage or was busy.
	CPUTime time.Duration
	// Preemptions is how often the system took the processor from one of its threads.
	Preemptions int64
	// MajorFaults is how many pages were read from the disk.
	MajorFaults int64
	// GCCycles is how many garbage collections ended.
	GCCycles uint64
	// SuspendedTime is for how long the machine was suspended.
	SuspendedTime time.Duration
}

// Sub returns what was used since before.
func (u Usage) Sub(before Usage) Usage {
	return Usage{
		CPUTime: u.CPUTime - before.CPUTime, Preemptions: u.Preemptions - before.Preemptions, MajorFaults: u.MajorFaults - before.MajorFaults,
		GCCycles: u.GCCycles - before.GCCycles, SuspendedTime: u.SuspendedTime - before.SuspendedTime,
	}
}

// CurrentUsage returns what this process has used since its start. What the system does not tell is 0.
func CurrentUsage() Usage {
	var u Usage
	var r unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &r) == nil {
		u.CPUTime = time.Duration(r.Utime.Nano() + r.Stime.Nano())
		u.Preemptions, u.MajorFaults = r.Nivcsw, r.Majflt
	}
	cycles := []metrics.Sample{{Name: "/gc/cycles/total:gc-cycles"}}
	metrics.Read(cycles)
	if cycles[0].Value.Kind() == metrics.KindUint64 {
		u.GCCycles = cycles[0].Value.Uint64()
	}
	u.SuspendedTime = clockOf(unix.CLOCK_BOOTTIME) - clockOf(unix.CLOCK_MONOTONIC)
	return u
}

func clockOf(id int32) time.Duration {
	var ts unix.Timespec
	if unix.ClockGettime(id, &ts) != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}

// pressure returns for which part of the last ten seconds, in percent, work on this machine
// waited for the processor, the memory and the disk; "" where the system does not tell.
func pressure() string {
	var list []string
	for _, what := range []string{"cpu", "memory", "io"} {
		text, err := os.ReadFile("/proc/pressure/" + what)
		if err != nil {
			return ""
		}
		_, value, _ := strings.Cut(string(text), "avg10=")
		value, _, _ = strings.Cut(value, " ")
		list = append(list, what+" "+value)
	}
	return strings.Join(list, ", ")
}
