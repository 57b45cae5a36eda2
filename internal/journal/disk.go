package journal

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
)

// A Disk is the data folder of a keeper. Written data is durable only after the file is synced, and
// a file's name only after the folder is synced.
type Disk interface {
	// Create creates an empty file. It replaces a file of that name.
	Create(name string) (File, error)
	// Open opens an existing file for appending.
	Open(name string) (File, error)
	// List returns the names of all files, sorted.
	List() ([]string, error)
	// Read returns the whole content of a file.
	Read(name string) ([]byte, error)
	// Remove deletes a file.
	Remove(name string) error
	// Rename renames a file. It replaces a file of the new name.
	Rename(from, to string) error
	// SyncDir makes the creation, renaming and removal of files durable.
	SyncDir() error
}

// A File is an open file of a Disk.
type File interface {
	io.WriteCloser
	Sync() error
	Truncate(size int64) error
}

// A RealDisk is a Disk in a folder of the operating system's file system.
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
		return nil, fmt.Errorf("create the data folder: %w", err)
	}
	entries, err := os.ReadDir(d.Folder)
	if err != nil {
		return nil, fmt.Errorf("list the data folder: %w", err)
	}
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		names = append(names, entry.Name())
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
	folder, err := os.Open(d.Folder)
	if err != nil {
		return fmt.Errorf("open the data folder: %w", err)
	}
	if err := folder.Sync(); err != nil {
		_ = folder.Close() // report the sync error, which came first
		return fmt.Errorf("sync the data folder: %w", err)
	}
	return folder.Close()
}

func (d *RealDisk) path(name string) string {
	return filepath.Join(d.Folder, name)
}
