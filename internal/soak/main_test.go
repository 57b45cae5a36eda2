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

// What a process of the soak is told beside its settings.
const (
	programEnv   = "LF_SOAK_PROGRAM" // which program the test binary is
	clockEnv     = "LF_SOAK_CLOCK"   // how its clock goes wrong
	listenEnv    = "LF_SOAK_LISTEN"  // where a keeper listens for the fleet, behind a proxy
	diskFaultEnv = "LF_SOAK_DISK"    // the file that orders faults of its disk
)

// TestMain is the programs, when started as one of them.
func TestMain(m *testing.M) {
	host := cmd.Host{Keeper: injectKeeperFaults, Router: injectRouterFaults}
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

func injectRouterFaults(service *routing.Service) {
	service.Clock = newSkewedClock(os.Getenv(clockEnv))
}

// faultyKeeper has a keeper listen behind its proxy, which owns the address that the
// fleet knows it by.
func injectKeeperFaults(service *keeper.Keeper) {
	service.Clock = newSkewedClock(os.Getenv(clockEnv))
	service.Disk = &faultyDisk{Disk: service.Disk, faultFile: os.Getenv(diskFaultEnv)}
	isPeer := false
	for _, peer := range service.Settings.PeerList() {
		isPeer = isPeer || peer.Name == service.Settings.Name
	}
	if !isPeer { // a keeper that is no seed tells others where it listens
		service.Settings.Peers = append(service.Settings.Peers, service.Settings.Name+"="+service.Settings.Name)
	}
	service.Settings.Listen = os.Getenv(listenEnv)
}

// How wrong clocks are. A process's clock takes the time of day at its start only, so
// a jump shows at a restart. Leases allow for more than wrongRate.
const (
	clockOffset = time.Hour
	clockDrift  = 0.02
)

// A wrongClock runs at a wrong time of day or at a wrong rate.
type skewedClock struct {
	clock.Clock
	start  time.Time
	offset time.Duration
	drift  float64
}

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

// A faultyDisk fails as long as a file orders it to.
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

// Write implements journal.File. On a full disk it writes half.
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
