package gate

import (
	"time"

	wirepb "endivewing/api/endivewing/v1"
)

// reportPageBytes is the size in bytes at which a page of a report is sent.
const reportPageBytes = 256 << 10

// updateOverheadBytes is the approximate size in bytes of an update without its
// result.
const updateOverheadBytes = 40

// Recall withdraws tasks that are queued or haven't arrived. The gate answers
// each task with its present outcome.
func (g *Gate) Recall(now time.Duration, from SessionID, m *wirepb.RecallTasks) {
	gr := g.checkOwner(from, m.Group, m.Epoch)
	if gr == nil {
		return
	}
	for _, ref := range m.Tasks {
		g.withdraw(now, gr, ref, ReasonRecalled)
	}
}

// Cancel ends tasks. Queued tasks and tasks that haven't arrived become "not
// run". Running tasks are stopped, and the gate answers when they have ended.
func (g *Gate) Cancel(now time.Duration, from SessionID, m *wirepb.CancelTasks) {
	gr := g.checkOwner(from, m.Group, m.Epoch)
	if gr == nil {
		return
	}
	for _, ref := range m.Tasks {
		g.withdraw(now, gr, ref, ReasonCancelled)
	}
}

// withdraw makes one placement "not run" if it is queued or hasn't arrived. A
// running task is stopped only if the reason is ReasonCancelled. A request for a
// placement older than the recorded one changes nothing.
func (g *Gate) withdraw(now time.Duration, gr *group, ref *wirepb.TaskRef, reason Reason) {
	j := g.findOrAddJob(gr, ref.Job)
	if j == nil {
		return
	}
	r := j.findOrInsert(ref.Task)
	stale := r.state != stateUnseen && r.epoch == gr.epoch && ref.Attempt < r.attempt
	switch {
	case stale:
		g.sendUpdate(j, r)
	case r.state == stateQueued:
		r.epoch, r.attempt = gr.epoch, ref.Attempt
		g.refuseQueued(now, r.inFlight, reason)
	case !r.decides(gr.epoch, ref.Attempt):
		r.epoch, r.attempt = gr.epoch, ref.Attempt
		g.refuse(j, r, reason)
	case r.state == stateStarted && reason == ReasonCancelled:
		g.stop(r.inFlight, reason)
	case r.state == stateStopping && reason == ReasonCancelled:
	default:
		g.sendUpdate(j, r)
	}
}

// Query answers with the outcomes of tasks. A task that hasn't arrived becomes
// "not run".
func (g *Gate) Query(from SessionID, m *wirepb.QueryTasks) {
	gr := g.checkOwner(from, m.Group, m.Epoch)
	if gr == nil {
		return
	}
	report := &wirepb.QueryReport{Group: m.Group, Epoch: m.Epoch}
	size := 0
	for _, ref := range m.Tasks {
		u := g.resolve(gr, ref)
		if u == nil {
			continue
		}
		report.Tasks = append(report.Tasks, u)
		size += updateOverheadBytes + len(u.Result)
		if size >= reportPageBytes {
			g.send(from, queryEnvelope(report))
			report = &wirepb.QueryReport{Group: m.Group, Epoch: m.Epoch}
			size = 0
		}
	}
	g.send(from, queryEnvelope(report))
}

// resolve returns the outcome of one task. A placement that hasn't arrived
// becomes "not run" first. The result is nil if the job is forgotten.
func (g *Gate) resolve(gr *group, ref *wirepb.TaskRef) *wirepb.TaskUpdate {
	j := g.findOrAddJob(gr, ref.Job)
	if j == nil {
		return nil
	}
	r := j.findOrInsert(ref.Task)
	if !r.decides(gr.epoch, ref.Attempt) && r.step(eventRefuse) {
		r.epoch, r.attempt, r.reason = gr.epoch, ref.Attempt, ReasonUnseen
		g.stats.NotRun++
	}
	return j.update(r)
}

// Claim records a new owner of a group and reports to it the outcomes of all
// recorded tasks of the group.
func (g *Gate) Claim(now time.Duration, from SessionID, m *wirepb.ClaimGroup) {
	gr := g.checkOwner(from, m.Group, m.Epoch)
	if gr == nil {
		return
	}
	report := &wirepb.ClaimReport{Group: m.Group, Epoch: m.Epoch}
	size := 0
	for _, j := range g.jobs {
		if j.group != gr || j.forgotten {
			continue
		}
		for i := range j.tasks {
			r := &j.tasks[i]
			g.reassign(now, gr, r)
			u := j.update(r)
			report.Tasks = append(report.Tasks, u)
			size += updateOverheadBytes + len(u.Result)
			if size >= reportPageBytes {
				report.More = true
				g.send(from, claimEnvelope(report))
				report = &wirepb.ClaimReport{Group: m.Group, Epoch: m.Epoch}
				size = 0
			}
		}
	}
	g.send(from, claimEnvelope(report))
}

// reassign counts a queued or running task against the grant of its new owner.
func (g *Gate) reassign(now time.Duration, gr *group, r *taskRecord) {
	f := r.inFlight
	if f == nil || f.owner == gr.owner {
		return
	}
	if s := g.sessionsByEntry[f.owner]; s != nil {
		g.allocator.TaskEnded(now, s.id)
	}
	f.owner = gr.owner
	g.addOutstanding(now, f)
}

// Forget removes the records of jobs whose end is durable. Running tasks of
// these jobs continue, and their ends are not reported.
func (g *Gate) Forget(now time.Duration, from SessionID, m *wirepb.ForgetJobs) {
	gr := g.checkOwner(from, m.Group, m.Epoch)
	if gr == nil {
		return
	}
	for _, number := range m.Jobs {
		g.tombstones.add(number)
		if j := g.jobs[number]; j != nil && j.group == gr {
			g.forget(now, j)
		}
	}
	g.raiseOpenFrom(now, gr, m.OpenFrom)
}

// raiseOpenFrom forgets all jobs of the group with numbers below openFrom.
func (g *Gate) raiseOpenFrom(now time.Duration, gr *group, openFrom uint64) {
	if openFrom <= gr.openFrom {
		return
	}
	gr.openFrom = openFrom
	if gr.jobs == 0 {
		return
	}
	for _, j := range g.jobs {
		if j.group == gr && j.number < openFrom {
			g.forget(now, j)
		}
	}
}

func (g *Gate) forget(now time.Duration, j *job) {
	j.forgotten = true
	for i := range j.tasks {
		if r := &j.tasks[i]; r.state == stateQueued {
			g.refuseQueued(now, r.inFlight, ReasonCancelled)
		}
	}
	g.removeForgotten(j)
}
