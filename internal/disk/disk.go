// Package disk holds what the packages that keep files have in common.
package disk

import (
	"errors"
	"os"

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
