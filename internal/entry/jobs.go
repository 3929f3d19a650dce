package entry

import (
	"sync"
	"time"

	wirepb "endivewing/api/endivewing/v1"
)

// heldJob is a job that this entry answers for, or has answered and not yet
// recorded. Its fields are written by the loop before done is closed and read
// by others only afterwards.
type heldJob struct {
	// record has no payloads.
	record *wirepb.JobRecord
	answer *wirepb.JobAnswer
	ended  time.Time
	// lost: another entry owns the job now.
	lost bool

	done   chan struct{}
	closed sync.Once
}

func (h *heldJob) finish() { h.closed.Do(func() { close(h.done) }) }

// hold makes an accepted job known.
func (l *loop) hold(rec *wirepb.JobRecord) *heldJob {
	h := &heldJob{record: withoutPayloads(rec), done: make(chan struct{})}
	l.jobs[rec.Job] = h
	l.local[keyOf(rec.Spec)] = h
	return h
}

func (l *loop) drop(job uint64) {
	h := l.jobs[job]
	if h == nil {
		return
	}
	delete(l.jobs, job)
	if key := keyOf(h.record.Spec); l.local[key] == h {
		delete(l.local, key)
	}
}

// withoutPayloads is a record with the number of tasks but not their content.
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

// lookup asks for a job that is held here; nil when it is not.
type lookup struct {
	job   uint64
	reply chan<- *heldJob
}

func (a lookup) apply(l *loop) { a.reply <- l.jobs[a.job] }

// lookupSubmission is lookup by team and submission ID.
type lookupSubmission struct {
	key   submissionKey
	reply chan<- *heldJob
}

func (a lookupSubmission) apply(l *loop) { a.reply <- l.local[a.key] }

// cancel asks to cancel a job that is held here; nil when it is not.
type cancel struct {
	job   uint64
	reply chan<- *heldJob
}

func (a cancel) apply(l *loop) {
	h := l.jobs[a.job]
	if h != nil {
		l.owner.Cancel(a.job, l.now)
	}
	a.reply <- h
}
