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
	programEnv = "LF_SOAK_PROGRAM" // which program the test binary is
	clockEnv   = "LF_SOAK_CLOCK"   // how its clock goes wrong
	listenEnv  = "LF_SOAK_LISTEN"  // where a keeper listens for the fleet, behind a proxy
	diskEnv    = "LF_SOAK_DISK"    // the file that orders faults of its disk
)

// TestMain is the programs, when started as one of them.
func TestMain(m *testing.M) {
	host := cmd.Hooks{ConfigureKeeper: faultyKeeper, ConfigureRouter: faultyRouter}
	switch os.Getenv(programEnv) {
	case "lf-keeper":
		os.Exit(host.RunKeeper(os.Args[1:], os.Stdout, os.Stderr))
	case pauseProgram:
		os.Exit(pauseAll(os.Args[1:]))
	case "lf-router":
		os.Exit(host.RunRouter(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

func faultyRouter(r *routing.Service) {
	r.Clock = newWrongClock(os.Getenv(clockEnv))
}

// faultyKeeper has a keeper listen behind its proxy, which owns the address that the
// fleet knows it by.
func faultyKeeper(k *keeper.Keeper) {
	k.Clock = newWrongClock(os.Getenv(clockEnv))
	k.Disk = &faultyDisk{Disk: k.Disk, order: os.Getenv(diskEnv)}
	known := false
	for _, p := range k.Settings.PeerList() {
		known = known || p.Name == k.Settings.Name
	}
	if !known { // a keeper that is no seed tells others where it listens
		k.Settings.Peers = append(k.Settings.Peers, k.Settings.Name+"="+k.Settings.Name)
	}
	k.Settings.Listen = os.Getenv(listenEnv)
}

// How wrong clocks are. A process's clock takes the time of day at its start only, so
// a jump shows at a restart. Leases allow for more than wrongRate.
const (
	wrongTime = time.Hour
	wrongRate = 0.02
)

// A wrongClock runs at a wrong time of day or at a wrong rate.
type wrongClock struct {
	clock.Clock
	start time.Time
	ahead time.Duration
	rate  float64
}

func newWrongClock(how string) *wrongClock {
	c := &wrongClock{Clock: clock.NewRealClock()}
	c.start = c.Clock.Now()
	switch how {
	case howAhead:
		c.ahead = wrongTime
	case howBehind:
		c.ahead = -wrongTime
	case howFast:
		c.rate = wrongRate
	case howSlow:
		c.rate = -wrongRate
	}
	return c
}

// Now implements clock.Clock.
func (c *wrongClock) Now() time.Time {
	now := c.Clock.Now()
	return now.Add(c.ahead + time.Duration(c.rate*float64(now.Sub(c.start))))
}

// A faultyDisk fails as long as a file orders it to.
type faultyDisk struct {
	journal.Disk
	order string
}

func (d *faultyDisk) fails(how string) bool {
	text, err := os.ReadFile(d.order)
	return err == nil && string(text) == how
}

// Create implements journal.Disk.
func (d *faultyDisk) Create(name string) (journal.File, error) {
	if d.fails(howFull) {
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
	if !f.disk.fails(howFull) {
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
	if f.disk.fails(howSync) {
		return syscall.EIO
	}
	return f.File.Sync()
}
