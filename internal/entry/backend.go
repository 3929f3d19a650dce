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
	// followHold is how long control holds a request that waits for a job.
	followHold = 5 * time.Second
	// unavailableRetry is the advice after an outage of control or this entry.
	unavailableRetry = time.Second
	// againPause bounds how often a submission is tried anew while this entry
	// registers.
	againPause = 50 * time.Millisecond
)

// readTime is what a request has beyond its wait to learn the job's state.
const readTime = 5 * time.Second

// waiting is the time of one request. Nil errors mean it is not over.
type waiting struct {
	// wait ends when the caller no longer waits for the job's end, read when
	// the request has to be answered with what is known.
	wait, read context.Context
	stop       func()
}

// newWaiting gives a request its time. A stopping entry ends all waits, so that
// requests are answered rather than cut.
func (p *Process) newWaiting(ctx context.Context, wait time.Duration) waiting {
	read, stopRead := context.WithTimeout(ctx, wait+readTime)
	waits, stopWait := context.WithTimeout(ctx, wait)
	forget := context.AfterFunc(p.waits, stopWait)
	p.inFlight.Add(1)
	return waiting{wait: waits, read: read, stop: func() {
		p.inFlight.Add(-1)
		forget()
		stopWait()
		stopRead()
	}}
}

// Submit accepts a submission and waits for its answer. When the wait ends
// first, the job is returned as it is; the error says what is known.
func (p *Process) Submit(ctx context.Context, s *apijob.Submission, wait time.Duration) (*apijob.Job, error) {
	w := p.newWaiting(ctx, wait)
	defer w.stop()
	spec := specOf(s)
	digest := digestOf(spec)
	for {
		reply, err := p.submit(w.read, spec, digest)
		if err != nil {
			return nil, err
		}
		if reply.kind != submitAgain {
			return p.submitted(w, spec, digest, reply)
		}
		if !sleep.For(w.read, againPause) {
			return nil, unknownSubmission()
		}
	}
}

// submit asks the loop and waits for the outcome.
func (p *Process) submit(ctx context.Context, spec *wirepb.JobSpec, digest []byte) (submitReply, error) {
	reply := make(chan submitReply, 1)
	if !p.loop.post(submit{spec: spec, digest: digest, reply: reply}) {
		return submitReply{kind: submitStopping}, nil
	}
	select {
	case r := <-reply:
		return r, nil
	case <-p.loop.done:
		return submitReply{}, unknownSubmission()
	case <-ctx.Done():
		return submitReply{}, unknownSubmission()
	}
}

func unknownSubmission() error {
	return &apijob.Error{
		Code:         apijob.CodeUnknown,
		Reason:       "it is not known yet whether the job was accepted; send the same submission again",
		RetryAfterMs: unavailableRetry.Milliseconds(),
	}
}

// submitted turns the loop's answer into the caller's.
func (p *Process) submitted(w waiting, spec *wirepb.JobSpec, digest []byte, r submitReply) (*apijob.Job, error) {
	switch r.kind {
	case submitHeld:
		return p.await(w, r.held)
	case submitKnown:
		return p.followRecord(w, r.record)
	case submitConflict:
		return nil, conflict()
	case submitExpired:
		return nil, expired()
	case submitInvalid:
		return nil, &apijob.Error{Code: apijob.CodeInvalid, Reason: r.err.Error()}
	}
	return p.refused(w, spec, digest, r)
}

func conflict() error {
	return &apijob.Error{
		Code: apijob.CodeConflict, Reason: "the submission ID is in use with another content", Field: "submissionId",
	}
}

func expired() error {
	return &apijob.Error{
		Code: apijob.CodeExpired, Reason: "the submission is known, but its answer is no longer kept", Field: "submissionId",
	}
}

// refused answers a submission that this entry did not take. It says "not run"
// only when control confirms that the submission is unknown: an earlier
// request with the same ID may have been accepted elsewhere.
func (p *Process) refused(w waiting, spec *wirepb.JobSpec, digest []byte, r submitReply) (*apijob.Job, error) {
	found, err := p.control.GetJob(w.read, &wirepb.GetJobRequest{Team: spec.Team, Submission: spec.Submission})
	switch {
	case err != nil:
		return nil, refusal(r, false)
	case !found.Found:
		return nil, refusal(r, true)
	case !bytes.Equal(found.Job.Digest, digest):
		return nil, conflict()
	}
	return p.followRecord(w, found.Job)
}

func refusal(r submitReply, notRun bool) error {
	e := &apijob.Error{Code: apijob.CodeUnavailable, NotRun: notRun, RetryAfterMs: unavailableRetry.Milliseconds()}
	switch r.kind {
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

// Job returns a job, waiting for its end.
func (p *Process) Job(ctx context.Context, id uint64, wait time.Duration) (*apijob.Job, error) {
	w := p.newWaiting(ctx, wait)
	defer w.stop()
	h, err := ask(p.loop, func(reply chan<- *heldJob) action { return lookup{job: id, reply: reply} })
	if err == nil && h != nil {
		return p.await(w, h)
	}
	return p.followQuery(w, &wirepb.GetJobRequest{Job: id})
}

// JobBySubmission is Job by team and submission ID.
func (p *Process) JobBySubmission(ctx context.Context, team, submission string, wait time.Duration) (*apijob.Job, error) {
	w := p.newWaiting(ctx, wait)
	defer w.stop()
	key := submissionKey{team: team, submission: submission}
	h, err := ask(p.loop, func(reply chan<- *heldJob) action { return lookupSubmission{key: key, reply: reply} })
	if err == nil && h != nil {
		return p.await(w, h)
	}
	return p.followQuery(w, &wirepb.GetJobRequest{Team: team, Submission: submission})
}

// Cancel cancels a job, here or at its owner, and waits for its end. A job that
// ended before stays as it is.
func (p *Process) Cancel(ctx context.Context, id uint64, wait time.Duration, forwarded bool) (*apijob.Job, error) {
	w := p.newWaiting(ctx, wait)
	defer w.stop()
	h, err := ask(p.loop, func(reply chan<- *heldJob) action { return cancel{job: id, reply: reply} })
	if err == nil && h != nil {
		return p.await(w, h)
	}
	found, err := p.control.GetJob(w.read, &wirepb.GetJobRequest{Job: id})
	switch {
	case err != nil:
		return nil, readError(err)
	case !found.Found:
		return nil, notFound("no such job")
	case ended(found.Job):
		return jobOf(found.Job), nil
	case forwarded:
		return nil, unavailable("the job is changing its owner; try again")
	}
	return p.forwardCancel(w, id, wait, found.Group)
}

var errEnded = eris.New("entry: process has ended")

// ask posts an action with a reply and waits for it.
func ask[T any](l *loop, build func(reply chan<- T) action) (T, error) {
	reply := make(chan T, 1)
	var zero T
	if !l.post(build(reply)) {
		return zero, errEnded
	}
	select {
	case v := <-reply:
		return v, nil
	case <-l.done:
		return zero, errEnded
	}
}

// await waits for a job that is held here.
func (p *Process) await(w waiting, h *heldJob) (*apijob.Job, error) {
	select {
	case <-h.done:
		if h.lost {
			return p.followRecord(w, h.record)
		}
		return answeredJob(h), nil
	case <-w.wait.Done():
		return jobOf(h.record), nil
	}
}

// followRecord waits for a job that is known to be accepted.
func (p *Process) followRecord(w waiting, rec *wirepb.JobRecord) (*apijob.Job, error) {
	if ended(rec) {
		return jobOf(rec), nil
	}
	h, err := ask(p.loop, func(reply chan<- *heldJob) action { return lookup{job: rec.Job, reply: reply} })
	if err == nil && h != nil {
		return p.await(w, h)
	}
	j, err := p.followQuery(w, &wirepb.GetJobRequest{Job: rec.Job})
	if err != nil {
		// The job is accepted whatever became of the question.
		return jobOf(rec), nil
	}
	return j, nil
}

// followQuery reads a job from control until it has ended or the wait is over.
func (p *Process) followQuery(w waiting, q *wirepb.GetJobRequest) (*apijob.Job, error) {
	for attempt := 0; w.wait.Err() == nil; attempt++ {
		q.WaitMs = holdMs(w.wait)
		if q.WaitMs == 0 {
			break
		}
		found, err := p.control.GetJob(w.wait, q)
		switch {
		case err != nil:
			pause(w.wait, attempt)
		case !found.Found:
			return nil, notFound("no such job")
		case ended(found.Job):
			return jobOf(found.Job), nil
		default:
			attempt = 0
		}
	}
	return p.readJob(w, q)
}

// readJob reads a job from control as it is now.
func (p *Process) readJob(w waiting, q *wirepb.GetJobRequest) (*apijob.Job, error) {
	q.WaitMs = 0
	found, err := p.control.GetJob(w.read, q)
	switch {
	case err != nil:
		return nil, readError(err)
	case !found.Found:
		return nil, notFound("no such job")
	}
	return jobOf(found.Job), nil
}

// holdMs is how long control may hold a request so that it is back before the
// wait ends; 0 when there is no time to wait.
func holdMs(wait context.Context) uint32 {
	deadline, ok := wait.Deadline()
	if !ok {
		return uint32(followHold.Milliseconds())
	}
	return uint32(max(min(time.Until(deadline)-holdReserve, followHold).Milliseconds(), 0))
}

// holdReserve is left of a wait for the way back from control.
const holdReserve = 20 * time.Millisecond

func notFound(reason string) error {
	return &apijob.Error{Code: apijob.CodeNotFound, Reason: reason}
}

func unavailable(reason string) error {
	return &apijob.Error{Code: apijob.CodeUnavailable, Reason: reason, RetryAfterMs: unavailableRetry.Milliseconds()}
}

func readError(err error) error {
	if errors.Is(err, controlclient.ErrInvalid) {
		return &apijob.Error{Code: apijob.CodeInvalid, Reason: err.Error()}
	}
	return unavailable("control can't be reached")
}

// Ready tells why this entry takes no jobs now; nil when it does.
func (p *Process) Ready() error {
	switch {
	case p.stopping.Load():
		return unavailable("stopping")
	case p.follower.Incarnation() == 0:
		return unavailable("not registered")
	case !p.follower.LeaseValid(time.Now()):
		return unavailable("no lease")
	}
	return nil
}
