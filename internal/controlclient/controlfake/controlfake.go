// Package controlfake is an in-memory control role for the tests of other
// roles. It uses the real ledger, without a quorum, a disk or sessions.
package controlfake

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/controlclient"
	"endivewing/internal/ledger"
)

// DefaultLease is the lease that a Fake grants. No lease expires by itself; see
// Fake.EndIncarnation.
const DefaultLease = 5 * time.Second

// Fake implements controlclient.Control.
type Fake struct {
	mu      sync.Mutex
	ledger  *ledger.Ledger
	index   uint64
	changed chan struct{} // closed and replaced after each record
	lease   time.Duration
	fail    func(method string) error
}

var _ controlclient.Control = (*Fake)(nil)

// New returns a fake with an empty ledger.
func New() *Fake {
	return &Fake{ledger: ledger.New(), changed: make(chan struct{}), lease: DefaultLease}
}

// SetLease sets the lease of later responses.
func (f *Fake) SetLease(lease time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lease = lease
}

// FailWith sets a function that is called with the method name before each
// request. If it returns an error, the request returns that error and has no
// effect. nil removes the function.
func (f *Fake) FailWith(fail func(method string) error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fail = fail
}

// EndIncarnation ends an incarnation as an expired lease does.
func (f *Fake) EndIncarnation(incarnation uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applyCommand(&wirepb.Command{Body: &wirepb.Command_EndInstances{
		EndInstances: &wirepb.EndInstances{Incarnations: []uint64{incarnation}},
	}})
}

// applyCommand applies a command to the ledger. The caller holds mu.
func (f *Fake) applyCommand(cmd *wirepb.Command) ledger.Result {
	cmd.NowUnixMs = time.Now().UnixMilli()
	f.index++
	r := f.ledger.Apply(f.index, cmd)
	close(f.changed)
	f.changed = make(chan struct{})
	return r
}

// runCommand applies a command unless an error is injected.
func (f *Fake) runCommand(ctx context.Context, method string, cmd *wirepb.Command) (ledger.Result, error) {
	if err := f.injectedError(ctx, method); err != nil {
		return ledger.Result{}, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.applyCommand(cmd)
	return r, faultError(r.Fault)
}

// injectedError returns the error that FailWith or an ended ctx causes.
func (f *Fake) injectedError(ctx context.Context, method string) error {
	if err := ctx.Err(); err != nil {
		return eris.Wrap(controlclient.ErrNotRun, err.Error())
	}
	f.mu.Lock()
	fail := f.fail
	f.mu.Unlock()
	if fail == nil {
		return nil
	}
	return fail(method)
}

func faultError(fault *ledger.Fault) error {
	switch {
	case fault == nil:
		return nil
	case fault.Code == wirepb.FaultCode_FAULT_CODE_FENCED:
		return eris.Wrap(controlclient.ErrFenced, fault.Reason)
	default:
		return eris.Wrap(controlclient.ErrInvalid, fault.Reason)
	}
}

// waitUntil calls ready after each record until it returns true, the hold ends
// or ctx ends.
func (f *Fake) waitUntil(ctx context.Context, hold time.Duration, ready func() bool) {
	timer := time.NewTimer(hold)
	defer timer.Stop()
	for {
		f.mu.Lock()
		done := ready()
		changed := f.changed
		f.mu.Unlock()
		if done {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}
