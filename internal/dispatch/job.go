package dispatch

import (
	"time"

	"endivewing/internal/runtable"
)

type taskState uint8

const (
	// waiting means that the task waits for free capacity or for earlier steps.
	waiting taskState = iota
	// placed means that the task was sent to a runner.
	placed
	// unresolved means that the runner was lost and the run may still be
	// active.
	unresolved
	// asked means that the runner is connected again and was asked to end the
	// run. The task waits for its answer.
	asked
	done
)

// task is one task of an open job.
type task struct {
	state taskState
	// run is the number of the task's last run.
	run      uint32
	runner   RunnerID
	failures int
	// mustHaveStartedAt is when a placed task that was not sent back must have
	// started.
	mustHaveStartedAt time.Time
	// mustHaveEndedAt is when an unresolved run must have ended.
	mustHaveEndedAt time.Time
	// lostAt is when the runner of the last run was lost; zero if it was not.
	lostAt time.Time
	// lostRunner is the name of that runner.
	lostRunner string
	// avoidEndpoint is the minion where the task last failed, was stopped, or
	// did not answer the start.
	avoidEndpoint string
}

// avoids reports whether the task should run at another minion than the
// runner's.
func (t *task) avoids(r *runner) bool {
	return t.avoidEndpoint != "" && t.avoidEndpoint == r.Endpoint
}

// openJob is a job that is not answered.
type openJob struct {
	*Job
	tasks [][]task
	// remaining is the number of tasks of each step that are not done.
	remaining []int
	// waiting is the number of tasks of each step that wait.
	waiting []int
	// latestStart is the latest time at which the waiting work should start.
	latestStart time.Time
	// firstPlacedAt is when a task of the job was first placed.
	firstPlacedAt time.Time
	// submittedAt is when the job reached the dispatcher: later than its
	// arrival if the process had to start first.
	submittedAt time.Time
	// starts is the number of runs that were placed. notRun is the number of
	// those that never ran. lost is the number of those whose runner was lost
	// before it reported their end.
	starts, notRun, lost int
	// hasRun is set once a run has ended other than as not run, or its outcome
	// is unknown.
	hasRun bool
	// next is a later submission of the job, which waits until no run of this one is
	// left; nil if there is none.
	next *Job
	// runsElsewhere is set while next waits for runs of another dispatcher.
	runsElsewhere bool
}

// mayHaveRun reports whether a task has run or may have run.
func (o *openJob) mayHaveRun() bool { return o.starts > o.notRun }

// priorityDelay is how much later a job may start for each step of priority
// below the first. Of two jobs with nearly the same latest start, the one of
// the more urgent queue goes first.
const priorityDelay = 60 * time.Millisecond

func newOpenJob(now time.Time, j *Job) *openJob {
	o := &openJob{Job: j, submittedAt: now, tasks: make([][]task, len(j.Steps)), remaining: make([]int, len(j.Steps)), waiting: make([]int, len(j.Steps))}
	for i, s := range j.Steps {
		o.tasks[i] = make([]task, s.Count)
		o.remaining[i], o.waiting[i] = s.Count, s.Count
	}
	o.latestStart = j.Objective.Add(-j.criticalPath()).Add(time.Duration(j.Priority) * priorityDelay)
	return o
}

// stepReady reports whether all steps that a step comes after are done.
func (o *openJob) stepReady(step int) bool {
	for _, earlier := range o.Steps[step].After {
		if o.remaining[earlier] > 0 {
			return false
		}
	}
	return true
}

// hasReadyTasks reports whether a waiting task could start now.
func (o *openJob) hasReadyTasks() bool {
	for i, n := range o.waiting {
		if n > 0 && o.stepReady(i) {
			return true
		}
	}
	return false
}

func (o *openJob) complete() bool {
	for _, n := range o.remaining {
		if n > 0 {
			return false
		}
	}
	return true
}

// waitingShare returns the share of the job's tasks that wait.
func (o *openJob) waitingShare() float64 {
	waits, all := 0, 0
	for i, n := range o.waiting {
		waits += n
		all += o.Steps[i].Count
	}
	return float64(waits) / float64(all)
}

// find returns the task that a run at a connected runner belongs to, or nil.
func (o *openJob) find(runner RunnerID, ref runtable.RunID) *task {
	if int(ref.Step) >= len(o.tasks) || int(ref.Index) >= len(o.tasks[ref.Step]) {
		return nil
	}
	t := &o.tasks[ref.Step][ref.Index]
	if !t.mayRunAt(runner) || t.run != ref.Run {
		return nil
	}
	return t
}

// requeue makes a task wait for another run.
func (o *openJob) requeue(step int, t *task) {
	t.state = waiting
	o.waiting[step]++
}
