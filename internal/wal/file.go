package wal

import (
	"errors"
	"io"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// lockName is the file whose lock marks the folder as in use.
const lockName = "LOCK"

// file is an open segment, written at its end.
type file interface {
	io.WriteCloser
	Sync() error
	Truncate(size int64) error
}

// diskFile syncs data and the size that is needed to read it back.
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

// lockDir takes the folder's lock; it ends with the file or the process.
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
