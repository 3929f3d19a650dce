package dispatch

import (
	"slices"
	"time"

	"endivewing/internal/runtable"
)

// lateFinishShare is the largest share of waiting tasks with which a late job
// goes ahead of jobs that are on time.
const lateFinishShare = 0.25

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
	for _, o := range d.byUrgency(now) {
		if !free.mayPlace(o) || !o.mayPlace(now) {
			continue
		}
		if o.Priority >= allOrNothingPriority && !o.mayHaveRun() && !d.allFit(o) {
			continue
		}
		d.placeJob(now, o)
		free.valid = false
		if !o.hasReadyTasks() {
			d.dequeue(o)
		}
	}
}

// freeCapacity bounds what the runners of one service can accept. When no
// capacity is free and many jobs wait, it avoids a check of every runner for
// each job.
type freeCapacity struct {
	runners []*runner
	service string
	valid   bool
	// largest holds, for each resource, the largest free amount at one runner.
	// totalCPU is the free capacity of all runners in thousandths of a core.
	largest  Need
	totalCPU int64
	// mayWait is set if no task is known to wait at one of the runners.
	mayWait bool
}

// update computes the free capacity of a service unless it is up to date.
func (f *freeCapacity) update(service string) {
	if f.valid && f.service == service {
		return
	}
	f.valid, f.service, f.largest, f.totalCPU, f.mayWait = true, service, Need{}, 0, false
	for _, r := range f.runners {
		if !r.acceptsTasks() || r.Service != service {
			continue
		}
		f.largest.CPU = max(f.largest.CPU, r.Free.CPU)
		f.largest.Memory = max(f.largest.Memory, r.Free.Memory)
		f.largest.GPUs = max(f.largest.GPUs, r.Free.GPUs)
		f.totalCPU += max(r.Free.CPU, 0)
		f.mayWait = f.mayWait || !r.taskWaits()
	}
}

// mayPlace reports whether a task of a job may fit now, or may wait at a runner.
func (f *freeCapacity) mayPlace(o *openJob) bool {
	return f.mayFit(o) || f.mayWait && o.mayWaitAtRunner()
}

// mayFit reports whether a waiting task of a job may fit now. For a job that
// starts all its tasks together, it reports whether all of them may.
func (f *freeCapacity) mayFit(o *openJob) bool {
	f.update(o.Service)
	fits := false
	var needed int64
	for step := range o.Steps {
		if o.waiting[step] == 0 || !o.stepReady(step) {
			continue
		}
		need := o.Steps[step].Need
		fits = fits || need.Fits(f.largest)
		needed += need.CPU * int64(o.waiting[step])
	}
	return fits && (o.Priority < allOrNothingPriority || o.mayHaveRun() || needed <= f.totalCPU)
}

// allFit reports whether all waiting tasks of a job fit now.
func (d *Dispatcher) allFit(o *openJob) bool {
	for step := range o.Steps {
		if o.waiting[step] > 0 && o.stepReady(step) && !d.stepFits(o, step) {
			return false
		}
	}
	return true
}

// stepFits reports whether all waiting tasks of a step fit now.
func (d *Dispatcher) stepFits(o *openJob, step int) bool {
	s := &o.Steps[step]
	left := int64(o.waiting[step])
	for _, r := range d.sortedRunners {
		if !r.acceptsTasks() || !r.canRun(o.Service, s) {
			continue
		}
		if left -= s.Need.FitCount(r.Free, left); left <= 0 {
			return true
		}
	}
	return false
}

// byUrgency returns the waiting jobs, the most urgent first. Jobs that can
// still meet their objective are ordered by their latest start. Late jobs that
// are nearly done come before them, and the other late jobs come after them:
// under overload, work on late jobs would make the others late too.
func (d *Dispatcher) byUrgency(now time.Time) []*openJob {
	firstOnTime, _ := slices.BinarySearchFunc(d.queue, now, func(o *openJob, at time.Time) int { return o.latestStart.Compare(at) })
	order := make([]*openJob, 0, len(d.queue))
	var late []*openJob
	for _, o := range d.queue[:firstOnTime] {
		if o.mayHaveRun() && o.waitingShare() <= lateFinishShare {
			order = append(order, o)
			continue
		}
		late = append(late, o)
	}
	order = append(order, d.queue[firstOnTime:]...)
	return append(order, late...)
}

// placeJob places the tasks of a job that fit.
func (d *Dispatcher) placeJob(now time.Time, o *openJob) {
	for step := range o.Steps {
		if o.waiting[step] > 0 && o.stepReady(step) {
			d.placeStep(now, o, step)
		}
	}
}

func (d *Dispatcher) placeStep(now time.Time, o *openJob, step int) {
	wait := d.runnerWait(now, o)
	batches := map[RunnerID]*Placement{}
	var order []*Placement
	for i := range o.tasks[step] {
		t := &o.tasks[step][i]
		if t.state != waiting {
			continue
		}
		r := d.chooseRunner(now, o, step, t)
		if r == nil && o.mayWaitAtRunner() {
			r = d.chooseFullRunner(now, o, step, t)
		}
		if r == nil {
			break
		}
		d.assign(now, o, step, t, r)
		t.mustHaveStartedAt = now.Add(wait + refusalLatency)
		p := batches[r.id]
		if p == nil {
			p = &Placement{Runner: r.id, Job: o.Job, Step: step, Key: o.latestStart, Wait: wait}
			batches[r.id] = p
			order = append(order, p)
		}
		name := runtable.TaskID{Job: o.ID, Step: uint32(step), Index: uint32(i)}
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
	if r.suspect() {
		r.lastProbe = now
	}
	r.addTask(o.Steps[step].Need)
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
// Capacity that comes free is reported to all of them, and went to the task that
// arrived first, some milliseconds later. A task that waits at the runner gets
// it at once, and of the tasks of several dispatchers the most urgent one does.
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
		if r.taskWaits() || r.suspect() || t.avoids(r) || !d.mayRunAt(now, o, step, r) {
			continue
		}
		lacking := float64(o.Steps[step].Need.CPU-r.Free.CPU) / float64(max(r.Capacity.CPU, 1))
		if best == nil || lacking < least {
			best, least = r, lacking
		}
	}
	return best
}

// tasksAt returns the number of placed tasks of a step at a runner.
func (o *openJob) tasksAt(step int, id RunnerID) int {
	n := 0
	for i := range o.tasks[step] {
		if t := &o.tasks[step][i]; t.state == placed && t.runner == id {
			n++
		}
	}
	return n
}
