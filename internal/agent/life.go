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
	// eventQueue bounds the events that wait for the life's goroutine.
	eventQueue = 1024
	// eventBatch bounds the events that are taken in before the gate settles.
	eventBatch = 256
	// leaseCheck is how often the lease is looked at when nothing happens.
	leaseCheck = 100 * time.Millisecond
	// bindPause is the pause between attempts to open the listener again.
	bindPause = 50 * time.Millisecond
)

var (
	lifeChart     = statechart.MustLoad(charts.AgentLife)
	lifeDraining  = lifeChart.State("draining")
	lifeStopping  = lifeChart.State("stopping")
	lifeEnded     = lifeChart.State("ended")
	eventDrain    = lifeChart.Event("drain")
	eventUndrain  = lifeChart.Event("undrain")
	eventLifeStop = lifeChart.Event("stop")
	eventIdle     = lifeChart.Event("idle")
)

// life is one incarnation of the agent. Its goroutine owns all fields but
// those marked otherwise.
type life struct {
	p           *Process
	incarnation uint64 // set by begin
	origin      time.Time
	gate        *gate.Gate
	state       statechart.State
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

func newLife(p *Process) *life {
	l := &life{
		p:        p,
		origin:   time.Now(),
		state:    lifeChart.Initial(),
		sessions: map[*wire.Session]gate.SessionID{},
		byID:     map[gate.SessionID]*wire.Session{},
		cancels:  map[gate.Key]context.CancelFunc{},
		events:   make(chan event, eventQueue),
		done:     make(chan struct{}),
	}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	return l
}

// now is the time since the life's origin, as the gate counts it.
func (l *life) now() time.Duration { return time.Since(l.origin) }

// bind opens the listener. Sessions are accepted only after begin.
func (l *life) bind(address string) error {
	opts := l.p.wireOptions()
	opts.Hello = func() *wirepb.Hello { return l.p.hello(l.incarnation) }
	opts.Handler = func(s *wire.Session, e *wirepb.Envelope) { l.post(received{s, e}) }
	opts.Closed = func(s *wire.Session) { l.post(sessionClosed{s}) }
	listener, err := wire.Listen(address, opts)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unbound {
		listener.Close()
		return wire.ErrClosed
	}
	l.listener = listener
	return nil
}

// unbind closes the listener and all its sessions.
func (l *life) unbind() {
	l.mu.Lock()
	l.unbound = true
	listener := l.listener
	l.mu.Unlock()
	if listener != nil {
		listener.Close()
	}
}

// begin starts the life under its incarnation.
func (l *life) begin(incarnation uint64) {
	l.incarnation = incarnation
	l.gate = gate.New(gate.Config{
		Incarnation: incarnation,
		Services:    l.p.opts.Services,
		Limits:      l.p.opts.limits(),
	})
	l.begun.Store(true)
	go l.run()
	go l.serve()
	l.post(configured{l.p.follower.View()})
	l.post(drainChanged{})
}

// serve accepts sessions. After the first life the port may still be in use
// for a moment.
func (l *life) serve() {
	for l.listener == nil {
		err := l.bind(l.p.address)
		if err == nil {
			break
		}
		select {
		case <-l.done:
			return
		case <-time.After(bindPause):
			l.p.opts.Log.V(1).Info("listener not open yet", "error", err.Error())
		}
	}
	l.listener.Serve()
}

// post hands an event to the life's goroutine; it is dropped after the end.
func (l *life) post(e event) {
	select {
	case l.events <- e:
	case <-l.done:
	}
}

// run is the goroutine that owns the gate.
func (l *life) run() {
	defer close(l.done)
	timer := time.NewTimer(leaseCheck)
	defer timer.Stop()
	l.p.metrics.last = gate.Stats{}
	l.setMinionDown()
	for l.state != lifeEnded {
		select {
		case e := <-l.events:
			l.take(e)
		case <-timer.C:
			l.checkLease()
		}
		timer.Reset(l.settle())
	}
}

// take applies an event and those that wait behind it.
func (l *life) take(e event) {
	l.checkLease()
	now := l.now()
	e.apply(l, now)
	for range eventBatch {
		select {
		case e := <-l.events:
			e.apply(l, now)
		default:
			return
		}
	}
}

func (l *life) checkLease() { l.gate.SetLease(l.p.follower.LeaseValid(time.Now())) }

// settle lets the gate decide, does what it says, and returns the time until
// it must decide again.
func (l *life) settle() time.Duration {
	now := l.now()
	l.perform(l.gate.Settle(now))
	l.gate.Acted()
	l.p.metrics.note(l.gate)
	l.notifySafe()
	if l.state == lifeStopping && !l.gate.Busy() {
		l.step(eventIdle)
	}
	wait := leaseCheck
	if wake := l.gate.Wake(now); wake != 0 {
		wait = min(wait, max(wake-now, 0))
	}
	return wait
}

func (l *life) perform(a *gate.Actions) {
	for _, s := range a.Starts {
		l.startTask(s)
	}
	for _, key := range a.Stops {
		l.cancels[key]()
	}
	for _, s := range a.Sends {
		l.send(s)
	}
	for _, id := range a.Closes {
		if s := l.byID[id]; s != nil {
			go s.Close()
		}
	}
}

func (l *life) send(s gate.Send) {
	to := l.byID[s.Session]
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
func (l *life) startTask(s gate.Start) {
	ctx, cancel := context.WithCancel(l.ctx)
	l.cancels[s.Key] = cancel
	var budget time.Duration
	if s.Deadline != 0 {
		budget = s.Deadline - l.now()
	}
	l.workers.Add(1)
	go func() {
		defer l.workers.Done()
		ending, refused := l.p.minion.run(ctx, s.Request, budget)
		l.post(taskEnded{ending, refused})
	}()
}

// step takes a transition of the life's chart if there is one.
func (l *life) step(e statechart.Event) {
	if next, err := lifeChart.Next(l.state, e); err == nil {
		l.state = next
	}
}

// setMinionDown closes the gate and looks for the minion until it accepts
// connections.
func (l *life) setMinionDown() {
	l.gate.SetMinionDown(true)
	if l.probing {
		return
	}
	l.probing = true
	l.workers.Add(1)
	go func() {
		defer l.workers.Done()
		if l.p.minion.awaitUp(l.ctx) {
			l.post(minionUp{})
		}
	}()
}

// notifySafe wakes those who wait for all outcomes to be safe.
func (l *life) notifySafe() {
	if len(l.safeWaiters) == 0 || l.gate.Busy() || !l.gate.Safe() {
		return
	}
	for _, waiter := range l.safeWaiters {
		close(waiter)
	}
	l.safeWaiters = nil
}

// waitSafe waits until nothing runs and all outcomes are safe; false when ctx
// ended first.
func (l *life) waitSafe(ctx context.Context) bool {
	safe := make(chan struct{})
	l.post(safeWanted{safe})
	select {
	case <-safe:
		return true
	case <-l.done:
	case <-ctx.Done():
	}
	return false
}

// end stops everything of this incarnation and waits until nothing is left.
func (l *life) end() {
	l.unbind()
	if l.begun.Load() {
		l.post(endWanted{})
		<-l.done
	}
	l.cancel()
	l.workers.Wait()
}
