package owner

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	wirepb "endivewing/api/endivewing/v1"
	apijob "endivewing/api/job"
	"endivewing/charts"
	"endivewing/internal/statechart"
)

// Reasons why a job failed or a task was not run.
const (
	ReasonTaskFailed = apijob.ReasonTaskFailed
	ReasonAgentLost  = apijob.ReasonAgentLost
	ReasonCancelled  = apijob.ReasonCancelled
	ReasonDeadline   = apijob.ReasonDeadline
	// ReasonAnswerTooLarge says that all tasks ran, but that their results
	// together are too large to be recorded.
	ReasonAnswerTooLarge = apijob.ReasonAnswerTooLarge
	// ReasonMinionLost is the reason of an agent for a task whose request was sent
	// and whose connection broke before the answer, as in a crash of the minion.
	ReasonMinionLost = "minion_lost"
	// ReasonAgentLeft is the reason of a task that an agent had not started
	// when the agent left cleanly.
	ReasonAgentLeft = "agent_left"
)

var (
	jobChart    = statechart.MustLoad(charts.Job)
	jobOpen     = jobChart.State("open")
	jobClaiming = jobChart.State("claiming")
	jobFailing  = jobChart.State("failing")
	jobEnded    = jobChart.State("ended")

	eventInherit = jobChart.Event("inherit")
	eventClaimed = jobChart.Event("claimed")
	eventFail    = jobChart.Event("fail")
	eventSettle  = jobChart.Event("settle")
	eventClose   = jobChart.Event("close")
)

// job is one job of a group.
type job struct {
	id       uint64
	spec     *wirepb.JobSpec
	group    *group
	state    statechart.State
	tasks    []task
	deadline time.Time

	// heldTasks is the number of tasks that an agent holds or may hold.
	// unresolvedTasks counts those of them that are not known to have started.
	heldTasks, unresolvedTasks int
	doneTasks                  int
	// anyStarted is set when a task was started, or may have been and no report
	// on it will arrive.
	anyStarted bool

	failure failure
	// graceEnd is the time at which a failing job is answered even if some of
	// its tasks are unresolved. graceOver is set once it has passed.
	graceEnd  time.Time
	graceOver bool
	// recorded is set once the job's completion is durable.
	recorded bool

	// agents are the incarnations that were sent a task or reported one.
	agents []uint64
}

// failure says why a job fails.
type failure struct {
	reason, detail string
	task           uint32
}

// answered reports whether the job's answer is final.
func (j *job) answered() bool { return j.state == jobEnded || jobChart.Final(j.state) }

// transition moves the job to the next state of its chart. ok is false if the
// state has no such transition.
func (j *job) transition(e statechart.Event) (ok bool) {
	next, err := jobChart.Next(j.state, e)
	j.state = next
	return err == nil
}

// addAgent records that the agent knows of the job.
func (j *job) addAgent(agent uint64) {
	if !slices.Contains(j.agents, agent) {
		j.agents = append(j.agents, agent)
	}
}

// failJob makes a job fail: its waiting tasks never run, and those at agents
// are cancelled. The job is answered once its answer is final.
func (o *Owner) failJob(j *job, f failure, now time.Time) {
	if !j.transition(eventFail) {
		return
	}
	j.failure = f
	o.effects.Withdraw(j.id)
	for i := range j.tasks {
		o.stopTask(j, uint32(i))
	}
	j.graceEnd = now.Add(o.cfg.ResolveGrace)
	o.answerIfFinal(j)
	if !j.answered() {
		o.timers.add(j.graceEnd, j.id)
	}
}

// stopTask drops a waiting task of a failing job, or cancels a task that an
// agent holds.
func (o *Owner) stopTask(j *job, index uint32) {
	t := &j.tasks[index]
	switch {
	case t.state == taskWaiting:
		t.transition(eventDrop)
	case t.atAgent():
		o.cancelTask(j, index)
	}
}

// cancelTask asks the agent of a task to stop it. An agent without a session is
// asked after it reconnects.
func (o *Owner) cancelTask(j *job, index uint32) {
	if agent := j.tasks[index].agent; o.connected(agent) {
		o.batches.addCancel(agent, j, index)
	}
}

// answerIfFinal answers the job if its answer is final. A job that has been
// answered is closed if possible.
func (o *Owner) answerIfFinal(j *job) {
	switch {
	case j.answered():
		o.closeIfDone(j)
	case j.state == jobFailing:
		if j.anyStarted || j.unresolvedTasks == 0 || j.graceOver {
			o.answerJob(j, j.failedAnswer())
		}
	case j.doneTasks == len(j.tasks):
		o.effects.Withdraw(j.id)
		o.answerJob(j, j.answerFromResults())
	}
}

func (o *Owner) answerJob(j *job, a *wirepb.JobAnswer) {
	j.transition(eventSettle)
	if a.Complete {
		o.stats.Completed++
	} else {
		o.stats.Failed++
	}
	for i := range j.tasks {
		j.tasks[i].result = nil
	}
	o.effects.Answer(j.id, a)
	o.batches.addCompletion(j, a)
}

// answerFromResults returns the answer of a job whose tasks all have results.
// If the answer is too large to be made durable, the job fails, since a
// repeated request could not be given the same answer.
func (j *job) answerFromResults() *wirepb.JobAnswer {
	a := j.completeAnswer()
	if size := proto.Size(a); size > maxAnswerBytes {
		return &wirepb.JobAnswer{
			Reason: ReasonAnswerTooLarge,
			Detail: fmt.Sprintf("%d bytes, the limit is %d", size, maxAnswerBytes),
		}
	}
	return a
}

// completeAnswer assembles the results in the order of the tasks.
func (j *job) completeAnswer() *wirepb.JobAnswer {
	results := make([][]byte, len(j.tasks))
	for i := range j.tasks {
		results[i] = j.tasks[i].result
	}
	return &wirepb.JobAnswer{Complete: true, Results: results}
}

// failedAnswer returns the answer of a failing job. It sets NotRun only if
// every task is known not to have started and none can start any more.
func (j *job) failedAnswer() *wirepb.JobAnswer {
	return &wirepb.JobAnswer{
		Reason:     j.failure.reason,
		Detail:     j.failure.detail,
		FailedTask: j.failure.task,
		NotRun:     !j.anyStarted && j.unresolvedTasks == 0,
	}
}

// closeIfDone closes a job whose completion is durable and of which no agent
// holds a task, and makes the agents forget it.
func (o *Owner) closeIfDone(j *job) {
	if !j.recorded || j.heldTasks > 0 || !j.transition(eventClose) {
		return
	}
	delete(o.jobs, j.id)
	j.group.markClosed(j.id)
	for _, agent := range j.agents {
		if o.connected(agent) {
			o.batches.addForget(agent, j.group, j.id)
		}
	}
}

// sortedJobs returns the jobs ordered by number, so that the order of effects
// is deterministic.
func (o *Owner) sortedJobs() []*job {
	jobs := make([]*job, 0, len(o.jobs))
	for _, j := range o.jobs {
		jobs = append(jobs, j)
	}
	slices.SortFunc(jobs, byNumber)
	return jobs
}

func byNumber(a, b *job) int { return cmp.Compare(a.id, b.id) }
