package runtable

import "time"

const (
	// maxSilence is the time after its dispatcher's last word at which a run must be
	// over. A caller that got no answer sends its job again, elsewhere, after 1.3 s,
	// and the minion's clock may be 2% slow.
	maxSilence = 1250 * time.Millisecond
	// maxStopping is the time after which a run that is to be stopped must be over,
	// also if no stop reaches the minion. No earlier call holds a longer lease.
	maxStopping = 900 * time.Millisecond
)

// LeaseLimit returns for how long the lease of the runs at the minion may be renewed,
// so that no run outlasts its dispatcher or its stop by too much. silence returns the
// time since a dispatcher was last heard.
func (t *Table) LeaseLimit(now time.Time, silence func(Owner) time.Duration) time.Duration {
	limit := maxSilence
	for _, r := range t.runs {
		if r.state == waiting {
			continue
		}
		limit = min(limit, maxSilence-silence(r.Owner))
		if r.state == stopping && !r.stopRequestedAt.IsZero() {
			limit = min(limit, maxStopping-now.Sub(r.stopRequestedAt))
		}
	}
	return limit
}

// HoldsRunsOf reports whether a run of an owner has not ended.
func (t *Table) HoldsRunsOf(owner Owner) bool {
	for _, r := range t.runs {
		if r.Owner == owner {
			return true
		}
	}
	return false
}
