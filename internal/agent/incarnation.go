package agent

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/charts"
	"endivewing/internal/gate"
	"endivewing/internal/statechart"
	"endivewing/internal/wire"
)

const (
	// eventQueue bounds the events that wait for the incarnation's goroutine.
	eventQueue = 1024
	// eventBatch bounds the events that are taken in before the gate settles.
	eventBatch = 256
	// leaseCheck is how often the lease is looked at when nothing happens.
	leaseCheck = 100 * time.Millisecond
	// bindPause is the pause between attempts to open the listener again.
	bindPause = 50 * time.Millisecond
)

var (
	incarnationChart = statechart.MustLoad(charts.AgentIncarnation)
	stateDraining    = incarnationChart.State("draining")
	stateStopping    = incarnationChart.State("stopping")
	stateEnded       = incarnationChart.State("ended")
	eventDrain       = incarnationChart.Event("drain")
	eventUndrain     = incarnationChart.Event("undrain")
	eventStop        = incarnationChart.Event("stop")
	eventIdle        = incarnationChart.Event("idle")
)

// incarnation is one registration of the agent. Its goroutine owns all fields
// but those marked otherwise.
type incarnation struct {
	p      *Process
	number uint64 // set by begin
	origin time.Time
	gate   *gate.Gate
	state  statechart.State
	// operatorDrain is what the configuration asks for.
	operatorDrain bool
	sessions      map[*wire.Session]gate.SessionID
	byID          map[gate.SessionID]*wire.Session
	lastID        gate.SessionID
	cancels       map[gate.Key]context.CancelFunc
	safeWaiters   []chan struct{}
	probing       bool

	// Used by all goroutines.
	events  chan event
	done    chan struct{}
	workers sync.WaitGroup
	ctx     context.Context // of the minion requests
	cancel  context.CancelFunc
	begun   atomic.Bool

	mu       sync.Mutex
	listener *wire.Listener
	unbound  bool
}

func newIncarnation(p *Process) *incarnation {
	i := &incarnation{
		p:        p,
		origin:   time.Now(),
		state:    incarnationChart.Initial(),
		sessions: map[*wire.Session]gate.SessionID{},
		byID:     map[gate.SessionID]*wire.Session{},
		cancels:  map[gate.Key]context.CancelFunc{},
		events:   make(chan event, eventQueue),
		done:     make(chan struct{}),
	}
	i.ctx, i.cancel = context.WithCancel(context.Background())
	return i
}

// now is the time since the incarnation's origin, as the gate counts it.
func (i *incarnation) now() time.Duration { return time.Since(i.origin) }

// bind opens the listener. Sessions are accepted only after begin.
func (i *incarnation) bind(address string) error {
	opts := i.p.wireOptions()
	opts.Hello = func() *wirepb.Hello { return i.p.hello(i.number) }
	opts.Handler = func(s *wire.Session, e *wirepb.Envelope) { i.post(received{s, e}) }
	opts.Closed = func(s *wire.Session) { i.post(sessionClosed{s}) }
	listener, err := wire.Listen(address, opts)
	if err != nil {
		return err
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.unbound {
		listener.Close()
		return wire.ErrClosed
	}
	i.listener = listener
	return nil
}

// unbind closes the listener and all its sessions.
func (i *incarnation) unbind() {
	i.mu.Lock()
	i.unbound = true
	listener := i.listener
	i.mu.Unlock()
	if listener != nil {
		listener.Close()
	}
}

// begin starts the incarnation under its number.
func (i *incarnation) begin(incarnation uint64) {
	i.number = incarnation
	i.gate = gate.New(gate.Config{
		Incarnation: incarnation,
		Services:    i.p.opts.Services,
		Limits:      i.p.opts.limits(),
	})
	i.begun.Store(true)
	go i.run()
	go i.serve()
	i.post(configured{i.p.follower.View()})
	i.post(drainChanged{})
}

// serve accepts sessions. After the first incarnation the port may still be in
// use for a moment.
func (i *incarnation) serve() {
	for i.listener == nil {
		err := i.bind(i.p.address)
		if err == nil {
			break
		}
		select {
		case <-i.done:
			return
		case <-time.After(bindPause):
			i.p.opts.Log.V(1).Info("listener not open yet", "error", err.Error())
		}
	}
	i.listener.Serve()
}

// post hands an event to the incarnation's goroutine; it is dropped after the end.
func (i *incarnation) post(e event) {
	select {
	case i.events <- e:
	case <-i.done:
	}
}

// run is the goroutine that owns the gate.
func (i *incarnation) run() {
	defer close(i.done)
	timer := time.NewTimer(leaseCheck)
	defer timer.Stop()
	i.p.metrics.last = gate.Stats{}
	i.setMinionDown()
	for i.state != stateEnded {
		select {
		case e := <-i.events:
			i.take(e)
		case <-timer.C:
			i.checkLease()
		}
		timer.Reset(i.settle())
	}
}

// take applies an event and those that wait behind it.
func (i *incarnation) take(e event) {
	i.checkLease()
	now := i.now()
	e.apply(i, now)
	for range eventBatch {
		select {
		case e := <-i.events:
			e.apply(i, now)
		default:
			return
		}
	}
}

func (i *incarnation) checkLease() { i.gate.SetLease(i.p.follower.LeaseValid(time.Now())) }

// settle lets the gate decide, does what it says, and returns the time until
// it must decide again.
func (i *incarnation) settle() time.Duration {
	now := i.now()
	i.perform(i.gate.Settle(now))
	i.gate.Acted()
	i.p.metrics.note(i.gate)
	i.notifySafe()
	if i.state == stateStopping && !i.gate.Busy() {
		i.step(eventIdle)
	}
	wait := leaseCheck
	if wake := i.gate.Wake(now); wake != 0 {
		wait = min(wait, max(wake-now, 0))
	}
	return wait
}

func (i *incarnation) perform(a *gate.Actions) {
	for _, s := range a.Starts {
		i.startTask(s)
	}
	for _, key := range a.Stops {
		i.cancels[key]()
	}
	for _, s := range a.Sends {
		i.send(s)
	}
	for _, id := range a.Closes {
		if s := i.byID[id]; s != nil {
			go s.Close()
		}
	}
}

func (i *incarnation) send(s gate.Send) {
	to := i.byID[s.Session]
	if to == nil {
		return
	}
	lane := wire.LaneTraffic
	if s.Urgent {
		lane = wire.LaneUrgent
	}
	// A closed session is told by its own event.
	_ = to.Send(lane, s.Envelope)
}

// startTask runs a task at the minion on its own goroutine.
func (i *incarnation) startTask(s gate.Start) {
	ctx, cancel := context.WithCancel(i.ctx)
	i.cancels[s.Key] = cancel
	var budget time.Duration
	if s.Deadline != 0 {
		// A budget that is used up must not read as no limit.
		budget = max(s.Deadline-i.now(), time.Millisecond)
	}
	i.workers.Add(1)
	go func() {
		defer i.workers.Done()
		ending, refused := i.p.minion.run(ctx, s.Request, budget)
		i.post(taskEnded{ending, refused})
	}()
}

// step takes a transition of the incarnation's chart if there is one.
func (i *incarnation) step(e statechart.Event) {
	if next, err := incarnationChart.Next(i.state, e); err == nil {
		i.state = next
	}
}

// setMinionDown closes the gate and looks for the minion until it accepts
// connections.
func (i *incarnation) setMinionDown() {
	i.gate.SetMinionDown(true)
	if i.probing {
		return
	}
	i.probing = true
	i.workers.Add(1)
	go func() {
		defer i.workers.Done()
		if i.p.minion.awaitUp(i.ctx) {
			i.post(minionUp{})
		}
	}()
}

// notifySafe wakes those who wait for all outcomes to be safe.
func (i *incarnation) notifySafe() {
	if len(i.safeWaiters) == 0 || i.gate.Busy() || !i.gate.Safe() {
		return
	}
	for _, waiter := range i.safeWaiters {
		close(waiter)
	}
	i.safeWaiters = nil
}

// waitSafe waits until nothing runs and all outcomes are safe; false when ctx
// ended first.
func (i *incarnation) waitSafe(ctx context.Context) bool {
	safe := make(chan struct{})
	i.post(safeWanted{safe})
	select {
	case <-safe:
		return true
	case <-i.done:
	case <-ctx.Done():
	}
	return false
}

// end stops everything of this incarnation and waits until nothing is left.
func (i *incarnation) end() {
	i.unbind()
	if i.begun.Load() {
		i.post(endWanted{})
		<-i.done
	}
	i.cancel()
	i.workers.Wait()
}
