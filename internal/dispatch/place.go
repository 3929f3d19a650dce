package dispatch

import (
	"slices"
	"time"

	"endivewing/internal/runtable"
)

// nearlyDone is the share of a job's tasks that may still wait for it to be
// finished before jobs that are in time, although it is late.
const nearlyDone = 0.25

// wholePriority is the priority from which a job begins only when there is room
// for all its waiting tasks: half a job in time helps nobody, and under more
// load than there is room the other half would come late. More urgent jobs take
// what room there is at once, since wide ones would never find it all.
const wholePriority = 1

// place gives waiting tasks to runners, the most urgent job first. What a job
// has no use for goes to the next.
func (d *Dispatcher) place(now time.Time) {
	if len(d.queue) == 0 {
		return
	}
	free := freeRoom{runners: d.order}
	for _, o := range d.inOrder(now) {
		if !free.mayTake(o) || !o.mayPlace(now) {
			continue
		}
		if o.Priority >= wholePriority && !o.touched() && !d.roomFor(o) {
			continue
		}
		d.placeJob(now, o)
		free.known = false
		if !o.hungry() {
			d.dequeue(o)
		}
	}
}

// freeRoom bounds what the runners of one service can take. When there is no
// room and many jobs wait, it tells so without a look at every runner for each.
type freeRoom struct {
	runners []*runner
	service string
	known   bool
	// most is the most of each kind of room that one runner has free; cpu is
	// what all have, in thousandths of a core.
	most Need
	cpu  int64
}

// measure adds up the room of a service unless it is known.
func (f *freeRoom) measure(service string) {
	if f.known && f.service == service {
		return
	}
	f.known, f.service, f.most, f.cpu = true, service, Need{}, 0
	for _, r := range f.runners {
		if !r.takes() || r.Service != service {
			continue
		}
		f.most.CPU = max(f.most.CPU, r.Free.CPU)
		f.most.Memory = max(f.most.Memory, r.Free.Memory)
		f.most.GPUs = max(f.most.GPUs, r.Free.GPUs)
		f.cpu += max(r.Free.CPU, 0)
	}
}

// mayTake tells whether a waiting task of a job may find room now, and for a
// job that begins whole, whether all may.
func (f *freeRoom) mayTake(o *openJob) bool {
	f.measure(o.Service)
	fits := false
	var asked int64
	for step := range o.Steps {
		if o.waiting[step] == 0 || !o.ready(step) {
			continue
		}
		need := o.Steps[step].Need
		fits = fits || need.Fits(f.most)
		asked += need.CPU * int64(o.waiting[step])
	}
	return fits && (o.Priority < wholePriority || o.touched() || asked <= f.cpu)
}

// roomFor tells whether all waiting tasks of a job have room now.
func (d *Dispatcher) roomFor(o *openJob) bool {
	for step := range o.Steps {
		if o.waiting[step] > 0 && o.ready(step) && !d.stepFits(o, step) {
			return false
		}
	}
	return true
}

// stepFits tells whether all waiting tasks of a step have room now.
func (d *Dispatcher) stepFits(o *openJob, step int) bool {
	s := &o.Steps[step]
	left := int64(o.waiting[step])
	for _, r := range d.order {
		if !r.takes() || !r.serves(o.Service, s) {
			continue
		}
		if left -= s.Need.Times(r.Free, left); left <= 0 {
			return true
		}
	}
	return false
}

// inOrder returns the waiting jobs, the most urgent first: those that can still
// meet their objective by the latest time to begin; before them late ones that
// little is left of, after them the other late ones. Under more load than there
// is room, work on late jobs would make the rest late too.
func (d *Dispatcher) inOrder(now time.Time) []*openJob {
	inTime, _ := slices.BinarySearchFunc(d.queue, now, func(o *openJob, at time.Time) int { return o.key.Compare(at) })
	order := make([]*openJob, 0, len(d.queue))
	var late []*openJob
	for _, o := range d.queue[:inTime] {
		if o.touched() && o.share() <= nearlyDone {
			order = append(order, o)
			continue
		}
		late = append(late, o)
	}
	order = append(order, d.queue[inTime:]...)
	return append(order, late...)
}

// placeJob places what it can of a job.
func (d *Dispatcher) placeJob(now time.Time, o *openJob) {
	for step := range o.Steps {
		if o.waiting[step] > 0 && o.ready(step) {
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
		r := d.choose(now, o, step, t)
		if r == nil {
			break
		}
		d.give(now, o, step, t, r)
		t.sure = now.Add(wait + answerTime)
		p := batches[r.id]
		if p == nil {
			p = &Placement{Runner: r.id, Job: o.Job, Step: step, Key: o.key, Wait: wait}
			batches[r.id] = p
			order = append(order, p)
		}
		name := runtable.Name{Job: o.ID, Step: uint32(step), Index: uint32(i)}
		p.Runs = append(p.Runs, runtable.Ref{Name: name, Run: t.run})
	}
	for _, p := range order {
		d.out.Placements = append(d.out.Placements, *p)
	}
}

const (
	// runnerWait is how long tasks may wait at a runner for room: a few ends.
	runnerWait = 40 * time.Millisecond
	// runnerWaitLeast covers the time of a message.
	runnerWaitLeast = 4 * time.Millisecond
	// ampleRoom is the share of free room from which another runner can be
	// found.
	ampleRoom = 0.08
	// answerTime is how long after a task's wait its refusal is here: two
	// messages and the interval at which runners look at what waits.
	answerTime = 16 * time.Millisecond
)

// runnerWait is how long tasks placed now may wait at a runner that turns out to
// be full. With room elsewhere they come back at once. A job that may not have
// begun comes back in time to be refused.
func (d *Dispatcher) runnerWait(now time.Time, o *openJob) time.Duration {
	if free, capacity := d.Load(); float64(free) > ampleRoom*float64(capacity) {
		return runnerWaitLeast
	}
	if o.ran {
		return runnerWait
	}
	return min(runnerWait, max(runnerWaitLeast, o.patience().Sub(now)))
}

// mayPlace tells whether more tasks of a job may be placed. When its patience is
// over, only one that has surely begun goes on; the others are refused once
// what was placed has come back.
func (o *openJob) mayPlace(now time.Time) bool {
	return o.ran || !now.After(o.patience()) || o.runs(now)
}

// runs tells whether a placed task has outlived its wait for room, so that it
// must be at work.
func (o *openJob) runs(now time.Time) bool {
	for _, tasks := range o.tasks {
		for i := range tasks {
			if t := &tasks[i]; t.state == placed && now.After(t.sure) {
				return true
			}
		}
	}
	return false
}

func (d *Dispatcher) give(now time.Time, o *openJob, step int, t *task, r *runner) {
	t.state = placed
	t.run++
	t.runner = r.id
	o.waiting[step]--
	o.starts++
	if o.begun.IsZero() {
		o.begun = now
	}
	if r.suspect() {
		r.probed = now
	}
	r.take(o.Steps[step].Need)
}

// choose returns the runner with room where a task is expected to end first.
func (d *Dispatcher) choose(now time.Time, o *openJob, step int, t *task) *runner {
	s := &o.Steps[step]
	var best *runner
	var least time.Duration
	for _, r := range d.order {
		if !r.serves(o.Service, s) || !s.Need.Fits(r.Free) || !r.open(now) {
			continue
		}
		if s.Spread > 0 && o.tasksAt(step, r.id) >= s.Spread {
			continue
		}
		cost := r.cost(s, d.zone)
		if t.avoid != "" && t.avoid == r.Endpoint {
			cost += suspicionCost
		}
		if best == nil || cost < least {
			best, least = r, cost
		}
	}
	return best
}

// tasksAt counts the tasks of a step at a runner.
func (o *openJob) tasksAt(step int, id RunnerID) int {
	n := 0
	for i := range o.tasks[step] {
		if t := &o.tasks[step][i]; t.state == placed && t.runner == id {
			n++
		}
	}
	return n
}
