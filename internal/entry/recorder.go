package entry

import (
	"errors"

	"google.golang.org/protobuf/proto"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/controlclient"
)

const (
	// maxRecordBytes is the size at which a completion request gets no more jobs.
	maxRecordBytes = 1 << 20
	// maxRecordJobs is the maximum number of jobs in one completion request.
	maxRecordJobs = 512
)

// recorder sends the completions of one group to control, which makes them durable.
// At most one request is in flight. Completions that arrive meanwhile are sent
// together in the next one.
type recorder struct {
	group, epoch uint64
	pending      []*wirepb.JobCompletion
	inFlight     bool
}

// nextBatch removes and returns the completions of the next request.
func (r *recorder) nextBatch() []*wirepb.JobCompletion {
	n, size := 0, 0
	for n < len(r.pending) && n < maxRecordJobs && size < maxRecordBytes {
		size += proto.Size(r.pending[n])
		n++
	}
	batch := r.pending[:n:n]
	r.pending = r.pending[n:]
	return batch
}

// sendCompletions sends the next batch of every group that has no request in flight.
func (l *loop) sendCompletions() {
	for group, r := range l.recorders {
		if r.inFlight || len(r.pending) == 0 {
			continue
		}
		r.inFlight = true
		request := &wirepb.CompleteRequest{Owner: l.incarnation, Group: group, Epoch: r.epoch, Completions: r.nextBatch()}
		go l.complete(completeResolved{recorder: r, request: request})
	}
}

// complete sends a completion request, which is idempotent, and retries it until its
// outcome is known or the process ends.
func (l *loop) complete(r completeResolved) {
	for attempt := 0; l.ctx.Err() == nil; attempt++ {
		response, err := l.control.Complete(l.ctx, r.request)
		r.fenced = response.GetFenced() || errors.Is(err, controlclient.ErrFenced)
		r.err = err
		if err == nil || r.fenced || errors.Is(err, controlclient.ErrInvalid) {
			l.enqueue(r)
			return
		}
		backoff(l.ctx, attempt)
	}
}

// completeResolved reports the outcome of a completion request.
type completeResolved struct {
	recorder *recorder
	request  *wirepb.CompleteRequest
	fenced   bool
	err      error
}

func (r completeResolved) handle(l *loop) {
	if l.recorders[r.recorder.group] != r.recorder {
		return
	}
	r.recorder.inFlight = false
	switch {
	case r.fenced:
		l.dropGroup(r.recorder.group)
		return
	case r.err != nil:
		// Control's records are authoritative, so callers wait for their jobs there.
		l.opts.Log.Error(r.err, "completions refused", "group", r.recorder.group, "jobs", len(r.request.Completions))
		for _, c := range r.request.Completions {
			l.JobLost(c.Job)
		}
		return
	}
	jobs := make([]uint64, 0, len(r.request.Completions))
	for _, c := range r.request.Completions {
		jobs = append(jobs, c.Job)
		if j := l.jobs[c.Job]; j != nil {
			j.closeDone()
			l.removeLocalJob(c.Job)
		}
	}
	l.owner.CompletionsRecorded(jobs)
}
