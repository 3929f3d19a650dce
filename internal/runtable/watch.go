package runtable

import "time"

const (
	// minStallTimeout is the part of the stall timeout that does not depend on
	// the estimate. It outlasts two lists.
	minStallTimeout = 150 * time.Millisecond
	// stallTimeoutShare of the estimate is added to minStallTimeout. It
	// outlasts one percent of the work on a minion that is ten times too slow.
	stallTimeoutShare = 0.15
	// slowRunFactor times the estimate is the projected run time above which a
	// run counts as slow. Estimates are usually wrong by a factor of 1.5.
	slowRunFactor = 3.5
	// minRemainingFactor times the estimate is the time that a slow run must
	// have left before it is stopped, so that a new run elsewhere is likely to
	// end sooner.
	minRemainingFactor = 1.3
	// slowMinionRatio is the run time ratio of a minion from which its slow
	// runs are stopped. A single slow run may only have a bad estimate.
	slowMinionRatio = 2.2
	// overrunFactor times the estimate is the run time after which a run may be
	// recorded before its end. maxOverrunPercent is the percentage of its work
	// below which it is.
	overrunFactor, maxOverrunPercent = 2, 50
)

// checkProgress stops a run that makes no progress or is far too slow, since
// another minion is likely to finish it sooner. It records an overrun in the
// run time ratio.
func (t *Table) checkProgress(now time.Time, r *run, percent int) {
	if percent != r.percent || r.progressedAt.IsZero() {
		r.percent = percent
		r.progressedAt = now
	}
	if r.state != running {
		return
	}
	switch {
	case r.stalled(now):
		t.health.recordFailure()
		t.stop(now, r, ReasonNoProgress)
	case r.tooSlow(now) && t.health.runtimeRatio() >= slowMinionRatio:
		t.health.recordFailure()
		t.stop(now, r, ReasonSlow)
	case r.overruns(now):
		r.overrunRecorded = true
		t.health.recordRuntime(r.Job, r.projectedRuntime(now), r.Estimate)
	}
}

// stalled reports whether the run has made no progress for the stall timeout.
func (r *run) stalled(now time.Time) bool {
	return now.Sub(r.progressedAt) > minStallTimeout+time.Duration(stallTimeoutShare*float64(r.Estimate))
}

// projectedRuntime returns the total run time at the run's present speed.
func (r *run) projectedRuntime(now time.Time) time.Duration {
	return now.Sub(r.startSentAt) * 100 / time.Duration(max(r.percent, 1))
}

// tooSlow reports whether the run would take far longer than estimated at its
// present speed, with most of it still to do.
func (r *run) tooSlow(now time.Time) bool {
	if r.Estimate <= 0 {
		return false
	}
	projectedRuntime := r.projectedRuntime(now)
	left := projectedRuntime - now.Sub(r.startSentAt)
	return float64(projectedRuntime) > slowRunFactor*float64(r.Estimate) && float64(left) > minRemainingFactor*float64(r.Estimate)
}

// overruns reports whether a run is far from its end when it should be over. It
// is false once the overrun was recorded.
func (r *run) overruns(now time.Time) bool {
	return !r.overrunRecorded && now.Sub(r.startSentAt) > overrunFactor*r.Estimate && r.percent < maxOverrunPercent
}
