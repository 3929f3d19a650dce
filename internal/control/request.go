package control

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/quorum"
	"endivewing/internal/sleep"
	"endivewing/internal/wire"
)

const (
	// attemptTimeout is how long one attempt of a request waits for the
	// leader's reply. The next attempt goes to the leader known by then.
	attemptTimeout = 400 * time.Millisecond
	// attemptBackoff is the pause between two attempts.
	attemptBackoff = 15 * time.Millisecond
)

var (
	// ErrNoLeader is returned for a request that reached no leader before its
	// context ended. Nothing was done.
	ErrNoLeader = errors.New("control: no leader was reached")
	// ErrUnanswered is returned for a request that may have reached a leader
	// but got no reply. Its outcome is unknown.
	ErrUnanswered = errors.New("control: the leader did not answer")
)

// Request sends a request of this process to the leader: to the own loop if
// this member is the leader, otherwise over the session between the members. It
// retries until there is a reply or ctx ends, so the request must be
// idempotent. build is called for each attempt. Errors: ErrNoLeader,
// ErrUnanswered, and *wire.FaultError for an invalid request.
func (p *Process) Request(ctx context.Context, build func() *wirepb.Envelope) (*wirepb.Envelope, error) {
	sent := false
	for {
		reply, err := p.attempt(ctx, build())
		var fault *wire.FaultError
		switch {
		case err == nil:
			return reply, nil
		case errors.As(err, &fault) && fault.Fault.Code == wirepb.FaultCode_FAULT_CODE_INVALID:
			return nil, err
		case errors.As(err, &fault):
			sent = sent || fault.Fault.Code == wirepb.FaultCode_FAULT_CODE_UNKNOWN_OUTCOME
		case !errors.Is(err, ErrNoLeader):
			sent = true
		}
		if !sleep.For(ctx, attemptBackoff) {
			return nil, eris.Wrapf(requestError(sent), "last attempt: %v", err)
		}
	}
}

// requestError returns the error of a request without a reply. sent is set if
// an attempt may have reached a leader.
func requestError(sent bool) error {
	if sent {
		return ErrUnanswered
	}
	return ErrNoLeader
}

// attempt sends a request once, to the leader known at present.
func (p *Process) attempt(ctx context.Context, e *wirepb.Envelope) (*wirepb.Envelope, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	leadership := p.leadership.Load()
	if leadership == nil || leadership.Leader == 0 {
		return nil, ErrNoLeader
	}
	if leadership.Self {
		return p.askLocal(ctx, e)
	}
	s := p.peers.session(leadership.Leader)
	if s == nil {
		return nil, ErrNoLeader
	}
	return s.Call(ctx, laneOf(e), e)
}

// askLocal passes a request to the loop of this process and waits for the
// reply.
func (p *Process) askLocal(ctx context.Context, e *wirepb.Envelope) (*wirepb.Envelope, error) {
	answer := make(chan *wirepb.Envelope, 1)
	p.enqueueRequest(caller{local: answer}, e)
	select {
	case reply := <-answer:
		if f := reply.GetFault(); f != nil {
			return nil, &wire.FaultError{Fault: f}
		}
		return reply, nil
	case <-p.loopEnded:
		return nil, ErrNoLeader
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// publishLeadership stores the leadership for Request.
func (p *Process) publishLeadership(now quorum.Leadership) { p.leadership.Store(&now) }
