package stall

import (
	"os"
	"runtime/metrics"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// Usage is the resource usage of a process since its start or in a period.
type Usage struct {
	// CPUTime is the CPU time of all threads. A stall without CPU time means that the process was
	// stopped or got no CPU; one with full CPU time means that it collected garbage or was busy.
	CPUTime time.Duration
	// Preemptions counts how often the kernel took the CPU from one of the threads.
	Preemptions int64
	// MajorFaults counts the pages read from disk.
	MajorFaults int64
	// GCCycles counts the completed garbage collections.
	GCCycles uint64
	// SuspendedTime is how long the machine was suspended.
	SuspendedTime time.Duration
}

// Sub returns the usage since before.
func (u Usage) Sub(before Usage) Usage {
	return Usage{
		CPUTime: u.CPUTime - before.CPUTime, Preemptions: u.Preemptions - before.Preemptions, MajorFaults: u.MajorFaults - before.MajorFaults,
		GCCycles: u.GCCycles - before.GCCycles, SuspendedTime: u.SuspendedTime - before.SuspendedTime,
	}
}

// CurrentUsage returns the usage of this process since its start. Values that the system does not
// provide are 0.
func CurrentUsage() Usage {
	var usage Usage
	var rusage unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &rusage) == nil {
		usage.CPUTime = time.Duration(rusage.Utime.Nano() + rusage.Stime.Nano())
		usage.Preemptions, usage.MajorFaults = rusage.Nivcsw, rusage.Majflt
	}
	cycles := []metrics.Sample{{Name: "/gc/cycles/total:gc-cycles"}}
	metrics.Read(cycles)
	if cycles[0].Value.Kind() == metrics.KindUint64 {
		usage.GCCycles = cycles[0].Value.Uint64()
	}
	usage.SuspendedTime = readClock(unix.CLOCK_BOOTTIME) - readClock(unix.CLOCK_MONOTONIC)
	return usage
}

func readClock(id int32) time.Duration {
	var ts unix.Timespec
	if unix.ClockGettime(id, &ts) != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}

// pressure returns the percentage of the last ten seconds in which work on this machine waited
// for the CPU, for memory and for the disk, or "" if the system does not provide it.
func pressure() string {
	var parts []string
	for _, resource := range []string{"cpu", "memory", "io"} {
		content, err := os.ReadFile("/proc/pressure/" + resource)
		if err != nil {
			return ""
		}
		_, value, _ := strings.Cut(string(content), "avg10=")
		value, _, _ = strings.Cut(value, " ")
		parts = append(parts, resource+" "+value)
	}
	return strings.Join(parts, ", ")
}
