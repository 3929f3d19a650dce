package wal

import (
	"errors"
	"io"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// lockName is the name of the file whose lock marks the folder as in use.
const lockName = "LOCK"

// file is an open segment; writes append to it.
type file interface {
	io.WriteCloser
	Sync() error
	Truncate(size int64) error
}

// diskFile is a file on disk. Its Sync covers the data and the file size, which
// is needed to read the data back.
type diskFile struct{ *os.File }

// Sync implements file.
func (f diskFile) Sync() error {
	for {
		err := unix.Fdatasync(int(f.Fd()))
		if !errors.Is(err, unix.EINTR) {
			return err
		}
	}
}

func createFile(path string) (file, error) {
	return openAppend(path, os.O_CREATE|os.O_TRUNC)
}

func openFile(path string) (file, error) { return openAppend(path, 0) }

func openAppend(path string, flags int) (file, error) {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_APPEND|flags, 0o644)
	if err != nil {
		return nil, err
	}
	return diskFile{f}, nil
}

// lockDir locks the folder. The lock is held until the returned file is closed or
// the process ends. It returns ErrLocked if another process holds the lock.
func lockDir(dir string) (*os.File, error) {
	path := filepath.Join(dir, lockName)
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o644)
	if err != nil {
		return nil, eris.Wrap(err, "open lock")
	}
	err = unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB)
	if err == nil {
		return f, nil
	}
	_ = f.Close()
	if errors.Is(err, unix.EWOULDBLOCK) {
		return nil, eris.Wrap(ErrLocked, path)
	}
	return nil, eris.Wrap(err, "lock folder")
}
