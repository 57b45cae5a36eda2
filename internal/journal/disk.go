package journal

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
)

// A Disk is the data folder of a keeper. What was written lasts only once it
// is synced; a file's name lasts only once the folder is.
type Disk interface {
	// Create makes an empty file, replacing one of that name.
	Create(name string) (File, error)
	// Open opens a file to be appended to.
	Open(name string) (File, error)
	// List returns the names of all files, sorted.
	List() ([]string, error)
	// Read returns the whole content of a file.
	Read(name string) ([]byte, error)
	// Remove deletes a file.
	Remove(name string) error
	// Rename gives a file another name, replacing one of that name.
	Rename(from, to string) error
	// SyncDir makes created, renamed and removed names last.
	SyncDir() error
}

// A File is an open file of a Disk.
type File interface {
	io.WriteCloser
	Sync() error
	Truncate(size int64) error
}

// A RealDisk is a Disk in a folder of the operating system.
type RealDisk struct {
	Folder string
}

var _ Disk = &RealDisk{}

const (
	folderMode = 0o700
	fileMode   = 0o600
)

// Create implements Disk.
func (d *RealDisk) Create(name string) (File, error) {
	return os.OpenFile(d.path(name), os.O_RDWR|os.O_CREATE|os.O_TRUNC|os.O_APPEND, fileMode)
}

// List implements Disk.
func (d *RealDisk) List() ([]string, error) {
	if err := os.MkdirAll(d.Folder, folderMode); err != nil {
		return nil, fmt.Errorf("make the data folder: %w", err)
	}
	entries, err := os.ReadDir(d.Folder)
	if err != nil {
		return nil, fmt.Errorf("list the data folder: %w", err)
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	slices.Sort(names)
	return names, nil
}

// Open implements Disk.
func (d *RealDisk) Open(name string) (File, error) {
	return os.OpenFile(d.path(name), os.O_RDWR|os.O_APPEND, fileMode)
}

// Read implements Disk.
func (d *RealDisk) Read(name string) ([]byte, error) {
	return os.ReadFile(d.path(name))
}

// Remove implements Disk.
func (d *RealDisk) Remove(name string) error {
	return os.Remove(d.path(name))
}

// Rename implements Disk.
func (d *RealDisk) Rename(from, to string) error {
	return os.Rename(d.path(from), d.path(to))
}

// SyncDir implements Disk.
func (d *RealDisk) SyncDir() error {
	f, err := os.Open(d.Folder)
	if err != nil {
		return fmt.Errorf("open the data folder: %w", err)
	}
	if err := f.Sync(); err != nil {
		_ = f.Close() // the sync error tells more
		return fmt.Errorf("sync the data folder: %w", err)
	}
	return f.Close()
}

func (d *RealDisk) path(name string) string {
	return filepath.Join(d.Folder, name)
}
