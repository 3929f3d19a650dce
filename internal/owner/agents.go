package owner

import (
	"slices"
	"time"

	wirepb "endivewing/api/endivewing/v1"
)

// agent is one incarnation of an agent as the configuration lists it.
type agent struct {
	incarnation uint64
	// up: a session to it is established.
	up bool
	// draining: it waits to be told which jobs it can forget.
	draining bool
	// met: there was a session before.
	met   bool
	ended bool
	clean bool
	// endIndex is the log index of the record that ended it.
	endIndex uint64
}

// AgentListed makes an incarnation known; control lists it as alive.
func (o *Owner) AgentListed(incarnation uint64) {
	if o.agents[incarnation] == nil {
		o.agents[incarnation] = &agent{incarnation: incarnation}
	}
}

// AgentUp notes that a session to the incarnation is established. What it
// holds is queried, and groups it has not answered for are claimed.
func (o *Owner) AgentUp(incarnation uint64) {
	o.AgentListed(incarnation)
	a := o.agents[incarnation]
	if a.ended {
		return
	}
	again := a.met
	a.up, a.met = true, true
	for _, g := range o.sortedGroups() {
		if !g.settled && !g.answered[incarnation] {
			o.sendClaim(g, incarnation)
		}
		if again && g.loaded {
			// What it was told to forget may have been lost; the floor of an
			// empty message makes up for it.
			o.batches.forget(incarnation, g)
		}
	}
	o.query(incarnation)
}

// up tells whether there is a session to the agent.
func (o *Owner) up(incarnation uint64) bool {
	a := o.agents[incarnation]
	return a != nil && a.up
}

// AgentDraining notes that the incarnation begins or ceases to drain. One that
// drains is told at once which jobs it can forget, since it ends after that.
func (o *Owner) AgentDraining(incarnation uint64, draining bool) {
	if a := o.agents[incarnation]; a != nil {
		a.draining = draining
	}
}

func (o *Owner) draining(incarnation uint64) bool {
	a := o.agents[incarnation]
	return a != nil && a.draining
}

// AgentDown notes that the session to the incarnation ended. What it holds
// stays in doubt until it is back or has ended.
func (o *Owner) AgentDown(incarnation uint64) {
	if a := o.agents[incarnation]; a != nil {
		a.up = false
	}
	o.batches.dropAgent(incarnation)
}

// AgentEnded notes that control ended the incarnation. After a clean end what
// it had not started was never run; all else there is unknown for good.
func (o *Owner) AgentEnded(incarnation uint64, clean bool, endIndex uint64, now time.Time) {
	o.AgentListed(incarnation)
	a := o.agents[incarnation]
	if a.ended {
		return
	}
	a.ended, a.clean, a.endIndex, a.up = true, clean, endIndex, false
	o.batches.dropAgent(incarnation)
	for _, j := range o.jobsAt(incarnation) {
		o.endAt(j, incarnation, clean, now)
	}
	o.settleGroups(now)
}

// jobsAt returns the jobs of which the agent knows, by number.
func (o *Owner) jobsAt(incarnation uint64) []*job {
	var jobs []*job
	for _, j := range o.jobs {
		if slices.Contains(j.agents, incarnation) {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, byNumber)
	return jobs
}

// AgentGone drops an ended incarnation that control no longer lists. A claim
// that is not settled still counts on it.
func (o *Owner) AgentGone(incarnation uint64) {
	for _, g := range o.groups {
		if !g.settled {
			return
		}
	}
	if a := o.agents[incarnation]; a != nil && a.ended {
		delete(o.agents, incarnation)
	}
}

// endAt resolves what an ended incarnation held of a job.
func (o *Owner) endAt(j *job, incarnation uint64, clean bool, now time.Time) {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.agent != incarnation || !t.atAgent() {
			continue
		}
		if clean && t.state != taskStarted {
			o.absent(j, t, uint32(i))
			continue
		}
		o.taskLost(j, t, uint32(i), now)
	}
}

// absent resolves a task that its agent, which left cleanly, never started.
func (o *Owner) absent(j *job, t *task, index uint32) {
	o.fx.TaskEnded(TaskEnd{
		Agent: t.agent, Job: j.id, Task: index,
		Outcome: wirepb.TaskOutcome_TASK_OUTCOME_NOT_RUN, Reason: ReasonAgentLeft,
	})
	j.step(t, eventNotRun)
	o.taskNotRun(j, t, index)
}

// taskLost resolves a task that may have run and of which nobody will know:
// it is never started again, so the job fails.
func (o *Owner) taskLost(j *job, t *task, index uint32, now time.Time) {
	if t.agent != 0 {
		o.fx.TaskEnded(TaskEnd{Agent: t.agent, Job: j.id, Task: index, Reason: ReasonAgentLost})
	}
	j.step(t, eventLost)
	j.started = true
	o.fail(j, failure{reason: ReasonAgentLost, task: index}, now)
	o.settle(j)
}

// query asks an agent for the outcomes of all tasks that it holds.
func (o *Owner) query(incarnation uint64) {
	refs := map[uint64][]*wirepb.TaskRef{}
	jobs := o.jobsAt(incarnation)
	for _, j := range jobs {
		for i := range j.tasks {
			if t := &j.tasks[i]; t.agent == incarnation && t.atAgent() {
				refs[j.group.id] = append(refs[j.group.id], j.ref(uint32(i)))
			}
		}
	}
	for _, g := range o.sortedGroups() {
		if len(refs[g.id]) == 0 {
			continue
		}
		o.stats.Queried += uint64(len(refs[g.id]))
		m := &wirepb.QueryTasks{Group: g.id, Epoch: g.epoch, Tasks: refs[g.id]}
		o.fx.Send(incarnation, &wirepb.Envelope{Body: &wirepb.Envelope_QueryTasks{QueryTasks: m}})
	}
	o.cancelAgain(incarnation, jobs)
}

// cancelAgain repeats the cancels of jobs that won't go on: earlier ones may
// have been lost with the session.
func (o *Owner) cancelAgain(incarnation uint64, jobs []*job) {
	for _, j := range jobs {
		if j.state != jobFailing && !j.answered() {
			continue
		}
		for i := range j.tasks {
			if t := &j.tasks[i]; t.agent == incarnation && t.atAgent() {
				o.cancelTask(j, uint32(i))
			}
		}
	}
}

// QueryReport takes the answer to a query.
func (o *Owner) QueryReport(agent uint64, r *wirepb.QueryReport, now time.Time) {
	for _, u := range r.Tasks {
		o.Update(agent, u, now)
	}
}

// Recall asks an agent to give a task back if it has not started it.
func (o *Owner) Recall(id uint64, index uint32) {
	j := o.jobs[id]
	if j == nil || int(index) >= len(j.tasks) {
		return
	}
	t := &j.tasks[index]
	if (t.state == taskSent || t.state == taskQueued) && o.up(t.agent) {
		o.batches.recall(t.agent, j, index)
	}
}
