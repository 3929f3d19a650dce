package snapshot

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/disk"
)

// save writes a snapshot of some state.
func save(dir string, index uint64) error {
	w, err := Create(dir, &wirepb.SnapshotMeta{Index: index, Term: 3})
	if err != nil {
		return err
	}
	defer w.Abort()
	if _, err := w.Write(make([]byte, 3*chunkBytes)); err != nil {
		return err
	}
	return w.Commit()
}

// TestSnapshotThatWasNotStoredKeptItsName: whichever operation meets the full disk,
// the error says so and no file has the final name. A later attempt succeeds.
func TestSnapshotThatWasNotStoredKeptItsName(t *testing.T) {
	for _, refused := range []disk.Operation{disk.Create, disk.Write, disk.Sync, disk.Rename, disk.SyncFolder} {
		t.Run(fmt.Sprint("operation ", refused), func(t *testing.T) {
			dir := t.TempDir()
			assert.NilError(t, save(dir, 4))
			restore := disk.InjectFaults(func(o disk.Operation, _ string) error {
				if o == refused {
					return unix.ENOSPC
				}
				return nil
			})
			defer restore()
			for range 2 {
				assert.Check(t, errors.Is(save(dir, 5), ErrDiskFull))
				_, err := os.Stat(filepath.Join(dir, fileName(5, 3)))
				assert.Check(t, errors.Is(err, os.ErrNotExist), "%v", err)
			}
			restore()
			assert.NilError(t, save(dir, 5))
			r, findings, err := OpenNewest(dir)
			assert.NilError(t, err)
			assert.Equal(t, len(findings), 0)
			assert.Equal(t, r.Meta().Index, uint64(5))
			assert.NilError(t, r.Close())
		})
	}
}
