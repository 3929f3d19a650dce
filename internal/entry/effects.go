package entry

import (
	"time"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/owner"
	"endivewing/internal/placement"
	"endivewing/internal/wire"
)

// Send implements owner.Effects. A failed send is followed by the end of the
// session, after which the owner asks again.
func (l *loop) Send(agent uint64, e *wirepb.Envelope) {
	if s := l.sessions[agent]; s != nil {
		_ = s.Send(wire.LaneTraffic, e)
	}
}

// Place implements owner.Effects.
func (l *loop) Place(p owner.Placeable) {
	// The dispatcher is given all tasks of a job taken over; assign leaves out
	// those that do not wait.
	l.dispatch.Add(jobInfo(p.Job, p.Spec, l.now, p.Deadline), l.now)
}

// Replace implements owner.Effects.
func (l *loop) Replace(job uint64, task uint32) { l.dispatch.Requeue(job, task) }

// TaskEnded implements owner.Effects.
func (l *loop) TaskEnded(e owner.TaskEnd) {
	l.metrics.ended(e.Outcome)
	l.dispatch.HandleOutcome(e.Agent, e.Job, e.Task, placementOutcome(e.Outcome), e.Run, l.now)
}

// placementOutcome maps an unknown outcome to a failure of the agent.
func placementOutcome(o wirepb.TaskOutcome) placement.Outcome {
	switch o {
	case wirepb.TaskOutcome_TASK_OUTCOME_DONE:
		return placement.Done
	case wirepb.TaskOutcome_TASK_OUTCOME_NOT_RUN:
		return placement.NotRun
	}
	return placement.Failed
}

// Withdraw implements owner.Effects.
func (l *loop) Withdraw(job uint64) { l.dispatch.Remove(job) }

// Answer implements owner.Effects. A whole answer leaves at once. A failure
// waits for its record: until then another owner could still complete the job.
func (l *loop) Answer(job uint64, a *wirepb.JobAnswer) {
	l.metrics.answered(a)
	h := l.jobs[job]
	if h == nil {
		return
	}
	h.answer = a
	h.ended = time.Now()
	if a.Complete {
		h.finish()
	}
}

// Record implements owner.Effects.
func (l *loop) Record(group, epoch uint64, batch []*wirepb.JobCompletion) {
	r := l.recorders[group]
	if r == nil || r.epoch != epoch {
		r = &recorder{group: group, epoch: epoch}
		l.recorders[group] = r
	}
	r.waiting = append(r.waiting, batch...)
}

// Lost implements owner.Effects.
func (l *loop) Lost(job uint64) {
	h := l.jobs[job]
	if h == nil {
		return
	}
	l.drop(job)
	if h.answer == nil || !h.answer.Complete {
		h.lost = true
		h.finish()
	}
}

func jobInfo(job uint64, spec *wirepb.JobSpec, now, deadline time.Time) placement.JobInfo {
	info := placement.JobInfo{
		Job: job, Team: spec.Team, Service: spec.Service, Tasks: len(spec.Tasks),
		Accepted: now, Deadline: deadline,
	}
	for _, t := range spec.Tasks {
		info.Bytes += int64(len(t.Payload))
		info.DeclaredMs += uint64(t.DeclaredMs)
	}
	return info
}
