package dispatch

import (
	"slices"
	"time"
)

// HoldForElsewhere keeps a job of which another dispatcher has runs at work. It is
// submitted once ReleaseElsewhere has been called and no run of an earlier submission
// here is left.
func (d *Dispatcher) HoldForElsewhere(now time.Time, j *Job) {
	if d.jobs[j.ID] != nil {
		d.Submit(now, j)
		return
	}
	earlier := d.ending[j.ID]
	if earlier == nil {
		earlier = &openJob{Job: j}
		d.ending[j.ID] = earlier
	}
	earlier.runsElsewhere = true
	d.hold(earlier, j)
}

// HeldForElsewhere returns the ids of the jobs that wait for the end of their runs at
// other dispatchers, sorted.
func (d *Dispatcher) HeldForElsewhere() []string {
	var ids []string
	for id, o := range d.ending {
		if o.runsElsewhere && o.next != nil {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// ReleaseElsewhere records that no other dispatcher has runs of a job.
func (d *Dispatcher) ReleaseElsewhere(now time.Time, id string) {
	if o := d.ending[id]; o != nil && o.runsElsewhere {
		o.runsElsewhere = false
		d.checkEnding(now, o)
	}
}

// GiveUpForElsewhere ends a job that waits at another dispatcher: its caller has sent
// it again. Its runs are stopped.
func (d *Dispatcher) GiveUpForElsewhere(now time.Time, id string) {
	if o := d.jobs[id]; o != nil {
		d.answer(now, o, GivenUp, ReasonElsewhere)
	} else if o := d.ending[id]; o != nil {
		d.answerHeld(now, o, ReasonElsewhere)
	}
}

// OldJobs returns the ids of the jobs that had arrived by a given time and of which
// runs are or may get at work, sorted.
func (d *Dispatcher) OldJobs(arrivedBy time.Time) []string {
	var ids []string
	for id, o := range d.jobs {
		if !o.Arrived.After(arrivedBy) {
			ids = append(ids, id)
		}
	}
	for id, o := range d.ending {
		if !o.Arrived.After(arrivedBy) && (o.next != nil || o.hasOwnRunsLeft()) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
