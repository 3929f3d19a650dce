package control

import (
	"time"

	"github.com/rotisserie/eris"
)

// handle notes the end of a sync.
func (d diskSynced) handle(l *loop) {
	l.metrics.syncs.Inc(1)
	l.metrics.synced.Inc(int64(d.jobs))
	l.core.Synced(d.point.Index, d.point.Term)
}

// handle refuses new records while the disk is full. A leader hands over when
// another member can lead.
func (d diskFull) handle(l *loop) {
	l.diskFull = d.full
	if !d.full {
		l.opts.Log.Info("disk has room again")
		return
	}
	l.opts.Log.Info("disk is full, new requests are refused")
	l.core.TransferLeader(0)
}

// handle ends the process: after a failed sync the disk's state is unknown.
func (d diskFailed) handle(l *loop) { l.fail(eris.Wrap(d.err, "disk")) }

// handle hands the leadership over before the process ends.
func (stopAsked) handle(l *loop) {
	if !l.stopping.IsZero() {
		return
	}
	l.stopping = time.Now()
	l.core.TransferLeader(0)
}

// tryStop ends the process once it leads no more and owes no answer.
func (l *loop) tryStop(now time.Time) {
	overdue := now.Sub(l.stopping) > stopTimeout
	alone := len(l.members) == 1
	if !l.leadership.Self || overdue || (alone && len(l.proposals.open) == 0) {
		l.finished = true
		return
	}
	l.core.TransferLeader(0)
}
