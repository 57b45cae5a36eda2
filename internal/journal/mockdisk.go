package journal

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"syscall"
)

// A MockDisk is a Disk in memory that forgets what was not synced when it
// crashes, and that fails to order.
type MockDisk struct {
	// Seed decides what is left of unsynced writes after a crash.
	Seed uint64
	// FailFromOp is the operation, counted from 1, from which on all fail with
	// Fault; 0 is never. It stands for a crash, a full disk or a failed sync.
	FailFromOp int
	Fault      error
	// Ops counts the operations that change the disk.
	Ops int

	files   map[string]*mockFile
	durable map[string]*mockFile // names that last
	random  *rand.Rand
}

var _ Disk = &MockDisk{}

// mockFile is the content of a file, of which the first synced bytes last.
type mockFile struct {
	data   []byte
	synced int
}

// The faults that a MockDisk is usually given.
var (
	ErrCrash      = errors.New("the machine crashed")
	ErrDiskFull   = fmt.Errorf("write: %w", syscall.ENOSPC)
	ErrSyncFailed = fmt.Errorf("sync: %w", syscall.EIO)
)

func (d *MockDisk) step() error {
	if d.files == nil {
		d.files = make(map[string]*mockFile)
		d.durable = make(map[string]*mockFile)
		d.random = rand.New(rand.NewPCG(d.Seed, 1))
	}
	d.Ops++
	if d.FailFromOp > 0 && d.Ops >= d.FailFromOp {
		return d.Fault
	}
	return nil
}

// Crash drops what was not synced: names go back, and of unsynced bytes a
// random part stays, some of its sectors empty.
func (d *MockDisk) Crash() {
	d.FailFromOp = 0
	d.files = maps.Clone(d.durable)
	for _, name := range slices.Sorted(maps.Keys(d.files)) {
		d.files[name].crash(d.random)
	}
}

func (f *mockFile) crash(random *rand.Rand) {
	rest := len(f.data) - f.synced
	if rest <= 0 {
		return
	}
	f.data = f.data[:f.synced+random.IntN(rest+1)]
	for start := f.synced; start < len(f.data); {
		end := min((start/sectorSize+1)*sectorSize, len(f.data))
		if random.IntN(3) == 0 {
			clear(f.data[start:end])
		}
		start = end
	}
	f.synced = len(f.data)
}

// FlipBit changes one bit of a file.
func (d *MockDisk) FlipBit(name string, offset int, bit uint) {
	d.files[name].data[offset] ^= 1 << bit
}

// Create implements Disk.
func (d *MockDisk) Create(name string) (File, error) {
	if err := d.step(); err != nil {
		return nil, err
	}
	f := &mockFile{}
	d.files[name] = f
	return &mockHandle{disk: d, file: f}, nil
}

// List implements Disk.
func (d *MockDisk) List() ([]string, error) {
	return slices.Sorted(maps.Keys(d.files)), nil
}

// Open implements Disk.
func (d *MockDisk) Open(name string) (File, error) {
	f, ok := d.files[name]
	if !ok {
		return nil, fmt.Errorf("open %s: %w", name, syscall.ENOENT)
	}
	return &mockHandle{disk: d, file: f}, nil
}

// Read implements Disk.
func (d *MockDisk) Read(name string) ([]byte, error) {
	f, ok := d.files[name]
	if !ok {
		return nil, fmt.Errorf("read %s: %w", name, syscall.ENOENT)
	}
	return slices.Clone(f.data), nil
}

// Remove implements Disk.
func (d *MockDisk) Remove(name string) error {
	if err := d.step(); err != nil {
		return err
	}
	delete(d.files, name)
	return nil
}

// Rename implements Disk.
func (d *MockDisk) Rename(from, to string) error {
	if err := d.step(); err != nil {
		return err
	}
	d.files[to] = d.files[from]
	delete(d.files, from)
	return nil
}

// SyncDir implements Disk.
func (d *MockDisk) SyncDir() error {
	if err := d.step(); err != nil {
		return err
	}
	d.durable = maps.Clone(d.files)
	return nil
}

// mockHandle is an open mockFile.
type mockHandle struct {
	disk *MockDisk
	file *mockFile
}

// Close implements File.
func (*mockHandle) Close() error {
	return nil
}

// Sync implements File.
func (h *mockHandle) Sync() error {
	if err := h.disk.step(); err != nil {
		return err
	}
	h.file.synced = len(h.file.data)
	return nil
}

// Truncate implements File.
func (h *mockHandle) Truncate(size int64) error {
	if err := h.disk.step(); err != nil {
		return err
	}
	h.file.data = h.file.data[:size]
	h.file.synced = min(h.file.synced, int(size))
	return nil
}

// Write implements File. One that fails leaves a part written.
func (h *mockHandle) Write(b []byte) (int, error) {
	if err := h.disk.step(); err != nil {
		n := h.disk.random.IntN(len(b) + 1)
		h.file.data = append(h.file.data, b[:n]...)
		return n, err
	}
	h.file.data = append(h.file.data, b...)
	return len(b), nil
}
