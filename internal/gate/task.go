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

// outcomeOf returns the outcome that is reported to owners for a state.
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

// taskRecord is what the gate stores about a task until its job is forgotten.
type taskRecord struct {
	task    uint32
	attempt uint32
	epoch   uint64
	runUS   uint32
	state   statechart.State
	reason  Reason
	// inFlight is set while the task is queued or running.
	inFlight *inFlightTask
	// end is set if the task ended with a result or an error detail.
	end *taskEnd
}

// inFlightTask is a task that is queued or running.
type inFlightTask struct {
	job      *job
	request  *wirepb.StartTask
	bytes    int
	deadline time.Duration
	// owner is the incarnation of the entry whose grant the task uses.
	owner uint64
	// stopReason is the reason why a running task is being stopped.
	stopReason Reason
	prev, next *inFlightTask
	// waitReportAt is the time at which the gate reports to the owner that the
	// task still waits; 0 after the report.
	waitReportAt time.Duration
}

func (f *inFlightTask) key() Key { return Key{Job: f.job.number, Task: f.request.Task} }

// taskEnd is the result or the error detail of a task that has ended.
type taskEnd struct {
	result []byte
	detail string
}

// job is the record of a job. Its tasks are sorted by their index within the job.
type job struct {
	// number identifies the job. Jobs that are accepted later have larger numbers.
	number uint64
	group  *group
	tasks  []taskRecord
	// inFlightTasks is the number of tasks that are queued or running.
	inFlightTasks int
	// forgotten is set when the end of the job is durable. The job is removed when
	// none of its tasks is queued or running.
	forgotten bool
}

// find returns the record of a task; nil if there is none.
func (j *job) find(task uint32) *taskRecord {
	i, ok := j.position(task)
	if !ok {
		return nil
	}
	return &j.tasks[i]
}

func (j *job) position(task uint32) (int, bool) {
	return slices.BinarySearchFunc(j.tasks, task, func(r taskRecord, t uint32) int {
		return int(int64(r.task) - int64(t))
	})
}

// findOrInsert returns the record of a task. If there is none, it inserts a
// record in the state "unseen". The pointer is valid until the next insertion.
func (j *job) findOrInsert(task uint32) *taskRecord {
	i, ok := j.position(task)
	if !ok {
		j.tasks = slices.Insert(j.tasks, i, taskRecord{task: task, state: stateUnseen})
	}
	return &j.tasks[i]
}

// decides reports whether the record already decides the outcome of a placement:
// either the task was accepted, or this placement or a later one is NOT_RUN.
func (r *taskRecord) decides(epoch uint64, attempt uint32) bool {
	switch r.state {
	case stateUnseen:
		return false
	case stateNotRun:
		return r.epoch > epoch || r.epoch == epoch && r.attempt >= attempt
	default:
		return true
	}
}

// step applies an event of the chart and reports whether the present state has a
// transition for it.
func (r *taskRecord) step(e statechart.Event) bool {
	next, err := taskChart.Next(r.state, e)
	r.state = next
	return err == nil
}

// blocksLeave reports whether the task is queued or was started. If the agent
// left, the outcome of such a task could become unknown.
func (r *taskRecord) blocksLeave() bool { return r.state != stateNotRun && r.state != stateUnseen }

// update returns the message that reports the outcome of a task.
func (j *job) update(r *taskRecord) *wirepb.TaskUpdate {
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
	if r.end != nil {
		u.Result = r.end.result
		u.Detail = r.end.detail
	}
	return u
}
