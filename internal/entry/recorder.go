package entry

import (
	"errors"

	"google.golang.org/protobuf/proto"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/controlclient"
)

const (
	// maxRecordBytes and maxRecordJobs bound one completion request.
	maxRecordBytes = 1 << 20
	maxRecordJobs  = 512
)

// recorder makes the completions of one group durable. One request is in
// flight; what ends meanwhile leaves together in the next.
type recorder struct {
	group, epoch uint64
	waiting      []*wirepb.JobCompletion
	inFlight     bool
}

// take cuts off the next batch.
func (r *recorder) take() []*wirepb.JobCompletion {
	n, size := 0, 0
	for n < len(r.waiting) && n < maxRecordJobs && size < maxRecordBytes {
		size += proto.Size(r.waiting[n])
		n++
	}
	batch := r.waiting[:n:n]
	r.waiting = r.waiting[n:]
	return batch
}

// sendRecords sends the next batch of every group that has none in flight.
func (l *loop) sendRecords() {
	for group, r := range l.recorders {
		if r.inFlight || len(r.waiting) == 0 {
			continue
		}
		r.inFlight = true
		request := &wirepb.CompleteRequest{Owner: l.incarnation, Group: group, Epoch: r.epoch, Completions: r.take()}
		go l.complete(recorded{recorder: r, request: request})
	}
}

// complete repeats the request, which is idempotent, until its outcome is
// known or the process ends.
func (l *loop) complete(r recorded) {
	for attempt := 0; l.ctx.Err() == nil; attempt++ {
		response, err := l.control.Complete(l.ctx, r.request)
		r.fenced = response.GetFenced() || errors.Is(err, controlclient.ErrFenced)
		r.err = err
		if err == nil || r.fenced || errors.Is(err, controlclient.ErrInvalid) {
			l.post(r)
			return
		}
		pause(l.ctx, attempt)
	}
}

// recorded is the outcome of a completion request.
type recorded struct {
	recorder *recorder
	request  *wirepb.CompleteRequest
	fenced   bool
	err      error
}

func (r recorded) apply(l *loop) {
	if l.recorders[r.recorder.group] != r.recorder {
		return
	}
	r.recorder.inFlight = false
	switch {
	case r.fenced:
		l.loseGroup(r.recorder.group)
		return
	case r.err != nil:
		// Control knows better; callers follow their jobs there.
		l.opts.Log.Error(r.err, "completions refused", "group", r.recorder.group, "jobs", len(r.request.Completions))
		for _, c := range r.request.Completions {
			l.Lost(c.Job)
		}
		return
	}
	jobs := make([]uint64, 0, len(r.request.Completions))
	for _, c := range r.request.Completions {
		jobs = append(jobs, c.Job)
		if h := l.jobs[c.Job]; h != nil {
			h.finish()
			l.drop(c.Job)
		}
	}
	l.owner.Recorded(jobs)
}
