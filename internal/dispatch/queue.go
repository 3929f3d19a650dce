package dispatch

import (
	"slices"
	"time"
)

func (d *Dispatcher) enqueue(o *openJob) {
	if slices.Contains(d.queue, o) {
		return
	}
	at, _ := slices.BinarySearchFunc(d.queue, o, compareUrgency)
	d.queue = slices.Insert(d.queue, at, o)
}

// compareUrgency orders waiting jobs by their latest start, then by ID.
func compareUrgency(a, b *openJob) int {
	if c := a.latestStart.Compare(b.latestStart); c != 0 {
		return c
	}
	if a.ID < b.ID {
		return -1
	}
	if a.ID > b.ID {
		return 1
	}
	return 0
}

func (d *Dispatcher) dequeue(o *openJob) {
	if at := slices.Index(d.queue, o); at >= 0 {
		d.queue = slices.Delete(d.queue, at, at+1)
	}
}

// lateFinishShare is the largest share of waiting tasks with which a late job
// goes ahead of jobs that are on time.
const lateFinishShare = 0.25

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
