package controlmember

import (
	"bytes"
	"io/fs"
	"os"
	"path/filepath"
	"sync"
	"testing"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"endivewing/internal/disk"
)

// diskBytes is the size of a member's disk.
const diskBytes = 128 << 20

// smallDisk refuses writes to a folder that holds more than diskBytes.
type smallDisk struct {
	folder string
	mu     sync.Mutex
	most   int64
}

func (d *smallDisk) fault(o disk.Operation, _ string) error {
	if o != disk.Write {
		return nil
	}
	used := folderBytes(d.folder)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.most = max(d.most, used)
	if used > diskBytes {
		return unix.ENOSPC
	}
	return nil
}

func folderBytes(folder string) (total int64) {
	_ = filepath.WalkDir(folder, func(path string, _ fs.DirEntry, _ error) error {
		if info, err := os.Stat(path); err == nil && info.Mode().IsRegular() {
			total += info.Size()
		}
		return nil
	})
	return total
}

// TestLargeDocumentsFilledTheDisk: the log of many large documents has to fit on the
// disk of a member, together with its snapshots.
func TestLargeDocumentsFilledTheDisk(t *testing.T) {
	g := newGroup(t)
	d := &smallDisk{folder: filepath.Join(g.dir, "disk1")}
	t.Cleanup(disk.InjectFaults(d.fault))
	g.seeds = g.seeds[:1]
	m := g.start(1, "disk1", true)
	body := bytes.Repeat([]byte("x"), 7<<20)
	for version := range uint64(40) {
		g.waitFor("a large document is stored", func() bool { return m.Put(t.Context(), version+1, body) == nil })
	}
	t.Logf("at most %d MB used", d.most>>20)
	assert.Assert(t, d.most < diskBytes*3/4)
}
