package runner

import (
	"context"
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

	// minion is what is announced about the minion; nil until it is known.
	// Dispatchers choose runners by it.
	minion atomic.Pointer[wirepb.MinionRecord]

	events   chan event
	quit     chan struct{}
	ended    chan struct{}
	stopOnce sync.Once
}

// Start opens the listener and starts a runner, which runs until Stop. It fails if
// the listener can't be opened.
func Start(opts Options) (*Process, error) {
	if opts.Scope == nil {
		opts.Scope = tally.NoopScope
	}
	p := &Process{
		opts:   opts,
		events: make(chan event, eventQueueLength),
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
		Seeds:        opts.Seeds,
		Wire:         wire.Options{Hello: p.opts.hello, Scope: opts.Scope, Log: opts.Log},
		Announce:     p.announce,
		OnChange:     func(directory.View) {}, // runners use no configuration document
		OnLastMinion: func(record *wirepb.MinionRecord) { p.enqueue(minionRemembered{record}) },
		Log:          opts.Log,
	})
	go p.listener.Serve()
	go p.loop.run()
	opts.Log.Info("runner started", "listen", listener.Address())
	return p, nil
}

// announceIfChanged announces the minion if a property other than the number of
// its last report has changed.
func (p *Process) announceIfChanged(r *Report) {
	current := minionRecord(r)
	if sameMinion(p.minion.Load(), current) {
		return
	}
	p.minion.Store(current)
	p.directory.Announce()
}

func (o *Options) hello() *wirepb.Hello {
	return &wirepb.Hello{Role: Role, Name: o.Name, Zone: o.Zone, Cluster: o.Cluster}
}

func (p *Process) announce() *wirepb.Announce {
	a := &wirepb.Announce{Role: Role, Name: p.opts.Name, Zone: p.opts.Zone, Address: p.opts.Address}
	if m := p.minion.Load(); m != nil {
		a.Service, a.Traits, a.Minion = m.Service, minionTraits(m), m
	}
	return a
}

// AddSeeds adds addresses of control members. Earlier ones are kept.
func (p *Process) AddSeeds(seeds []string) { p.directory.AddSeeds(seeds) }

// onEnvelope handles messages from dispatchers.
func (p *Process) onEnvelope(s *wire.Session, e *wirepb.Envelope) {
	switch body := e.Body.(type) {
	case *wirepb.Envelope_Announce:
		p.enqueue(dispatcherAnnounced{s, body.Announce.Watches})
	case *wirepb.Envelope_PlaceTasks:
		p.enqueue(placeTasksReceived{s, body.PlaceTasks})
	case *wirepb.Envelope_StopTasks:
		p.enqueue(stopTasksReceived{s, body.StopTasks})
	}
}

func (p *Process) onClosed(s *wire.Session) { p.enqueue(dispatcherDisconnected{s}) }

// Report applies a report of the minion. It returns once the report was handled, ctx
// is done or the runner has stopped. The report of another incarnation than the
// present one takes effect later, when the minion confirms it.
func (p *Process) Report(ctx context.Context, r Report) {
	done := make(chan struct{})
	p.enqueue(reportReceived{r, done})
	select {
	case <-done:
	case <-ctx.Done():
	case <-p.ended:
	}
}

// Leave records that the incarnation of the minion with the given endpoint has
// ended.
func (p *Process) Leave(_ context.Context, endpoint string) { p.enqueue(minionLeft{endpoint}) }

// enqueue sends an event to the loop. It drops the event if the loop has ended.
func (p *Process) enqueue(e event) {
	select {
	case p.events <- e:
	case <-p.ended:
	}
}

// Stop accepts no more tasks, waits for the present ones until the stop timeout
// or the end of ctx, and then shuts the runner down.
func (p *Process) Stop(ctx context.Context) {
	began := time.Now()
	idle := make(chan struct{})
	p.enqueue(shutdownRequested{idle})
	ctx, cancel := context.WithTimeout(ctx, p.opts.StopTimeout)
	defer cancel()
	select {
	case <-idle:
	case <-ctx.Done():
	case <-p.ended:
	}
	p.stopOnce.Do(func() { close(p.quit) })
	<-p.ended
	p.directory.Close()
	p.listener.Close()
	p.opts.Log.Info("runner stopped", "took", time.Since(began).String())
}

// Dump returns the runner's state, for debugging.
func (p *Process) Dump() any {
	answer := make(chan Dump, 1)
	p.enqueue(dumpRequested{answer})
	select {
	case d := <-answer:
		return d
	case <-p.ended:
		return Dump{}
	}
}
