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

// Reasons of a failed job.
const (
	ReasonTaskFailed = apijob.ReasonTaskFailed
	ReasonAgentLost  = apijob.ReasonAgentLost
	ReasonCancelled  = apijob.ReasonCancelled
	ReasonDeadline   = apijob.ReasonDeadline
	// ReasonAnswerTooLarge: all tasks ran, but their results together can't be
	// recorded.
	ReasonAnswerTooLarge = apijob.ReasonAnswerTooLarge
	// ReasonAgentLeft is the reason of a task that an agent had not started
	// when it left cleanly.
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

	// held is the number of tasks that an agent has or may have; doubtful is
	// the part of it that is not known to have started.
	held, doubtful int
	done           int
	// started: a task was started, or may have been and that will never be
	// known.
	started bool

	failure   failure
	graceEnd  time.Time
	graceOver bool
	recorded  bool

	// agents are the incarnations that were sent or reported a task.
	agents []uint64
}

// failure is why a job fails.
type failure struct {
	reason, detail string
	task           uint32
}

// answered tells whether the job's answer is final.
func (j *job) answered() bool { return j.state == jobEnded || jobChart.Final(j.state) }

// on steps the job's chart; ok is false when the state has no such transition.
func (j *job) on(e statechart.Event) (ok bool) {
	next, err := jobChart.Next(j.state, e)
	j.state = next
	return err == nil
}

// touch notes that the agent knows of the job.
func (j *job) touch(agent uint64) {
	if !slices.Contains(j.agents, agent) {
		j.agents = append(j.agents, agent)
	}
}

// fail decides that the job fails: what waits never runs, what agents hold is
// cancelled. The answer follows when it is final.
func (o *Owner) fail(j *job, f failure, now time.Time) {
	if !j.on(eventFail) {
		return
	}
	j.failure = f
	o.fx.Withdraw(j.id)
	for i := range j.tasks {
		o.stop(j, uint32(i))
	}
	j.graceEnd = now.Add(o.cfg.ResolveGrace)
	o.settle(j)
	if !j.answered() {
		o.timers.add(j.graceEnd, j.id)
	}
}

// stop drops a waiting task of a failing job and cancels a held one.
func (o *Owner) stop(j *job, index uint32) {
	t := &j.tasks[index]
	switch {
	case t.state == taskWaiting:
		t.on(eventDrop)
	case t.atAgent():
		o.cancelTask(j, index)
	}
}

// cancelTask asks the agent of a task to stop it. An agent that can't be
// reached is asked when its session is back.
func (o *Owner) cancelTask(j *job, index uint32) {
	if agent := j.tasks[index].agent; o.up(agent) {
		o.batches.cancel(agent, j, index)
	}
}

// settle answers the job when its answer is final.
func (o *Owner) settle(j *job) {
	switch {
	case j.answered():
		o.closeIfDone(j)
	case j.state == jobFailing:
		if j.started || j.doubtful == 0 || j.graceOver {
			o.answer(j, j.failedAnswer())
		}
	case j.done == len(j.tasks):
		o.fx.Withdraw(j.id)
		o.answer(j, j.endedAnswer())
	}
}

func (o *Owner) answer(j *job, a *wirepb.JobAnswer) {
	j.on(eventSettle)
	if a.Complete {
		o.stats.Completed++
	} else {
		o.stats.Failed++
	}
	for i := range j.tasks {
		j.tasks[i].result = nil
	}
	o.fx.Answer(j.id, a)
	o.batches.complete(j, a)
}

// endedAnswer is the answer of a job whose tasks all have results. One that is
// too large to be made durable fails the job: it could not be given again.
func (j *job) endedAnswer() *wirepb.JobAnswer {
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

// failedAnswer claims "not run" only when every task is known not to have
// started and none can start any more.
func (j *job) failedAnswer() *wirepb.JobAnswer {
	return &wirepb.JobAnswer{
		Reason:     j.failure.reason,
		Detail:     j.failure.detail,
		FailedTask: j.failure.task,
		NotRun:     !j.started && j.doubtful == 0,
	}
}

// closeIfDone lets agents forget a job whose completion is durable and of
// which they hold nothing any more.
func (o *Owner) closeIfDone(j *job) {
	if !j.recorded || j.held > 0 || !j.on(eventClose) {
		return
	}
	delete(o.jobs, j.id)
	j.group.closed(j.id)
	for _, agent := range j.agents {
		if o.up(agent) {
			o.batches.forget(agent, j.group, j.id)
		}
	}
}

// sortedJobs returns the jobs by number, so that effects come in one order.
func (o *Owner) sortedJobs() []*job {
	jobs := make([]*job, 0, len(o.jobs))
	for _, j := range o.jobs {
		jobs = append(jobs, j)
	}
	slices.SortFunc(jobs, byNumber)
	return jobs
}

func byNumber(a, b *job) int { return cmp.Compare(a.id, b.id) }
