package owner

import (
	"time"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/charts"
	"endivewing/internal/statechart"
)

var (
	taskChart   = statechart.MustLoad(charts.Task)
	taskWaiting = taskChart.State("waiting")
	taskUnseen  = taskChart.State("unseen")
	taskSent    = taskChart.State("sent")
	taskQueued  = taskChart.State("queued")
	taskStarted = taskChart.State("started")

	eventTaskInherit = taskChart.Event("inherit")
	eventSend        = taskChart.Event("send")
	eventDrop        = taskChart.Event("drop")
	eventAbsent      = taskChart.Event("absent")
	eventLost        = taskChart.Event("lost")
	eventNotRun      = taskChart.Event("not_run")

	// eventByOutcome maps each outcome that an agent reports to its event.
	eventByOutcome = map[wirepb.TaskOutcome]statechart.Event{
		wirepb.TaskOutcome_TASK_OUTCOME_QUEUED:  taskChart.Event("queued"),
		wirepb.TaskOutcome_TASK_OUTCOME_STARTED: taskChart.Event("started"),
		wirepb.TaskOutcome_TASK_OUTCOME_DONE:    taskChart.Event("done"),
		wirepb.TaskOutcome_TASK_OUTCOME_FAILED:  taskChart.Event("failed"),
		wirepb.TaskOutcome_TASK_OUTCOME_NOT_RUN: eventNotRun,
	}
)

// task is one task of a job.
type task struct {
	result  []byte
	agent   uint64
	attempt uint32
	state   statechart.State
	// inherited is set for a task that an earlier owner placed, under a smaller
	// epoch.
	inherited bool
}

// newTasks returns n waiting tasks.
func newTasks(n int) []task {
	tasks := make([]task, n)
	for i := range tasks {
		tasks[i].state = taskChart.Initial()
	}
	return tasks
}

// transition moves the task to the next state of its chart. ok is false if the
// state has no such transition.
func (t *task) transition(e statechart.Event) (ok bool) {
	next, err := taskChart.Next(t.state, e)
	t.state = next
	return err == nil
}

// atAgent reports whether a known agent holds the task.
func (t *task) atAgent() bool {
	return t.state == taskSent || t.state == taskQueued || t.state == taskStarted
}

// unresolved reports whether the task may have started although no report of
// its start has arrived.
func (t *task) unresolved() bool {
	return t.state == taskUnseen || t.state == taskSent || t.state == taskQueued
}

// transitionTask moves a task and updates the job's counts.
func (j *job) transitionTask(t *task, e statechart.Event) (ok bool) {
	j.countTask(t, -1)
	ok = t.transition(e)
	j.countTask(t, 1)
	return ok
}

func (j *job) countTask(t *task, n int) {
	if t.unresolved() {
		j.unresolvedTasks += n
	}
	if t.unresolved() || t.state == taskStarted {
		j.heldTasks += n
	}
}

// AssignTask sends a waiting task to an agent. key orders the task among others at
// the agent. ok is false, and nothing is sent, if the task does not wait or the
// agent has no session.
func (o *Owner) AssignTask(id uint64, index uint32, agent, key uint64, now time.Time) (ok bool) {
	j := o.jobs[id]
	if j == nil || int(index) >= len(j.tasks) || j.state != jobOpen {
		return false
	}
	t := &j.tasks[index]
	if !o.connected(agent) || !j.transitionTask(t, eventSend) {
		return false
	}
	t.agent = agent
	t.attempt++
	t.inherited = false
	j.addAgent(agent)
	o.stats.Placed++
	e := startEnvelope(j, index, key, now)
	e.GetStartTask().OpenFrom = o.floorForStartTask(target{agent, j.group.id})
	o.effects.Send(agent, e)
	return true
}

func startEnvelope(j *job, index uint32, key uint64, now time.Time) *wirepb.Envelope {
	t := &j.tasks[index]
	spec := j.spec.Tasks[index]
	start := &wirepb.StartTask{
		Job: j.id, Task: index,
		Group: j.group.id, Epoch: j.group.epoch,
		Incarnation: t.agent, Attempt: t.attempt,
		Service: j.spec.Service, Team: j.spec.Team,
		Payload: spec.Payload, DeclaredMs: spec.DeclaredMs,
		BudgetMs: budgetMs(j.deadline, now), Key: key,
	}
	return &wirepb.Envelope{Body: &wirepb.Envelope_StartTask{StartTask: start}}
}

// budgetMs returns the time left until the deadline in milliseconds, at least
// 1. It is 0 without a deadline.
func budgetMs(deadline, now time.Time) uint32 {
	if deadline.IsZero() {
		return 0
	}
	left := deadline.Sub(now).Milliseconds()
	return uint32(min(max(left, 1), 1<<32-1))
}

// HandleTaskUpdate handles an agent's report on one task. Late, duplicate, reordered and
// unknown reports change nothing.
func (o *Owner) HandleTaskUpdate(agent uint64, u *wirepb.TaskUpdate, now time.Time) {
	j := o.jobs[u.Job]
	if j == nil || j.group.id != u.Group || int(u.Task) >= len(j.tasks) {
		o.stats.StaleUpdates++
		return
	}
	t := &j.tasks[u.Task]
	if t.state == taskUnseen && u.Outcome == wirepb.TaskOutcome_TASK_OUTCOME_NOT_RUN {
		// Another agent may hold a later attempt.
		t.attempt = max(t.attempt, u.Attempt)
		j.addAgent(agent)
		return
	}
	event, ok := eventByOutcome[u.Outcome]
	if !ok || !j.isCurrentUpdate(t, agent, u) || !taskChart.Can(t.state, event) {
		o.stats.StaleUpdates++
		return
	}
	if t.state == taskUnseen {
		j.recordPlacement(t, agent, u)
	}
	j.transitionTask(t, event)
	o.handleOutcome(j, t, u, now)
}

// isCurrentUpdate reports whether the update applies to the task's current
// placement.
func (j *job) isCurrentUpdate(t *task, agent uint64, u *wirepb.TaskUpdate) bool {
	if u.Epoch > j.group.epoch {
		return false
	}
	if t.state == taskUnseen {
		return true
	}
	if t.agent != agent {
		return false
	}
	// A start counts for every placement of the task. QUEUED and NOT_RUN apply
	// to one attempt only.
	switch u.Outcome {
	case wirepb.TaskOutcome_TASK_OUTCOME_QUEUED, wirepb.TaskOutcome_TASK_OUTCOME_NOT_RUN:
		return u.Attempt == t.attempt
	}
	return true
}

// recordPlacement records the agent at which an earlier owner placed the task.
func (j *job) recordPlacement(t *task, agent uint64, u *wirepb.TaskUpdate) {
	t.agent = agent
	t.attempt = max(t.attempt, u.Attempt)
	t.inherited = true
	j.addAgent(agent)
}

// handleOutcome acts on a reported outcome after the task has moved to its new
// state.
func (o *Owner) handleOutcome(j *job, t *task, u *wirepb.TaskUpdate, now time.Time) {
	switch u.Outcome {
	case wirepb.TaskOutcome_TASK_OUTCOME_QUEUED:
		o.cancelIfInherited(j, t, u.Task)
		return
	case wirepb.TaskOutcome_TASK_OUTCOME_STARTED:
		j.anyStarted = true
		o.cancelIfInherited(j, t, u.Task)
		o.answerIfFinal(j)
		return
	}
	o.effects.TaskEnded(TaskEnd{
		Agent: t.agent, Job: j.id, Task: u.Task,
		Outcome: u.Outcome, Reason: u.Reason,
		RunDuration: time.Duration(u.RunUs) * time.Microsecond,
	})
	switch u.Outcome {
	case wirepb.TaskOutcome_TASK_OUTCOME_DONE:
		o.taskDone(j, t, u)
	case wirepb.TaskOutcome_TASK_OUTCOME_FAILED:
		o.taskFailed(j, u, now)
	case wirepb.TaskOutcome_TASK_OUTCOME_NOT_RUN:
		o.taskNotRun(j, t, u.Task)
	}
}

// cancelIfInherited cancels a task of a failing or ended job that was found
// during a claim. When the job began to fail, it was not known which agent held
// the task.
func (o *Owner) cancelIfInherited(j *job, t *task, index uint32) {
	if t.inherited && (j.state == jobFailing || j.answered()) {
		o.cancelTask(j, index)
	}
}

func (o *Owner) taskDone(j *job, t *task, u *wirepb.TaskUpdate) {
	j.anyStarted = true
	j.doneTasks++
	if !j.answered() {
		t.result = u.Result
	}
	o.answerIfFinal(j)
}

// taskFailed fails the job, because a task is never started a second time.
func (o *Owner) taskFailed(j *job, u *wirepb.TaskUpdate, now time.Time) {
	j.anyStarted = true
	detail := u.Reason
	if u.Detail != "" {
		detail += ": " + u.Detail
	}
	o.failJob(j, failure{reason: ReasonTaskFailed, detail: detail, task: u.Task}, now)
	o.answerIfFinal(j)
}

// taskNotRun places the task again, or drops it if the job does not go on.
func (o *Owner) taskNotRun(j *job, t *task, index uint32) {
	if j.state == jobOpen {
		o.stats.Replaced++
		o.effects.PlaceAgain(j.id, index)
		return
	}
	// A claiming job places all its waiting tasks once the claim is settled.
	if j.state != jobClaiming {
		j.transitionTask(t, eventDrop)
	}
	o.answerIfFinal(j)
}
