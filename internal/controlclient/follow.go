package controlclient

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/sleep"
)

const (
	// DefaultHold is how long control may hold a Sync request until there are
	// changes (long polling).
	DefaultHold = time.Second
	// syncGrace is how much longer than its hold a sync may take. It is
	// slightly longer than one attempt, so that the next sync can soon ask for
	// a reply without a hold.
	syncGrace = attemptTimeout + 250*time.Millisecond
	// maxRetryBackoff is the upper limit of the random backoff after a failed
	// request.
	maxRetryBackoff = 200 * time.Millisecond
)

// FollowOptions configures a Follower. The callbacks are called from its
// goroutine, one at a time, and must not block for long.
type FollowOptions struct {
	// Instance describes the process. The follower fills in the token and the
	// draining flag. Control assigns the incarnation.
	Instance *wirepb.Instance
	// Hold is the longest hold of a Sync request. 0 means DefaultHold.
	Hold time.Duration
	// OnRegistered is called with each new incarnation. It may be nil.
	OnRegistered func(incarnation uint64)
	// OnChange is called with each new view. It may be nil.
	OnChange func(*View)
	// OnFenced is called when control has ended the incarnation. The process must
	// stop the work of that incarnation before the callback returns. A new
	// registration follows. It may be nil.
	OnFenced func(incarnation uint64)
	Log      logr.Logger
}

// Follower keeps a process registered, renews its lease and keeps its view of
// the configuration current. It is safe for concurrent use.
type Follower struct {
	control Control
	opts    FollowOptions
	stop    context.CancelFunc
	done    chan struct{}

	view        atomic.Pointer[View]
	incarnation atomic.Uint64
	inForce     atomic.Uint64
	draining    atomic.Bool
	leaseMs     atomic.Uint32
	// leaseEnd is the time until which the process may start work. It is nil if
	// the process has no lease, or a view that is older than its registration.
	leaseEnd atomic.Pointer[time.Time]

	mu         sync.Mutex
	cancelSync context.CancelFunc // cancels the sync in flight
}

// Follow starts a follower. It runs until ctx ends or Close is called.
func Follow(ctx context.Context, c Control, opts FollowOptions) *Follower {
	if opts.Hold == 0 {
		opts.Hold = DefaultHold
	}
	ctx, stop := context.WithCancel(ctx)
	f := &Follower{control: c, opts: opts, stop: stop, done: make(chan struct{})}
	f.view.Store(&View{})
	go f.run(ctx)
	return f
}

// View returns the newest configuration. It is never nil.
func (f *Follower) View() *View { return f.view.Load() }

// Incarnation returns the incarnation of the current registration, or 0 before
// the first one.
func (f *Follower) Incarnation() uint64 { return f.incarnation.Load() }

// InForce returns the smallest revision that is in force at any live process.
func (f *Follower) InForce() uint64 { return f.inForce.Load() }

// LeaseValid reports whether the process may start work at a time. The lease
// must not have run out, counted from when the renewing request was sent, and
// the view must be at least as new as the registration.
func (f *Follower) LeaseValid(now time.Time) bool {
	end := f.leaseEnd.Load()
	return end != nil && now.Before(*end)
}

// Drain reports to control at once that the process accepts no new work.
func (f *Follower) Drain() {
	f.draining.Store(true)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancelSync != nil {
		f.cancelSync()
	}
}

// Leave stops the follower and ends the incarnation. clean is true if no work
// that the process started is unresolved.
func (f *Follower) Leave(ctx context.Context, clean bool) error {
	f.Close()
	incarnation := f.Incarnation()
	if incarnation == 0 {
		return nil
	}
	return f.control.Leave(ctx, &wirepb.LeaveRequest{Incarnation: incarnation, Clean: clean})
}

// Close stops the follower and lets the lease run out.
func (f *Follower) Close() {
	f.stop()
	<-f.done
}

func (f *Follower) run(ctx context.Context) {
	defer close(f.done)
	defer f.leaseEnd.Store(nil)
	for ctx.Err() == nil {
		if f.register(ctx) {
			f.syncLoop(ctx)
		}
	}
}

// register obtains a new incarnation. It reports whether it did before ctx
// ended.
func (f *Follower) register(ctx context.Context) bool {
	instance := proto.CloneOf(f.opts.Instance)
	instance.Token = uuid.NewString()
	instance.Draining = f.draining.Load()
	for ctx.Err() == nil {
		sent := time.Now()
		r, err := f.control.Register(ctx, &wirepb.RegisterRequest{Instance: instance})
		if err == nil {
			f.incarnation.Store(r.Incarnation)
			if f.opts.OnRegistered != nil {
				f.opts.OnRegistered(r.Incarnation)
			}
			f.renewLease(sent, r.LeaseMs)
			return true
		}
		f.opts.Log.V(1).Info("registration failed", "error", err.Error())
		retryBackoff(ctx)
	}
	return false
}

// syncLoop keeps one sync in flight until the incarnation is fenced or ctx
// ends.
func (f *Follower) syncLoop(ctx context.Context) {
	for ctx.Err() == nil {
		sent := time.Now()
		r, err := f.syncOnce(ctx)
		switch {
		case err == nil:
			f.applyResponse(r)
			f.renewLease(sent, r.LeaseMs)
		case errors.Is(err, ErrFenced):
			f.handleFenced()
			return
		case !errors.Is(err, errSyncInterrupted):
			f.opts.Log.V(1).Info("sync failed", "error", err.Error())
			retryBackoff(ctx)
		}
	}
}

// errSyncInterrupted is returned for a sync that Drain cancelled.
var errSyncInterrupted = errors.New("controlclient: sync interrupted")

// syncOnce sends one sync request with the current state of the process.
func (f *Follower) syncOnce(ctx context.Context) (*wirepb.SyncResponse, error) {
	hold := f.syncHold(time.Now())
	ctx, cancel := context.WithTimeout(ctx, hold+syncGrace)
	defer cancel()
	var interrupted atomic.Bool
	f.mu.Lock()
	f.cancelSync = func() {
		interrupted.Store(true)
		cancel()
	}
	f.mu.Unlock()
	r, err := f.control.Sync(ctx, &wirepb.SyncRequest{
		Incarnation: f.Incarnation(),
		Applied:     f.View().Revision,
		HoldMs:      uint32(hold.Milliseconds()),
		Draining:    f.draining.Load(),
	})
	if err != nil && interrupted.Load() {
		return nil, errSyncInterrupted
	}
	return r, err
}

// syncHold returns how long control may hold the next sync: at most the
// configured hold and a third of the lease, and not at all when less than half
// of the lease remains.
func (f *Follower) syncHold(now time.Time) time.Duration {
	lease := time.Duration(f.leaseMs.Load()) * time.Millisecond
	end := f.leaseEnd.Load()
	if end == nil || end.Sub(now) < lease/2 {
		return 0
	}
	return min(f.opts.Hold, lease/3)
}

// applyResponse records the revision in force and publishes the view of a
// response. A view whose revision is not larger than the current one is
// ignored.
func (f *Follower) applyResponse(r *wirepb.SyncResponse) {
	f.inForce.Store(max(f.inForce.Load(), r.InForce))
	view := f.View()
	if r.Revision <= view.Revision {
		return
	}
	next, err := view.withChanges(r)
	if err != nil {
		f.opts.Log.Error(err, "configuration ignored", "revision", r.Revision)
		return
	}
	f.view.Store(next)
	if f.opts.OnChange != nil {
		f.opts.OnChange(next)
	}
}

// renewLease extends the lease, counted from when the request was sent. A view
// older than the registration gets no lease: the process would not know which
// incarnations had been fenced before it registered.
func (f *Follower) renewLease(sent time.Time, leaseMs uint32) {
	f.leaseMs.Store(leaseMs)
	if f.View().Revision < f.Incarnation() {
		return
	}
	end := sent.Add(time.Duration(leaseMs) * time.Millisecond)
	f.leaseEnd.Store(&end)
}

func (f *Follower) handleFenced() {
	f.leaseEnd.Store(nil)
	f.opts.Log.Info("incarnation has ended", "incarnation", f.Incarnation())
	if f.opts.OnFenced != nil {
		f.opts.OnFenced(f.Incarnation())
	}
}

func retryBackoff(ctx context.Context) { sleep.For(ctx, rand.N(maxRetryBackoff)) }
