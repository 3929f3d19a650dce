package gate

import (
	"slices"
	"time"

	"endivewing/charts"
	"endivewing/internal/statechart"

	wirepb "endivewing/api/endivewing/v1"
)

var taskChart = statechart.MustLoad(charts.AgentTask)

var (
	stateUnseen   = taskChart.State("unseen")
	stateQueued   = taskChart.State("queued")
	stateStarted  = taskChart.State("started")
	stateStopping = taskChart.State("stopping")
	stateNotRun   = taskChart.State("not_run")
	stateDone     = taskChart.State("done")
	stateFailed   = taskChart.State("failed")

	eventRefuse  = taskChart.Event("refuse")
	eventEnqueue = taskChart.Event("enqueue")
	eventStart   = taskChart.Event("start")
	eventStop    = taskChart.Event("stop")
	eventResult  = taskChart.Event("result")
	eventError   = taskChart.Event("error")
	eventUnsent  = taskChart.Event("unsent")
)

// outcomeOf is what owners are told of a state.
func outcomeOf(s statechart.State) wirepb.TaskOutcome {
	switch s {
	case stateQueued:
		return wirepb.TaskOutcome_TASK_OUTCOME_QUEUED
	case stateStarted, stateStopping:
		return wirepb.TaskOutcome_TASK_OUTCOME_STARTED
	case stateNotRun:
		return wirepb.TaskOutcome_TASK_OUTCOME_NOT_RUN
	case stateDone:
		return wirepb.TaskOutcome_TASK_OUTCOME_DONE
	case stateFailed:
		return wirepb.TaskOutcome_TASK_OUTCOME_FAILED
	}
	return wirepb.TaskOutcome_TASK_OUTCOME_UNSPECIFIED
}

// record is what the gate remembers of a task until its job is forgotten.
type record struct {
	task    uint32
	attempt uint32
	epoch   uint64
	runUS   uint32
	state   statechart.State
	reason  Reason
	// flight is set while the task is queued or running.
	flight *flight
	// ending is set when the task ended with a result or a detail.
	ending *ending
}

// flight is a task that is queued or running.
type flight struct {
	job      *job
	request  *wirepb.StartTask
	bytes    int
	deadline time.Duration
	// owner is the entry whose grant the task uses.
	owner uint64
	// stop is why a running task is being stopped.
	stop       Reason
	prev, next *flight
	// tellAt is when the owner is told that the task still waits; 0 once told.
	tellAt time.Duration
}

func (f *flight) key() Key { return Key{Job: f.job.number, Task: f.request.Task} }

// ending is what a task left behind.
type ending struct {
	result []byte
	detail string
}

// job is what the gate remembers of a job. Its tasks are sorted by number.
type job struct {
	number uint64
	group  *group
	tasks  []record
	// live is the number of tasks that are queued or running.
	live int
	// forgotten: its end is durable; it is dropped when nothing runs.
	forgotten bool
}

// find returns the record of a task, or nil.
func (j *job) find(task uint32) *record {
	i, ok := j.position(task)
	if !ok {
		return nil
	}
	return &j.tasks[i]
}

func (j *job) position(task uint32) (int, bool) {
	return slices.BinarySearchFunc(j.tasks, task, func(r record, t uint32) int {
		return int(int64(r.task) - int64(t))
	})
}

// insert returns the record of a task and makes an unseen one if there is
// none. The pointer is valid until the next insert.
func (j *job) insert(task uint32) *record {
	i, ok := j.position(task)
	if !ok {
		j.tasks = slices.Insert(j.tasks, i, record{task: task, state: stateUnseen})
	}
	return &j.tasks[i]
}

// covers tells whether the record already decides a placement: it is of this
// placement or a later one, or it isn't NOT_RUN at all.
func (r *record) covers(epoch uint64, attempt uint32) bool {
	switch r.state {
	case stateUnseen:
		return false
	case stateNotRun:
		return r.epoch > epoch || r.epoch == epoch && r.attempt >= attempt
	default:
		return true
	}
}

// step takes the chart's transition; false if there is none.
func (r *record) step(e statechart.Event) bool {
	next, err := taskChart.Next(r.state, e)
	r.state = next
	return err == nil
}

// unsafe tells whether the task was started, or may yet be.
func (r *record) unsafe() bool { return r.state != stateNotRun && r.state != stateUnseen }

// update builds the message that tells the outcome of the record.
func (j *job) update(r *record) *wirepb.TaskUpdate {
	u := &wirepb.TaskUpdate{
		Job:     j.number,
		Task:    r.task,
		Attempt: r.attempt,
		Outcome: outcomeOf(r.state),
		Reason:  r.reason.String(),
		RunUs:   r.runUS,
		Group:   j.group.number,
		Epoch:   j.group.epoch,
	}
	if r.ending != nil {
		u.Result = r.ending.result
		u.Detail = r.ending.detail
	}
	return u
}
