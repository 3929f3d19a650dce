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
	// DefaultHold is how long control holds a Sync that has nothing to tell.
	DefaultHold = time.Second
	// syncGrace is how much longer than the hold one sync may take. It ends
	// soon after the first attempt, so that the next sync can ask for an answer
	// without a hold.
	syncGrace = attemptTimeout + 250*time.Millisecond
	// followPause bounds the jittered pause after a failed request.
	followPause = 200 * time.Millisecond
)

// FollowOptions are the settings of a Follower. The callbacks are called from
// its goroutine, one at a time, and must not block for long.
type FollowOptions struct {
	// Instance describes the process; incarnation and token are filled in.
	Instance *wirepb.Instance
	// Hold defaults to DefaultHold.
	Hold time.Duration
	// Registered is called with each new incarnation; it may be nil.
	Registered func(incarnation uint64)
	// Changed is called with each new view; it may be nil.
	Changed func(*View)
	// Fenced is called when the incarnation has ended at control. The process
	// must give up the work of that incarnation before it returns; a new
	// registration follows. It may be nil.
	Fenced func(incarnation uint64)
	Log    logr.Logger
}

// Follower keeps a process registered, its lease renewed and its view of the
// configuration current.
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
	// leaseEnd is nil while the process must not start work.
	leaseEnd atomic.Pointer[time.Time]

	mu        sync.Mutex
	interrupt context.CancelFunc // ends the sync in flight
}

// Follow starts a follower; it ends with ctx or Close.
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

// View is the newest configuration; never nil.
func (f *Follower) View() *View { return f.view.Load() }

// Incarnation is the present registration; 0 before the first.
func (f *Follower) Incarnation() uint64 { return f.incarnation.Load() }

// InForce is the smallest revision in force at any live process.
func (f *Follower) InForce() uint64 { return f.inForce.Load() }

// LeaseValid tells whether the process may start work at a time: its lease,
// counted from when the renewing request was sent, has not run out, and its
// view is at least as new as its registration.
func (f *Follower) LeaseValid(now time.Time) bool {
	end := f.leaseEnd.Load()
	return end != nil && now.Before(*end)
}

// Drain tells control at once that the process takes no new work.
func (f *Follower) Drain() {
	f.draining.Store(true)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.interrupt != nil {
		f.interrupt()
	}
}

// Leave stops the follower and ends the incarnation. clean tells that nothing
// that the process started is unresolved.
func (f *Follower) Leave(ctx context.Context, clean bool) error {
	f.Close()
	incarnation := f.Incarnation()
	if incarnation == 0 {
		return nil
	}
	return f.control.Leave(ctx, &wirepb.LeaveRequest{Incarnation: incarnation, Clean: clean})
}

// Close stops the follower; the lease is left to run out.
func (f *Follower) Close() {
	f.stop()
	<-f.done
}

func (f *Follower) run(ctx context.Context) {
	defer close(f.done)
	defer f.leaseEnd.Store(nil)
	for ctx.Err() == nil {
		if f.register(ctx) {
			f.follow(ctx)
		}
	}
}

// register gets a new incarnation; false when ctx ended.
func (f *Follower) register(ctx context.Context) bool {
	instance := proto.CloneOf(f.opts.Instance)
	instance.Token = uuid.NewString()
	instance.Draining = f.draining.Load()
	for ctx.Err() == nil {
		sent := time.Now()
		r, err := f.control.Register(ctx, &wirepb.RegisterRequest{Instance: instance})
		if err == nil {
			f.incarnation.Store(r.Incarnation)
			if f.opts.Registered != nil {
				f.opts.Registered(r.Incarnation)
			}
			f.renewed(sent, r.LeaseMs)
			return true
		}
		f.opts.Log.V(1).Info("registration failed", "error", err.Error())
		pause(ctx)
	}
	return false
}

// follow keeps one sync in flight until the incarnation is fenced or ctx ends.
func (f *Follower) follow(ctx context.Context) {
	for ctx.Err() == nil {
		sent := time.Now()
		r, err := f.sync(ctx)
		switch {
		case err == nil:
			f.apply(r)
			f.renewed(sent, r.LeaseMs)
		case errors.Is(err, ErrFenced):
			f.fenced()
			return
		case !errors.Is(err, errInterrupted):
			f.opts.Log.V(1).Info("sync failed", "error", err.Error())
			pause(ctx)
		}
	}
}

// errInterrupted marks a sync that Drain cut short.
var errInterrupted = errors.New("controlclient: sync interrupted")

func (f *Follower) sync(ctx context.Context) (*wirepb.SyncResponse, error) {
	hold := f.hold(time.Now())
	ctx, cancel := context.WithTimeout(ctx, hold+syncGrace)
	defer cancel()
	var interrupted atomic.Bool
	f.mu.Lock()
	f.interrupt = func() {
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
		return nil, errInterrupted
	}
	return r, err
}

// hold is how long the next sync may be held: a part of the lease at most, and
// not at all when the lease needs to be renewed soon.
func (f *Follower) hold(now time.Time) time.Duration {
	lease := time.Duration(f.leaseMs.Load()) * time.Millisecond
	end := f.leaseEnd.Load()
	if end == nil || end.Sub(now) < lease/2 {
		return 0
	}
	return min(f.opts.Hold, lease/3)
}

// apply publishes the view of a response; smaller revisions are ignored.
func (f *Follower) apply(r *wirepb.SyncResponse) {
	f.inForce.Store(max(f.inForce.Load(), r.InForce))
	view := f.View()
	if r.Revision <= view.Revision {
		return
	}
	next, err := view.next(r)
	if err != nil {
		f.opts.Log.Error(err, "configuration ignored", "revision", r.Revision)
		return
	}
	f.view.Store(next)
	if f.opts.Changed != nil {
		f.opts.Changed(next)
	}
}

// renewed moves the lease's end. A view older than the registration gives no
// lease: the process would not know the fences of its time.
func (f *Follower) renewed(sent time.Time, leaseMs uint32) {
	f.leaseMs.Store(leaseMs)
	if f.View().Revision < f.Incarnation() {
		return
	}
	end := sent.Add(time.Duration(leaseMs) * time.Millisecond)
	f.leaseEnd.Store(&end)
}

func (f *Follower) fenced() {
	f.leaseEnd.Store(nil)
	f.opts.Log.Info("incarnation has ended", "incarnation", f.Incarnation())
	if f.opts.Fenced != nil {
		f.opts.Fenced(f.Incarnation())
	}
}

func pause(ctx context.Context) { sleep.For(ctx, rand.N(followPause)) }
