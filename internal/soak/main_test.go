package soak

import (
	"fmt"
	"os"
	"syscall"
	"testing"
	"time"

	"laburnumfall/internal/clock"
	"laburnumfall/internal/cmd"
	"laburnumfall/internal/journal"
	"laburnumfall/internal/keeper"
	"laburnumfall/internal/routing"
)

// Environment variables that configure a process of the soak test, in addition to its settings file.
const (
	programEnv   = "LF_SOAK_PROGRAM" // the program to run as: lf-keeper, lf-router or pause
	clockEnv     = "LF_SOAK_CLOCK"   // the variant of clock skew
	listenEnv    = "LF_SOAK_LISTEN"  // the address on which a keeper listens, behind its proxy
	diskFaultEnv = "LF_SOAK_DISK"    // the file that contains the fault of a keeper's disk
)

// TestMain runs one of the fleet's programs, or the one that pauses processes, if the environment
// names it, and the tests otherwise.
func TestMain(m *testing.M) {
	host := cmd.Hooks{ConfigureKeeper: injectKeeperFaults, ConfigureRouter: injectRouterFaults}
	switch os.Getenv(programEnv) {
	case "lf-keeper":
		os.Exit(host.RunKeeper(os.Args[1:], os.Stdout, os.Stderr))
	case pauseProgram:
		os.Exit(pauseProcesses(os.Args[1:]))
	case "lf-router":
		os.Exit(host.RunRouter(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// injectRouterFaults gives a router a skewed clock.
func injectRouterFaults(service *routing.Service) {
	service.Clock = newSkewedClock(os.Getenv(clockEnv))
}

// injectKeeperFaults gives a keeper a skewed clock and a faulty disk. It also makes the keeper listen
// behind its proxy, which uses the address that the fleet connects to.
func injectKeeperFaults(service *keeper.Keeper) {
	service.Clock = newSkewedClock(os.Getenv(clockEnv))
	service.Disk = &faultyDisk{Disk: service.Disk, faultFile: os.Getenv(diskFaultEnv)}
	isPeer := false
	for _, peer := range service.Settings.PeerList() {
		isPeer = isPeer || peer.Name == service.Settings.Name
	}
	if !isPeer { // a keeper that is not a seed would advertise its listen address instead of its proxy
		service.Settings.Peers = append(service.Settings.Peers, service.Settings.Name+"="+service.Settings.Name)
	}
	service.Settings.Listen = os.Getenv(listenEnv)
}

// The errors of skewed clocks. A process reads the time of day only at its start, so that an offset
// takes effect at a restart. Leases tolerate a larger drift than clockDrift.
const (
	clockOffset = time.Hour
	clockDrift  = 0.02
)

// A skewedClock has an offset from the real clock or drifts from it.
type skewedClock struct {
	clock.Clock
	start  time.Time
	offset time.Duration
	drift  float64
}

// newSkewedClock returns the clock of a variant, which is correct for any other text.
func newSkewedClock(variant string) *skewedClock {
	c := &skewedClock{Clock: clock.NewRealClock()}
	c.start = c.Clock.Now()
	switch variant {
	case variantClockAhead:
		c.offset = clockOffset
	case variantClockBehind:
		c.offset = -clockOffset
	case variantClockFast:
		c.drift = clockDrift
	case variantClockSlow:
		c.drift = -clockDrift
	}
	return c
}

// Now implements clock.Clock.
func (c *skewedClock) Now() time.Time {
	now := c.Clock.Now()
	return now.Add(c.offset + time.Duration(c.drift*float64(now.Sub(c.start))))
}

// A faultyDisk fails while faultFile contains the variant of a fault.
type faultyDisk struct {
	journal.Disk
	faultFile string
}

func (d *faultyDisk) hasFault(variant string) bool {
	text, err := os.ReadFile(d.faultFile)
	return err == nil && string(text) == variant
}

// Create implements journal.Disk.
func (d *faultyDisk) Create(name string) (journal.File, error) {
	if d.hasFault(variantDiskFull) {
		return nil, fmt.Errorf("create %s: %w", name, syscall.ENOSPC)
	}
	f, err := d.Disk.Create(name)
	return &faultyFile{File: f, disk: d}, err
}

// Open implements journal.Disk.
func (d *faultyDisk) Open(name string) (journal.File, error) {
	f, err := d.Disk.Open(name)
	return &faultyFile{File: f, disk: d}, err
}

type faultyFile struct {
	journal.File
	disk *faultyDisk
}

// Write implements journal.File. On a full disk it writes half of the data.
func (f *faultyFile) Write(data []byte) (int, error) {
	if !f.disk.hasFault(variantDiskFull) {
		return f.File.Write(data)
	}
	n, err := f.File.Write(data[:len(data)/2])
	if err != nil {
		return n, err
	}
	return n, syscall.ENOSPC
}

// Sync implements journal.File.
func (f *faultyFile) Sync() error {
	if f.disk.hasFault(variantSyncError) {
		return syscall.EIO
	}
	return f.File.Sync()
}
