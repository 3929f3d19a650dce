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
	// requestAttempt is how long a request waits for the leader's answer before
	// it looks again who leads.
	requestAttempt = 400 * time.Millisecond
	// requestRetry is the pause before another attempt.
	requestRetry = 15 * time.Millisecond
)

var (
	// ErrNoLeader is returned for a request that reached no leader in time;
	// nothing was done.
	ErrNoLeader = errors.New("control: no leader was reached")
	// ErrUnanswered is returned for a request whose outcome is unknown.
	ErrUnanswered = errors.New("control: the leader did not answer")
)

// Request asks the leader on behalf of this host: over the loop when this
// member leads, else over the session that members keep. It tries again until
// it is answered or ctx ends; the request must be one that may be repeated.
// Errors: ErrNoLeader, ErrUnanswered, wire.FaultError for an invalid request.
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
		if !sleep.For(ctx, requestRetry) {
			return nil, eris.Wrapf(unanswered(sent), "last attempt: %v", err)
		}
	}
}

func unanswered(sent bool) error {
	if sent {
		return ErrUnanswered
	}
	return ErrNoLeader
}

// attempt asks the leader known now.
func (p *Process) attempt(ctx context.Context, e *wirepb.Envelope) (*wirepb.Envelope, error) {
	ctx, cancel := context.WithTimeout(ctx, requestAttempt)
	defer cancel()
	leadership := p.leadership.Load()
	if leadership == nil || leadership.Leader == 0 {
		return nil, ErrNoLeader
	}
	if leadership.Self {
		return p.ask(ctx, e)
	}
	s := p.peers.session(leadership.Leader)
	if s == nil {
		return nil, ErrNoLeader
	}
	return s.Call(ctx, laneOf(e), e)
}

// ask hands a request to the own loop and waits for the answer.
func (p *Process) ask(ctx context.Context, e *wirepb.Envelope) (*wirepb.Envelope, error) {
	answer := make(chan *wirepb.Envelope, 1)
	p.take(caller{local: answer}, e)
	select {
	case reply := <-answer:
		if f := reply.GetFault(); f != nil {
			return nil, &wire.FaultError{Fault: f}
		}
		return reply, nil
	case <-p.ended:
		return nil, ErrNoLeader
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// publishLeadership lets requests see who leads.
func (p *Process) publishLeadership(now quorum.Leadership) { p.leadership.Store(&now) }
