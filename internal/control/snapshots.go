package control

import (
	"errors"
	"time"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/ledger"
	"endivewing/internal/snapshot"
)

// snapshotSchedule decides when the next snapshot is due and how many log
// entries to keep before it.
type snapshotSchedule struct {
	lastIndex uint64 // index of the newest snapshot
	bytes     int64  // size of the entries applied since then
	// entrySizes are the sizes of the newest applied entries in bytes, oldest
	// first.
	entrySizes []int
	// saving is set while a snapshot is being written. savingBytes is the size of the
	// entries since the one before that it covers.
	saving      bool
	savingBytes int64
	// retryAt is the earliest time of the next snapshot after a failed one.
	retryAt time.Time
}

// snapshotWriteBackoff is the pause after a snapshot failed because the disk was
// full. It is short, since a snapshot lets old log entries go.
const snapshotWriteBackoff = time.Second

// overdueFactor times the size at which a snapshot is due is the size of the log
// without a snapshot from which a leader takes no more. Otherwise the log would fill
// the disk, and the snapshot that lets it go would find no room either.
const overdueFactor = 3

// overdue reports whether the log has to be shortened before it grows. due is the size
// at which a snapshot is due, in bytes.
func (s *snapshotSchedule) overdue(due int64) bool { return s.bytes >= overdueFactor*due }

// applied records the size of an applied entry. retain is the number of entries
// whose sizes are needed.
func (s *snapshotSchedule) applied(bytes, retain int) {
	s.bytes += int64(bytes)
	s.entrySizes = append(s.entrySizes, bytes)
	if len(s.entrySizes) > 2*retain {
		s.entrySizes = append([]int(nil), s.entrySizes[len(s.entrySizes)-retain:]...)
	}
}

// entriesToRetain returns the number of log entries to keep before a snapshot:
// at most maxEntries, with at most maxRetainedBytes. newer is the number of
// applied entries after the snapshot.
func (s *snapshotSchedule) entriesToRetain(newer, maxEntries uint64) uint64 {
	var n uint64
	bytes := 0
	for i := len(s.entrySizes) - 1 - int(newer); i >= 0 && n < maxEntries; i-- {
		bytes += s.entrySizes[i]
		if bytes > maxRetainedBytes {
			break
		}
		n++
	}
	return n
}

// saveSnapshotIfDue starts to write a snapshot if the log has grown enough. A
// frozen copy of the ledger is encoded on another goroutine.
func (l *loop) saveSnapshotIfDue() {
	s := &l.snapshots
	grown := l.applied-s.lastIndex >= l.opts.SnapshotEntries || s.bytes >= l.opts.SnapshotBytes
	if s.saving || !grown || l.applied == s.lastIndex || time.Now().Before(s.retryAt) {
		return
	}
	meta, err := l.core.SnapshotMeta(l.applied)
	if err != nil {
		l.opts.Log.Error(err, "snapshot not written")
		return
	}
	s.saving, s.savingBytes = true, s.bytes
	frozen := l.state.Freeze()
	p := l.p
	p.snapshotTransfers.goroutines.Go(func() {
		p.enqueue(snapshotSaved{index: meta.Index, err: saveSnapshot(p.snapshotDir(), meta, frozen)})
	})
}

// saveSnapshot writes a snapshot to a folder and makes it durable.
func saveSnapshot(dir string, meta *wirepb.SnapshotMeta, frozen *ledger.Frozen) error {
	w, err := snapshot.Create(dir, meta)
	if err != nil {
		return err
	}
	defer w.Abort()
	if err := frozen.Encode(w); err != nil {
		return err
	}
	return w.Commit()
}

// handle compacts the log up to the saved snapshot and removes old snapshots. A
// full disk delays the next attempt; any other failure ends the process.
func (s snapshotSaved) handle(l *loop) {
	l.snapshots.saving = false
	if s.err != nil {
		if !errors.Is(s.err, snapshot.ErrDiskFull) {
			l.fail(s.err)
			return
		}
		l.opts.Log.Error(s.err, "snapshot not written")
		l.snapshots.retryAt = time.Now().Add(snapshotWriteBackoff)
		if l.snapshots.overdue(l.opts.SnapshotBytes) {
			l.core.TransferLeader(0) // this member refuses changes meanwhile
		}
		return
	}
	if s.index <= l.snapshots.lastIndex {
		return
	}
	l.snapshots.lastIndex = s.index
	l.snapshots.bytes -= l.snapshots.savingBytes
	retain := l.snapshots.entriesToRetain(l.applied-s.index, l.opts.RetainEntries)
	if err := l.core.Compact(s.index, retain); err != nil {
		l.opts.Log.Error(err, "log not compacted")
		return
	}
	if s.index > retain {
		l.p.logWriter.push(writeJob{release: s.index - retain})
	}
	if err := snapshot.Prune(l.p.snapshotDir(), s.index); err != nil {
		l.opts.Log.Error(err, "old snapshots stay")
	}
}

// handle passes the offer to the core. The core installs the snapshot unless it
// has newer state.
func (s snapshotReceived) handle(l *loop) {
	l.receivedSnapshot = &s
	if err := l.core.Step(s.offer); err != nil {
		l.opts.Log.V(1).Info("received snapshot refused", "error", err.Error())
	}
	l.flush()
	l.receivedSnapshot = nil
}

// installSnapshot replaces the ledger by the state of the received snapshot.
func (l *loop) installSnapshot(meta *wirepb.SnapshotMeta) {
	l.state = l.receivedSnapshot.state
	l.applied = meta.Index
	l.appliedTerm = meta.Term
	l.snapshots.lastIndex = meta.Index
	l.snapshots.bytes = 0
	l.snapshots.entrySizes = nil
	l.disks.loadRecorded(l.state)
	l.updateMembers()
}

// handle reports the failed transfer to the core.
func (s snapshotNotSent) handle(l *loop) { l.core.SnapshotFailed(s.to) }
