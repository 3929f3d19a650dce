// Package controlfake is a control role in memory for the tests of other
// roles: the real ledger without a quorum, a disk or sessions.
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

// DefaultLease is the lease that the fake promises. It ends no lease by
// itself; see Fake.End.
const DefaultLease = 5 * time.Second

// Fake implements controlclient.Control.
type Fake struct {
	mu      sync.Mutex
	ledger  *ledger.Ledger
	index   uint64
	changed chan struct{} // closed and replaced with each record
	lease   time.Duration
	fail    func(method string) error
}

var _ controlclient.Control = (*Fake)(nil)

// New returns an empty fake.
func New() *Fake {
	return &Fake{ledger: ledger.New(), changed: make(chan struct{}), lease: DefaultLease}
}

// SetLease changes the promised lease.
func (f *Fake) SetLease(lease time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lease = lease
}

// FailWith sets a function that is asked before each request by its method
// name; an error is returned in place of an answer, with nothing done. nil
// ends it.
func (f *Fake) FailWith(fail func(method string) error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fail = fail
}

// End ends an incarnation as an expired lease does.
func (f *Fake) End(incarnation uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.propose(&wirepb.Command{Body: &wirepb.Command_EndInstances{
		EndInstances: &wirepb.EndInstances{Incarnations: []uint64{incarnation}},
	}})
}

// propose applies a record at once; the lock is held.
func (f *Fake) propose(cmd *wirepb.Command) ledger.Result {
	cmd.NowUnixMs = time.Now().UnixMilli()
	f.index++
	r := f.ledger.Apply(f.index, cmd)
	close(f.changed)
	f.changed = make(chan struct{})
	return r
}

// run asks for a planned failure and applies a record.
func (f *Fake) run(ctx context.Context, method string, cmd *wirepb.Command) (ledger.Result, error) {
	if err := f.planned(ctx, method); err != nil {
		return ledger.Result{}, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.propose(cmd)
	return r, faultError(r.Fault)
}

func (f *Fake) planned(ctx context.Context, method string) error {
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

// wait calls ready after each record until it is true, the hold ends or ctx
// ends.
func (f *Fake) wait(ctx context.Context, hold time.Duration, ready func() bool) {
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
