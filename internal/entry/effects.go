package entry

import (
	"time"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/owner"
	"endivewing/internal/placement"
	"endivewing/internal/wire"
)

// Send implements owner.Effects. The error of a send is ignored: the session ends
// after it, and the owner queries the agent on the next session.
func (l *loop) Send(agent uint64, e *wirepb.Envelope) {
	if s := l.sessions[agent]; s != nil {
		_ = s.Send(wire.LaneTraffic, e)
	}
}

// Place implements owner.Effects.
func (l *loop) Place(p owner.PlacementRequest) {
	// The dispatcher receives all tasks of a job that was taken over. assign skips
	// those that are not waiting.
	l.dispatcher.Add(jobInfo(p.Job, p.Spec, l.now, p.Deadline), l.now)
}

// PlaceAgain implements owner.Effects.
func (l *loop) PlaceAgain(job uint64, task uint32) { l.dispatcher.Requeue(job, task) }

// TaskEnded implements owner.Effects.
func (l *loop) TaskEnded(e owner.TaskEnd) {
	l.metrics.taskEnded(e.Outcome)
	l.dispatcher.HandleOutcome(e.Agent, e.Job, e.Task, placementOutcome(e), e.RunDuration, l.now)
}

// placementOutcome converts the end of a task for the dispatcher. It counts an unknown
// outcome as a failure at the agent.
func placementOutcome(e owner.TaskEnd) placement.Outcome {
	switch e.Outcome {
	case wirepb.TaskOutcome_TASK_OUTCOME_DONE:
		return placement.Done
	case wirepb.TaskOutcome_TASK_OUTCOME_NOT_RUN:
		return placement.NotRun
	}
	if e.Reason == owner.ReasonMinionLost {
		return placement.Crashed
	}
	return placement.Failed
}

// Withdraw implements owner.Effects.
func (l *loop) Withdraw(job uint64) { l.dispatcher.Remove(job) }

// Answer implements owner.Effects. Callers receive the answer of a complete job at
// once. They receive a failure only after it is recorded, because until then another
// owner could still complete the job.
func (l *loop) Answer(job uint64, a *wirepb.JobAnswer) {
	l.metrics.jobAnswered(a)
	j := l.jobs[job]
	if j == nil {
		return
	}
	j.answer = a
	j.ended = time.Now()
	if a.Complete {
		j.closeDone()
	}
}

// RecordCompletions implements owner.Effects.
func (l *loop) RecordCompletions(group, epoch uint64, batch []*wirepb.JobCompletion) {
	r := l.recorders[group]
	if r == nil || r.epoch != epoch {
		r = &recorder{group: group, epoch: epoch}
		l.recorders[group] = r
	}
	r.pending = append(r.pending, batch...)
}

// JobLost implements owner.Effects.
func (l *loop) JobLost(job uint64) {
	j := l.jobs[job]
	if j == nil {
		return
	}
	l.removeLocalJob(job)
	if j.answer == nil || !j.answer.Complete {
		j.lost = true
		j.closeDone()
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
