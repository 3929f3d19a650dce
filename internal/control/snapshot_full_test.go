package control

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"endivewing/internal/disk"
)

// TestSnapshotThatMetAFullDiskWasForgotten: the log it was due for stays as long as it
// was, so it has to be written once there is room, without another change.
func TestSnapshotThatMetAFullDiskWasForgotten(t *testing.T) {
	var refused atomic.Int64
	var room atomic.Bool
	t.Cleanup(disk.InjectFaults(func(o disk.Operation, path string) error {
		if room.Load() || o != disk.Create || !strings.Contains(path, "snapshots") {
			return nil
		}
		refused.Add(1)
		return unix.ENOSPC
	}))
	c := startCluster(t, 1, func(o *Options) { o.SnapshotBytes = 2000 })
	client := c.client()
	owner := register(t, client, "a")
	for i := 0; refused.Load() == 0; i++ { // no more than makes the snapshot due
		acceptSome(t, client, owner, fmt.Sprint("s", i, "-"), 1)
	}
	room.Store(true)
	waitUntil(t, "the snapshot is written", func() bool {
		files, _ := os.ReadDir(filepath.Join(c.dirs[1], "snapshots"))
		return len(files) > 0
	})
}

// TestLeaderWithoutRoomForASnapshotRefusedChanges: a leader whose log has to be shortened
// first, and whose disk has no room for that, must let another member lead.
func TestLeaderWithoutRoomForASnapshotRefusedChanges(t *testing.T) {
	var full atomic.Pointer[string]
	t.Cleanup(disk.InjectFaults(func(o disk.Operation, path string) error {
		if dir := full.Load(); dir != nil && o == disk.Create && strings.HasPrefix(path, filepath.Join(*dir, "snapshots")) {
			return unix.ENOSPC
		}
		return nil
	}))
	c := startCluster(t, 3, func(o *Options) { o.SnapshotBytes = 2000 })
	client := c.client()
	owner := register(t, client, "a")
	c.waitCaughtUp()
	leader := c.leader()
	dir := c.dirs[leader]
	full.Store(&dir)
	jobs := acceptSome(t, client, owner, "s", 300)
	assert.Assert(t, c.leader() != leader)
	full.Store(nil)
	c.waitCaughtUp()
	assertJobs(t, client, jobs)
}
