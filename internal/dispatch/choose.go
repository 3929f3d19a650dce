package dispatch

import "time"

// choose returns the runner for a task, or nil. A suspect never waits at a full runner.
func (d *Dispatcher) choose(now time.Time, o *openJob, step int, t *task, suspect bool, suspects *suspectsAtWork) *runner {
	if suspect {
		return d.chooseForSuspect(now, o, step, t, suspects)
	}
	if r := d.chooseRunner(now, o, step, t); r != nil || !o.mayWaitAtRunner() {
		return r
	}
	return d.chooseFullRunner(now, o, step, t)
}

// chooseRunner returns the runner with enough free capacity where a task is
// expected to end first, or nil.
func (d *Dispatcher) chooseRunner(now time.Time, o *openJob, step int, t *task) *runner {
	s := &o.Steps[step]
	var best *runner
	var least time.Duration
	for _, r := range d.sortedRunners {
		if !s.Need.Fits(r.Free) || !d.mayRunAt(now, o, step, r) {
			continue
		}
		cost := r.cost(s, d.zone)
		if t.avoids(r) {
			cost += failureCost
		}
		if best == nil || cost < least {
			best, least = r, cost
		}
	}
	return best
}

// mayRunAt reports whether a runner may get a task of a step now, regardless of
// its free capacity.
func (d *Dispatcher) mayRunAt(now time.Time, o *openJob, step int, r *runner) bool {
	s := &o.Steps[step]
	if !r.canRun(o.Service, s) || !r.available(now) {
		return false
	}
	return s.MaxPerMinion == 0 || o.tasksAt(step, r.id) < s.MaxPerMinion
}

// mayWaitAtRunner reports whether tasks of a job may wait at runners without free
// capacity: those of the most urgent jobs and of jobs that have begun.
//
// It answers the load of a full fleet with work waiting at several dispatchers.
// Capacity that comes free is reported to all of them; without tasks at the
// runner it would stay unused until one arrives, and go to the first. A task that
// waits there gets it at once, and of those of several dispatchers the most
// urgent one does.
func (o *openJob) mayWaitAtRunner() bool {
	return o.Priority < allOrNothingPriority || o.hasRun
}

// chooseFullRunner returns the runner at which a task that fits nowhere waits: of
// those where none is known to wait, the one that lacks the smallest share of
// its capacity for the task. It returns nil if there is none.
func (d *Dispatcher) chooseFullRunner(now time.Time, o *openJob, step int, t *task) *runner {
	var best *runner
	var least float64
	for _, r := range d.sortedRunners {
		if r.taskWaits() || r.degraded() || t.avoids(r) || !d.mayRunAt(now, o, step, r) {
			continue
		}
		lacking := float64(o.Steps[step].Need.CPU-r.Free.CPU) / float64(max(r.Capacity.CPU, 1))
		if best == nil || lacking < least {
			best, least = r, lacking
		}
	}
	return best
}

// tasksAt returns the number of tasks of a step that may be at work at a runner.
func (o *openJob) tasksAt(step int, id RunnerID) int {
	n := 0
	for i := range o.tasks[step] {
		if t := &o.tasks[step][i]; t.mayRunAt(id) {
			n++
		}
	}
	return n
}
