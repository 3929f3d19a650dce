package wal

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

// faultyFile is a file with injected errors.
type faultyFile struct {
	file
	// Each operation fails with its error while that is set. A failing write
	// still writes the first half of its data.
	writeErr, syncErr, truncateErr error
}

func (f *faultyFile) Write(p []byte) (int, error) {
	if f.writeErr == nil {
		return f.file.Write(p)
	}
	n, _ := f.file.Write(p[:len(p)/2])
	return n, f.writeErr
}

func (f *faultyFile) Sync() error {
	if f.syncErr != nil {
		return f.syncErr
	}
	return f.file.Sync()
}

func (f *faultyFile) Truncate(size int64) error {
	if f.truncateErr != nil {
		return f.truncateErr
	}
	return f.file.Truncate(size)
}

func openFaulty(t *testing.T, dir string, f *faultyFile) *Log {
	t.Helper()
	l, _ := mustOpen(t, dir, Options{create: func(path string) (file, error) {
		disk, err := createFile(path)
		f.file = disk
		return f, err
	}})
	return l
}

func reopen(t *testing.T, l *Log) *Recovered {
	t.Helper()
	assert.NilError(t, l.Close())
	_, found := mustOpen(t, l.dir, Options{})
	return found
}

func TestFullDiskKeepsTheLogUsable(t *testing.T) {
	f := &faultyFile{}
	l := openFaulty(t, t.TempDir(), f)
	assert.NilError(t, l.Append(record(&wirepb.HardState{Term: 1}, 1, 1)))
	f.writeErr = unix.ENOSPC
	next := record(nil, 1, 2)
	assert.ErrorIs(t, l.Append(next), ErrDiskFull)
	assert.ErrorIs(t, l.Append(next), ErrDiskFull)
	f.writeErr = nil
	assert.NilError(t, l.Append(next))
	found := reopen(t, l)
	assert.Equal(t, len(found.Entries), 2)
	assert.Equal(t, found.TornBytes, int64(0))
}

func TestUnknownDiskStateIsFatal(t *testing.T) {
	for name, f := range map[string]*faultyFile{
		"sync":     {syncErr: unix.EIO},
		"write":    {writeErr: unix.EIO},
		"truncate": {writeErr: unix.ENOSPC, truncateErr: unix.EIO},
	} {
		t.Run(name, func(t *testing.T) {
			fault := *f
			*f = faultyFile{}
			l := openFaulty(t, t.TempDir(), f)
			f.writeErr, f.syncErr, f.truncateErr = fault.writeErr, fault.syncErr, fault.truncateErr
			var fatal *FatalError
			assert.Assert(t, errors.As(l.Append(record(nil, 1, 1)), &fatal))
			assert.Equal(t, fatal.Op, name)
			f.writeErr, f.syncErr, f.truncateErr = nil, nil, nil
			assert.Assert(t, errors.As(l.Append(record(nil, 1, 1)), &fatal))
		})
	}
}

// threeFrames appends three frames to a new log with one segment. It returns the
// folder, the path of the segment and the offsets of these frames, which follow
// the segment's first frame.
func threeFrames(t testing.TB) (dir, path string, offsets []int64) {
	t.Helper()
	dir = t.TempDir()
	l, _, err := Open(dir, Options{})
	assert.NilError(t, err)
	for i := range uint64(3) {
		offsets = append(offsets, l.size)
		assert.NilError(t, l.Append(record(&wirepb.HardState{Term: 1, Commit: i}, 1, i+1)))
	}
	assert.NilError(t, l.Close())
	return dir, l.active.path, offsets
}

// TestTornTailIsTruncated checks that the earlier appends are recovered and the
// log accepts new ones if any part of the last append is missing or was never
// written.
func TestTornTailIsTruncated(t *testing.T) {
	_, path, offsets := threeFrames(t)
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	last := int(offsets[2])
	for n := last + 1; n < len(data); n++ {
		checkTruncated(t, data[:n], n-last)
	}
	// A crash can leave a file extended before its data was written.
	checkTruncated(t, append(data[:last:last], make([]byte, sectorBytes)...), sectorBytes)
}

func checkTruncated(t *testing.T, data []byte, cut int) {
	t.Helper()
	dir := t.TempDir()
	assert.NilError(t, os.WriteFile(filepath.Join(dir, segmentName(1)), data, 0o644))
	l, found, err := Open(dir, Options{})
	assert.NilError(t, err)
	assert.Equal(t, found.TornBytes, int64(cut))
	assert.Equal(t, len(found.Entries), 2)
	assert.Equal(t, found.Hard.Commit, uint64(1))
	assert.NilError(t, l.Append(record(nil, 1, 3)))
	assert.Equal(t, len(reopen(t, l).Entries), 3)
}

// TestDamageIsRefused checks that a changed byte in synced data is reported with
// file and offset, and is never taken for a shorter log.
func TestDamageIsRefused(t *testing.T) {
	dir, path, offsets := threeFrames(t)
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	for i := range data {
		bad := append([]byte(nil), data...)
		bad[i] ^= 0x55
		assert.NilError(t, os.WriteFile(path, bad, 0o644))
		_, _, err := Open(dir, Options{})
		var damage *DamageError
		assert.Assert(t, errors.As(err, &damage), "byte %d: %v", i, err)
		assert.Equal(t, damage.File, path)
		if int64(i) >= offsets[1] && int64(i) < offsets[2] {
			assert.Equal(t, damage.Offset, offsets[1])
		}
	}
}

func TestMissingSegmentIsRefused(t *testing.T) {
	dir := t.TempDir()
	l, _ := mustOpen(t, dir, Options{SegmentBytes: 1})
	for i := range uint64(4) {
		assert.NilError(t, l.Append(record(nil, 1, i+1)))
	}
	assert.NilError(t, l.Close())
	assert.NilError(t, os.Remove(l.fullSegments[1].path))
	_, _, err := Open(dir, Options{})
	assert.ErrorContains(t, err, "is missing")
	var damage *DamageError
	assert.Assert(t, errors.As(err, &damage))
}

// FuzzSegment checks that any file is read whole, truncated, or refused with a
// typed error, and that the part before a torn tail reads the same again.
func FuzzSegment(f *testing.F) {
	_, path, offsets := threeFrames(f)
	data, err := os.ReadFile(path)
	assert.NilError(f, err)
	f.Add(data)
	f.Add(data[:offsets[2]+3])
	f.Fuzz(func(t *testing.T, data []byte) {
		found, err := readContents(data)
		var damage *DamageError
		if errors.As(err, &damage) || errors.Is(err, ErrVersion) {
			return
		}
		assert.NilError(t, err)
		again, err := readContents(data[:found.size])
		assert.NilError(t, err)
		assert.Equal(t, len(again.entries), len(found.entries))
		assert.Equal(t, again.tornBytes, int64(0))
	})
}

// readContents reads the content of a file as the only segment of a log.
func readContents(data []byte) (*reader, error) {
	r := &reader{}
	return r, r.readContents("file", 1, data, true)
}

// TestFullDiskThatRefusesSyncOrTruncationEndedTheProcess: a disk may say at the sync
// that it is full, and may refuse to shorten a file as well.
func TestFullDiskThatRefusesSyncOrTruncationEndedTheProcess(t *testing.T) {
	for name, fault := range map[string]faultyFile{
		"sync":                {syncErr: unix.ENOSPC},
		"write and truncate":  {writeErr: unix.ENOSPC, truncateErr: unix.ENOSPC},
		"write and sync":      {writeErr: unix.ENOSPC, syncErr: unix.EDQUOT},
		"sync and truncate":   {syncErr: unix.ENOSPC, truncateErr: unix.ENOSPC},
		"every one of a file": {writeErr: unix.ENOSPC, syncErr: unix.ENOSPC, truncateErr: unix.ENOSPC},
	} {
		t.Run(name, func(t *testing.T) {
			f := &faultyFile{}
			l := openFaulty(t, t.TempDir(), f)
			assert.NilError(t, l.Append(record(&wirepb.HardState{Term: 1}, 1, 1)))
			f.writeErr, f.syncErr, f.truncateErr = fault.writeErr, fault.syncErr, fault.truncateErr
			for range 3 {
				assert.ErrorIs(t, l.Append(record(nil, 1, 2)), ErrDiskFull)
			}
			f.writeErr, f.syncErr, f.truncateErr = nil, nil, nil
			assert.NilError(t, l.Append(record(nil, 1, 2, 3)))
			found := reopen(t, l)
			assert.Equal(t, len(found.Entries), 3)
			assert.Equal(t, found.TornBytes, int64(0))
		})
	}
}

// TestFullDiskBetweenSegmentsEndedTheProcess: each operation that begins a segment or
// removes old ones may meet the full disk.
func TestFullDiskBetweenSegmentsEndedTheProcess(t *testing.T) {
	for _, refused := range []disk.Operation{disk.Create, disk.Write, disk.Sync, disk.Rename, disk.Remove, disk.SyncFolder} {
		t.Run(fmt.Sprint("operation ", refused), func(t *testing.T) {
			l, _ := mustOpen(t, t.TempDir(), Options{SegmentBytes: 1})
			assert.NilError(t, l.Append(record(&wirepb.HardState{Term: 1}, 1, 1)))
			assert.NilError(t, l.Append(record(nil, 1, 2)))
			restore := disk.InjectFaults(func(o disk.Operation, _ string) error {
				if o == refused {
					return unix.ENOSPC
				}
				return nil
			})
			defer restore()
			for range 3 {
				err := l.Append(record(nil, 1, 3))
				assert.Assert(t, err == nil && refused == disk.Remove || errors.Is(err, ErrDiskFull), err)
				err = l.Release(1)
				assert.Assert(t, err == nil || errors.Is(err, ErrDiskFull), err)
			}
			restore()
			assert.NilError(t, l.Append(record(nil, 1, 3, 4)))
			assert.NilError(t, l.Release(1))
			found := reopen(t, l)
			assert.Equal(t, found.Entries[len(found.Entries)-1].Index, uint64(4))
			assert.Equal(t, found.Hard.Term, uint64(1))
		})
	}
}

// TestStartWithTornTailOnFullDiskFailed: the torn tail stays until there is room.
func TestStartWithTornTailOnFullDiskFailed(t *testing.T) {
	dir, path, _ := threeFrames(t)
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(path, data[:len(data)-3], 0o644))
	restore := disk.InjectFaults(func(disk.Operation, string) error { return unix.ENOSPC })
	defer restore()
	l, found := mustOpen(t, dir, Options{})
	assert.Equal(t, len(found.Entries), 2)
	assert.ErrorIs(t, l.Append(record(nil, 1, 3)), ErrDiskFull)
	restore()
	assert.NilError(t, l.Append(record(nil, 1, 3, 4)))
	again := reopen(t, l)
	assert.Equal(t, len(again.Entries), 4)
	assert.Equal(t, again.TornBytes, int64(0))
}

// TestFrameOfAKilledProcessCountedAsSynced: a process that is killed between write and
// sync leaves a whole frame that a loss of power may still take. The next start has to
// sync it before anything relies on it, and a full disk may refuse that for a while.
func TestFrameOfAKilledProcessCountedAsSynced(t *testing.T) {
	dir, path, _ := threeFrames(t)
	synced, named, full := 0, 0, disk.Sync
	restore := disk.InjectFaults(func(o disk.Operation, at string) error {
		switch {
		case o == full:
			return unix.ENOSPC
		case o == disk.Sync && at == path:
			synced++
		case o == disk.SyncFolder && at == dir:
			named++
		}
		return nil
	})
	defer restore()
	l, found := mustOpen(t, dir, Options{})
	assert.Equal(t, len(found.Entries), 3)
	assert.ErrorIs(t, l.Append(record(nil, 1)), ErrDiskFull, "an acknowledgement without new entries relies on the log too")
	full = disk.SyncFolder
	assert.ErrorIs(t, l.Append(record(nil, 1)), ErrDiskFull, "the segment may lack its name")
	full = 0
	assert.NilError(t, l.Append(record(nil, 1)))
	assert.Equal(t, named, 1)
	assert.NilError(t, l.Close())
	synced, named = 0, 0
	_, _ = mustOpen(t, dir, Options{})
	assert.Equal(t, synced, 1)
	assert.Equal(t, named, 1)
}
