package entry

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"time"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/controlclient"
	"endivewing/internal/placement"
	"endivewing/internal/sleep"
)

// submissionKey identifies a submission by its team and submission ID.
type submissionKey struct {
	team, submission string
}

func keyOf(spec *wirepb.JobSpec) submissionKey {
	return submissionKey{team: spec.Team, submission: spec.Submission}
}

// submitOutcome is the outcome of a submission at the loop.
type submitOutcome uint8

const (
	// submitLocal: this entry owns the job.
	submitLocal submitOutcome = iota + 1
	// submitKnown: control had accepted the submission before; record has its
	// state.
	submitKnown
	// submitConflict: the submission ID is in use with another digest.
	submitConflict
	// submitExpired: the submission is known, but its answer is no longer kept.
	submitExpired
	// submitRefused: admission refused the submission; nothing was sent to
	// control.
	submitRefused
	// submitStopping: this entry accepts no new jobs; nothing was sent to
	// control.
	submitStopping
	// submitNotRun: control did not accept the submission, and no request that
	// could still do so is under way.
	submitNotRun
	// submitInvalid: control can never accept the submission.
	submitInvalid
	// submitRetry: the incarnation ended before the outcome was known. The
	// submission must be sent to the loop again.
	submitRetry
)

// submitReply is the loop's reply to submitRequested.
type submitReply struct {
	outcome submitOutcome
	local   *localJob
	record  *wirepb.JobRecord
	refusal placement.Refusal
	err     error
}

// submitRequested asks to accept a submission. The loop replies once, when the
// outcome is known. Without a reply the submission may or may not be accepted.
type submitRequested struct {
	spec   *wirepb.JobSpec
	digest []byte
	reply  chan submitReply
}

// pendingAccept is an accept request to control whose outcome is not known.
type pendingAccept struct {
	spec       *wirepb.JobSpec
	digest     []byte
	token      uint64
	generation uint64
	owner      uint64
	// replies has one channel for each caller that sent this submission.
	replies []chan submitReply
}

func (a *pendingAccept) replyAll(r submitReply) {
	for _, reply := range a.replies {
		reply <- r
	}
}

func (s submitRequested) handle(l *loop) {
	key := keyOf(s.spec)
	if j := l.jobsBySubmission[key]; j != nil {
		s.reply <- localReply(j, s.digest)
		return
	}
	if a := l.pendingAccepts[key]; a != nil {
		if !bytes.Equal(a.digest, s.digest) {
			s.reply <- submitReply{outcome: submitConflict}
			return
		}
		a.replies = append(a.replies, s.reply)
		return
	}
	if reply, refused := l.refusesAll(); refused {
		s.reply <- reply
		return
	}
	info := jobInfo(0, s.spec, l.now, l.deadline(s.spec, l.now))
	if refusal, ok := l.dispatcher.Admit(info, l.now); !ok {
		l.metrics.jobRefused(string(refusal.Code))
		s.reply <- submitReply{outcome: submitRefused, refusal: refusal}
		return
	}
	l.startAccept(key, s)
}

// maxPendingAccepts is the maximum number of accept requests whose outcome is
// not known.
const maxPendingAccepts = 4096

// refusesAll reports whether the loop accepts no submission of any kind now, and
// returns the reply to send then.
func (l *loop) refusesAll() (submitReply, bool) {
	switch {
	case l.owner == nil || l.refusing:
		return submitReply{outcome: submitStopping}, true
	case !l.leaseValid(l.now):
		return submitReply{outcome: submitNotRun}, true
	case len(l.pendingAccepts) >= maxPendingAccepts:
		full := placement.Refusal{
			Code: placement.RefusedQueueFull, Detail: "too many submissions wait for control", RetryAfter: unavailableRetryAfter,
		}
		return submitReply{outcome: submitRefused, refusal: full}, true
	}
	return submitReply{}, false
}

func localReply(j *localJob, digest []byte) submitReply {
	if !bytes.Equal(j.record.Digest, digest) {
		return submitReply{outcome: submitConflict}
	}
	return submitReply{outcome: submitLocal, local: j}
}

func (l *loop) startAccept(key submissionKey, s submitRequested) {
	l.lastAcceptToken++
	a := &pendingAccept{
		spec: s.spec, digest: s.digest, token: l.lastAcceptToken, generation: l.generation, owner: l.incarnation,
		replies: []chan submitReply{s.reply},
	}
	l.pendingAccepts[key] = a
	l.owner.AcceptSent(a.token)
	control := l.control
	go func() {
		response, err := l.resolveAccept(control, a)
		l.enqueue(acceptResolved{accept: a, response: response, err: err})
	}()
}

const (
	// minBackoff is the fixed part of the pause between two attempts.
	minBackoff = 20 * time.Millisecond
	// maxBackoff is the upper limit of the random part of that pause.
	maxBackoff = 2 * time.Second
)

// maxConcurrentRetries bounds the accept requests that are retried at the same
// time. Without it all of them would reach control at once after an outage.
const maxConcurrentRetries = 64

// resolveAccept sends the accept request to control and retries it until the
// outcome is known or the process ends. All attempts have the same token, so
// control answers a retry with the outcome of the first attempt.
func (l *loop) resolveAccept(control controlclient.Control, a *pendingAccept) (*wirepb.AcceptResponse, error) {
	request := &wirepb.AcceptRequest{Spec: a.spec, Digest: a.digest, Owner: a.owner, Token: a.token}
	response, err := control.Accept(l.ctx, request)
	if !errors.Is(err, controlclient.ErrUnknownOutcome) || errors.Is(err, controlclient.ErrFenced) {
		return response, err
	}
	for attempt := 0; ; attempt++ {
		backoff(l.ctx, attempt)
		response, err = l.retryAccept(control, request)
		// ErrNotRun of a retry doesn't tell whether an earlier attempt was run.
		final := err == nil || errors.Is(err, controlclient.ErrFenced) || errors.Is(err, controlclient.ErrInvalid)
		if final || l.ctx.Err() != nil {
			return response, err
		}
	}
}

func (l *loop) retryAccept(control controlclient.Control, request *wirepb.AcceptRequest) (*wirepb.AcceptResponse, error) {
	select {
	case l.retrySlots <- struct{}{}:
	case <-l.ctx.Done():
		return nil, l.ctx.Err()
	}
	defer func() { <-l.retrySlots }()
	return control.Accept(l.ctx, request)
}

// backoff waits for a random time, which grows exponentially with the number of
// earlier attempts up to a limit. It returns early when ctx ends.
func backoff(ctx context.Context, attempt int) {
	limit := min(minBackoff<<min(attempt, 10), maxBackoff)
	sleep.For(ctx, minBackoff+rand.N(limit))
}

// acceptResolved reports the outcome of an accept request.
type acceptResolved struct {
	accept   *pendingAccept
	response *wirepb.AcceptResponse
	err      error
}

func (a acceptResolved) handle(l *loop) {
	if a.accept.generation != l.generation {
		return // dropIncarnation has replied
	}
	delete(l.pendingAccepts, keyOf(a.accept.spec))
	reply := l.acceptReply(a)
	l.owner.AcceptResolved(a.accept.token)
	a.accept.replyAll(reply)
}

func (l *loop) acceptReply(a acceptResolved) submitReply {
	switch {
	case errors.Is(a.err, controlclient.ErrInvalid):
		return submitReply{outcome: submitInvalid, err: a.err}
	case errors.Is(a.err, controlclient.ErrNotRun) && !errors.Is(a.err, controlclient.ErrUnknownOutcome):
		return submitReply{outcome: submitNotRun, err: a.err}
	case a.err != nil:
		return submitReply{outcome: submitRetry}
	}
	switch a.response.Outcome {
	case wirepb.AcceptOutcome_ACCEPT_OUTCOME_NEW:
		return l.takeOwnership(a)
	case wirepb.AcceptOutcome_ACCEPT_OUTCOME_EXISTING:
		return submitReply{outcome: submitKnown, record: a.response.Job}
	case wirepb.AcceptOutcome_ACCEPT_OUTCOME_CONFLICT:
		return submitReply{outcome: submitConflict}
	}
	return submitReply{outcome: submitExpired}
}

// takeOwnership starts work on a job that control has just accepted for this
// entry. The record in control's response has no payloads, so the spec of the
// submission replaces it.
func (l *loop) takeOwnership(a acceptResolved) submitReply {
	rec := a.response.Job
	rec.Spec = a.accept.spec
	rec.Digest = a.accept.digest
	l.metrics.jobAccepted(len(rec.Spec.Tasks))
	j := l.addLocalJob(rec)
	l.owner.Accept(rec, l.deadline(rec.Spec, l.now))
	if !l.owner.Owns(rec.Job) {
		// Another entry took over the group before the response arrived.
		l.JobLost(rec.Job)
	}
	return submitReply{outcome: submitLocal, local: j}
}

// deadline returns the deadline of a job that was accepted at the given time.
func (l *loop) deadline(spec *wirepb.JobSpec, accepted time.Time) time.Time {
	timeout := time.Duration(spec.TimeoutMs) * time.Millisecond
	if timeout == 0 {
		timeout = l.opts.DefaultTimeout
	}
	return accepted.Add(timeout)
}
