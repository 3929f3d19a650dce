package dispatch

import (
	"slices"
	"time"

	"endivewing/internal/runtable"
)

const (
	// LostRunTimeout is how long a run may still be active after the session
	// with its runner was lost, if the runner does not come back. Within this
	// time a runner that stands still at the worst moment notices the silence
	// and stops the run, or the lease ends.
	LostRunTimeout = 2800 * time.Millisecond
	// runNumberIncrement is added to a run number when the minion has already
	// seen that number or a higher one.
	runNumberIncrement = 16
	// reviewInterval is the time between two checks of all open jobs. Waiting
	// jobs are checked at every tick.
	reviewInterval = 50 * time.Millisecond
)

// Dispatcher decides on the jobs of one process. It is not safe for concurrent
// use.
type Dispatcher struct {
	zone    string
	runners map[RunnerID]*runner
	// sortedRunners holds the runners by ID, so that decisions are
	// deterministic.
	sortedRunners []*runner
	jobs          map[string]*openJob
	// ending holds the answered jobs of which runs may be at work.
	ending map[string]*openJob
	// queue holds the jobs with tasks to place, the most urgent first.
	queue []*openJob
	// lastChange is when work or free capacity last changed. It is zero when
	// nothing has changed since the last placement.
	lastChange time.Time
	// lastReview is when all open jobs were last checked.
	lastReview time.Time
	crashes    crashMemory
	out        Output
}

// New returns a dispatcher in an availability zone.
func New(zone string) *Dispatcher {
	return &Dispatcher{zone: zone, runners: map[RunnerID]*runner{}, jobs: map[string]*openJob{}, ending: map[string]*openJob{}, crashes: newCrashMemory()}
}

// TakeOutput places waiting tasks, then returns the output and clears it. Under load
// many events arrive between two calls; one placement covers all of them.
func (d *Dispatcher) TakeOutput() Output {
	if !d.lastChange.IsZero() {
		d.place(d.lastChange)
		d.lastChange = time.Time{}
	}
	out := d.out
	d.out = Output{}
	return out
}

// Jobs returns the number of jobs that are not answered.
func (d *Dispatcher) Jobs() int { return len(d.jobs) + d.heldJobs() }

// WaitingJobs returns the number of jobs with tasks to place.
func (d *Dispatcher) WaitingJobs() int { return len(d.queue) }

// Runners returns the number of runners that accept new tasks.
func (d *Dispatcher) Runners() int {
	n := 0
	for _, r := range d.sortedRunners {
		if r.acceptsTasks() {
			n++
		}
	}
	return n
}

// PendingJobs returns the number of jobs of a queue of which no task has been
// placed.
func (d *Dispatcher) PendingJobs(queue string) int {
	n := 0
	for _, o := range d.jobs {
		if o.Queue == queue && o.firstPlacedAt.IsZero() {
			n++
		}
	}
	return n
}

// Submit accepts or refuses a job. The output contains an Answer when the job
// ends, immediately if it is refused.
func (d *Dispatcher) Submit(now time.Time, j *Job) {
	if d.jobs[j.ID] != nil {
		d.refuse(j, ReasonDuplicate, minRetryAfter)
		return
	}
	if d.crashes.givenUp(j.ID) {
		d.answerGivenUp(now, j)
		return
	}
	if earlier := d.ending[j.ID]; earlier != nil {
		d.hold(earlier, j)
		return
	}
	o := newOpenJob(now, j)
	if reason := d.unschedulableReason(o); reason != "" {
		d.refuse(j, reason, maxRetryAfter)
		return
	}
	d.jobs[j.ID] = o
	d.enqueue(o)
	d.lastChange = now
}

// refuse answers a job that is not accepted.
func (d *Dispatcher) refuse(j *Job, reason string, retryAfter time.Duration) {
	d.out.Answers = append(d.out.Answers, Answer{Job: j, Result: Refused, Reason: reason, RetryAfter: retryAfter})
}

// UpdateRunner replaces the state of a runner's minion. It adds the runner if its ID
// is new.
func (d *Dispatcher) UpdateRunner(now time.Time, id RunnerID, status RunnerStatus) {
	r := d.runners[id]
	isNew := r == nil
	if isNew {
		r = &runner{id: id}
		d.runners[id] = r
		d.sortedRunners = append(d.sortedRunners, r)
		slices.SortFunc(d.sortedRunners, func(a, b *runner) int { return int(a.id) - int(b.id) })
	}
	r.update(status)
	if isNew {
		d.askForLostRuns(r)
	}
	d.lastChange = now
}

// Retire sets whether a runner is excluded from new tasks. The capacity of an
// excluded runner does not count.
func (d *Dispatcher) Retire(id RunnerID, retiring bool) {
	if r := d.runners[id]; r != nil {
		r.retiring = retiring
	}
}

// Outstanding returns the number of tasks at a runner whose ends are not
// reported.
func (d *Dispatcher) Outstanding(id RunnerID) int {
	if r := d.runners[id]; r != nil {
		return r.outstanding
	}
	return 0
}

// RunEnded handles the end of a run. Ends of unknown runs only reduce the number
// of outstanding tasks.
func (d *Dispatcher) RunEnded(now time.Time, id RunnerID, e TaskEnd) {
	o := d.jobs[e.Job]
	if r := d.runners[id]; r != nil {
		r.outstanding = max(0, r.outstanding-1)
	}
	if o == nil {
		d.earlierRunEnded(now, id, e)
		return
	}
	t := o.find(id, e.RunID)
	if t == nil {
		return
	}
	t.mustHaveEndedAt = time.Time{} // its runner knows
	if e.Reason == runtable.ReasonResubmitted {
		o.requeue(int(e.Step), t) // it is over, so it needs no stop
		d.answer(now, o, GivenUp, ReasonElsewhere)
		return
	}
	step := int(e.Step)
	o.hasRun = o.hasRun || e.Outcome != runtable.NotRun
	switch e.Outcome {
	case runtable.Done:
		t.state = done
		o.remaining[step]--
		if o.complete() {
			d.answer(now, o, Completed, "")
			return
		}
	case runtable.Failed:
		t.failures++
		t.avoidEndpoint = d.endpoint(id)
		if t.failures >= max(o.MaxAttempts, 1) {
			d.answer(now, o, Failed, ReasonAttempts)
			return
		}
		o.requeue(step, t)
	default:
		if e.Outcome == runtable.NotRun {
			o.notRun++
		}
		if e.Reason == runtable.ReasonOldRun {
			t.run += runNumberIncrement
		}
		if e.Outcome == runtable.Stopped || e.Reason == runtable.ReasonStartUnanswered {
			t.avoidEndpoint = d.endpoint(id)
		}
		o.requeue(step, t)
		if e.Reason == runtable.ReasonLeaseExpired && d.leaseLapsed(now, id, e.TaskID) {
			return
		}
	}
	if d.refuseExpired(now, o) {
		return
	}
	if o.hasReadyTasks() {
		d.enqueue(o)
	}
	d.lastChange = now
}

func (d *Dispatcher) endpoint(id RunnerID) string {
	if r := d.runners[id]; r != nil {
		return r.Endpoint
	}
	return ""
}

// Cancel ends a job whose caller stopped waiting.
func (d *Dispatcher) Cancel(now time.Time, id string) {
	if o := d.jobs[id]; o != nil {
		d.answer(now, o, GivenUp, ReasonCallerLeft)
	} else if earlier := d.ending[id]; earlier != nil {
		d.answerHeld(now, earlier, ReasonCallerLeft)
	}
}

// AbortAll ends all jobs after a pause of the process, during which the runners
// have stopped them.
func (d *Dispatcher) AbortAll(now time.Time) {
	for _, o := range sortedByID(d.ending) {
		d.answerHeld(now, o, ReasonStalled)
	}
	for _, o := range sortedByID(d.jobs) {
		d.answer(now, o, GivenUp, ReasonStalled)
	}
}

// answer ends a job and stops its runs that may be active.
func (d *Dispatcher) answer(now time.Time, o *openJob, result Result, reason string) {
	delete(d.jobs, o.ID)
	d.dequeue(o)
	d.stopRuns(o)
	d.keepUntilRunsEnd(o)
	if result == GivenUp && reason != ReasonElsewhere && !o.mayHaveRun() {
		result = Refused
	}
	a := Answer{Job: o.Job, Result: result, Reason: reason, Starts: o.starts, Lost: o.lost}
	if !o.firstPlacedAt.IsZero() {
		a.Waited = o.firstPlacedAt.Sub(o.Arrived)
	} else {
		a.Waited = now.Sub(o.Arrived)
	}
	if result == Refused {
		a.RetryAfter = d.retryAfter()
	}
	d.out.Answers = append(d.out.Answers, a)
}

func (d *Dispatcher) stopRuns(o *openJob) {
	at := map[RunnerID]bool{}
	for _, tasks := range o.tasks {
		for i := range tasks {
			if t := &tasks[i]; t.state == placed && !at[t.runner] {
				at[t.runner] = true
				d.out.Stops = append(d.out.Stops, Stop{Runner: t.runner, Job: o.ID})
			}
		}
	}
}

// Tick refuses jobs that have waited too long, requeues runs with unknown
// outcome, and ends overdue jobs.
func (d *Dispatcher) Tick(now time.Time) {
	for _, o := range slices.Clone(d.queue) {
		d.refuseExpired(now, o)
	}
	if now.Sub(d.lastReview) >= reviewInterval {
		d.lastReview = now
		d.crashes.forget(now)
		for _, o := range sortedByID(d.jobs) {
			d.review(now, o)
		}
		for _, o := range sortedByID(d.ending) {
			d.reviewEnding(now, o)
		}
	}
	d.lastChange = now
}

// review requeues the unresolved runs of a job that must have ended, and ends
// the job if it is overdue.
func (d *Dispatcher) review(now time.Time, o *openJob) {
	for step, tasks := range o.tasks {
		for i := range tasks {
			if t := &tasks[i]; t.state == unresolved && !now.Before(t.mustHaveEndedAt) {
				o.hasRun = true // its outcome is unknown
				o.requeue(step, t)
				d.enqueue(o)
			}
		}
	}
	if now.After(o.Deadline) {
		d.answer(now, o, GivenUp, ReasonOverdue)
	}
}
