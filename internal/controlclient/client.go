package controlclient

import (
	"context"
	"crypto/tls"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/sleep"
	"endivewing/internal/wire"
)

const (
	// DefaultBudget limits the total time of all attempts of one request.
	DefaultBudget = 10 * time.Second
	// attemptTimeout is how long one attempt waits for its reply before another
	// member is tried.
	attemptTimeout = 1500 * time.Millisecond
	// minAttemptTime is the remaining time below which no further attempt is
	// made. An attempt that is cut short would only turn ErrNotRun into
	// ErrUnknownOutcome.
	minAttemptTime = 50 * time.Millisecond
	minBackoff     = 10 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
)

// Options configures a Client.
type Options struct {
	// Addresses are the addresses of the control members. At least one is
	// required.
	Addresses []string
	// Hello returns the hello message of the process.
	Hello func() *wirepb.Hello
	TLS   *tls.Config
	Log   logr.Logger
	Scope tally.Scope
	// Budget limits the total time of all attempts of one request. 0 means
	// DefaultBudget.
	Budget time.Duration
}

// Client implements Control over a session with one control member at a time.
// It is safe for concurrent use.
type Client struct {
	opts     Options
	sessions sessionManager
	retries  tally.Counter
	// lastReply is the time of the last reply, in Unix nanoseconds.
	lastReply atomic.Int64
}

var _ Control = (*Client)(nil)

// New returns a client. It connects with the first request.
func New(opts Options) *Client {
	if opts.Budget == 0 {
		opts.Budget = DefaultBudget
	}
	if opts.Scope == nil {
		opts.Scope = tally.NoopScope
	}
	c := &Client{opts: opts, retries: opts.Scope.SubScope("controlclient").Counter("retries")}
	c.sessions.init(opts)
	return c
}

// SetAddresses replaces the addresses of the control members. At least one is
// required.
func (c *Client) SetAddresses(addresses []string) { c.sessions.setAddresses(addresses) }

// Close ends the sessions. Requests in flight end with an error.
func (c *Client) Close() { c.sessions.close() }

// attempts is the state of one request across its attempts.
type attempts struct {
	// outcomeUnknown is true if an attempt may have taken effect.
	outcomeUnknown bool
	count          int
	lastErr        error
}

// exhaustedError returns the error of a request whose attempts all failed.
func (a *attempts) exhaustedError() error {
	if a.outcomeUnknown {
		return eris.Wrapf(ErrUnknownOutcome, "after %d attempts: %v", a.count, a.lastErr)
	}
	return eris.Wrapf(ErrNotRun, "after %d attempts: %v", a.count, a.lastErr)
}

// call sends a request until it is answered or the budget is used up. wait is
// how long control may hold the reply. build returns the request for one
// attempt.
func (c *Client) call(ctx context.Context, lane wire.Lane, wait time.Duration, build func() *wirepb.Envelope) (*wirepb.Envelope, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.Budget+wait)
	defer cancel()
	var a attempts
	for ; ; a.count++ {
		if a.count > 0 {
			c.retries.Inc(1)
		}
		reply, err := c.attemptOnce(ctx, lane, wait, build(), &a)
		if err == nil {
			return reply, nil
		}
		a.lastErr = err
		if final := c.finalError(err, &a); final != nil {
			return nil, final
		}
		if !c.backoff(ctx, &a) {
			return nil, a.exhaustedError()
		}
	}
}

// attemptOnce sends a request once. It records in a whether the attempt may
// have taken effect.
func (c *Client) attemptOnce(ctx context.Context, lane wire.Lane, wait time.Duration, e *wirepb.Envelope, a *attempts) (*wirepb.Envelope, error) {
	s, err := c.sessions.session(ctx)
	if err != nil {
		return nil, err
	}
	select {
	case <-s.Done():
		c.sessions.remove(s)
		return nil, wire.ErrClosed // the request was not sent
	default:
	}
	attemptCtx, cancel := context.WithTimeout(ctx, attemptTimeout+wait)
	defer cancel()
	reply, err := s.Call(attemptCtx, lane, e)
	c.recordReply(err)
	var fault *wire.FaultError
	switch {
	case err == nil:
		return reply, nil
	case errors.As(err, &fault):
		c.handleFault(s, fault.Fault, a)
	case errors.Is(err, wire.ErrQueueFull):
		c.sessions.remove(s)
	default:
		a.outcomeUnknown = true
		if ctx.Err() == nil && c.noRecentReply() {
			c.sessions.remove(s)
		}
	}
	return nil, err
}

// recordReply records the time of a reply, which may be a fault.
func (c *Client) recordReply(err error) {
	var fault *wire.FaultError
	if err == nil || errors.As(err, &fault) {
		c.lastReply.Store(time.Now().UnixNano())
	}
}

// noRecentReply reports whether no request got a reply within attemptTimeout.
// One request that waits too long must not end the session that all requests
// share, because under overload all of them would be sent again.
func (c *Client) noRecentReply() bool {
	return time.Now().UnixNano()-c.lastReply.Load() >= int64(attemptTimeout)
}

// handleFault follows a redirect to the leader and records an unknown outcome.
func (c *Client) handleFault(s *wire.Session, f *wirepb.Fault, a *attempts) {
	switch f.Code {
	case wirepb.FaultCode_FAULT_CODE_NOT_LEADER:
		c.sessions.redirect(s, f.Leader)
	case wirepb.FaultCode_FAULT_CODE_UNKNOWN_OUTCOME:
		a.outcomeUnknown = true
	}
}

// finalError returns the error that ends a request, or nil if the request can
// be retried.
func (c *Client) finalError(err error, a *attempts) error {
	var fault *wire.FaultError
	if !errors.As(err, &fault) {
		return nil
	}
	switch fault.Fault.Code {
	case wirepb.FaultCode_FAULT_CODE_INVALID:
		return eris.Wrap(ErrInvalid, fault.Fault.Reason)
	case wirepb.FaultCode_FAULT_CODE_FENCED:
		if a.outcomeUnknown {
			return eris.Wrap(errors.Join(ErrFenced, ErrUnknownOutcome), fault.Fault.Reason)
		}
		return eris.Wrap(ErrFenced, fault.Fault.Reason)
	}
	return nil
}

// backoff waits before the next attempt. It reports whether there is time for
// one.
func (c *Client) backoff(ctx context.Context, a *attempts) bool {
	limit := min(minBackoff<<min(a.count, 10), maxBackoff)
	wait := limit/2 + rand.N(limit/2)
	if end, ok := ctx.Deadline(); ok && time.Until(end) < wait+minAttemptTime {
		return false
	}
	return sleep.For(ctx, wait)
}
