package dispatch

import (
	"slices"
	"time"

	"endivewing/internal/runtable"
)

// nearlyDone is the share of a job's tasks that may still wait for it to be
// finished before jobs that are in time, although it is late.
const nearlyDone = 0.25

// place gives waiting tasks to runners, the most urgent job first. A job that
// finds no room leaves none to less urgent ones of its service.
func (d *Dispatcher) place(now time.Time) {
	if len(d.queue) == 0 {
		return
	}
	full := map[string]bool{}
	for _, o := range d.inOrder(now) {
		if full[o.Service] {
			continue
		}
		if d.placeJob(now, o) {
			full[o.Service] = true
		}
		if !o.hungry() {
			d.dequeue(o)
		}
	}
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

// placeJob places what it can of a job; full tells that there is no room for
// others either.
func (d *Dispatcher) placeJob(now time.Time, o *openJob) (full bool) {
	for step := range o.Steps {
		if o.waiting[step] == 0 || !o.ready(step) {
			continue
		}
		s := &o.Steps[step]
		if d.placeStep(now, o, step) && s.Label == "" && s.Spread == 0 {
			full = true
		}
	}
	return full
}

func (d *Dispatcher) placeStep(now time.Time, o *openJob, step int) (blocked bool) {
	batches := map[RunnerID]*Placement{}
	var order []*Placement
	for i := range o.tasks[step] {
		t := &o.tasks[step][i]
		if t.state != waiting {
			continue
		}
		r := d.choose(now, o, step, t)
		if r == nil {
			blocked = true
			break
		}
		d.give(now, o, step, t, r)
		p := batches[r.id]
		if p == nil {
			p = &Placement{Runner: r.id, Job: o.Job, Step: step, Key: o.key}
			batches[r.id] = p
			order = append(order, p)
		}
		name := runtable.Name{Job: o.ID, Step: uint32(step), Index: uint32(i)}
		p.Runs = append(p.Runs, runtable.Ref{Name: name, Run: t.run})
	}
	for _, p := range order {
		d.out.Placements = append(d.out.Placements, *p)
	}
	return blocked
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
