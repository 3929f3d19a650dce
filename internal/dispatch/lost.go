package dispatch

import (
	"slices"
	"time"

	"endivewing/internal/runtable"
)

// LostRun is a task that is placed again after the runner of its last run was
// lost.
type LostRun struct {
	// Earlier is the run that was lost, at the runner with the name Runner.
	Earlier runtable.RunID
	Runner  string
	// Since is the time from the loss until the task was placed again.
	Since time.Duration
	// Confirmed reports whether the runner has said that the run ended. If not,
	// LostRunTimeout has passed.
	Confirmed bool
}

// RunnerLost handles the end of a runner's session. Its runs may still be
// active for a while.
func (d *Dispatcher) RunnerLost(now time.Time, id RunnerID) {
	r := d.runners[id]
	if r == nil {
		return
	}
	delete(d.runners, id)
	d.sortedRunners = slices.DeleteFunc(d.sortedRunners, func(r *runner) bool { return r.id == id })
	for _, o := range d.jobsWithRuns() {
		for _, tasks := range o.tasks {
			for i := range tasks {
				if t := &tasks[i]; t.mayRunAt(id) {
					o.runLost(now, t, r)
				}
			}
		}
	}
}

// mayRunAt reports whether the last run of a task may be at work at a connected
// runner.
func (t *task) mayRunAt(id RunnerID) bool {
	return t.runner == id && (t.state == placed || t.state == asked)
}

// runLost records that the runner of a task was lost. The time from which the run
// must have ended starts anew if the runner was lost before.
func (o *openJob) runLost(now time.Time, t *task, r *runner) {
	if t.state == placed {
		o.lost++
		t.lostAt, t.lostRunner = now, r.Name
	}
	t.state = unresolved
	t.mustHaveEndedAt = now.Add(LostRunTimeout)
}

// askForLostRuns asks a runner that is connected again to end the runs that were
// lost with its earlier session, and to say when they have ended. Its answer is
// awaited however long it takes: a connected runner that does not answer can't
// end them yet.
func (d *Dispatcher) askForLostRuns(r *runner) {
	for _, o := range d.jobsWithRuns() {
		for step := range o.tasks {
			if runs := o.askFor(step, r); len(runs) > 0 {
				d.out.Stops = append(d.out.Stops, Stop{Runner: r.id, Job: o.ID, Step: step, Runs: runs})
			}
		}
	}
}

// askFor marks the unresolved runs of a step at a runner as asked for, and returns
// them.
func (o *openJob) askFor(step int, r *runner) []runtable.RunID {
	var runs []runtable.RunID
	for i := range o.tasks[step] {
		t := &o.tasks[step][i]
		if t.state != unresolved || t.lostRunner != r.Name {
			continue
		}
		t.state, t.runner = asked, r.id
		r.outstanding++
		name := runtable.TaskID{Job: o.ID, Step: uint32(step), Index: uint32(i)}
		runs = append(runs, runtable.RunID{TaskID: name, Run: t.run})
	}
	return runs
}

// recordLostRun adds a task to the output that is about to be placed again after a
// loss.
func (d *Dispatcher) recordLostRun(now time.Time, name runtable.TaskID, t *task) {
	if t.lostAt.IsZero() {
		return
	}
	d.out.LostRuns = append(d.out.LostRuns, LostRun{
		Earlier: runtable.RunID{TaskID: name, Run: t.run}, Runner: t.lostRunner, Since: now.Sub(t.lostAt), Confirmed: t.mustHaveEndedAt.IsZero(),
	})
	t.lostAt, t.lostRunner, t.mustHaveEndedAt = time.Time{}, "", time.Time{}
}
