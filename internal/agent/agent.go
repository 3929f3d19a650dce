// Package agent implements the agent, the process that runs next to a minion. It
// registers with control and receives tasks from entries over sessions. The gate
// decides which of the tasks start. The agent runs these at the minion over HTTP
// and reports their outcomes.
//
// One goroutine per incarnation owns the gate of that incarnation. Before the
// next incarnation registers, the sessions of the old one are closed and all its
// goroutines have ended. So a new incarnation never reports for an old one.
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
	// maxRunTime is the maximum run time of a task whose request sets no time
	// budget.
	maxRunTime = 10 * time.Minute
	// defaultMaxResultBytes is the default of Options.MaxResultBytes.
	defaultMaxResultBytes = 8 << 20
	// forcedStopTimeout bounds the wait for the outcomes of forcibly stopped tasks
	// to become safe. It also bounds the leave request that follows.
	forcedStopTimeout = 2 * time.Second
)

// Options holds the settings of an agent.
type Options struct {
	Cluster string
	Name    string
	Zone    string
	// ListenAddress is the address of the listener for entries; the kernel
	// chooses the port if it is 0.
	ListenAddress string
	// AdvertiseAddress is the address that entries connect to; empty means the
	// address of the listener.
	AdvertiseAddress string
	// ControlAddresses are the addresses of the control members. They are not used
	// if Control is set.
	ControlAddresses []string
	// Control is a connection to control that the caller owns and closes; it may
	// be nil.
	Control controlclient.Control
	// MinionURL is the base URL of the minion.
	MinionURL string
	// Services are the services that the minion can run; empty means all.
	Services []string
	// Slots, Connections, QueueTasks, QueueBytes and ResultBytes are described
	// at gate.Limits.
	Slots       int
	Connections int
	QueueTasks  int
	QueueBytes  int
	ResultBytes int
	// MaxResultBytes is the maximum size of the result of one task; 0 means 8 MiB.
	MaxResultBytes int
	// Hold is how long control may delay the reply to a sync that has no news; 0
	// means the default of the control client.
	Hold  time.Duration
	TLS   *tls.Config
	Log   logr.Logger
	Scope tally.Scope
}

func (o *Options) setDefaults() {
	if o.MaxResultBytes == 0 {
		o.MaxResultBytes = defaultMaxResultBytes
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
		MaxRunTime:  maxRunTime,
	}
}

// Process is a running agent.
type Process struct {
	opts     Options
	address  string // address of the listener, with its actual port
	minion   *minionClient
	metrics  *metrics
	client   *controlclient.Client // nil if Options.Control is set
	follower *controlclient.Follower
	// ready is closed when the fields above are set.
	ready    chan struct{}
	draining atomic.Bool

	mu      sync.Mutex
	current *incarnation
	next    *incarnation // its listener is bound, but it is not registered yet

	stopOnce sync.Once
	done     chan struct{}
}

// Start opens the listener and starts to register with control, but doesn't wait
// for control. When ctx ends, the process ends at once, as in a crash.
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
		Instance:     p.instance(),
		Hold:         opts.Hold,
		OnRegistered: p.registered,
		OnChange:     p.changed,
		OnFenced:     p.fenced,
		Log:          opts.Log,
	})
	close(p.ready)
	go p.shutdownOnCancel(ctx)
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

// Address returns the address of the listener for entries.
func (p *Process) Address() string { return p.address }

// Incarnation returns the number of the present registration; 0 before the
// first one.
func (p *Process) Incarnation() uint64 {
	if i := p.currentIncarnation(); i != nil {
		return i.number
	}
	return 0
}

// Done returns a channel that is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

func (p *Process) currentIncarnation() *incarnation {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current
}

// registered starts a new incarnation after its registration.
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
	i.start(incarnation)
	p.opts.Log.Info("registered", "incarnation", incarnation)
}

func (p *Process) changed(config *controlclient.View) {
	<-p.ready
	if i := p.currentIncarnation(); i != nil {
		i.enqueue(configurationChanged{config})
	}
}

// fenced ends an incarnation that control has fenced. It returns when all
// goroutines of the incarnation have ended.
func (p *Process) fenced(incarnation uint64) {
	<-p.ready
	p.opts.Log.Info("fenced, stopping all tasks", "incarnation", incarnation)
	if i := p.currentIncarnation(); i != nil {
		i.end()
	}
}

// shutdownOnCancel shuts the process down when ctx ends.
func (p *Process) shutdownOnCancel(ctx context.Context) {
	select {
	case <-ctx.Done():
		p.shutdown()
	case <-p.done:
	}
}

// Drain makes the agent refuse new tasks; running tasks continue. The agent
// reports the drain to entries at once.
func (p *Process) Drain() {
	if p.draining.Swap(true) {
		return
	}
	p.follower.Drain()
	if i := p.currentIncarnation(); i != nil {
		i.enqueue(drainChanged{})
	}
}

// Stop ends the process gracefully. It refuses new tasks, waits until all running
// tasks have ended and all outcomes are safe, which means that the ends of their
// jobs are durable. Then it leaves the cluster. If ctx ends first, Stop stops the
// remaining tasks and waits at most forcedStopTimeout for their outcomes to be
// safe. If they aren't, the leave isn't clean.
func (p *Process) Stop(ctx context.Context) error {
	p.Drain()
	i := p.currentIncarnation()
	if i == nil {
		p.shutdown()
		return nil
	}
	clean := i.waitSafe(ctx)
	if !clean {
		clean = p.stopTasks(ctx, i)
	}
	p.opts.Log.Info("leaving", "clean", clean)
	leaveCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), forcedStopTimeout)
	defer cancel()
	err := p.follower.Leave(leaveCtx, clean)
	p.shutdown()
	return err
}

// stopTasks stops all tasks and reports whether their outcomes became safe within
// forcedStopTimeout.
func (p *Process) stopTasks(ctx context.Context, i *incarnation) bool {
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), forcedStopTimeout)
	defer cancel()
	i.enqueue(stopRequested{})
	return i.waitSafe(stopCtx)
}

// shutdown ends the incarnation and closes all connections. It is safe to call
// more than once.
func (p *Process) shutdown() {
	p.stopOnce.Do(func() {
		p.follower.Close()
		if i := p.currentIncarnation(); i != nil {
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
