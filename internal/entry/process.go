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
	opts     Options
	control  controlclient.Control
	follower *controlclient.Follower
	loop     *loop
	http     *http.Server
	listener net.Listener
	views    *views
	forward  *http.Client

	// incarnation is what sessions say in their hello.
	incarnation atomic.Uint64
	stopping    atomic.Bool
	// inFlight counts the requests that ask for a job.
	inFlight atomic.Int64
	// waits ends when callers are no longer kept waiting.
	waits       context.Context
	endWaits    context.CancelFunc
	cancel      context.CancelFunc
	closeClient func()
	done        chan struct{}
}

// Start begins to serve. It does not wait for control: readiness tells when
// jobs are taken. Errors: a listener that can't be opened, no control.
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
		opts:        opts,
		listener:    listener,
		views:       newViews(),
		forward:     &http.Client{},
		cancel:      cancel,
		closeClient: func() {},
		done:        make(chan struct{}),
	}
	p.waits, p.endWaits = context.WithCancel(ctx)
	p.connect()
	p.loop = newLoop(ctx, opts, p.control)
	p.loop.dialer = newDialer(p.loop, opts, &p.incarnation)
	p.follow(ctx)
	p.loop.leaseValid = p.follower.LeaseValid
	go p.loop.run()
	p.serve()
	return p, nil
}

// connect makes the client of control.
func (p *Process) connect() {
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
	p.closeClient = client.Close
}

// follow registers the process and keeps its view current.
func (p *Process) follow(ctx context.Context) {
	p.follower = controlclient.Follow(ctx, p.control, controlclient.FollowOptions{
		Instance: &wirepb.Instance{
			Kind: wirepb.InstanceKind_INSTANCE_KIND_ENTRY, Name: p.opts.Name, Zone: p.opts.Zone,
			HttpAddress: p.advertised(),
		},
		Registered: func(incarnation uint64) {
			p.incarnation.Store(incarnation)
			p.loop.post(registered{incarnation: incarnation})
		},
		Changed: func(v *controlclient.View) {
			p.loop.post(changed{view: v})
			p.views.set(v)
		},
		Fenced: p.fenced,
		Log:    p.opts.Log,
	})
}

// fenced gives up the incarnation's jobs before it returns.
func (p *Process) fenced(incarnation uint64) {
	handled := make(chan struct{})
	if !p.loop.post(fenced{incarnation: incarnation, handled: handled}) {
		return
	}
	select {
	case <-handled:
	case <-p.loop.done:
	}
}

func (p *Process) serve() {
	handler := httpapi.New(p, httpapi.Options{
		Job:           p.opts.Job,
		BodyBytes:     p.opts.BodyBytes,
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

// HTTPAddress is where callers reach the entry, with the real port.
func (p *Process) HTTPAddress() string { return p.listener.Addr().String() }

func (p *Process) advertised() string {
	if p.opts.AdvertiseHTTP != "" {
		return p.opts.AdvertiseHTTP
	}
	return p.HTTPAddress()
}

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

const (
	// stopReserve is the part of a stop's time that is kept for leaving.
	stopReserve = time.Second
	// stopPoll is how often a stopping entry looks whether its jobs ended.
	stopPoll = 10 * time.Millisecond
)

// Stop ends the process gracefully: readiness fails, new jobs are refused, the
// jobs it owns end and are recorded, requests in flight are answered, and the
// incarnation leaves. What is not done when ctx ends is left to another entry.
func (p *Process) Stop(ctx context.Context) error {
	if !p.stopping.CompareAndSwap(false, true) {
		<-p.done
		return nil
	}
	p.follower.Drain()
	sleep.For(ctx, p.opts.DrainDelay)
	p.loop.post(refuse{})
	clean := p.finishJobs(ctx)
	if !clean {
		p.opts.Log.Info("jobs are left to another entry")
	}
	leaving, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopReserve)
	defer cancel()
	// Callers of jobs that other entries own, or will own, are answered with
	// the open job and ask again elsewhere.
	p.endWaits()
	err := p.shutdown(ctx, leaving, clean)
	p.cancel()
	<-p.loop.done
	p.closeClient()
	p.forward.CloseIdleConnections()
	close(p.done)
	return err
}

func (p *Process) shutdown(ctx, leaving context.Context, clean bool) error {
	if clean {
		err := p.closeHTTP(ctx)
		return errors.Join(err, p.follower.Leave(leaving, true))
	}
	err := p.follower.Leave(leaving, false)
	return errors.Join(err, p.closeHTTP(leaving))
}

// closeHTTP waits for the requests in flight until ctx ends.
func (p *Process) closeHTTP(ctx context.Context) error {
	err := p.http.Shutdown(ctx)
	if err != nil {
		_ = p.http.Close()
	}
	return err
}

// finishJobs waits until every job has ended and is recorded; false when the
// time for it is over.
func (p *Process) finishJobs(ctx context.Context) bool {
	for {
		reply := make(chan bool, 1)
		if !p.loop.post(settled{reply: reply}) || <-reply {
			return true
		}
		if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < stopReserve {
			return false
		}
		if !sleep.For(ctx, stopPoll) {
			return false
		}
	}
}

// refuse makes the loop take no new jobs.
type refuse struct{}

func (refuse) apply(l *loop) {
	l.refusing = true
	if l.owner != nil {
		l.owner.ForgetNow()
	}
}

// settled asks whether no job, accept or record is open here.
type settled struct{ reply chan<- bool }

func (s settled) apply(l *loop) {
	open := len(l.accepts) > 0
	for _, r := range l.recorders {
		open = open || r.inFlight || len(r.waiting) > 0
	}
	s.reply <- !open && (l.owner == nil || l.owner.Open() == 0)
}
