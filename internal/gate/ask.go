package gate

import (
	"time"

	wirepb "endivewing/api/endivewing/v1"
)

// reportBytes is the size at which a page of a report is cut.
const reportBytes = 256 << 10

// updateOverhead is about the size of an update without its result, in bytes.
const updateOverhead = 40

// Recall takes back tasks that are queued or haven't arrived; each task is
// answered with its outcome so far.
func (g *Gate) Recall(now time.Duration, from SessionID, m *wirepb.RecallTasks) {
	gr := g.enter(from, m.Group, m.Epoch)
	if gr == nil {
		return
	}
	for _, ref := range m.Tasks {
		g.withdraw(now, gr, ref, ReasonRecalled)
	}
}

// Cancel ends tasks: those queued or unseen are not run, and those running
// are stopped and answered when they have ended.
func (g *Gate) Cancel(now time.Duration, from SessionID, m *wirepb.CancelTasks) {
	gr := g.enter(from, m.Group, m.Epoch)
	if gr == nil {
		return
	}
	for _, ref := range m.Tasks {
		g.withdraw(now, gr, ref, ReasonCancelled)
	}
}

// withdraw ends one placement if it isn't running, and stops it if it is and
// was cancelled. A placement older than the present one is left alone.
func (g *Gate) withdraw(now time.Duration, gr *group, ref *wirepb.TaskRef, reason Reason) {
	j := g.job(gr, ref.Job)
	if j == nil {
		return
	}
	r := j.insert(ref.Task)
	stale := r.state != stateUnseen && r.epoch == gr.epoch && ref.Attempt < r.attempt
	switch {
	case stale:
		g.tell(j, r)
	case r.state == stateQueued:
		r.epoch, r.attempt = gr.epoch, ref.Attempt
		g.dequeue(now, r.flight, reason)
	case !r.covers(gr.epoch, ref.Attempt):
		r.epoch, r.attempt = gr.epoch, ref.Attempt
		g.refuse(j, r, reason)
	case r.state == stateStarted && reason == ReasonCancelled:
		g.stop(r.flight, reason)
	case r.state == stateStopping && reason == ReasonCancelled:
	default:
		g.tell(j, r)
	}
}

// Query answers the outcomes of tasks. One that hasn't been seen is not run
// from now on.
func (g *Gate) Query(from SessionID, m *wirepb.QueryTasks) {
	gr := g.enter(from, m.Group, m.Epoch)
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
		size += updateOverhead + len(u.Result)
		if size >= reportBytes {
			g.send(from, queryEnvelope(report))
			report = &wirepb.QueryReport{Group: m.Group, Epoch: m.Epoch}
			size = 0
		}
	}
	g.send(from, queryEnvelope(report))
}

// resolve returns the outcome of one task, which it makes not run if it has
// not been seen. It is nil for a job that is forgotten.
func (g *Gate) resolve(gr *group, ref *wirepb.TaskRef) *wirepb.TaskUpdate {
	j := g.job(gr, ref.Job)
	if j == nil {
		return nil
	}
	r := j.insert(ref.Task)
	if !r.covers(gr.epoch, ref.Attempt) && r.step(eventRefuse) {
		r.epoch, r.attempt, r.reason = gr.epoch, ref.Attempt, ReasonUnseen
		g.stats.NotRun++
	}
	return j.update(r)
}

// Claim makes a new owner known and reports to it all that the gate has seen
// of the group's jobs.
func (g *Gate) Claim(now time.Duration, from SessionID, m *wirepb.ClaimGroup) {
	gr := g.enter(from, m.Group, m.Epoch)
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
			g.rebind(now, gr, r)
			u := j.update(r)
			report.Tasks = append(report.Tasks, u)
			size += updateOverhead + len(u.Result)
			if size >= reportBytes {
				report.More = true
				g.send(from, claimEnvelope(report))
				report = &wirepb.ClaimReport{Group: m.Group, Epoch: m.Epoch}
				size = 0
			}
		}
	}
	g.send(from, claimEnvelope(report))
}

// rebind counts a live task against its new owner's grant.
func (g *Gate) rebind(now time.Duration, gr *group, r *record) {
	f := r.flight
	if f == nil || f.owner == gr.owner {
		return
	}
	if s := g.owners[f.owner]; s != nil {
		g.lending.Ended(now, s.id)
	}
	f.owner = gr.owner
	g.begun(now, f)
}

// Forget drops what the gate remembers of jobs whose ends are durable. Tasks
// that still run go on, and their ends are told to nobody.
func (g *Gate) Forget(now time.Duration, from SessionID, m *wirepb.ForgetJobs) {
	gr := g.enter(from, m.Group, m.Epoch)
	if gr == nil {
		return
	}
	for _, number := range m.Jobs {
		g.tombstones.add(number)
		if j := g.jobs[number]; j != nil && j.group == gr {
			g.forget(now, j)
		}
	}
	g.raiseFloor(now, gr, m.OpenFrom)
}

// raiseFloor forgets all jobs of the group below a number.
func (g *Gate) raiseFloor(now time.Duration, gr *group, openFrom uint64) {
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
			g.dequeue(now, r.flight, ReasonCancelled)
		}
	}
	g.sweep(j)
}
