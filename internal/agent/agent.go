// Package agent is the process beside a minion. It registers with control,
// takes tasks from entries over sessions, lets the gate decide which of them
// start, runs those at the minion over HTTP and reports their outcomes.
//
// One goroutine per incarnation owns its gate. An incarnation ends wholly before
// the next one registers: its sessions are closed and nothing of it runs any
// more, so a new incarnation never speaks for an old one.
package agent

import (
	"context"
	"crypto/tls"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/controlclient"
	"endivewing/internal/gate"
	"endivewing/internal/wire"
)

const (
	// maxRun is the longest run time of a task without a time budget.
	maxRun = 10 * time.Minute
	// defaultMaxResult bounds the result of one task, in bytes.
	defaultMaxResult = 8 << 20
	// stopGrace is how long cut tasks may take to end, and a leave to arrive.
	stopGrace = 2 * time.Second
)

// Options are the settings of an agent.
type Options struct {
	Cluster string
	Name    string
	Zone    string
	// ListenAddress is where entries connect; port 0 lets the kernel choose.
	ListenAddress string
	// AdvertiseAddress is what entries are told; empty is the listener's.
	AdvertiseAddress string
	// ControlAddresses are the control members; not used when Control is set.
	ControlAddresses []string
	// Control is a connection to control that outlives the agent; it may be nil.
	Control controlclient.Control
	// MinionURL is the base URL of the minion.
	MinionURL string
	// Services are what the minion can run; empty is everything.
	Services []string
	// Slots, Connections, QueueTasks, QueueBytes and ResultBytes are the
	// limits of gate.Limits.
	Slots       int
	Connections int
	QueueTasks  int
	QueueBytes  int
	ResultBytes int
	// MaxResult bounds the result of one task, in bytes; 0 is 8 MiB.
	MaxResult int
	// Hold is how long control holds a sync; 0 is the client's default.
	Hold  time.Duration
	TLS   *tls.Config
	Log   logr.Logger
	Scope tally.Scope
}

func (o *Options) setDefaults() {
	if o.MaxResult == 0 {
		o.MaxResult = defaultMaxResult
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	if o.Log.GetSink() == nil {
		o.Log = logr.Discard()
	}
}

func (o *Options) limits() gate.Limits {
	return gate.Limits{
		Slots:       o.Slots,
		Connections: o.Connections,
		QueueTasks:  o.QueueTasks,
		QueueBytes:  o.QueueBytes,
		ResultBytes: o.ResultBytes,
		MaxRun:      maxRun,
	}
}

// Process is a running agent.
type Process struct {
	opts     Options
	address  string // of the listener, with the real port
	minion   *minionClient
	metrics  *metrics
	client   *controlclient.Client // nil when the options brought a Control
	follower *controlclient.Follower
	// ready is closed when the fields above are set.
	ready    chan struct{}
	draining atomic.Bool

	mu      sync.Mutex
	current *incarnation
	next    *incarnation // bound and not registered yet

	stopOnce sync.Once
	done     chan struct{}
}

// Start opens the listener and begins to register; it doesn't wait for
// control. The end of ctx ends the process at once, as a crash would.
func Start(ctx context.Context, opts Options) (*Process, error) {
	opts.setDefaults()
	p := &Process{
		opts:    opts,
		minion:  newMinionClient(opts),
		metrics: newMetrics(opts.Scope),
		ready:   make(chan struct{}),
		done:    make(chan struct{}),
	}
	first := newIncarnation(p)
	if err := first.bind(opts.ListenAddress); err != nil {
		return nil, err
	}
	p.address = first.listener.Address()
	p.next = first
	p.follower = controlclient.Follow(ctx, p.control(), controlclient.FollowOptions{
		Instance:   p.instance(),
		Hold:       opts.Hold,
		Registered: p.registered,
		Changed:    p.changed,
		Fenced:     p.fenced,
		Log:        opts.Log,
	})
	close(p.ready)
	go p.watch(ctx)
	return p, nil
}

func (p *Process) control() controlclient.Control {
	if p.opts.Control != nil {
		return p.opts.Control
	}
	p.client = controlclient.New(controlclient.Options{
		Addresses: p.opts.ControlAddresses,
		Hello:     func() *wirepb.Hello { return p.hello(p.Incarnation()) },
		TLS:       p.opts.TLS,
		Log:       p.opts.Log,
		Scope:     p.opts.Scope,
	})
	return p.client
}

func (p *Process) instance() *wirepb.Instance {
	address := p.opts.AdvertiseAddress
	if address == "" {
		address = p.address
	}
	return &wirepb.Instance{
		Kind:        wirepb.InstanceKind_INSTANCE_KIND_AGENT,
		Name:        p.opts.Name,
		Zone:        p.opts.Zone,
		Address:     address,
		Slots:       uint32(p.opts.Slots),
		Connections: uint32(p.opts.Connections),
		Services:    p.opts.Services,
	}
}

func (p *Process) hello(incarnation uint64) *wirepb.Hello {
	return &wirepb.Hello{
		Role:        "agent",
		Name:        p.opts.Name,
		Zone:        p.opts.Zone,
		Cluster:     p.opts.Cluster,
		Incarnation: incarnation,
	}
}

func (p *Process) wireOptions() wire.Options {
	return wire.Options{TLS: p.opts.TLS, Scope: p.opts.Scope, Log: p.opts.Log}
}

// Address is where entries connect.
func (p *Process) Address() string { return p.address }

// Incarnation is the present registration; 0 before the first.
func (p *Process) Incarnation() uint64 {
	if i := p.active(); i != nil {
		return i.number
	}
	return 0
}

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

func (p *Process) active() *incarnation {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current
}

// registered begins a new incarnation.
func (p *Process) registered(incarnation uint64) {
	<-p.ready
	p.mu.Lock()
	defer p.mu.Unlock()
	i := p.next
	p.next = nil
	if i == nil {
		i = newIncarnation(p)
	}
	p.current = i
	i.begin(incarnation)
	p.opts.Log.Info("registered", "incarnation", incarnation)
}

func (p *Process) changed(view *controlclient.View) {
	<-p.ready
	if i := p.active(); i != nil {
		i.post(configured{view})
	}
}

// fenced returns when nothing of the incarnation is left.
func (p *Process) fenced(incarnation uint64) {
	<-p.ready
	p.opts.Log.Info("fenced, stopping all tasks", "incarnation", incarnation)
	if i := p.active(); i != nil {
		i.end()
	}
}

// watch ends the process with its context.
func (p *Process) watch(ctx context.Context) {
	select {
	case <-ctx.Done():
		p.finish()
	case <-p.done:
	}
}

// Drain lets the agent take no new work; what runs goes on. Entries are told
// at once.
func (p *Process) Drain() {
	if p.draining.Swap(true) {
		return
	}
	p.follower.Drain()
	if i := p.active(); i != nil {
		i.post(drainChanged{})
	}
}

// Stop ends the process gracefully: no new work, then the end of all that
// runs, then the safety of all results, then the leave. What is left when ctx
// ends is cut, and the leave then isn't clean.
func (p *Process) Stop(ctx context.Context) error {
	p.Drain()
	i := p.active()
	if i == nil {
		p.finish()
		return nil
	}
	clean := i.waitSafe(ctx)
	if !clean {
		clean = p.cut(ctx, i)
	}
	p.opts.Log.Info("leaving", "clean", clean)
	leave, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopGrace)
	defer cancel()
	err := p.follower.Leave(leave, clean)
	p.finish()
	return err
}

// cut stops all tasks and waits a last time for their outcomes to be safe.
func (p *Process) cut(ctx context.Context, i *incarnation) bool {
	grace, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopGrace)
	defer cancel()
	i.post(stopWanted{})
	return i.waitSafe(grace)
}

// finish closes everything.
func (p *Process) finish() {
	p.stopOnce.Do(func() {
		p.follower.Close()
		if i := p.active(); i != nil {
			i.end()
		}
		p.mu.Lock()
		if p.next != nil {
			p.next.unbind()
		}
		p.mu.Unlock()
		if p.client != nil {
			p.client.Close()
		}
		p.minion.close()
		close(p.done)
	})
	<-p.done
}
