package controlmember

import (
	"bytes"
	"context"
	"fmt"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"endivewing/internal/control"
	"endivewing/internal/disk"
)

const (
	// fullFor is how long a disk stays full.
	fullFor = 400 * time.Millisecond
	// ackLimit is how long a change may take once the last disk has room again.
	ackLimit = 4 * time.Second
)

// fullDisk makes the operations on one data folder fail as those on a full disk do.
type fullDisk struct {
	// folder is the data folder whose disk is full; empty for none.
	folder  atomic.Pointer[string]
	refused map[disk.Operation]bool
	// counts are the refused operations.
	count atomic.Int64
}

func (d *fullDisk) fault(o disk.Operation, path string) error {
	folder := d.folder.Load()
	if folder == nil || !strings.HasPrefix(path, *folder) || !d.refused[o] {
		return nil
	}
	d.count.Add(1)
	return unix.ENOSPC
}

// writer changes the document again and again. newest is the newest version that
// was acknowledged.
type writer struct {
	members map[int]*Member
	size    int
	version uint64
	newest  uint64
}

func (w *writer) body(version uint64) []byte {
	return append([]byte(fmt.Sprint("v", version, " ")), bytes.Repeat([]byte("x"), w.size)...)
}

// change sends the next version to one member, once.
func (w *writer) change(ctx context.Context, host int) error {
	w.version++
	err := w.members[host].Put(ctx, w.version, w.body(w.version))
	if err == nil {
		w.newest = w.version
	}
	return err
}

// checkServes checks that every member acknowledges a change and reads the newest
// one within ackLimit.
func (w *writer) checkServes(t *testing.T, when string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), ackLimit)
	defer cancel()
	for host := range w.members {
		err := w.change(ctx, host)
		for err != nil && ctx.Err() == nil {
			err = w.change(ctx, host)
		}
		assert.NilError(t, err, "%s: no change is acknowledged by member %d", when, host)
		var body []byte
		for {
			if body, err = w.members[host].Get(ctx); err == nil || ctx.Err() != nil {
				break
			}
		}
		assert.NilError(t, err, "%s: no read at member %d", when, host)
		assert.Assert(t, bytes.Equal(body, w.body(w.newest)), "%s: an older version at member %d", when, host)
	}
}

// leaderOf returns the host of the leader.
func (w *writer) leaderOf(g *group) int {
	g.t.Helper()
	leader := 0
	g.waitFor("a leader", func() bool {
		for host, m := range w.members {
			if m.Dump().(control.Dump).Role == "leader" {
				leader = host
				return true
			}
		}
		return false
	})
	return leader
}

// TestChangesStayedRefusedAfterDisksWereFullInTurn: the disk of each member is full
// for a while, first that of the leader, never two at once, while changes are sent.
func TestChangesStayedRefusedAfterDisksWereFullInTurn(t *testing.T) {
	bytesOnly := map[disk.Operation]bool{disk.Write: true}
	everything := map[disk.Operation]bool{
		disk.Create: true, disk.Write: true, disk.Sync: true, disk.Truncate: true, disk.Rename: true, disk.Remove: true, disk.SyncFolder: true,
	}
	atSync := map[disk.Operation]bool{disk.Sync: true, disk.SyncFolder: true}
	for name, refused := range map[string]map[disk.Operation]bool{"bytes": bytesOnly, "every operation": everything, "at the sync": atSync} {
		for _, size := range []int{10, 100_000} {
			t.Run(fmt.Sprintf("%s, %d bytes", name, size), func(t *testing.T) { checkFullInTurn(t, refused, size) })
		}
	}
}

func checkFullInTurn(t *testing.T, refused map[disk.Operation]bool, size int) {
	d := &fullDisk{refused: refused}
	t.Cleanup(disk.InjectFaults(d.fault))
	g := newGroup(t)
	w := &writer{members: g.startAll(), size: size}
	t.Cleanup(func() { d.folder.Store(nil) })
	w.checkServes(t, "before")
	for turn := range 5 {
		host := turn%3 + 1
		if turn%2 == 0 {
			host = w.leaderOf(g)
		}
		folder := filepath.Join(g.dir, fmt.Sprint("disk", host))
		d.folder.Store(&folder)
		for end := time.Now().Add(fullFor); time.Now().Before(end); {
			_ = w.change(t.Context(), int(w.version)%3+1)
		}
		d.folder.Store(nil)
		w.checkServes(t, fmt.Sprint("turn ", turn))
	}
	assert.Assert(t, d.count.Load() > 0)
	for host, m := range w.members {
		select {
		case <-m.Done():
			t.Errorf("the process of member %d ended: %v", host, m.Err())
		default:
		}
	}
}

// TestRestartOnAFullDiskFailed: each member is killed while its disk is full and starts
// again before there is room. It has to start, and to vote once there is.
func TestRestartOnAFullDiskFailed(t *testing.T) {
	everything := map[disk.Operation]bool{
		disk.Create: true, disk.Write: true, disk.Sync: true, disk.Truncate: true, disk.Rename: true, disk.Remove: true, disk.SyncFolder: true,
	}
	for name, refused := range map[string]map[disk.Operation]bool{"bytes": {disk.Write: true}, "every operation": everything} {
		t.Run(name, func(t *testing.T) {
			d := &fullDisk{refused: refused}
			t.Cleanup(disk.InjectFaults(d.fault))
			g := newGroup(t)
			w := &writer{members: g.startAll(), size: 10_000}
			w.checkServes(t, "before")
			for host := 1; host <= 3; host++ {
				folder := filepath.Join(g.dir, fmt.Sprint("disk", host))
				d.folder.Store(&folder)
				for range 30 {
					_ = w.change(t.Context(), int(w.version)%3+1)
				}
				kill(w.members[host])
				w.members[host] = g.start(host, fmt.Sprint("disk", host), false)
				for range 30 {
					_ = w.change(t.Context(), int(w.version)%3+1)
				}
				d.folder.Store(nil)
				w.checkServes(t, fmt.Sprint("member ", host))
			}
		})
	}
}

// TestChangesStayedRefusedAfterAVoterWasReplacedBesideFullDisks: a host is replaced by an
// empty one while the disk of another is full, and that disk fills again afterwards.
func TestChangesStayedRefusedAfterAVoterWasReplacedBesideFullDisks(t *testing.T) {
	for _, leads := range []bool{true, false} {
		t.Run(fmt.Sprint("the leader's disk: ", leads), func(t *testing.T) {
			d := &fullDisk{refused: map[disk.Operation]bool{disk.Write: true}}
			t.Cleanup(disk.InjectFaults(d.fault))
			g := newGroup(t)
			w := &writer{members: g.startAll(), size: 10_000}
			w.checkServes(t, "before")
			full := w.leaderOf(g)
			lost := full%3 + 1
			if !leads {
				full = lost%3 + 1
			}
			folder := filepath.Join(g.dir, fmt.Sprint("disk", full))
			d.folder.Store(&folder)
			kill(w.members[lost])
			delete(w.members, lost)
			empty := g.start(4, "disk4", false)
			for range 2 { // without a majority each change takes its whole time
				for host := range w.members {
					_ = w.change(t.Context(), host)
				}
			}
			d.folder.Store(nil)
			w.checkServes(t, "after the first time")
			g.waitFor("the new host votes", func() bool { return voters(w.members[full])[g.address(4)] != 0 })
			w.members[4] = empty
			d.folder.Store(&folder)
			for range 30 {
				_ = w.change(t.Context(), 4)
			}
			d.folder.Store(nil)
			w.checkServes(t, "after the second time")
		})
	}
}
