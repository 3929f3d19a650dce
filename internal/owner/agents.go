package owner

import (
	"slices"
	"time"

	wirepb "endivewing/api/endivewing/v1"
)

// agent is one incarnation of an agent that the configuration lists.
type agent struct {
	incarnation uint64
	// connected is set while a session to the agent is established.
	connected bool
	// draining is set while the agent drains. Before it ends, it must receive
	// the list of the jobs that it can forget.
	draining bool
	// connectedBefore is set from the first session on.
	connectedBefore bool
	ended           bool
	clean           bool
	// endIndex is the log index of the record that ended the incarnation.
	endIndex uint64
}

// AgentListed adds an incarnation that control lists as alive.
func (o *Owner) AgentListed(incarnation uint64) {
	if o.agents[incarnation] == nil {
		o.agents[incarnation] = &agent{incarnation: incarnation}
	}
}

// AgentConnected records that a session to the incarnation is established. It queries
// the tasks that the agent holds, and sends the claims that the agent has not
// answered yet.
func (o *Owner) AgentConnected(incarnation uint64) {
	o.AgentListed(incarnation)
	a := o.agents[incarnation]
	if a.ended {
		return
	}
	reconnected := a.connectedBefore
	a.connected, a.connectedBefore = true, true
	for _, g := range o.sortedGroups() {
		if !g.settled && !g.answered[incarnation] {
			o.sendClaim(g, incarnation)
		}
		if reconnected && g.loaded {
			// Earlier forgets may have been lost with the session. This message
			// lists no jobs, but its floor covers the lost ones.
			o.batches.addForget(incarnation, g)
		}
	}
	o.queryAgent(incarnation)
}

// connected reports whether there is a session to the agent.
func (o *Owner) connected(incarnation uint64) bool {
	a := o.agents[incarnation]
	return a != nil && a.connected
}

// AgentDraining records whether the incarnation drains. The jobs that a
// draining agent can forget are sent to it without delay, because it ends after
// that.
func (o *Owner) AgentDraining(incarnation uint64, draining bool) {
	if a := o.agents[incarnation]; a != nil {
		a.draining = draining
	}
}

func (o *Owner) draining(incarnation uint64) bool {
	a := o.agents[incarnation]
	return a != nil && a.draining
}

// AgentDisconnected records that the session to the incarnation ended. The outcome of
// the tasks that it holds is unknown until it reconnects or is ended.
func (o *Owner) AgentDisconnected(incarnation uint64) {
	if a := o.agents[incarnation]; a != nil {
		a.connected = false
	}
	o.batches.dropAgent(incarnation)
}

// AgentEnded records that control ended the incarnation. After a clean end, the
// tasks that the agent had not started were never run. The outcome of all its
// other tasks stays unknown.
func (o *Owner) AgentEnded(incarnation uint64, clean bool, endIndex uint64, now time.Time) {
	o.AgentListed(incarnation)
	a := o.agents[incarnation]
	if a.ended {
		return
	}
	a.ended, a.clean, a.endIndex, a.connected = true, clean, endIndex, false
	o.batches.dropAgent(incarnation)
	for _, j := range o.jobsAtAgent(incarnation) {
		o.resolveTasksAt(j, incarnation, clean, now)
	}
	o.settleClaims(now)
}

// jobsAtAgent returns the jobs that the agent knows of, ordered by number.
func (o *Owner) jobsAtAgent(incarnation uint64) []*job {
	var jobs []*job
	for _, j := range o.jobs {
		if slices.Contains(j.agents, incarnation) {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, byNumber)
	return jobs
}

// AgentRemoved removes an ended incarnation that control no longer lists. While
// any claim is not settled, it is kept, because the claim depends on it.
func (o *Owner) AgentRemoved(incarnation uint64) {
	for _, g := range o.groups {
		if !g.settled {
			return
		}
	}
	if a := o.agents[incarnation]; a != nil && a.ended {
		delete(o.agents, incarnation)
	}
}

// resolveTasksAt resolves the tasks of a job that an ended incarnation held.
func (o *Owner) resolveTasksAt(j *job, incarnation uint64, clean bool, now time.Time) {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.agent != incarnation || !t.atAgent() {
			continue
		}
		if clean && t.state != taskStarted {
			o.taskNeverStarted(j, t, uint32(i))
			continue
		}
		o.taskLost(j, t, uint32(i), now)
	}
}

// taskNeverStarted resolves a task that its agent had not started when the
// agent left cleanly.
func (o *Owner) taskNeverStarted(j *job, t *task, index uint32) {
	o.effects.TaskEnded(TaskEnd{
		Agent: t.agent, Job: j.id, Task: index,
		Outcome: wirepb.TaskOutcome_TASK_OUTCOME_NOT_RUN, Reason: ReasonAgentLeft,
	})
	j.transitionTask(t, eventNotRun)
	o.taskNotRun(j, t, index)
}

// taskLost resolves a task that may have run but whose outcome can no longer be
// reported. The task must not be started again, so the job fails.
func (o *Owner) taskLost(j *job, t *task, index uint32, now time.Time) {
	if t.agent != 0 {
		o.effects.TaskEnded(TaskEnd{Agent: t.agent, Job: j.id, Task: index, Reason: ReasonAgentLost})
	}
	j.transitionTask(t, eventLost)
	j.anyStarted = true
	o.failJob(j, failure{reason: ReasonAgentLost, task: index}, now)
	o.answerIfFinal(j)
}

// queryAgent asks an agent for the outcomes of all tasks that it holds.
func (o *Owner) queryAgent(incarnation uint64) {
	refs := map[uint64][]*wirepb.TaskRef{}
	jobs := o.jobsAtAgent(incarnation)
	for _, j := range jobs {
		for i := range j.tasks {
			if t := &j.tasks[i]; t.agent == incarnation && t.atAgent() {
				refs[j.group.id] = append(refs[j.group.id], j.taskRef(uint32(i)))
			}
		}
	}
	for _, g := range o.sortedGroups() {
		if len(refs[g.id]) == 0 {
			continue
		}
		o.stats.Queried += uint64(len(refs[g.id]))
		m := &wirepb.QueryTasks{Group: g.id, Epoch: g.epoch, Tasks: refs[g.id]}
		o.effects.Send(incarnation, &wirepb.Envelope{Body: &wirepb.Envelope_QueryTasks{QueryTasks: m}})
	}
	o.resendCancels(incarnation, jobs)
}

// resendCancels repeats the cancels of jobs that are failing or have ended,
// because earlier ones may have been lost with the session.
func (o *Owner) resendCancels(incarnation uint64, jobs []*job) {
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

// HandleQueryReport handles the answer to a query.
func (o *Owner) HandleQueryReport(agent uint64, r *wirepb.QueryReport, now time.Time) {
	for _, u := range r.Tasks {
		o.HandleTaskUpdate(agent, u, now)
	}
}

// RecallTask asks an agent to give a task back if the agent has not started it.
func (o *Owner) RecallTask(id uint64, index uint32) {
	j := o.jobs[id]
	if j == nil || int(index) >= len(j.tasks) {
		return
	}
	t := &j.tasks[index]
	if (t.state == taskSent || t.state == taskQueued) && o.connected(t.agent) {
		o.batches.addRecall(t.agent, j, index)
	}
}
