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

// submissionKey names a submission.
type submissionKey struct {
	team, submission string
}

func keyOf(spec *wirepb.JobSpec) submissionKey {
	return submissionKey{team: spec.Team, submission: spec.Submission}
}

// submitKind is what became of a submission.
type submitKind uint8

const (
	// submitHeld: the job is owned here.
	submitHeld submitKind = iota + 1
	// submitKnown: control knows the submission; record tells its state.
	submitKnown
	// submitConflict: the submission ID is in use with another digest.
	submitConflict
	// submitExpired: the submission is known, its answer no longer.
	submitExpired
	// submitRefused: admission refused it; nothing was sent to control.
	submitRefused
	// submitStopping: this entry takes no new jobs; nothing was sent.
	submitStopping
	// submitNotRun: control did nothing and will do nothing.
	submitNotRun
	// submitInvalid: control can never accept it.
	submitInvalid
	// submitAgain: the incarnation ended meanwhile; submit again.
	submitAgain
)

// submitReply is the loop's answer to a submission.
type submitReply struct {
	kind    submitKind
	held    *heldJob
	record  *wirepb.JobRecord
	refusal placement.Refusal
	err     error
}

// submit asks to accept a submission. The reply comes once, when its outcome
// is known; until then the outcome is unknown.
type submit struct {
	spec   *wirepb.JobSpec
	digest []byte
	reply  chan submitReply
}

// accept is an accept request whose outcome is not known.
type accept struct {
	spec   *wirepb.JobSpec
	digest []byte
	token  uint64
	term   uint64
	owner  uint64
	// replies wait for the outcome: the same submission may come again.
	replies []chan submitReply
}

func (a *accept) resolve(r submitReply) {
	for _, reply := range a.replies {
		reply <- r
	}
}

func (s submit) apply(l *loop) {
	key := keyOf(s.spec)
	if h := l.local[key]; h != nil {
		s.reply <- knownReply(h, s.digest)
		return
	}
	if a := l.accepts[key]; a != nil {
		if !bytes.Equal(a.digest, s.digest) {
			s.reply <- submitReply{kind: submitConflict}
			return
		}
		a.replies = append(a.replies, s.reply)
		return
	}
	if reply, refused := l.refuses(); refused {
		s.reply <- reply
		return
	}
	info := jobInfo(0, s.spec, l.now, l.deadline(s.spec, l.now))
	if refusal, ok := l.dispatch.Admit(info, l.now); !ok {
		l.metrics.refused(string(refusal.Code))
		s.reply <- submitReply{kind: submitRefused, refusal: refusal}
		return
	}
	l.startAccept(key, s)
}

// maxAccepts bounds the accept requests whose outcome is not known.
const maxAccepts = 4096

// refuses tells whether no job at all is taken now.
func (l *loop) refuses() (submitReply, bool) {
	switch {
	case l.owner == nil || l.refusing:
		return submitReply{kind: submitStopping}, true
	case !l.leaseValid(l.now):
		return submitReply{kind: submitNotRun}, true
	case len(l.accepts) >= maxAccepts:
		full := placement.Refusal{
			Code: placement.RefusedQueueFull, Detail: "too many submissions wait for control", RetryAfter: unavailableRetry,
		}
		return submitReply{kind: submitRefused, refusal: full}, true
	}
	return submitReply{}, false
}

func knownReply(h *heldJob, digest []byte) submitReply {
	if !bytes.Equal(h.record.Digest, digest) {
		return submitReply{kind: submitConflict}
	}
	return submitReply{kind: submitHeld, held: h}
}

func (l *loop) startAccept(key submissionKey, s submit) {
	l.lastToken++
	a := &accept{
		spec: s.spec, digest: s.digest, token: l.lastToken, term: l.term, owner: l.incarnation,
		replies: []chan submitReply{s.reply},
	}
	l.accepts[key] = a
	l.owner.AcceptSent(a.token)
	control := l.control
	go func() {
		response, err := l.resolveAccept(control, a)
		l.post(accepted{accept: a, response: response, err: err})
	}()
}

const (
	// retryLeast and retryMost bound the jittered pause between two attempts.
	retryLeast = 20 * time.Millisecond
	retryMost  = 2 * time.Second
)

// maxRetries bounds the accepts that are asked again at once, so that the end of
// an outage does not begin with all of them together.
const maxRetries = 64

// resolveAccept asks control until the outcome is known or the process ends.
// The token stays the same, so that control answers a repeat with the first
// outcome.
func (l *loop) resolveAccept(control controlclient.Control, a *accept) (*wirepb.AcceptResponse, error) {
	request := &wirepb.AcceptRequest{Spec: a.spec, Digest: a.digest, Owner: a.owner, Token: a.token}
	response, err := control.Accept(l.ctx, request)
	if !errors.Is(err, controlclient.ErrUnknownOutcome) || errors.Is(err, controlclient.ErrFenced) {
		return response, err
	}
	for attempt := 0; ; attempt++ {
		pause(l.ctx, attempt)
		response, err = l.acceptAgain(control, request)
		// That a repeat was not run says nothing about the first.
		final := err == nil || errors.Is(err, controlclient.ErrFenced) || errors.Is(err, controlclient.ErrInvalid)
		if final || l.ctx.Err() != nil {
			return response, err
		}
	}
}

func (l *loop) acceptAgain(control controlclient.Control, request *wirepb.AcceptRequest) (*wirepb.AcceptResponse, error) {
	select {
	case l.retries <- struct{}{}:
	case <-l.ctx.Done():
		return nil, l.ctx.Err()
	}
	defer func() { <-l.retries }()
	return control.Accept(l.ctx, request)
}

// pause waits a jittered time that grows with the attempts.
func pause(ctx context.Context, attempt int) {
	most := min(retryLeast<<min(attempt, 10), retryMost)
	sleep.For(ctx, retryLeast+rand.N(most))
}

// accepted is the outcome of an accept request.
type accepted struct {
	accept   *accept
	response *wirepb.AcceptResponse
	err      error
}

func (a accepted) apply(l *loop) {
	if a.accept.term != l.term {
		return // giveUp has answered
	}
	delete(l.accepts, keyOf(a.accept.spec))
	reply := l.acceptReply(a)
	l.owner.AcceptResolved(a.accept.token)
	a.accept.resolve(reply)
}

func (l *loop) acceptReply(a accepted) submitReply {
	switch {
	case errors.Is(a.err, controlclient.ErrInvalid):
		return submitReply{kind: submitInvalid, err: a.err}
	case errors.Is(a.err, controlclient.ErrNotRun) && !errors.Is(a.err, controlclient.ErrUnknownOutcome):
		return submitReply{kind: submitNotRun, err: a.err}
	case a.err != nil:
		return submitReply{kind: submitAgain}
	}
	switch a.response.Outcome {
	case wirepb.AcceptOutcome_ACCEPT_OUTCOME_NEW:
		return l.own(a)
	case wirepb.AcceptOutcome_ACCEPT_OUTCOME_EXISTING:
		return submitReply{kind: submitKnown, record: a.response.Job}
	case wirepb.AcceptOutcome_ACCEPT_OUTCOME_CONFLICT:
		return submitReply{kind: submitConflict}
	}
	return submitReply{kind: submitExpired}
}

// own takes over a job that control has just accepted for this entry. The
// record in the answer has no payloads; the submission has.
func (l *loop) own(a accepted) submitReply {
	rec := a.response.Job
	rec.Spec = a.accept.spec
	rec.Digest = a.accept.digest
	l.metrics.accepted(len(rec.Spec.Tasks))
	h := l.hold(rec)
	l.owner.Accept(rec, l.deadline(rec.Spec, l.now))
	if !l.owner.Owns(rec.Job) {
		// The group was lost while control answered.
		l.Lost(rec.Job)
	}
	return submitReply{kind: submitHeld, held: h}
}

// deadline is when the time of a job that was accepted at a moment runs out.
func (l *loop) deadline(spec *wirepb.JobSpec, accepted time.Time) time.Time {
	timeout := time.Duration(spec.TimeoutMs) * time.Millisecond
	if timeout == 0 {
		timeout = l.opts.DefaultTimeout
	}
	return accepted.Add(timeout)
}
