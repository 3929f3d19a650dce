package dispatch

import (
	"time"

	"endivewing/internal/runtable"
)

type taskState uint8

const (
	// waiting for room, or for earlier steps.
	waiting taskState = iota
	// placed with a runner.
	placed
	// doubtful: its runner is lost; it may be at work until a time.
	doubtful
	done
)

// task is one task of an open job.
type task struct {
	state    taskState
	run      uint32
	runner   RunnerID
	failures int
	// sure is when a placed task that has not come back must be at work.
	sure time.Time
	// until is when a doubtful run has surely ended.
	until time.Time
	// avoid is the minion where it failed last.
	avoid string
}

// openJob is a job that is not answered.
type openJob struct {
	*Job
	tasks [][]task
	// left counts the tasks of each step that are not done.
	left []int
	// waiting counts the tasks of each step that wait.
	waiting []int
	// key is the latest time at which waiting work should begin.
	key   time.Time
	begun time.Time
	// taken is when the job came to the dispatcher: later than it arrived when
	// the process had to start first.
	taken time.Time
	// starts counts runs given to runners, unrun those of them that never ran,
	// lost those whose end was not told.
	starts, unrun, lost int
	// ran: a run has ended otherwise than as never run.
	ran bool
}

// touched tells whether a task has run or may have.
func (o *openJob) touched() bool { return o.starts > o.unrun }

// priorityStep is how much later a job may begin for each step of priority
// below the first: of two jobs whose latest times to begin are near, the more
// urgent queue's goes first.
const priorityStep = 60 * time.Millisecond

func newOpenJob(now time.Time, j *Job) *openJob {
	o := &openJob{Job: j, taken: now, tasks: make([][]task, len(j.Steps)), left: make([]int, len(j.Steps)), waiting: make([]int, len(j.Steps))}
	for i, s := range j.Steps {
		o.tasks[i] = make([]task, s.Count)
		o.left[i], o.waiting[i] = s.Count, s.Count
	}
	o.key = j.Objective.Add(-j.chain()).Add(time.Duration(j.Priority) * priorityStep)
	return o
}

// ready tells whether a step's earlier steps are done.
func (o *openJob) ready(step int) bool {
	for _, before := range o.Steps[step].After {
		if o.left[before] > 0 {
			return false
		}
	}
	return true
}

// hungry tells whether a task waits that could start.
func (o *openJob) hungry() bool {
	for i, n := range o.waiting {
		if n > 0 && o.ready(i) {
			return true
		}
	}
	return false
}

func (o *openJob) complete() bool {
	for _, n := range o.left {
		if n > 0 {
			return false
		}
	}
	return true
}

// share is the part of the job's tasks that wait.
func (o *openJob) share() float64 {
	waits, all := 0, 0
	for i, n := range o.waiting {
		waits += n
		all += o.Steps[i].Count
	}
	return float64(waits) / float64(all)
}

// find returns the task of a run that its end is told of, or nil.
func (o *openJob) find(runner RunnerID, ref runtable.Ref) *task {
	if int(ref.Step) >= len(o.tasks) || int(ref.Index) >= len(o.tasks[ref.Step]) {
		return nil
	}
	t := &o.tasks[ref.Step][ref.Index]
	if t.state != placed || t.runner != runner || t.run != ref.Run {
		return nil
	}
	return t
}

// again makes a task wait for another run.
func (o *openJob) again(step int, t *task) {
	t.state = waiting
	o.waiting[step]++
}
