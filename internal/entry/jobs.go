package entry

import (
	"sync"
	"time"

	wirepb "endivewing/api/endivewing/v1"
)

// localJob is a job that this entry owns and has not yet recorded as ended. The loop
// writes answer, ended and lost before it closes done. Other goroutines read them
// only after that.
type localJob struct {
	// record has no payloads and does not change.
	record *wirepb.JobRecord
	answer *wirepb.JobAnswer
	ended  time.Time
	// lost is set when another entry owns the job now.
	lost bool

	done      chan struct{}
	closeOnce sync.Once
}

func (j *localJob) closeDone() { j.closeOnce.Do(func() { close(j.done) }) }

// addLocalJob makes an accepted job available to callers.
func (l *loop) addLocalJob(rec *wirepb.JobRecord) *localJob {
	j := &localJob{record: withoutPayloads(rec), done: make(chan struct{})}
	l.jobs[rec.Job] = j
	l.jobsBySubmission[keyOf(rec.Spec)] = j
	return j
}

func (l *loop) removeLocalJob(job uint64) {
	j := l.jobs[job]
	if j == nil {
		return
	}
	delete(l.jobs, job)
	if key := keyOf(j.record.Spec); l.jobsBySubmission[key] == j {
		delete(l.jobsBySubmission, key)
	}
}

// withoutPayloads copies a record. The copy has as many tasks, but they are empty.
func withoutPayloads(rec *wirepb.JobRecord) *wirepb.JobRecord {
	spec := rec.Spec
	return &wirepb.JobRecord{
		Job: rec.Job, Digest: rec.Digest, Group: rec.Group, State: rec.State,
		AcceptedUnixMs: rec.AcceptedUnixMs,
		Spec: &wirepb.JobSpec{
			Team: spec.Team, Submission: spec.Submission, Service: spec.Service,
			Unrepeatable: spec.Unrepeatable, TimeoutMs: spec.TimeoutMs,
			Tasks: make([]*wirepb.Task, len(spec.Tasks)),
		},
	}
}

// jobRequested asks for a job by its number. The reply is nil when this entry does
// not hold the job.
type jobRequested struct {
	job   uint64
	reply chan<- *localJob
}

func (e jobRequested) handle(l *loop) { e.reply <- l.jobs[e.job] }

// submissionRequested asks for a job by its team and submission ID. The reply is nil
// when this entry does not hold the job.
type submissionRequested struct {
	key   submissionKey
	reply chan<- *localJob
}

func (e submissionRequested) handle(l *loop) { e.reply <- l.jobsBySubmission[e.key] }

// cancelRequested asks to cancel a job. The reply is the job, or nil when this entry
// does not hold it.
type cancelRequested struct {
	job   uint64
	reply chan<- *localJob
}

func (e cancelRequested) handle(l *loop) {
	j := l.jobs[e.job]
	if j != nil {
		l.owner.Cancel(e.job, l.now)
	}
	e.reply <- j
}
