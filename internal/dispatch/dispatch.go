package dispatch

import (
	"maps"
	"slices"
	"time"

	"endivewing/internal/runtable"
)

const (
	// lostRunTimeout is how long a run may still be active after the session
	// with its runner was lost. Within this time the runner stops what a silent
	// dispatcher ordered, or, if the runner itself is gone, the lease ends.
	lostRunTimeout = 1800 * time.Millisecond
	// startTimeoutShare is the share of the time until the objective for which
	// a job may wait with nothing started before it is refused. The rest is left
	// for the work and for estimates that are too short.
	startTimeoutShare = 0.25
	// runNumberIncrement is added to a run number when the minion has already
	// seen that number or a higher one.
	runNumberIncrement = 16
	// reviewInterval is the time between two checks of all open jobs. Waiting
	// jobs are checked at every tick.
	reviewInterval = 50 * time.Millisecond
	// minRetryAfter is the shortest time after which the caller of a refused
	// job is asked to retry.
	minRetryAfter = time.Second
	// maxRetryAfter is the longest time after which the caller of a refused job
	// is asked to retry.
	maxRetryAfter = 5 * time.Second
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
	// queue holds the jobs with tasks to place, the most urgent first.
	queue []*openJob
	// lastChange is when work or free capacity last changed. It is zero when
	// nothing has changed since the last placement.
	lastChange time.Time
	// lastReview is when all open jobs were last checked.
	lastReview time.Time
	out        Output
}

// New returns a dispatcher in an availability zone.
func New(zone string) *Dispatcher {
	return &Dispatcher{zone: zone, runners: map[RunnerID]*runner{}, jobs: map[string]*openJob{}}
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
func (d *Dispatcher) Jobs() int { return len(d.jobs) }

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

// CPUCapacity returns the free and the total processor capacity of the runners that
// accept new tasks, in thousandths of a core, as last reported and less what
// was placed since.
func (d *Dispatcher) CPUCapacity() (free, capacity int64) {
	for _, r := range d.sortedRunners {
		if r.acceptsTasks() {
			free += max(r.Free.CPU, 0)
			capacity += r.Capacity.CPU
		}
	}
	return free, capacity
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
		d.out.Answers = append(d.out.Answers, Answer{Job: j, Result: Refused, Reason: ReasonDuplicate, RetryAfter: minRetryAfter})
		return
	}
	o := newOpenJob(now, j)
	if reason := d.unschedulableReason(o); reason != "" {
		d.out.Answers = append(d.out.Answers, Answer{Job: j, Result: Refused, Reason: reason, RetryAfter: maxRetryAfter})
		return
	}
	d.jobs[j.ID] = o
	d.enqueue(o)
	d.lastChange = now
}

// unschedulableReason returns the reason why no known minion can run a job, or
// "".
func (d *Dispatcher) unschedulableReason(o *openJob) string {
	known := slices.ContainsFunc(d.sortedRunners, func(r *runner) bool { return r.Service == o.Service })
	if !known {
		return ReasonNoMinion
	}
	for i := range o.Steps {
		fits := func(r *runner) bool { return r.canRun(o.Service, &o.Steps[i]) }
		if !slices.ContainsFunc(d.sortedRunners, fits) {
			return ReasonTooLarge
		}
	}
	return ""
}

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

// UpdateRunner replaces the state of a runner's minion. It adds the runner if its ID
// is new.
func (d *Dispatcher) UpdateRunner(now time.Time, id RunnerID, status RunnerStatus) {
	r := d.runners[id]
	if r == nil {
		r = &runner{id: id}
		d.runners[id] = r
		d.sortedRunners = append(d.sortedRunners, r)
		slices.SortFunc(d.sortedRunners, func(a, b *runner) int { return int(a.id) - int(b.id) })
	}
	r.update(status)
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

// RunnerLost handles the end of a runner's session. Its runs may still be
// active for a while.
func (d *Dispatcher) RunnerLost(now time.Time, id RunnerID) {
	delete(d.runners, id)
	d.sortedRunners = slices.DeleteFunc(d.sortedRunners, func(r *runner) bool { return r.id == id })
	for _, key := range slices.Sorted(maps.Keys(d.jobs)) {
		o := d.jobs[key]
		for _, tasks := range o.tasks {
			for i := range tasks {
				if t := &tasks[i]; t.state == placed && t.runner == id {
					t.state = unresolved
					t.mustHaveEndedAt = now.Add(lostRunTimeout)
					o.lost++
				}
			}
		}
	}
}

// RunEnded handles the end of a run. Ends of unknown runs only reduce the number
// of outstanding tasks.
func (d *Dispatcher) RunEnded(now time.Time, id RunnerID, e TaskEnd) {
	o := d.jobs[e.Job]
	if r := d.runners[id]; r != nil {
		r.outstanding = max(0, r.outstanding-1)
	}
	if o == nil {
		return
	}
	t := o.find(id, e.RunID)
	if t == nil {
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
	}
}

// AbortAll ends all jobs after a pause of the process, during which the runners
// have stopped them.
func (d *Dispatcher) AbortAll(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(d.jobs)) {
		d.answer(now, d.jobs[id], GivenUp, ReasonStalled)
	}
}

// answer ends a job and stops its runs that may be active.
func (d *Dispatcher) answer(now time.Time, o *openJob, result Result, reason string) {
	delete(d.jobs, o.ID)
	d.dequeue(o)
	d.stopRuns(o)
	if result == GivenUp && !o.mayHaveRun() {
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

// retryAfter estimates when a refused caller should retry: the time to work off
// the backlog, within bounds.
func (d *Dispatcher) retryAfter() time.Duration {
	var backlog, capacity float64
	for _, o := range d.queue {
		for i, n := range o.waiting {
			backlog += float64(n) * float64(o.Steps[i].Need.CPU) * o.Steps[i].Estimate.Seconds()
		}
	}
	for _, r := range d.sortedRunners {
		capacity += float64(r.Capacity.CPU)
	}
	if capacity == 0 {
		return maxRetryAfter
	}
	wait := time.Duration(backlog / capacity * float64(time.Second))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// Tick refuses jobs that have waited too long, requeues runs with unknown
// outcome, and ends overdue jobs.
func (d *Dispatcher) Tick(now time.Time) {
	for _, o := range slices.Clone(d.queue) {
		d.refuseExpired(now, o)
	}
	if now.Sub(d.lastReview) >= reviewInterval {
		d.lastReview = now
		for _, id := range slices.Sorted(maps.Keys(d.jobs)) {
			d.review(now, d.jobs[id])
		}
	}
	d.lastChange = now
}

// startDeadline returns the time after which a job of which nothing has started
// is refused.
func (o *openJob) startDeadline() time.Time {
	return o.submittedAt.Add(time.Duration(startTimeoutShare * float64(o.Objective.Sub(o.Arrived))))
}

// refuseExpired refuses a job that is past its start deadline if none of its
// tasks can have run. It reports whether it did.
func (d *Dispatcher) refuseExpired(now time.Time, o *openJob) bool {
	if o.mayHaveRun() || !now.After(o.startDeadline()) {
		return false
	}
	d.answer(now, o, Refused, ReasonNoCapacity)
	return true
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
