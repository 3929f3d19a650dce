package dispatch

import (
	"maps"
	"slices"
	"time"

	"endivewing/internal/runtable"
)

const (
	// settleAfter is how long after its runner was lost a run may still be at
	// work: the runner stops what a silent dispatcher ordered, and without the
	// runner the lease ends.
	settleAfter = 1800 * time.Millisecond
	// patienceShare of the time until the objective is how long a job may wait
	// with nothing begun before its caller is told to come back. Callers count
	// a refusal as late from a quarter on, and estimates are rough.
	patienceShare = 0.2
	// skipRuns is added to a run number that a minion has seen before.
	skipRuns = 16
	// reviewInterval is how often all open jobs are looked at; those that wait
	// are at every tick.
	reviewInterval = 50 * time.Millisecond
	// retryLeast and retryMost bound the time after which a refused job may
	// come back.
	retryLeast = time.Second
	retryMost  = 5 * time.Second
)

// Dispatcher decides for one process. It is not safe for concurrent use.
type Dispatcher struct {
	zone    string
	runners map[RunnerID]*runner
	// order are the runners by ID, so that decisions repeat.
	order []*runner
	jobs  map[string]*openJob
	// queue are the jobs with tasks to place, the most urgent first.
	queue []*openJob
	// changed is when work or room last came; zero when waiting tasks have been
	// looked at since.
	changed time.Time
	// reviewed is when all open jobs were last looked at.
	reviewed time.Time
	out      Output
}

// New returns a dispatcher in a zone.
func New(zone string) *Dispatcher {
	return &Dispatcher{zone: zone, runners: map[RunnerID]*runner{}, jobs: map[string]*openJob{}}
}

// Take places waiting tasks, returns what is to be done and forgets it. Under
// load many events come between two calls: one look at the waiting tasks does
// for all of them.
func (d *Dispatcher) Take() Output {
	if !d.changed.IsZero() {
		d.place(d.changed)
		d.changed = time.Time{}
	}
	out := d.out
	d.out = Output{}
	return out
}

// Jobs is the number of jobs that are not answered.
func (d *Dispatcher) Jobs() int { return len(d.jobs) }

// Waiting is the number of jobs with tasks that wait for room.
func (d *Dispatcher) Waiting() int { return len(d.queue) }

// Runners is the number of runners that take new tasks.
func (d *Dispatcher) Runners() int {
	n := 0
	for _, r := range d.order {
		if r.takes() {
			n++
		}
	}
	return n
}

// Load is the room of the runners that take new tasks and what of it is free,
// in thousandths of a core, as far as this dispatcher knows.
func (d *Dispatcher) Load() (free, capacity int64) {
	for _, r := range d.order {
		if r.takes() {
			free += max(r.Free.CPU, 0)
			capacity += r.Capacity.CPU
		}
	}
	return free, capacity
}

// Unbegun counts the jobs of a queue of which no task has been placed.
func (d *Dispatcher) Unbegun(queue string) int {
	n := 0
	for _, o := range d.jobs {
		if o.Queue == queue && o.begun.IsZero() {
			n++
		}
	}
	return n
}

// Submit takes a job in; an Answer ends it, at once when it is refused.
func (d *Dispatcher) Submit(now time.Time, j *Job) {
	if d.jobs[j.ID] != nil {
		d.out.Answers = append(d.out.Answers, Answer{Job: j, Result: Refused, Reason: ReasonDuplicate, RetryAfter: retryLeast})
		return
	}
	o := newOpenJob(now, j)
	if reason := d.impossible(o); reason != "" {
		d.out.Answers = append(d.out.Answers, Answer{Job: j, Result: Refused, Reason: reason, RetryAfter: retryMost})
		return
	}
	d.jobs[j.ID] = o
	d.enqueue(o)
	d.changed = now
}

// impossible is the reason why no known minion can run a job, or "".
func (d *Dispatcher) impossible(o *openJob) string {
	known := slices.ContainsFunc(d.order, func(r *runner) bool { return r.Service == o.Service })
	if !known {
		return ReasonNoMinion
	}
	for i := range o.Steps {
		fits := func(r *runner) bool { return r.serves(o.Service, &o.Steps[i]) }
		if !slices.ContainsFunc(d.order, fits) {
			return ReasonTooLarge
		}
	}
	return ""
}

func (d *Dispatcher) enqueue(o *openJob) {
	if slices.Contains(d.queue, o) {
		return
	}
	at, _ := slices.BinarySearchFunc(d.queue, o, before)
	d.queue = slices.Insert(d.queue, at, o)
}

// before orders waiting jobs: the one whose work has to begin first.
func before(a, b *openJob) int {
	if c := a.key.Compare(b.key); c != 0 {
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

// Report takes a runner's room in.
func (d *Dispatcher) Report(now time.Time, id RunnerID, room Room) {
	r := d.runners[id]
	if r == nil {
		r = &runner{id: id}
		d.runners[id] = r
		d.order = append(d.order, r)
		slices.SortFunc(d.order, func(a, b *runner) int { return int(a.id) - int(b.id) })
	}
	r.update(room)
	d.changed = now
}

// Retire gives a runner no more tasks, or some again. Its room no longer counts.
func (d *Dispatcher) Retire(id RunnerID, retiring bool) {
	if r := d.runners[id]; r != nil {
		r.retiring = retiring
	}
}

// Outstanding is the number of tasks at a runner whose ends are not known.
func (d *Dispatcher) Outstanding(id RunnerID) int {
	if r := d.runners[id]; r != nil {
		return r.outstanding
	}
	return 0
}

// RunnerLost notes the end of a runner's session. What ran there may still be
// at work for a while.
func (d *Dispatcher) RunnerLost(now time.Time, id RunnerID) {
	delete(d.runners, id)
	d.order = slices.DeleteFunc(d.order, func(r *runner) bool { return r.id == id })
	for _, key := range slices.Sorted(maps.Keys(d.jobs)) {
		o := d.jobs[key]
		for _, tasks := range o.tasks {
			for i := range tasks {
				if t := &tasks[i]; t.state == placed && t.runner == id {
					t.state = doubtful
					t.until = now.Add(settleAfter)
					o.lost++
				}
			}
		}
	}
}

// Ended takes the end of a run in.
func (d *Dispatcher) Ended(now time.Time, id RunnerID, e TaskEnd) {
	o := d.jobs[e.Job]
	if r := d.runners[id]; r != nil {
		r.outstanding = max(0, r.outstanding-1)
	}
	if o == nil {
		return
	}
	t := o.find(id, e.Ref)
	if t == nil {
		return
	}
	step := int(e.Step)
	o.ran = o.ran || e.Outcome != runtable.NotRun
	switch e.Outcome {
	case runtable.Done:
		t.state = done
		o.left[step]--
		if o.complete() {
			d.answer(now, o, Completed, "")
			return
		}
	case runtable.Failed:
		t.failures++
		t.avoid = d.endpoint(id)
		if t.failures >= max(o.MaxAttempts, 1) {
			d.answer(now, o, Failed, ReasonAttempts)
			return
		}
		o.again(step, t)
	default:
		if e.Outcome == runtable.NotRun {
			o.unrun++
		}
		if e.Reason == runtable.ReasonOldRun {
			t.run += skipRuns
		}
		if e.Outcome == runtable.Stopped || e.Reason == runtable.ReasonNoAnswer {
			t.avoid = d.endpoint(id)
		}
		o.again(step, t)
	}
	if d.refuseLate(now, o) {
		return
	}
	if o.hungry() {
		d.enqueue(o)
	}
	d.changed = now
}

func (d *Dispatcher) endpoint(id RunnerID) string {
	if r := d.runners[id]; r != nil {
		return r.Endpoint
	}
	return ""
}

// Cancel ends a job whose caller has left.
func (d *Dispatcher) Cancel(now time.Time, id string) {
	if o := d.jobs[id]; o != nil {
		d.answer(now, o, GivenUp, ReasonCallerLeft)
	}
}

// Abandon ends all jobs: their runners have stopped them meanwhile.
func (d *Dispatcher) Abandon(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(d.jobs)) {
		d.answer(now, d.jobs[id], GivenUp, ReasonStalled)
	}
}

// answer ends a job and stops what of it may be at work.
func (d *Dispatcher) answer(now time.Time, o *openJob, result Result, reason string) {
	delete(d.jobs, o.ID)
	d.dequeue(o)
	d.stopRuns(o)
	if result == GivenUp && !o.touched() {
		result = Refused
	}
	a := Answer{Job: o.Job, Result: result, Reason: reason, Starts: o.starts, Lost: o.lost}
	if !o.begun.IsZero() {
		a.Waited = o.begun.Sub(o.Arrived)
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

// retryAfter is when a refused caller may come back: later the more waits.
func (d *Dispatcher) retryAfter() time.Duration {
	var backlog, capacity float64
	for _, o := range d.queue {
		for i, n := range o.waiting {
			backlog += float64(n) * float64(o.Steps[i].Need.CPU) * o.Steps[i].Estimate.Seconds()
		}
	}
	for _, r := range d.order {
		capacity += float64(r.Capacity.CPU)
	}
	if capacity == 0 {
		return retryMost
	}
	wait := time.Duration(backlog / capacity * float64(time.Second))
	return min(max(wait, retryLeast), retryMost)
}

// Tick refuses what has waited too long and settles doubtful runs.
func (d *Dispatcher) Tick(now time.Time) {
	for _, o := range slices.Clone(d.queue) {
		d.refuseLate(now, o)
	}
	if now.Sub(d.reviewed) >= reviewInterval {
		d.reviewed = now
		for _, id := range slices.Sorted(maps.Keys(d.jobs)) {
			d.review(now, d.jobs[id])
		}
	}
	d.changed = now
}

// patience is when a job that has not begun is refused.
func (o *openJob) patience() time.Time {
	return o.taken.Add(time.Duration(patienceShare * float64(o.Objective.Sub(o.Arrived))))
}

// refuseLate refuses a job of which nothing has run when its patience is over.
func (d *Dispatcher) refuseLate(now time.Time, o *openJob) bool {
	if o.touched() || !now.After(o.patience()) {
		return false
	}
	d.answer(now, o, Refused, ReasonNoRoom)
	return true
}

// review settles the doubtful runs of a job and gives up an overdue one.
func (d *Dispatcher) review(now time.Time, o *openJob) {
	for step, tasks := range o.tasks {
		for i := range tasks {
			if t := &tasks[i]; t.state == doubtful && !now.Before(t.until) {
				o.ran = true // as far as anybody can tell
				o.again(step, t)
				d.enqueue(o)
			}
		}
	}
	if now.After(o.Limit) {
		d.answer(now, o, GivenUp, ReasonOverdue)
	}
}
