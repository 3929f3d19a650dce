package dispatcher

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/directory"
	"endivewing/internal/dispatch"
	"endivewing/internal/fleetconfig"
	"endivewing/internal/wire"
)

// Process is a running dispatcher.
type Process struct {
	opts      Options
	directory *directory.Client
	links     *links
	loop      *loop
	// table is the configuration in force; nil before there is one.
	table atomic.Pointer[fleetconfig.RouteTable]
	// runners is the number of runners that accept tasks.
	runners atomic.Int64
	// leaving is set when the process is no longer ready for new work.
	leaving atomic.Bool
	// busy is set while the process has no processor time for more work.
	busy atomic.Bool
	// refusing is set when new jobs are refused.
	refusing atomic.Bool
	// openRequests counts the calls of Run in progress.
	openRequests sync.WaitGroup
	start        *startGate

	events chan event
	quit   chan struct{}
	ended  chan struct{}
}

// Start connects to the control members. The dispatcher serves until Close.
func Start(opts Options) *Process {
	p := newProcess(opts, startWindow)
	go p.loop.run()
	p.directory = directory.Start(directory.Options{
		Seeds:         opts.Seeds,
		Wire:          wire.Options{Hello: p.opts.hello, Scope: p.opts.Scope, Log: opts.Log},
		Announce:      p.announce,
		OnChange:      p.directoryChanged,
		UsesDocuments: true,
		SharedJobs:    sharedJobsEvents{p},
		Log:           opts.Log,
	})
	opts.Log.Info("dispatcher started")
	return p
}

// newProcess returns a process whose loop does not run yet. window is how long
// callers may wait for the start.
func newProcess(opts Options, window time.Duration) *Process {
	if opts.Scope == nil {
		opts.Scope = tally.NoopScope
	}
	p := &Process{
		opts:   opts,
		events: make(chan event, eventQueueSize),
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

// directoryChanged applies a view of the control members.
func (p *Process) directoryChanged(v directory.View) {
	p.applyDocument(v.Document) // first, since the list may wait for the loop
	p.links.update(v.Processes)
}

// applyDocument puts a configuration document in force when its version is
// higher. The directory calls it from one goroutine at a time.
func (p *Process) applyDocument(d *wirepb.Document) {
	current := p.table.Load()
	if d == nil || current != nil && current.Document.Version >= d.Version {
		return
	}
	began := time.Now()
	document, err := p.opts.Decode(d.Body)
	if err != nil {
		p.opts.Log.Error(err, "configuration document not decoded", "version", d.Version)
		return
	}
	p.table.Store(fleetconfig.NewRouteTable(document))
	p.checkStart()
	p.opts.Log.Info("document in force", "version", d.Version, "routes", len(document.Routes), "services", len(document.Services),
		"took_ms", time.Since(began).Milliseconds())
}

// Table returns the configuration in force, or nil.
func (p *Process) Table() *fleetconfig.RouteTable { return p.table.Load() }

// Version returns the version of the configuration in force, or 0.
func (p *Process) Version() uint64 {
	if t := p.table.Load(); t != nil {
		return t.Document.Version
	}
	return 0
}

// Ready reports whether the process accepts new work.
func (p *Process) Ready() bool {
	return p.table.Load() != nil && p.runners.Load() > 0 && !p.leaving.Load()
}

// checkStart opens the start gate once there is a configuration and a runner.
func (p *Process) checkStart() {
	if p.table.Load() != nil && p.runners.Load() > 0 {
		p.start.open()
	}
}

// AwaitStart waits while the process is starting: until it has a configuration
// and a runner, the start window is over, or ctx has ended.
func (p *Process) AwaitStart(ctx context.Context) { p.start.wait(ctx) }

// Run runs a job and returns its answer. When ctx ends first, the job is
// cancelled.
func (p *Process) Run(ctx context.Context, j *dispatch.Job) dispatch.Answer {
	if p.refusing.Load() {
		return dispatch.Answer{Job: j, Result: dispatch.Refused, Reason: ReasonStopping, RetryAfter: time.Second}
	}
	p.openRequests.Add(1)
	defer p.openRequests.Done()
	answer := make(chan dispatch.Answer, 1)
	p.enqueue(jobSubmitted{j, answer})
	select {
	case a := <-answer:
		return a
	case <-p.ended:
		return dispatch.Answer{Job: j, Result: dispatch.GivenUp, Reason: dispatch.ReasonStalled}
	case <-ctx.Done():
		p.enqueue(callerLeft{j.ID, answer})
		return dispatch.Answer{Job: j, Result: dispatch.GivenUp, Reason: dispatch.ReasonCallerLeft}
	}
}

// Busy reports whether the process has no processor time for more work. A job
// accepted now would wait here even if minions have free capacity.
func (p *Process) Busy() bool { return p.busy.Load() }

// PendingJobs returns the number of jobs of a queue that have not started.
func (p *Process) PendingJobs(queue string) int {
	answer := make(chan int, 1)
	p.enqueue(pendingRequested{queue, answer})
	select {
	case n := <-answer:
		return n
	case <-p.ended:
		return 0
	}
}

// Leave makes the process report that it is not ready for new work.
func (p *Process) Leave() { p.leaving.Store(true) }

// Refuse makes the process refuse new jobs.
func (p *Process) Refuse() { p.refusing.Store(true) }

// Leaving reports whether Leave was called.
func (p *Process) Leaving() bool { return p.leaving.Load() }

// AddSeeds adds addresses of control members. Earlier ones are kept.
func (p *Process) AddSeeds(seeds []string) { p.directory.AddSeeds(seeds) }

// Finish waits until all open jobs are answered, or ctx ends. From its call on,
// new jobs are refused.
func (p *Process) Finish(ctx context.Context) {
	began := time.Now()
	p.Leave()
	p.Refuse()
	idle := make(chan struct{})
	go func() {
		p.openRequests.Wait()
		close(idle)
	}()
	select {
	case <-idle:
	case <-ctx.Done():
	}
	p.opts.Log.Info("dispatcher finished", "took", time.Since(began).String())
}

// Close ends the process and its sessions. It may take a while and delay other
// work of the process, so callers should have stopped sending requests before.
func (p *Process) Close() {
	began := time.Now()
	close(p.quit)
	<-p.ended
	p.directory.Close()
	p.links.close()
	p.opts.Log.Info("dispatcher stopped", "took", time.Since(began).String())
}

// enqueue passes an event to the loop. After the loop has ended, the event is
// dropped.
func (p *Process) enqueue(e event) {
	select {
	case p.events <- e:
	case <-p.ended:
	}
}

// Dump returns the debug state of the process.
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
