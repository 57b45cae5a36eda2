package journal

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"syscall"
)

// A MockDisk is an in-memory Disk that loses unsynced data in a crash and can be made to fail at a
// chosen operation.
type MockDisk struct {
	// Seed determines which part of unsynced writes survives a crash.
	Seed uint64
	// FailFromOp is the first operation, counted from 1, that fails with Fault, as do all later
	// ones; 0 means none. It simulates a crash, a full disk or a failed sync.
	FailFromOp int
	Fault      error
	// Ops counts the operations that change the disk.
	Ops int

	files        map[string]*mockFile
	durableFiles map[string]*mockFile // the files whose names are synced
	random       *rand.Rand
}

var _ Disk = &MockDisk{}

// mockFile is the content of a file, of which the first syncedSize bytes are durable.
type mockFile struct {
	data       []byte
	syncedSize int
}

// The errors that tests set as the Fault of a MockDisk.
var (
	ErrCrash      = errors.New("simulated crash")
	ErrDiskFull   = fmt.Errorf("write: %w", syscall.ENOSPC)
	ErrSyncFailed = fmt.Errorf("sync: %w", syscall.EIO)
)

// beginOperation counts an operation and returns Fault if it is to fail.
func (d *MockDisk) beginOperation() error {
	if d.files == nil {
		d.files = make(map[string]*mockFile)
		d.durableFiles = make(map[string]*mockFile)
		d.random = rand.New(rand.NewPCG(d.Seed, 1))
	}
	d.Ops++
	if d.FailFromOp > 0 && d.Ops >= d.FailFromOp {
		return d.Fault
	}
	return nil
}

// Crash simulates a crash: unsynced creations, renames and removals are undone, and a random part of
// the unsynced bytes survives, with some sectors zeroed. It clears FailFromOp.
func (d *MockDisk) Crash() {
	d.FailFromOp = 0
	d.files = maps.Clone(d.durableFiles)
	for _, name := range slices.Sorted(maps.Keys(d.files)) {
		d.files[name].crash(d.random)
	}
}

func (f *mockFile) crash(random *rand.Rand) {
	unsynced := len(f.data) - f.syncedSize
	if unsynced <= 0 {
		return
	}
	f.data = f.data[:f.syncedSize+random.IntN(unsynced+1)]
	for start := f.syncedSize; start < len(f.data); {
		end := min((start/sectorSize+1)*sectorSize, len(f.data))
		if random.IntN(3) == 0 {
			clear(f.data[start:end])
		}
		start = end
	}
	f.syncedSize = len(f.data)
}

// FlipBit changes one bit of a file.
func (d *MockDisk) FlipBit(name string, offset int, bit uint) {
	d.files[name].data[offset] ^= 1 << bit
}

// Create implements Disk.
func (d *MockDisk) Create(name string) (File, error) {
	if err := d.beginOperation(); err != nil {
		return nil, err
	}
	file := &mockFile{}
	d.files[name] = file
	return &mockHandle{disk: d, file: file}, nil
}

// List implements Disk.
func (d *MockDisk) List() ([]string, error) {
	return slices.Sorted(maps.Keys(d.files)), nil
}

// Open implements Disk.
func (d *MockDisk) Open(name string) (File, error) {
	file, ok := d.files[name]
	if !ok {
		return nil, fmt.Errorf("open %s: %w", name, syscall.ENOENT)
	}
	return &mockHandle{disk: d, file: file}, nil
}

// Read implements Disk.
func (d *MockDisk) Read(name string) ([]byte, error) {
	file, ok := d.files[name]
	if !ok {
		return nil, fmt.Errorf("read %s: %w", name, syscall.ENOENT)
	}
	return slices.Clone(file.data), nil
}

// Remove implements Disk.
func (d *MockDisk) Remove(name string) error {
	if err := d.beginOperation(); err != nil {
		return err
	}
	delete(d.files, name)
	return nil
}

// Rename implements Disk.
func (d *MockDisk) Rename(from, to string) error {
	if err := d.beginOperation(); err != nil {
		return err
	}
	d.files[to] = d.files[from]
	delete(d.files, from)
	return nil
}

// SyncDir implements Disk.
func (d *MockDisk) SyncDir() error {
	if err := d.beginOperation(); err != nil {
		return err
	}
	d.durableFiles = maps.Clone(d.files)
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
	if err := h.disk.beginOperation(); err != nil {
		return err
	}
	h.file.syncedSize = len(h.file.data)
	return nil
}

// Truncate implements File.
func (h *mockHandle) Truncate(size int64) error {
	if err := h.disk.beginOperation(); err != nil {
		return err
	}
	h.file.data = h.file.data[:size]
	h.file.syncedSize = min(h.file.syncedSize, int(size))
	return nil
}

// Write implements File. If it fails, a random part of b is written.
func (h *mockHandle) Write(data []byte) (int, error) {
	if err := h.disk.beginOperation(); err != nil {
		written := h.disk.random.IntN(len(data) + 1)
		h.file.data = append(h.file.data, data[:written]...)
		return written, err
	}
	h.file.data = append(h.file.data, data...)
	return len(data), nil
}
