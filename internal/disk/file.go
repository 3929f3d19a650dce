package disk

import (
	"errors"
	"os"
	"sync/atomic"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// Operation is a kind of operation that changes a disk.
type Operation uint8

// The operations that InjectFaults can make fail.
const (
	Create Operation = iota + 1
	Write
	Sync
	Truncate
	Rename
	Remove
	SyncFolder
)

// fault is set by InjectFaults.
var fault atomic.Pointer[func(Operation, string) error]

// InjectFaults makes an operation of this package on a path fail with the error that
// f returns for it. A failing write still writes the first half of its data. It is
// meant for tests, which call the returned function at their end.
func InjectFaults(f func(o Operation, path string) error) (restore func()) {
	fault.Store(&f)
	return func() { fault.Store(nil) }
}

func injected(o Operation, path string) error {
	f := fault.Load()
	if f == nil {
		return nil
	}
	return (*f)(o, path)
}

// File is an open file that is written to.
type File struct{ file *os.File }

// CreateFile creates a file, or empties it.
func CreateFile(path string) (*File, error) {
	return open(path, os.O_RDWR|os.O_CREATE|os.O_TRUNC)
}

// CreateAppend creates a file, or empties it. Writes append to it.
func CreateAppend(path string) (*File, error) {
	return open(path, os.O_WRONLY|os.O_APPEND|os.O_CREATE|os.O_TRUNC)
}

// OpenAppend opens a file. Writes append to it.
func OpenAppend(path string) (*File, error) {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_APPEND, 0)
	if err != nil {
		return nil, err
	}
	return &File{f}, nil
}

func open(path string, flags int) (*File, error) {
	if err := injected(Create, path); err != nil {
		return nil, err
	}
	f, err := os.OpenFile(path, flags, 0o644)
	if err != nil {
		return nil, err
	}
	return &File{f}, nil
}

// Write implements io.Writer.
func (f *File) Write(p []byte) (int, error) {
	if err := injected(Write, f.file.Name()); err != nil {
		n, _ := f.file.Write(p[:len(p)/2])
		return n, err
	}
	return f.file.Write(p)
}

// Sync makes the data durable, and the size, which is needed to read it back.
func (f *File) Sync() error {
	if err := injected(Sync, f.file.Name()); err != nil {
		return err
	}
	for {
		err := unix.Fdatasync(int(f.file.Fd()))
		if !errors.Is(err, unix.EINTR) {
			return err
		}
	}
}

// Truncate sets the size.
func (f *File) Truncate(size int64) error {
	if err := injected(Truncate, f.file.Name()); err != nil {
		return err
	}
	return f.file.Truncate(size)
}

// Close implements io.Closer.
func (f *File) Close() error { return f.file.Close() }

// RenameFile renames a file. The new name is durable once its folder is synced.
func RenameFile(from, to string) error {
	if err := injected(Rename, to); err != nil {
		return err
	}
	return os.Rename(from, to)
}

// RemoveFile removes a file. This is durable once its folder is synced.
func RemoveFile(path string) error {
	if err := injected(Remove, path); err != nil {
		return err
	}
	return os.Remove(path)
}

// SyncDir syncs a folder, which makes created, renamed and removed names
// durable.
func SyncDir(dir string) error {
	if err := injected(SyncFolder, dir); err != nil {
		return err
	}
	d, err := os.Open(dir)
	if err != nil {
		return eris.Wrap(err, "open folder")
	}
	err = d.Sync()
	return errors.Join(err, d.Close())
}
