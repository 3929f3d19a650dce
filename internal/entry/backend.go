package entry

import (
	"bytes"
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	wirepb "endivewing/api/endivewing/v1"
	apijob "endivewing/api/job"
	"endivewing/internal/controlclient"
	"endivewing/internal/sleep"
)

const (
	// maxLongPoll is the longest time for which control holds a request that waits
	// for the end of a job.
	maxLongPoll = 5 * time.Second
	// unavailableRetryAfter is the retry time sent to callers while control or this
	// entry is unavailable.
	unavailableRetryAfter = time.Second
	// resubmitBackoff is the pause before a submission is sent to the loop again
	// while this entry registers.
	resubmitBackoff = 50 * time.Millisecond
)

// jobReadTimeout is the time that a request has after the end of its wait to read
// the job's state.
const jobReadTimeout = 5 * time.Second

// requestWait holds the time limits of one request.
type requestWait struct {
	// waitCtx ends when the caller no longer waits for the job's end. readCtx ends
	// when the request must be answered with what is known.
	waitCtx, readCtx context.Context
	stop             func()
}

// newRequestWait starts the time limits of a request. A stopping entry ends all
// waits, so that requests are answered before their connections close.
func (p *Process) newRequestWait(ctx context.Context, wait time.Duration) requestWait {
	readCtx, stopRead := context.WithTimeout(ctx, wait+jobReadTimeout)
	waitCtx, stopWait := context.WithTimeout(ctx, wait)
	detach := context.AfterFunc(p.waitsCtx, stopWait)
	p.requestsInFlight.Add(1)
	return requestWait{waitCtx: waitCtx, readCtx: readCtx, stop: func() {
		p.requestsInFlight.Add(-1)
		detach()
		stopWait()
		stopRead()
	}}
}

// Submit accepts a submission and waits for its answer. When the wait ends first,
// it returns the open job. An error, an *apijob.Error, says whether the submission
// may have been accepted.
func (p *Process) Submit(ctx context.Context, s *apijob.Submission, wait time.Duration) (*apijob.Job, error) {
	w := p.newRequestWait(ctx, wait)
	defer w.stop()
	spec := specOf(s)
	digest := digestOf(spec)
	for {
		reply, err := p.submit(w.readCtx, spec, digest)
		if err != nil {
			return nil, err
		}
		if reply.outcome != submitRetry {
			return p.answerSubmission(w, spec, digest, reply)
		}
		if !sleep.For(w.readCtx, resubmitBackoff) {
			return nil, unknownOutcomeError()
		}
	}
}

// submit sends a submission to the loop and waits for the outcome.
func (p *Process) submit(ctx context.Context, spec *wirepb.JobSpec, digest []byte) (submitReply, error) {
	reply := make(chan submitReply, 1)
	if !p.loop.enqueue(submitRequested{spec: spec, digest: digest, reply: reply}) {
		return submitReply{outcome: submitStopping}, nil
	}
	select {
	case r := <-reply:
		return r, nil
	case <-p.loop.done:
		return submitReply{}, unknownOutcomeError()
	case <-ctx.Done():
		return submitReply{}, unknownOutcomeError()
	}
}

func unknownOutcomeError() error {
	return &apijob.Error{
		Code:         apijob.CodeUnknown,
		Reason:       "it is not known yet whether the job was accepted; send the same submission again",
		RetryAfterMs: unavailableRetryAfter.Milliseconds(),
	}
}

// answerSubmission turns the loop's reply into the answer for the caller.
func (p *Process) answerSubmission(w requestWait, spec *wirepb.JobSpec, digest []byte, r submitReply) (*apijob.Job, error) {
	switch r.outcome {
	case submitLocal:
		return p.waitForLocal(w, r.local)
	case submitKnown:
		return p.waitForAccepted(w, r.record)
	case submitConflict:
		return nil, conflictError()
	case submitExpired:
		return nil, expiredError()
	case submitInvalid:
		return nil, &apijob.Error{Code: apijob.CodeInvalid, Reason: r.err.Error()}
	}
	return p.answerRefused(w, spec, digest, r)
}

func conflictError() error {
	return &apijob.Error{
		Code: apijob.CodeConflict, Reason: "the submission ID is in use with another content", Field: "submissionId",
	}
}

func expiredError() error {
	return &apijob.Error{
		Code: apijob.CodeExpired, Reason: "the submission is known, but its answer is no longer kept", Field: "submissionId",
	}
}

// answerRefused answers a submission that this entry did not accept. It reports
// "not run" only when control confirms that the submission is unknown, because
// another entry may have accepted an earlier request with the same ID.
func (p *Process) answerRefused(w requestWait, spec *wirepb.JobSpec, digest []byte, r submitReply) (*apijob.Job, error) {
	found, err := p.control.GetJob(w.readCtx, &wirepb.GetJobRequest{Team: spec.Team, Submission: spec.Submission})
	switch {
	case err != nil:
		return nil, refusalError(r, false)
	case !found.Found:
		return nil, refusalError(r, true)
	case !bytes.Equal(found.Job.Digest, digest):
		return nil, conflictError()
	}
	return p.waitForAccepted(w, found.Job)
}

func refusalError(r submitReply, notRun bool) error {
	e := &apijob.Error{Code: apijob.CodeUnavailable, NotRun: notRun, RetryAfterMs: unavailableRetryAfter.Milliseconds()}
	switch r.outcome {
	case submitRefused:
		e.Code = apijob.CodeRefused
		e.Reason = string(r.refusal.Code)
		if r.refusal.Detail != "" {
			e.Reason += ": " + r.refusal.Detail
		}
		e.RetryAfterMs = r.refusal.RetryAfter.Milliseconds()
	case submitStopping:
		e.Reason = "this entry takes no new jobs now"
	default:
		e.Reason = "control can't be reached"
	}
	return e
}

// Job waits for the end of a job and returns it. When the wait ends first, it
// returns the open job.
func (p *Process) Job(ctx context.Context, id uint64, wait time.Duration) (*apijob.Job, error) {
	w := p.newRequestWait(ctx, wait)
	defer w.stop()
	local, err := callLoop(p.loop, func(reply chan<- *localJob) event { return jobRequested{job: id, reply: reply} })
	if err == nil && local != nil {
		return p.waitForLocal(w, local)
	}
	return p.waitAtControl(w, &wirepb.GetJobRequest{Job: id})
}

// JobBySubmission is like Job but finds the job by its team and submission ID.
func (p *Process) JobBySubmission(ctx context.Context, team, submission string, wait time.Duration) (*apijob.Job, error) {
	w := p.newRequestWait(ctx, wait)
	defer w.stop()
	key := submissionKey{team: team, submission: submission}
	local, err := callLoop(p.loop, func(reply chan<- *localJob) event { return submissionRequested{key: key, reply: reply} })
	if err == nil && local != nil {
		return p.waitForLocal(w, local)
	}
	return p.waitAtControl(w, &wirepb.GetJobRequest{Team: team, Submission: submission})
}

// Cancel cancels a job, here or at the entry that owns it, and waits for its end. A
// job that has ended is returned unchanged. A request that another entry forwarded
// is not forwarded again.
func (p *Process) Cancel(ctx context.Context, id uint64, wait time.Duration, forwarded bool) (*apijob.Job, error) {
	w := p.newRequestWait(ctx, wait)
	defer w.stop()
	local, err := callLoop(p.loop, func(reply chan<- *localJob) event { return cancelRequested{job: id, reply: reply} })
	if err == nil && local != nil {
		return p.waitForLocal(w, local)
	}
	found, err := p.control.GetJob(w.readCtx, &wirepb.GetJobRequest{Job: id})
	switch {
	case err != nil:
		return nil, readError(err)
	case !found.Found:
		return nil, notFoundError("no such job")
	case hasEnded(found.Job):
		return jobOf(found.Job), nil
	case forwarded:
		return nil, unavailableError("the job is changing its owner; try again")
	}
	return p.forwardCancel(w, id, wait, found.Group)
}

var errProcessEnded = eris.New("entry: process has ended")

// callLoop enqueues an event that has a reply channel and waits for the reply.
func callLoop[T any](l *loop, build func(reply chan<- T) event) (T, error) {
	reply := make(chan T, 1)
	var zero T
	if !l.enqueue(build(reply)) {
		return zero, errProcessEnded
	}
	select {
	case v := <-reply:
		return v, nil
	case <-l.done:
		return zero, errProcessEnded
	}
}

// waitForLocal waits for the end of a job that the loop holds.
func (p *Process) waitForLocal(w requestWait, local *localJob) (*apijob.Job, error) {
	select {
	case <-local.done:
		if local.lost {
			return p.waitForAccepted(w, local.record)
		}
		return answeredJob(local), nil
	case <-w.waitCtx.Done():
		return jobOf(local.record), nil
	}
}

// waitForAccepted waits for the end of a job that control has accepted.
func (p *Process) waitForAccepted(w requestWait, rec *wirepb.JobRecord) (*apijob.Job, error) {
	if hasEnded(rec) {
		return jobOf(rec), nil
	}
	local, err := callLoop(p.loop, func(reply chan<- *localJob) event { return jobRequested{job: rec.Job, reply: reply} })
	if err == nil && local != nil {
		return p.waitForLocal(w, local)
	}
	j, err := p.waitAtControl(w, &wirepb.GetJobRequest{Job: rec.Job})
	if err != nil {
		// The job is accepted even if its present state can't be read.
		return jobOf(rec), nil
	}
	return j, nil
}

// waitAtControl reads a job from control until it has ended or the wait is over. It
// then returns the job as it is.
func (p *Process) waitAtControl(w requestWait, q *wirepb.GetJobRequest) (*apijob.Job, error) {
	for attempt := 0; w.waitCtx.Err() == nil; attempt++ {
		q.WaitMs = longPollMs(w.waitCtx)
		if q.WaitMs == 0 {
			break
		}
		found, err := p.control.GetJob(w.waitCtx, q)
		switch {
		case err != nil:
			backoff(w.waitCtx, attempt)
		case !found.Found:
			return nil, notFoundError("no such job")
		case hasEnded(found.Job):
			return jobOf(found.Job), nil
		default:
			attempt = 0
		}
	}
	return p.readJob(w, q)
}

// readJob reads a job from control without waiting for its end.
func (p *Process) readJob(w requestWait, q *wirepb.GetJobRequest) (*apijob.Job, error) {
	q.WaitMs = 0
	found, err := p.control.GetJob(w.readCtx, q)
	switch {
	case err != nil:
		return nil, readError(err)
	case !found.Found:
		return nil, notFoundError("no such job")
	}
	return jobOf(found.Job), nil
}

// longPollMs returns the time in milliseconds for which control may hold a request
// and still answer before wait ends, or 0 when no time is left.
func longPollMs(wait context.Context) uint32 {
	deadline, ok := wait.Deadline()
	if !ok {
		return uint32(maxLongPoll.Milliseconds())
	}
	return uint32(max(min(time.Until(deadline)-longPollReserve, maxLongPoll).Milliseconds(), 0))
}

// longPollReserve is the part of a wait that is kept for control's response to
// arrive.
const longPollReserve = 20 * time.Millisecond

func notFoundError(reason string) error {
	return &apijob.Error{Code: apijob.CodeNotFound, Reason: reason}
}

func unavailableError(reason string) error {
	return &apijob.Error{Code: apijob.CodeUnavailable, Reason: reason, RetryAfterMs: unavailableRetryAfter.Milliseconds()}
}

func readError(err error) error {
	if errors.Is(err, controlclient.ErrInvalid) {
		return &apijob.Error{Code: apijob.CodeInvalid, Reason: err.Error()}
	}
	return unavailableError("control can't be reached")
}

// Ready returns the reason why this entry accepts no jobs now, or nil when it
// accepts them.
func (p *Process) Ready() error {
	switch {
	case p.stopping.Load():
		return unavailableError("stopping")
	case p.follower.Incarnation() == 0:
		return unavailableError("not registered")
	case !p.follower.LeaseValid(time.Now()):
		return unavailableError("no lease")
	}
	return nil
}
