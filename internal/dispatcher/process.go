package dispatcher

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/desired"
	"endivewing/internal/directory"
	"endivewing/internal/dispatch"
	"endivewing/internal/wire"
)

// Process is a running dispatcher.
type Process struct {
	opts      Options
	directory *directory.Client
	links     *links
	loop      *loop
	// table is the configuration in force here; nil before there is one.
	table atomic.Pointer[desired.Table]
	// runners is the number of runners that take tasks.
	runners atomic.Int64
	// leaving: the process takes no more work.
	leaving atomic.Bool
	// busy: the process has no processor time for more work.
	busy atomic.Bool
	// refusing: new jobs are refused.
	refusing atomic.Bool
	open     sync.WaitGroup
	start    *startGate

	events chan event
	quit   chan struct{}
	ended  chan struct{}
}

// Start connects to control and serves until Close.
func Start(opts Options) *Process {
	p := newProcess(opts, startWindow)
	go p.loop.run()
	p.directory = directory.Start(directory.Options{
		Seeds:    opts.Seeds,
		Wire:     wire.Options{Hello: p.opts.hello, Scope: p.opts.Scope, Log: opts.Log},
		Announce: p.announce,
		Changed:  p.changed,
		Log:      opts.Log,
	})
	opts.Log.Info("dispatcher started")
	return p
}

// newProcess makes a process that does nothing yet; window is how long its
// callers may wait for the start.
func newProcess(opts Options, window time.Duration) *Process {
	if opts.Scope == nil {
		opts.Scope = tally.NoopScope
	}
	p := &Process{
		opts:   opts,
		events: make(chan event, eventQueue),
		quit:   make(chan struct{}),
		ended:  make(chan struct{}),
		start:  newStartGate(window),
	}
	p.links = newLinks(p)
	p.loop = newLoop(p)
	return p
}

func (p *Process) announce() *wirepb.Announce {
	return &wirepb.Announce{Role: Role, Name: p.opts.Name, Zone: p.opts.Zone}
}

// changed takes what the control members tell in.
func (p *Process) changed(v directory.View) {
	p.links.update(v.Processes)
	p.adopt(v.Document)
}

// adopt puts a document in force when its version is higher. The directory
// calls it from one goroutine at a time.
func (p *Process) adopt(d *wirepb.Document) {
	now := p.table.Load()
	if d == nil || now != nil && now.Document.Version >= d.Version {
		return
	}
	document, err := p.opts.Decode(d.Body)
	if err != nil {
		p.opts.Log.Error(err, "document can't be read", "version", d.Version)
		return
	}
	p.table.Store(desired.NewTable(document))
	p.checkStart()
	p.opts.Log.Info("document in force", "version", d.Version, "routes", len(document.Routes), "services", len(document.Services))
}

// Table is the configuration in force here, or nil.
func (p *Process) Table() *desired.Table { return p.table.Load() }

// Version is that of the configuration in force, or 0.
func (p *Process) Version() uint64 {
	if t := p.table.Load(); t != nil {
		return t.Document.Version
	}
	return 0
}

// Ready tells whether new work is welcome here.
func (p *Process) Ready() bool {
	return p.table.Load() != nil && p.runners.Load() > 0 && !p.leaving.Load()
}

// checkStart ends the start once there is a configuration and a runner.
func (p *Process) checkStart() {
	if p.table.Load() != nil && p.runners.Load() > 0 {
		p.start.open()
	}
}

// AwaitStart waits while the process has begun a moment ago and may serve in
// the next: until it can, the start window is over, or ctx has ended.
func (p *Process) AwaitStart(ctx context.Context) { p.start.wait(ctx) }

// Run has a job run and returns its answer. When ctx ends first, the job is
// given up.
func (p *Process) Run(ctx context.Context, j *dispatch.Job) dispatch.Answer {
	if p.refusing.Load() {
		return dispatch.Answer{Job: j, Result: dispatch.Refused, Reason: ReasonStopping, RetryAfter: time.Second}
	}
	p.open.Add(1)
	defer p.open.Done()
	answer := make(chan dispatch.Answer, 1)
	p.post(submitted{j, answer})
	select {
	case a := <-answer:
		return a
	case <-p.ended:
		return dispatch.Answer{Job: j, Result: dispatch.GivenUp, Reason: dispatch.ReasonStalled}
	case <-ctx.Done():
		p.post(callerLeft{j.ID, answer})
		return dispatch.Answer{Job: j, Result: dispatch.GivenUp, Reason: dispatch.ReasonCallerLeft}
	}
}

// Busy tells whether the process has no time for more work: a job taken now
// would wait here, whatever room there is at minions.
func (p *Process) Busy() bool { return p.busy.Load() }

// Pending is the number of jobs of a queue that have not begun here.
func (p *Process) Pending(queue string) int {
	answer := make(chan int, 1)
	p.post(pendingAsked{queue, answer})
	select {
	case n := <-answer:
		return n
	case <-p.ended:
		return 0
	}
}

// Leave makes the process take no more work: it is not ready any more.
func (p *Process) Leave() { p.leaving.Store(true) }

// Refuse makes the process refuse new jobs.
func (p *Process) Refuse() { p.refusing.Store(true) }

// Leaving tells whether Leave was called.
func (p *Process) Leaving() bool { return p.leaving.Load() }

// Reseed takes changed addresses of control members in.
func (p *Process) Reseed(seeds []string) { p.directory.Reseed(seeds) }

// Finish waits until all open jobs are answered, or ctx ends. New ones are
// refused meanwhile, and afterwards until Close.
func (p *Process) Finish(ctx context.Context) {
	began := time.Now()
	p.Leave()
	p.Refuse()
	idle := make(chan struct{})
	go func() {
		p.open.Wait()
		close(idle)
	}()
	select {
	case <-idle:
	case <-ctx.Done():
	}
	p.opts.Log.Info("dispatcher finished", "took", time.Since(began).String())
}

// Close ends the process and its sessions. That may take a while and hold up
// other work of the process: nobody should be able to send requests any more.
func (p *Process) Close() {
	began := time.Now()
	close(p.quit)
	<-p.ended
	p.directory.Close()
	p.links.close()
	p.opts.Log.Info("dispatcher stopped", "took", time.Since(began).String())
}

// post hands an event to the loop; after the loop's end it is dropped.
func (p *Process) post(e event) {
	select {
	case p.events <- e:
	case <-p.ended:
	}
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
