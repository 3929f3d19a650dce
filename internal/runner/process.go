package runner

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/directory"
	"endivewing/internal/wire"
)

// Process is a running runner.
type Process struct {
	opts      Options
	listener  *wire.Listener
	directory *directory.Client
	loop      *loop

	// offered is what the minion serves, for dispatchers to choose by.
	offered atomic.Pointer[offered]

	events chan event
	quit   chan struct{}
	ended  chan struct{}
	once   sync.Once
}

// Start opens the listener and runs until Stop.
func Start(opts Options) (*Process, error) {
	if opts.Scope == nil {
		opts.Scope = tally.NoopScope
	}
	p := &Process{
		opts:   opts,
		events: make(chan event, eventQueue),
		quit:   make(chan struct{}),
		ended:  make(chan struct{}),
	}
	listener, err := wire.Listen(opts.ListenAddress, p.opts.wire(p.onEnvelope, p.onClosed))
	if err != nil {
		return nil, err
	}
	p.listener = listener
	p.loop = newLoop(p)
	p.directory = directory.Start(directory.Options{
		Seeds:    opts.Seeds,
		Wire:     wire.Options{Hello: p.opts.hello, Scope: opts.Scope, Log: opts.Log},
		Announce: p.announce,
		Changed:  func(directory.View) {}, // runners act on no document
		Log:      opts.Log,
	})
	go p.listener.Serve()
	go p.loop.run()
	opts.Log.Info("runner started", "listen", listener.Address())
	return p, nil
}

// offered is what a runner announces of its minion.
type offered struct {
	service string
	traits  []string
}

// offer announces what the minion serves when it differs.
func (p *Process) offer(r *Report) {
	size := fmt.Sprintf("size=%d,%d,%d", r.Capacity.CPU, r.Capacity.Memory, r.Capacity.GPUs)
	now := &offered{service: r.Service, traits: append(slices.Clone(r.Labels), size)}
	if before := p.offered.Load(); before != nil && before.service == now.service && slices.Equal(before.traits, now.traits) {
		return
	}
	p.offered.Store(now)
	p.directory.Announce()
}

func (o *Options) hello() *wirepb.Hello {
	return &wirepb.Hello{Role: Role, Name: o.Name, Zone: o.Zone, Cluster: o.Cluster}
}

func (p *Process) announce() *wirepb.Announce {
	a := &wirepb.Announce{Role: Role, Name: p.opts.Name, Zone: p.opts.Zone, Address: p.opts.Address}
	if o := p.offered.Load(); o != nil {
		a.Service, a.Traits = o.service, o.traits
	}
	return a
}

// Reseed takes changed addresses of control members in.
func (p *Process) Reseed(seeds []string) { p.directory.Reseed(seeds) }

// onEnvelope receives messages of dispatchers.
func (p *Process) onEnvelope(s *wire.Session, e *wirepb.Envelope) {
	switch body := e.Body.(type) {
	case *wirepb.Envelope_Announce:
		p.post(dispatcherJoined{s, body.Announce.Watches})
	case *wirepb.Envelope_PlaceTasks:
		p.post(tasksPlaced{s, body.PlaceTasks})
	case *wirepb.Envelope_StopTasks:
		p.post(tasksStopped{s, body.StopTasks})
	}
}

func (p *Process) onClosed(s *wire.Session) { p.post(dispatcherLeft{s}) }

// Report takes in what the minion says of itself and returns once it counts.
func (p *Process) Report(ctx context.Context, r Report) {
	done := make(chan struct{})
	p.post(reported{r, done})
	select {
	case <-done:
	case <-ctx.Done():
	case <-p.ended:
	}
}

// Leave notes that a life of the minion has ended.
func (p *Process) Leave(_ context.Context, endpoint string) { p.post(left{endpoint}) }

// post hands an event to the loop; after the loop's end it is dropped.
func (p *Process) post(e event) {
	select {
	case p.events <- e:
	case <-p.ended:
	}
}

// Stop takes no more tasks, waits for those that run until the stop timeout or
// the end of ctx, and ends.
func (p *Process) Stop(ctx context.Context) {
	began := time.Now()
	idle := make(chan struct{})
	p.post(stopAsked{idle})
	ctx, cancel := context.WithTimeout(ctx, p.opts.StopTimeout)
	defer cancel()
	select {
	case <-idle:
	case <-ctx.Done():
	case <-p.ended:
	}
	p.once.Do(func() { close(p.quit) })
	<-p.ended
	p.directory.Close()
	p.listener.Close()
	p.opts.Log.Info("runner stopped", "took", time.Since(began).String())
}

// Dump returns the process's state for people.
func (p *Process) Dump() any {
	answer := make(chan Dump, 1)
	p.post(dumpAsked{answer})
	select {
	case d := <-answer:
		return d
	case <-p.ended:
		return Dump{}
	}
}
