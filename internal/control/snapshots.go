package control

import (
	"errors"
	"time"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/ledger"
	"endivewing/internal/snapshot"
)

// snapshotState is when the next snapshot is due.
type snapshotState struct {
	last  uint64 // index of the newest one
	bytes int64  // applied since
	// sizes are the bytes of the newest applied entries.
	sizes  []int
	saving bool
	// retry: none is tried before, after one that failed.
	retry time.Time
}

// snapshotRetry is the pause after a snapshot that found no room.
const snapshotRetry = 10 * time.Second

// applied notes an entry.
func (s *snapshotState) applied(bytes, retain int) {
	s.bytes += int64(bytes)
	s.sizes = append(s.sizes, bytes)
	if len(s.sizes) > 2*retain {
		s.sizes = append([]int(nil), s.sizes[len(s.sizes)-retain:]...)
	}
}

// retained is how many entries to keep before a snapshot that covers all but
// the newest entries.
func (s *snapshotState) retained(newer, most uint64) uint64 {
	var n uint64
	bytes := 0
	for i := len(s.sizes) - 1 - int(newer); i >= 0 && n < most; i-- {
		bytes += s.sizes[i]
		if bytes > retainBytes {
			break
		}
		n++
	}
	return n
}

// saveSnapshotIfDue starts to write a snapshot when the log has grown enough.
// The copy of the ledger is encoded outside the loop.
func (l *loop) saveSnapshotIfDue() {
	s := &l.snapshots
	grown := l.applied-s.last >= l.opts.SnapshotEntries || s.bytes >= l.opts.SnapshotBytes
	if s.saving || !grown || l.applied == s.last || time.Now().Before(s.retry) {
		return
	}
	meta, err := l.core.SnapshotMeta(l.applied)
	if err != nil {
		l.opts.Log.Error(err, "snapshot not written")
		return
	}
	s.saving = true
	s.bytes = 0
	frozen := l.state.Freeze()
	p := l.p
	p.installs.wait.Go(func() {
		p.post(snapshotSaved{index: meta.Index, err: saveSnapshot(p.snapshotDir(), meta, frozen)})
	})
}

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

// handle lets go of the log that the snapshot covers.
func (s snapshotSaved) handle(l *loop) {
	l.snapshots.saving = false
	if s.err != nil {
		if !errors.Is(s.err, snapshot.ErrDiskFull) {
			l.fail(s.err)
			return
		}
		l.opts.Log.Error(s.err, "snapshot not written")
		l.snapshots.retry = time.Now().Add(snapshotRetry)
		return
	}
	if s.index <= l.snapshots.last {
		return
	}
	l.snapshots.last = s.index
	retain := l.snapshots.retained(l.applied-s.index, l.opts.RetainEntries)
	if err := l.core.Compact(s.index, retain); err != nil {
		l.opts.Log.Error(err, "log not compacted")
		return
	}
	if s.index > retain {
		l.p.disk.push(diskJob{release: s.index - retain})
	}
	if err := snapshot.Prune(l.p.snapshotDir(), s.index); err != nil {
		l.opts.Log.Error(err, "old snapshots stay")
	}
}

// handle passes the offer to the core; it takes it or has newer state.
func (s snapshotOffered) handle(l *loop) {
	l.offered = &s
	if err := l.core.Step(s.offer); err != nil {
		l.opts.Log.V(1).Info("snapshot refused", "error", err.Error())
	}
	l.flush()
	l.offered = nil
}

// installed replaces the ledger by the state of the snapshot offered.
func (l *loop) installed(meta *wirepb.SnapshotMeta) {
	l.state = l.offered.state
	l.applied = meta.Index
	l.appliedTerm = meta.Term
	l.snapshots.last = meta.Index
	l.snapshots.bytes = 0
	l.snapshots.sizes = nil
	l.disks.learn(l.state)
	l.linkMembers()
}

func (s snapshotNotSent) handle(l *loop) { l.core.SnapshotFailed(s.to) }
