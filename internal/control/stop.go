package control

import (
	"time"

	"github.com/rotisserie/eris"
)

// handle reports the completed sync to the core.
func (d diskSynced) handle(l *loop) {
	l.metrics.diskSyncs.Inc(1)
	l.metrics.diskRecords.Inc(int64(d.jobs))
	l.core.Synced(d.point.Index, d.point.Term)
}

// handle makes the loop refuse new records while the disk is full. A leader
// whose disk is full also transfers the leadership if another member can lead.
func (d diskFull) handle(l *loop) {
	l.diskFull = d.full
	if !d.full {
		l.opts.Log.Info("disk has room again")
		return
	}
	l.opts.Log.Info("disk is full, new requests are refused")
	l.core.TransferLeader(0)
}

// handle logs that old log entries take up room until the next release.
func (e entriesNotReleased) handle(l *loop) { l.opts.Log.Error(e.err, "old log entries stay") }

// handle ends the process, because the contents of the disk are unknown after a
// failed sync.
func (d diskFailed) handle(l *loop) { l.fail(eris.Wrap(d.err, "write log")) }

// handle starts the stop of the process with a leadership transfer.
func (stopRequest) handle(l *loop) {
	if !l.stoppingSince.IsZero() {
		return
	}
	l.stoppingSince = time.Now()
	l.core.TransferLeader(0)
}

// tryStop ends the process once it is no longer the leader or stopTimeout has
// passed. If the cluster has no other member, the leadership can't be transferred,
// and the process ends once it has no open proposals.
func (l *loop) tryStop(now time.Time) {
	overdue := now.Sub(l.stoppingSince) > stopTimeout
	alone := len(l.members) == 1
	if !l.leadership.Self || overdue || (alone && len(l.proposals.open) == 0) {
		l.finished = true
		return
	}
	l.core.TransferLeader(0)
}
