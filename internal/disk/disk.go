// Package disk has the file operations that several packages need.
package disk

import (
	"errors"
	"path/filepath"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// IsFull reports whether an error means that the disk or the quota is full.
func IsFull(err error) bool { return errors.Is(err, unix.ENOSPC) || errors.Is(err, unix.EDQUOT) }

// WriteFile replaces a file atomically and syncs the file and its folder.
func WriteFile(path string, data []byte) error {
	temp := path + ".tmp"
	f, err := CreateFile(temp)
	if err != nil {
		return eris.Wrap(err, "create file")
	}
	_, err = f.Write(data)
	err = errors.Join(err, f.Sync(), f.Close())
	if err != nil {
		return eris.Wrap(err, "write file")
	}
	if err := RenameFile(temp, path); err != nil {
		return eris.Wrap(err, "rename file")
	}
	return SyncDir(filepath.Dir(path))
}
