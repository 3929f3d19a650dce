package dispatch

import (
	"maps"
	"slices"
	"time"
)

// A job that is answered while runs of it may be at work is ending until each of them
// has ended. A caller that sends the job again meanwhile waits: the runs of the new
// submission would be at work beside those of the earlier one, and have the same
// numbers.

// keepUntilRunsEnd makes an answered job an ending one if runs of it are left.
func (d *Dispatcher) keepUntilRunsEnd(o *openJob) {
	if o.hasRunsLeft() {
		d.ending[o.ID] = o
	}
}

// hasRunsLeft reports whether a run of the job may be at work, here or at another
// dispatcher.
func (o *openJob) hasRunsLeft() bool {
	waitsElsewhere := o.next != nil && o.runsElsewhere
	return waitsElsewhere || o.hasOwnRunsLeft()
}

// hasOwnRunsLeft reports whether a run that this dispatcher placed may be at work.
func (o *openJob) hasOwnRunsLeft() bool {
	for _, tasks := range o.tasks {
		for i := range tasks {
			if s := tasks[i].state; s == placed || s == asked || s == unresolved {
				return true
			}
		}
	}
	return false
}

// hold keeps a job until the runs of its earlier submission have ended.
func (d *Dispatcher) hold(earlier *openJob, j *Job) {
	if earlier.next != nil {
		d.refuse(j, ReasonDuplicate, minRetryAfter)
		return
	}
	earlier.next = j
}

// earlierRunEnded handles the end of a run of an ending job.
func (d *Dispatcher) earlierRunEnded(now time.Time, id RunnerID, e TaskEnd) {
	o := d.ending[e.Job]
	if o == nil {
		return
	}
	if t := o.find(id, e.RunID); t != nil {
		t.state = done
		d.checkEnding(now, o)
	}
}

// checkEnding submits the job that waits for an ending one once no run is left.
func (d *Dispatcher) checkEnding(now time.Time, o *openJob) {
	if o.hasRunsLeft() {
		return
	}
	delete(d.ending, o.ID)
	if o.next != nil {
		d.Submit(now, o.next)
	}
}

// reviewEnding ends the unresolved runs of an ending job that must have ended, and
// answers the job that waits for it if that is overdue.
func (d *Dispatcher) reviewEnding(now time.Time, o *openJob) {
	for _, tasks := range o.tasks {
		for i := range tasks {
			if t := &tasks[i]; t.state == unresolved && !now.Before(t.mustHaveEndedAt) {
				t.state = done
			}
		}
	}
	if o.next != nil && now.After(o.next.Deadline) {
		d.answerHeld(now, o, ReasonOverdue)
	}
	d.checkEnding(now, o)
}

// answerHeld answers the job that waits for an ending one. Its earlier submission may
// have run.
func (d *Dispatcher) answerHeld(now time.Time, o *openJob, reason string) {
	if o.next == nil {
		return
	}
	d.out.Answers = append(d.out.Answers, Answer{Job: o.next, Result: GivenUp, Reason: reason, Waited: now.Sub(o.next.Arrived)})
	o.next = nil
}

// heldJobs returns the number of jobs that wait for an ending one.
func (d *Dispatcher) heldJobs() int {
	n := 0
	for _, o := range d.ending {
		if o.next != nil {
			n++
		}
	}
	return n
}

// jobsWithRuns returns the open and the ending jobs by ID, so that decisions are
// deterministic.
func (d *Dispatcher) jobsWithRuns() []*openJob {
	return append(sortedByID(d.jobs), sortedByID(d.ending)...)
}

func sortedByID(jobs map[string]*openJob) []*openJob {
	sorted := make([]*openJob, 0, len(jobs))
	for _, id := range slices.Sorted(maps.Keys(jobs)) {
		sorted = append(sorted, jobs[id])
	}
	return sorted
}
