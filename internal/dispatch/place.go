package dispatch

import (
	"time"

	"endivewing/internal/runtable"
)

// allOrNothingPriority is the priority number from which a job starts only when
// all its waiting tasks fit. Half a job on time is of no use to the caller, and
// under overload the other half would be late. More urgent jobs use any free
// capacity immediately, since wide ones would never find enough for all their
// tasks.
const allOrNothingPriority = 1

// place assigns waiting tasks to runners, the most urgent job first. Capacity
// that a job cannot use goes to the next one.
func (d *Dispatcher) place(now time.Time) {
	if len(d.queue) == 0 {
		return
	}
	free := freeCapacity{runners: d.sortedRunners}
	suspects := &suspectsAtWork{dispatcher: d}
	for _, o := range d.byUrgency(now) {
		if !free.mayPlace(o) || !o.mayPlace(now) {
			continue
		}
		if o.Priority >= allOrNothingPriority && !o.mayHaveRun() && !d.allFit(o) {
			continue
		}
		if d.placeJob(now, o, suspects) {
			free.valid = false
		}
		if !o.hasReadyTasks() {
			d.dequeue(o)
		}
	}
}

// placeJob places the tasks of a job that fit, and reports whether there were any.
func (d *Dispatcher) placeJob(now time.Time, o *openJob, suspects *suspectsAtWork) bool {
	before := o.starts
	for step := range o.Steps {
		if o.waiting[step] > 0 && o.stepReady(step) {
			d.placeStep(now, o, step, suspects)
		}
	}
	return o.starts > before
}

// placeStep places the tasks of a step that fit. suspects takes in those that are placed.
func (d *Dispatcher) placeStep(now time.Time, o *openJob, step int, suspects *suspectsAtWork) {
	wait := d.runnerWait(now, o)
	suspectsFit := true
	batches := map[RunnerID]*Placement{}
	var order []*Placement
	for i := range o.tasks[step] {
		t := &o.tasks[step][i]
		if t.state != waiting {
			continue
		}
		suspect := d.isSuspect(o, step, i)
		if suspect && !suspectsFit {
			continue
		}
		r := d.choose(now, o, step, t, suspect, suspects)
		if r == nil && suspect {
			suspectsFit = false
			continue // other tasks of the step may run where it may not
		}
		if r == nil {
			break
		}
		if suspect {
			suspects.add(r.id, o.ID)
		}
		name := runtable.TaskID{Job: o.ID, Step: uint32(step), Index: uint32(i)}
		d.recordLostRun(now, name, t)
		d.assign(now, o, step, t, r)
		t.mustHaveStartedAt = now.Add(wait + refusalLatency)
		p := batches[r.id]
		if p == nil {
			p = &Placement{Runner: r.id, MinionRevision: r.MinionRevision, Job: o.Job, Step: step, Key: o.latestStart, Wait: wait}
			batches[r.id] = p
			order = append(order, p)
		}
		p.Runs = append(p.Runs, runtable.RunID{TaskID: name, Run: t.run})
	}
	for _, p := range order {
		d.out.Placements = append(d.out.Placements, *p)
	}
}

const (
	// maxRunnerWait is the longest time that tasks may wait at a runner for
	// free capacity. Several runs end at a minion within it.
	maxRunnerWait = 40 * time.Millisecond
	// minRunnerWait is the shortest time that tasks may wait at a runner. It
	// covers the delivery time of a message.
	minRunnerWait = 4 * time.Millisecond
	// ampleFreeShare is the share of free capacity above which another runner
	// is likely to have enough.
	ampleFreeShare = 0.08
	// refusalLatency is the time from the end of a task's wait at a runner
	// until its refusal arrives: two messages and the interval at which runners
	// check their waiting tasks.
	refusalLatency = 16 * time.Millisecond
)

// runnerWait returns how long tasks placed now may wait at a runner that turns
// out to be full. If capacity is free elsewhere, they come back immediately.
// Tasks of a job that may not have started come back in time for the job to be
// refused.
func (d *Dispatcher) runnerWait(now time.Time, o *openJob) time.Duration {
	if free, capacity := d.CPUCapacity(); float64(free) > ampleFreeShare*float64(capacity) {
		return minRunnerWait
	}
	if o.hasRun {
		return maxRunnerWait
	}
	return min(maxRunnerWait, max(minRunnerWait, o.startDeadline().Sub(now)))
}

// mayPlace reports whether more tasks of a job may be placed. Past its start
// deadline a job goes on only if it has certainly started. Any other job is
// refused once its placed tasks have come back.
func (o *openJob) mayPlace(now time.Time) bool {
	return o.hasRun || !now.After(o.startDeadline()) || o.isRunning(now)
}

// isRunning reports whether a placed task has exceeded its wait for capacity,
// so that it must have started.
func (o *openJob) isRunning(now time.Time) bool {
	for _, tasks := range o.tasks {
		for i := range tasks {
			if t := &tasks[i]; t.state == placed && now.After(t.mustHaveStartedAt) {
				return true
			}
		}
	}
	return false
}

func (d *Dispatcher) assign(now time.Time, o *openJob, step int, t *task, r *runner) {
	t.state = placed
	t.run++
	t.runner = r.id
	o.waiting[step]--
	o.starts++
	if o.firstPlacedAt.IsZero() {
		o.firstPlacedAt = now
	}
	if r.degraded() {
		r.lastProbe = now
	}
	r.addTask(o.Steps[step].Need)
}
