package runtable

import "time"

const (
	// stallLeast and stallShare of the estimate are how long the work of a run
	// may stand still before it counts as stuck: the first outlasts two lists,
	// the second one percent of the work on a minion ten times too slow.
	stallLeast = 150 * time.Millisecond
	stallShare = 0.15
	// slowFactor times the estimate is the run time from which a run counts as
	// slow. Estimates are wrong by a factor of 1.5 as a rule.
	slowFactor = 3.5
	// slowLeft times the estimate is the time that must be left, so that a new
	// run elsewhere is likely to end sooner.
	slowLeft = 1.3
	// slowPace is the pace of a minion from which its slow runs are stopped: one
	// slow run alone may just have a bad estimate.
	slowPace = 2.2
	// overrun times the estimate is the time at work after which a run that is
	// not half done tells about the minion's pace before its end.
	overrun, overrunPercent = 2, 50
)

// watch stops a run whose work stands still or goes on far too slowly: it is
// better off on another minion.
func (t *Table) watch(now time.Time, r *run, percent int) {
	if percent != r.percent || r.moved.IsZero() {
		r.percent = percent
		r.moved = now
	}
	if r.state != running {
		return
	}
	switch {
	case r.stalled(now):
		t.health.failed()
		t.stop(now, r, ReasonStuck)
	case r.slow(now) && t.health.pace() >= slowPace:
		t.health.failed()
		t.stop(now, r, ReasonSlow)
	case r.overruns(now):
		r.told = true
		t.health.learn(r.Job, r.total(now), r.Estimate)
	}
}

func (r *run) stalled(now time.Time) bool {
	return now.Sub(r.moved) > stallLeast+time.Duration(stallShare*float64(r.Estimate))
}

// total is the run time that its present pace leads to.
func (r *run) total(now time.Time) time.Duration {
	return now.Sub(r.ordered) * 100 / time.Duration(max(r.percent, 1))
}

// slow tells that at its present pace the run takes far longer than estimated,
// with most of it still to do.
func (r *run) slow(now time.Time) bool {
	if r.Estimate <= 0 {
		return false
	}
	total := r.total(now)
	left := total - now.Sub(r.ordered)
	return float64(total) > slowFactor*float64(r.Estimate) && float64(left) > slowLeft*float64(r.Estimate)
}

// overruns tells once that a run is far from its end when it should be over.
func (r *run) overruns(now time.Time) bool {
	return !r.told && now.Sub(r.ordered) > overrun*r.Estimate && r.percent < overrunPercent
}
