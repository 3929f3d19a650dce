package wal

import (
	"errors"
	"io"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"endivewing/internal/disk"
)

// lockName is the name of the file whose lock marks the folder as in use.
const lockName = "LOCK"

// file is an open segment; writes append to it.
type file interface {
	io.WriteCloser
	Sync() error
	Truncate(size int64) error
}

func createFile(path string) (file, error) {
	f, err := disk.CreateAppend(path)
	if err != nil {
		return nil, err
	}
	return f, nil
}

func openFile(path string) (file, error) {
	f, err := disk.OpenAppend(path)
	if err != nil {
		return nil, err
	}
	return f, nil
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
