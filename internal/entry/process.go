package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/controlclient"
	"endivewing/internal/entry/httpapi"
	"endivewing/internal/sleep"
)

// Process is a running entry.
type Process struct {
	opts          Options
	control       controlclient.Control
	follower      *controlclient.Follower
	loop          *loop
	http          *http.Server
	listener      net.Listener
	snapshots     *snapshotPublisher
	forwardClient *http.Client

	// incarnation is sent in the hello of each session.
	incarnation atomic.Uint64
	stopping    atomic.Bool
	// requestsInFlight counts the requests to submit, read or cancel a job.
	requestsInFlight atomic.Int64
	// waitsCtx ends when a stopping entry lets no caller wait any longer.
	waitsCtx           context.Context
	endWaits           context.CancelFunc
	cancel             context.CancelFunc
	closeControlClient func()
	done               chan struct{}
}

// Start starts an entry. It does not wait for control: Ready returns nil once the
// entry accepts jobs. It fails when opts name no control members or the listener
// can't be opened.
func Start(ctx context.Context, opts Options) (*Process, error) {
	opts = opts.withDefaults()
	if opts.Control == nil && len(opts.ControlAddresses) == 0 {
		return nil, eris.New("entry: no control addresses")
	}
	listener, err := net.Listen("tcp", opts.ListenAddress)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", opts.ListenAddress)
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	p := &Process{
		opts:               opts,
		listener:           listener,
		snapshots:          newSnapshotPublisher(),
		forwardClient:      &http.Client{},
		cancel:             cancel,
		closeControlClient: func() {},
		done:               make(chan struct{}),
	}
	p.waitsCtx, p.endWaits = context.WithCancel(ctx)
	p.createControlClient()
	p.loop = newLoop(ctx, opts, p.control)
	p.loop.dialer = newDialer(p.loop, opts, &p.incarnation)
	p.startFollower(ctx)
	p.loop.leaseValid = p.follower.LeaseValid
	go p.loop.run()
	p.startHTTP()
	return p, nil
}

// createControlClient sets the client of control.
func (p *Process) createControlClient() {
	if p.opts.Control != nil {
		p.control = p.opts.Control
		return
	}
	client := controlclient.New(controlclient.Options{
		Addresses: p.opts.ControlAddresses,
		Hello: func() *wirepb.Hello {
			return &wirepb.Hello{
				Role: "entry", Name: p.opts.Name, Zone: p.opts.Zone, Cluster: p.opts.Cluster,
				Incarnation: p.incarnation.Load(),
			}
		},
		TLS: p.opts.TLS, Log: p.opts.Log, Scope: p.opts.Scope,
	})
	p.control = client
	p.closeControlClient = client.Close
}

// startFollower registers the process and keeps its view of the configuration current.
func (p *Process) startFollower(ctx context.Context) {
	p.follower = controlclient.Follow(ctx, p.control, controlclient.FollowOptions{
		Instance: &wirepb.Instance{
			Kind: wirepb.InstanceKind_INSTANCE_KIND_ENTRY, Name: p.opts.Name, Zone: p.opts.Zone,
			HttpAddress: p.advertisedAddress(),
		},
		OnRegistered: func(incarnation uint64) {
			p.incarnation.Store(incarnation)
			p.loop.enqueue(registered{incarnation: incarnation})
		},
		OnChange: func(v *controlclient.View) {
			p.loop.enqueue(viewChanged{view: v})
			p.snapshots.publish(v)
		},
		OnFenced: p.onFenced,
		Log:      p.opts.Log,
	})
}

// onFenced makes the loop drop the incarnation's jobs and waits until it has done so.
func (p *Process) onFenced(incarnation uint64) {
	handled := make(chan struct{})
	if !p.loop.enqueue(fenced{incarnation: incarnation, handled: handled}) {
		return
	}
	select {
	case <-handled:
	case <-p.loop.done:
	}
}

func (p *Process) startHTTP() {
	handler := httpapi.New(p, httpapi.Options{
		JobLimits:     p.opts.JobLimits,
		MaxBodyBytes:  p.opts.MaxBodyBytes,
		OperatorToken: p.opts.OperatorToken,
		Metrics:       p.opts.Metrics,
		Dump:          p.dumpFunc(),
		Log:           p.opts.Log,
	})
	p.http = &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: p.opts.ReadTimeout,
		ReadTimeout:       p.opts.ReadTimeout,
		IdleTimeout:       p.opts.IdleTimeout,
	}
	go func() { _ = p.http.Serve(p.listener) }()
}

func (p *Process) dumpFunc() func() any {
	if p.opts.Dump != nil {
		return p.opts.Dump
	}
	return p.Dump
}

// HTTPAddress returns the address of the HTTP listener, with the port that the kernel
// chose.
func (p *Process) HTTPAddress() string { return p.listener.Addr().String() }

func (p *Process) advertisedAddress() string {
	if p.opts.AdvertiseHTTP != "" {
		return p.opts.AdvertiseHTTP
	}
	return p.HTTPAddress()
}

// Done returns a channel that is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

const (
	// leaveTimeout is the part of a stop's time that is kept for leaving control.
	leaveTimeout = time.Second
	// stopPollInterval is how often a stopping entry checks whether its jobs ended.
	stopPollInterval = 10 * time.Millisecond
)

// Stop ends the process gracefully. Readiness fails, new jobs are refused, the jobs
// that this entry owns end and are recorded, requests in flight are answered, and the
// incarnation leaves control. Another entry takes over the jobs that are still open
// when ctx ends.
func (p *Process) Stop(ctx context.Context) error {
	if !p.stopping.CompareAndSwap(false, true) {
		<-p.done
		return nil
	}
	p.follower.Drain()
	sleep.For(ctx, p.opts.DrainDelay)
	p.loop.enqueue(refuseRequested{})
	clean := p.waitForJobs(ctx)
	if !clean {
		p.opts.Log.Info("jobs are left to another entry")
	}
	leaveCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaveTimeout)
	defer cancel()
	// Callers that wait for jobs which other entries own, or will own, receive the
	// open job and can ask another entry.
	p.endWaits()
	err := p.shutdown(ctx, leaveCtx, clean)
	p.cancel()
	<-p.loop.done
	p.closeControlClient()
	p.forwardClient.CloseIdleConnections()
	close(p.done)
	return err
}

func (p *Process) shutdown(ctx, leaveCtx context.Context, clean bool) error {
	if clean {
		err := p.closeHTTP(ctx)
		return errors.Join(err, p.follower.Leave(leaveCtx, true))
	}
	err := p.follower.Leave(leaveCtx, false)
	return errors.Join(err, p.closeHTTP(leaveCtx))
}

// closeHTTP waits for the requests in flight until ctx ends, then closes their
// connections.
func (p *Process) closeHTTP(ctx context.Context) error {
	err := p.http.Shutdown(ctx)
	if err != nil {
		_ = p.http.Close()
	}
	return err
}

// waitForJobs waits until every job has ended and is recorded. It returns false when
// that takes too long.
func (p *Process) waitForJobs(ctx context.Context) bool {
	for {
		reply := make(chan bool, 1)
		if !p.loop.enqueue(idleCheckRequested{reply: reply}) || <-reply {
			return true
		}
		if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < leaveTimeout {
			return false
		}
		if !sleep.For(ctx, stopPollInterval) {
			return false
		}
	}
}

// refuseRequested makes the loop refuse new jobs.
type refuseRequested struct{}

func (refuseRequested) handle(l *loop) {
	l.refusing = true
	if l.owner != nil {
		l.owner.DisableForgetDelay()
	}
}

// idleCheckRequested asks whether no job is open, no accept request is pending and no
// completion has to be recorded.
type idleCheckRequested struct{ reply chan<- bool }

func (e idleCheckRequested) handle(l *loop) {
	open := len(l.pendingAccepts) > 0
	for _, r := range l.recorders {
		open = open || r.inFlight || len(r.pending) > 0
	}
	e.reply <- !open && (l.owner == nil || l.owner.OpenJobs() == 0)
}
