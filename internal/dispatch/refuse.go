package dispatch

import (
	"slices"
	"time"
)

const (
	// startTimeoutShare is the share of the time until the objective for which
	// a job may wait with nothing started before it is refused. The rest is left
	// for the work and for estimates that are too short.
	startTimeoutShare = 0.25
	// minRetryAfter is the shortest time after which the caller of a refused
	// job is asked to retry.
	minRetryAfter = time.Second
	// maxRetryAfter is the longest time after which the caller of a refused job
	// is asked to retry.
	maxRetryAfter = 5 * time.Second
)

// unschedulableReason returns the reason why no known minion can run a job, or
// "".
func (d *Dispatcher) unschedulableReason(o *openJob) string {
	known := slices.ContainsFunc(d.sortedRunners, func(r *runner) bool { return r.Service == o.Service })
	if !known {
		return ReasonNoMinion
	}
	for i := range o.Steps {
		fits := func(r *runner) bool { return r.canRun(o.Service, &o.Steps[i]) }
		if !slices.ContainsFunc(d.sortedRunners, fits) {
			return ReasonTooLarge
		}
	}
	return ""
}

// retryAfter estimates when a refused caller should retry: the time to work off
// the backlog, within bounds.
func (d *Dispatcher) retryAfter() time.Duration {
	var backlog, capacity float64
	for _, o := range d.queue {
		for i, n := range o.waiting {
			backlog += float64(n) * float64(o.Steps[i].Need.CPU) * o.Steps[i].Estimate.Seconds()
		}
	}
	for _, r := range d.sortedRunners {
		capacity += float64(r.Capacity.CPU)
	}
	if capacity == 0 {
		return maxRetryAfter
	}
	wait := time.Duration(backlog / capacity * float64(time.Second))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// startDeadline returns the time after which a job of which nothing has started
// is refused.
func (o *openJob) startDeadline() time.Time {
	return o.submittedAt.Add(time.Duration(startTimeoutShare * float64(o.Objective.Sub(o.Arrived))))
}

// refuseExpired refuses a job that is past its start deadline if none of its
// tasks can have run. It reports whether it did.
func (d *Dispatcher) refuseExpired(now time.Time, o *openJob) bool {
	if o.mayHaveRun() || !now.After(o.startDeadline()) {
		return false
	}
	d.answer(now, o, Refused, ReasonNoCapacity)
	return true
}
