// Package disk holds what the packages that keep files have in common.
package disk

import (
	"errors"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// IsFull tells whether an error says that the disk or the quota is full.
func IsFull(err error) bool { return errors.Is(err, unix.ENOSPC) || errors.Is(err, unix.EDQUOT) }

// SyncDir makes the names in a folder durable.
func SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return eris.Wrap(err, "open folder")
	}
	err = d.Sync()
	return errors.Join(err, d.Close())
}

// WriteFile puts a whole file in place and syncs it and its folder.
func WriteFile(path string, text []byte) error {
	temp := path + ".tmp"
	f, err := os.Create(temp)
	if err != nil {
		return eris.Wrap(err, "create file")
	}
	_, err = f.Write(text)
	err = errors.Join(err, f.Sync(), f.Close())
	if err != nil {
		return eris.Wrap(err, "write file")
	}
	if err := os.Rename(temp, path); err != nil {
		return eris.Wrap(err, "rename file")
	}
	return SyncDir(filepath.Dir(path))
}
