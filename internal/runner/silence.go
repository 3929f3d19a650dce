package runner

import (
	"time"

	"endivewing/internal/runtable"
)

// leaseLimit returns for how long a call may renew the lease. One lease holds for all
// runs, so the run that must be over first limits it.
func (l *loop) leaseLimit(now time.Time) time.Duration {
	return min(leaseDuration, l.table.LeaseLimit(now, l.silenceOf))
}

// forgetSilences forgets the dispatchers that have no runs here any more.
func (l *loop) forgetSilences() {
	for owner := range l.silences {
		if !l.table.HoldsRunsOf(owner) {
			delete(l.silences, owner)
		}
	}
}

// silenceOf returns the time since a dispatcher was last heard, also after its session
// has ended.
func (l *loop) silenceOf(owner runtable.Owner) time.Duration {
	if silence := l.silences[owner]; silence != nil {
		return silence()
	}
	return 0
}

// watchSilence notes whose silence limits the lease of a run that is about to start.
func (l *loop) watchSilence(owner runtable.Owner) {
	if d := l.byOwner[owner]; d != nil && l.silences[owner] == nil {
		l.silences[owner] = d.silence
	}
}
