package runner

import (
	"slices"
	"time"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/boottime"
)

// minionRevision numbers what the minion is: its incarnation, service and labels.
// Dispatchers choose the minion by them, and name the revision in their orders. What else
// they choose by changes all the time and is checked when a run starts: free capacity and
// readiness.
type minionRevision struct {
	// number is 0 until the minion is known.
	number uint64
	// began is the time of the last change on the clock of boottime.
	began time.Duration
}

// next returns the revision that begins now.
func (r minionRevision) next() minionRevision {
	return minionRevision{number: r.number + 1, began: boottime.Now()}
}

// outdates reports whether an order was chosen by an earlier revision. A dispatcher of an
// older version names none: its orders are outdated if they were certainly sent before this
// one began.
func (r minionRevision) outdates(p *wirepb.PlaceTasks) bool {
	if p.MinionRevision == 0 {
		return p.StampMs < r.began.Milliseconds()
	}
	return p.MinionRevision != r.number
}

// sameKind reports whether two reports of an incarnation name the same service and labels.
func sameKind(a, b *Report) bool {
	return a.Service == b.Service && slices.Equal(a.Labels, b.Labels)
}
