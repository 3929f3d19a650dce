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

	// eventByOutcome is the event of each outcome that an agent reports.
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
	// inherited: it was placed by an earlier owner, under a smaller epoch.
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

// on steps the task's chart; ok is false when the state has no such
// transition.
func (t *task) on(e statechart.Event) (ok bool) {
	next, err := taskChart.Next(t.state, e)
	t.state = next
	return err == nil
}

// atAgent tells whether a known agent holds the task.
func (t *task) atAgent() bool {
	return t.state == taskSent || t.state == taskQueued || t.state == taskStarted
}

// doubtful tells whether the task may have started without our knowledge.
func (t *task) doubtful() bool {
	return t.state == taskUnseen || t.state == taskSent || t.state == taskQueued
}

// step moves a task and keeps the job's counts.
func (j *job) step(t *task, e statechart.Event) (ok bool) {
	j.count(t, -1)
	ok = t.on(e)
	j.count(t, 1)
	return ok
}

func (j *job) count(t *task, n int) {
	if t.doubtful() {
		j.doubtful += n
	}
	if t.doubtful() || t.state == taskStarted {
		j.held += n
	}
}

// Assign sends a waiting task to an agent, with the key that orders it there;
// ok is false when the task does not wait or the agent can't be reached, and
// nothing was sent then.
func (o *Owner) Assign(id uint64, index uint32, agent, key uint64, now time.Time) (ok bool) {
	j := o.jobs[id]
	if j == nil || int(index) >= len(j.tasks) || j.state != jobOpen {
		return false
	}
	t := &j.tasks[index]
	if !o.up(agent) || !j.step(t, eventSend) {
		return false
	}
	t.agent = agent
	t.attempt++
	t.inherited = false
	j.touch(agent)
	o.stats.Placed++
	e := startEnvelope(j, index, key, now)
	e.GetStartTask().OpenFrom = o.carryFloor(target{agent, j.group.id})
	o.fx.Send(agent, e)
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
		BudgetMs: budget(j.deadline, now), Key: key,
	}
	return &wirepb.Envelope{Body: &wirepb.Envelope_StartTask{StartTask: start}}
}

// budget is the time left until the deadline in milliseconds, at least 1; 0
// without a deadline.
func budget(deadline, now time.Time) uint32 {
	if deadline.IsZero() {
		return 0
	}
	left := deadline.Sub(now).Milliseconds()
	return uint32(min(max(left, 1), 1<<32-1))
}

// Update takes an agent's word on one task. Late, doubled, reordered and
// unknown ones change nothing.
func (o *Owner) Update(agent uint64, u *wirepb.TaskUpdate, now time.Time) {
	j := o.jobs[u.Job]
	if j == nil || j.group.id != u.Group || int(u.Task) >= len(j.tasks) {
		o.stats.StaleUpdates++
		return
	}
	t := &j.tasks[u.Task]
	if t.state == taskUnseen && u.Outcome == wirepb.TaskOutcome_TASK_OUTCOME_NOT_RUN {
		// Another agent may hold a later attempt.
		t.attempt = max(t.attempt, u.Attempt)
		j.touch(agent)
		return
	}
	event, ok := eventByOutcome[u.Outcome]
	if !ok || !j.believes(t, agent, u) || !taskChart.Can(t.state, event) {
		o.stats.StaleUpdates++
		return
	}
	if t.state == taskUnseen {
		j.adopt(t, agent, u)
	}
	j.step(t, event)
	o.outcome(j, t, u, now)
}

// believes tells whether the update is about the task's present placement.
func (j *job) believes(t *task, agent uint64, u *wirepb.TaskUpdate) bool {
	if u.Epoch > j.group.epoch {
		return false
	}
	if t.state == taskUnseen {
		return true
	}
	if t.agent != agent {
		return false
	}
	// A start is a fact whatever placement it belongs to; the others hold for
	// one attempt.
	switch u.Outcome {
	case wirepb.TaskOutcome_TASK_OUTCOME_QUEUED, wirepb.TaskOutcome_TASK_OUTCOME_NOT_RUN:
		return u.Attempt == t.attempt
	}
	return true
}

// adopt notes the agent at which an earlier owner placed the task.
func (j *job) adopt(t *task, agent uint64, u *wirepb.TaskUpdate) {
	t.agent = agent
	t.attempt = max(t.attempt, u.Attempt)
	t.inherited = true
	j.touch(agent)
}

// outcome acts on a task that has just moved.
func (o *Owner) outcome(j *job, t *task, u *wirepb.TaskUpdate, now time.Time) {
	switch u.Outcome {
	case wirepb.TaskOutcome_TASK_OUTCOME_QUEUED:
		o.cancelAdopted(j, t, u.Task)
		return
	case wirepb.TaskOutcome_TASK_OUTCOME_STARTED:
		j.started = true
		o.cancelAdopted(j, t, u.Task)
		o.settle(j)
		return
	}
	o.fx.TaskEnded(TaskEnd{
		Agent: t.agent, Job: j.id, Task: u.Task,
		Outcome: u.Outcome, Reason: u.Reason,
		Run: time.Duration(u.RunUs) * time.Microsecond,
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

// cancelAdopted cancels a task of a failing job that was found during a claim:
// it was unknown where it is when the job began to fail.
func (o *Owner) cancelAdopted(j *job, t *task, index uint32) {
	if t.inherited && (j.state == jobFailing || j.answered()) {
		o.cancelTask(j, index)
	}
}

func (o *Owner) taskDone(j *job, t *task, u *wirepb.TaskUpdate) {
	j.started = true
	j.done++
	if !j.answered() {
		t.result = u.Result
	}
	o.settle(j)
}

// taskFailed fails the job; a task is never started a second time.
func (o *Owner) taskFailed(j *job, u *wirepb.TaskUpdate, now time.Time) {
	j.started = true
	detail := u.Reason
	if u.Detail != "" {
		detail += ": " + u.Detail
	}
	o.fail(j, failure{reason: ReasonTaskFailed, detail: detail, task: u.Task}, now)
	o.settle(j)
}

// taskNotRun places the task again, or drops it when the job will not go on.
func (o *Owner) taskNotRun(j *job, t *task, index uint32) {
	if j.state == jobOpen {
		o.stats.Replaced++
		o.fx.Replace(j.id, index)
		return
	}
	// A claiming job places all its waiting tasks once it is claimed.
	if j.state != jobClaiming {
		j.step(t, eventDrop)
	}
	o.settle(j)
}
