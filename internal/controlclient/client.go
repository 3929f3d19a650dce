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
	// DefaultBudget bounds all attempts of one request.
	DefaultBudget = 10 * time.Second
	// attemptTimeout is how long one attempt waits for its answer before
	// another member is asked.
	attemptTimeout = 1500 * time.Millisecond
	// attemptLeast is the time left below which no further attempt is made: cut
	// short, it would only turn "not run" into an unknown outcome.
	attemptLeast = 50 * time.Millisecond
	backoffFirst = 10 * time.Millisecond
	backoffMost  = 500 * time.Millisecond
)

// Options are the settings of a Client.
type Options struct {
	// Addresses are those of the control members; at least one.
	Addresses []string
	// Hello returns what the process says about itself.
	Hello func() *wirepb.Hello
	TLS   *tls.Config
	Log   logr.Logger
	Scope tally.Scope
	// Budget defaults to DefaultBudget.
	Budget time.Duration
}

// Client is the Control of a process of another role. It is safe for
// concurrent use and keeps one session.
type Client struct {
	opts  Options
	links links
	retry tally.Counter
	// answered is the time of the last answer, in Unix nanoseconds.
	answered atomic.Int64
}

var _ Control = (*Client)(nil)

// New returns a client; it connects with the first request.
func New(opts Options) *Client {
	if opts.Budget == 0 {
		opts.Budget = DefaultBudget
	}
	if opts.Scope == nil {
		opts.Scope = tally.NoopScope
	}
	c := &Client{opts: opts, retry: opts.Scope.SubScope("controlclient").Counter("retries")}
	c.links.init(opts)
	return c
}

// SetAddresses replaces the addresses of the members; at least one.
func (c *Client) SetAddresses(addresses []string) { c.links.setAddresses(addresses) }

// Close ends the session. Requests in flight end with an error.
func (c *Client) Close() { c.links.close() }

// attempts is the history of one request.
type attempts struct {
	// unknown: an attempt may have taken effect.
	unknown bool
	count   int
	last    error
}

// failed is the error of a request that got no answer.
func (a *attempts) failed() error {
	if a.unknown {
		return eris.Wrapf(ErrUnknownOutcome, "after %d attempts: %v", a.count, a.last)
	}
	return eris.Wrapf(ErrNotRun, "after %d attempts: %v", a.count, a.last)
}

// call sends a request until it is answered or the budget ends. wait is how
// long control may hold the answer.
func (c *Client) call(ctx context.Context, on wire.Lane, wait time.Duration, build func() *wirepb.Envelope) (*wirepb.Envelope, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.Budget+wait)
	defer cancel()
	var a attempts
	for ; ; a.count++ {
		if a.count > 0 {
			c.retry.Inc(1)
		}
		reply, err := c.attempt(ctx, on, wait, build(), &a)
		if err == nil {
			return reply, nil
		}
		a.last = err
		if final := c.final(err, &a); final != nil {
			return nil, final
		}
		if !c.backoff(ctx, &a) {
			return nil, a.failed()
		}
	}
}

// attempt sends a request once.
func (c *Client) attempt(ctx context.Context, on wire.Lane, wait time.Duration, e *wirepb.Envelope, a *attempts) (*wirepb.Envelope, error) {
	s, err := c.links.session(ctx)
	if err != nil {
		return nil, err
	}
	select {
	case <-s.Done():
		c.links.drop(s)
		return nil, wire.ErrClosed // not sent
	default:
	}
	once, cancel := context.WithTimeout(ctx, attemptTimeout+wait)
	defer cancel()
	reply, err := s.Call(once, on, e)
	c.note(err)
	var fault *wire.FaultError
	switch {
	case err == nil:
		return reply, nil
	case errors.As(err, &fault):
		c.learn(s, fault.Fault, a)
	case errors.Is(err, wire.ErrQueueFull):
		c.links.drop(s)
	default:
		a.unknown = true
		if ctx.Err() == nil && c.silent() {
			c.links.drop(s)
		}
	}
	return nil, err
}

// note keeps when the last answer came, a fault or not.
func (c *Client) note(err error) {
	var fault *wire.FaultError
	if err == nil || errors.As(err, &fault) {
		c.answered.Store(time.Now().UnixNano())
	}
}

// silent tells that no request was answered for the time of an attempt. One
// request that waits long is no reason to end the session of all others: at an
// overload they would all be sent again.
func (c *Client) silent() bool {
	return time.Now().UnixNano()-c.answered.Load() >= int64(attemptTimeout)
}

// learn takes in a fault.
func (c *Client) learn(s *wire.Session, f *wirepb.Fault, a *attempts) {
	switch f.Code {
	case wirepb.FaultCode_FAULT_CODE_NOT_LEADER:
		c.links.redirect(s, f.Leader)
	case wirepb.FaultCode_FAULT_CODE_UNKNOWN_OUTCOME:
		a.unknown = true
	}
}

// final is the error that ends a request, or nil when it can be sent again.
func (c *Client) final(err error, a *attempts) error {
	var fault *wire.FaultError
	if !errors.As(err, &fault) {
		return nil
	}
	switch fault.Fault.Code {
	case wirepb.FaultCode_FAULT_CODE_INVALID:
		return eris.Wrap(ErrInvalid, fault.Fault.Reason)
	case wirepb.FaultCode_FAULT_CODE_FENCED:
		if a.unknown {
			return eris.Wrap(errors.Join(ErrFenced, ErrUnknownOutcome), fault.Fault.Reason)
		}
		return eris.Wrap(ErrFenced, fault.Fault.Reason)
	}
	return nil
}

// backoff waits before the next attempt; false when the budget has ended.
func (c *Client) backoff(ctx context.Context, a *attempts) bool {
	most := min(backoffFirst<<min(a.count, 10), backoffMost)
	wait := most/2 + rand.N(most/2)
	if end, ok := ctx.Deadline(); ok && time.Until(end) < wait+attemptLeast {
		return false
	}
	return sleep.For(ctx, wait)
}
