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
	// maxQueuedEvents is the maximum number of events that wait for the
	// incarnation's goroutine.
	maxQueuedEvents = 1024
	// maxEventBatch is the maximum number of events that are handled after the
	// first one before the gate settles.
	maxEventBatch = 256
	// leaseCheckInterval is the interval of lease checks if there are no events.
	leaseCheckInterval = 100 * time.Millisecond
	// bindBackoff is the pause between attempts to reopen the listener.
	bindBackoff = 50 * time.Millisecond
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

// incarnation is one registration of the agent. Only its goroutine uses the
// fields, except for those marked otherwise.
type incarnation struct {
	p      *Process
	number uint64 // the registration number, set by start
	origin time.Time
	gate   *gate.Gate
	state  statechart.State
	// operatorDrain is set while the configuration declares a drain.
	operatorDrain bool
	sessions      map[*wire.Session]gate.SessionID
	sessionsByID  map[gate.SessionID]*wire.Session
	lastSessionID gate.SessionID
	cancels       map[gate.Key]context.CancelFunc
	safeWaiters   []chan struct{}
	probing       bool

	// Used by all goroutines.
	events     chan event
	done       chan struct{}
	goroutines sync.WaitGroup
	ctx        context.Context // context of the requests to the minion
	cancel     context.CancelFunc
	started    atomic.Bool

	mu       sync.Mutex
	listener *wire.Listener
	unbound  bool
}

func newIncarnation(p *Process) *incarnation {
	i := &incarnation{
		p:            p,
		origin:       time.Now(),
		state:        incarnationChart.Initial(),
		sessions:     map[*wire.Session]gate.SessionID{},
		sessionsByID: map[gate.SessionID]*wire.Session{},
		cancels:      map[gate.Key]context.CancelFunc{},
		events:       make(chan event, maxQueuedEvents),
		done:         make(chan struct{}),
	}
	i.ctx, i.cancel = context.WithCancel(context.Background())
	return i
}

// now returns the time since the incarnation's origin, which is the time scale of
// the gate.
func (i *incarnation) now() time.Duration { return time.Since(i.origin) }

// bind opens the listener. Sessions are accepted only after start. The error is
// wire.ErrClosed if unbind was called before.
func (i *incarnation) bind(address string) error {
	opts := i.p.wireOptions()
	opts.Hello = func() *wirepb.Hello { return i.p.hello(i.number) }
	opts.Handler = func(s *wire.Session, e *wirepb.Envelope) { i.enqueue(messageReceived{s, e}) }
	opts.OnClosed = func(s *wire.Session) { i.enqueue(sessionClosed{s}) }
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

// start starts the incarnation with its registration number.
func (i *incarnation) start(incarnation uint64) {
	i.number = incarnation
	i.gate = gate.New(gate.Config{
		Incarnation: incarnation,
		Services:    i.p.opts.Services,
		Limits:      i.p.opts.limits(),
	})
	i.started.Store(true)
	go i.run()
	go i.serve()
	i.enqueue(configurationChanged{i.p.follower.View()})
	i.enqueue(drainChanged{})
}

// serve accepts sessions. The listener of the first incarnation is already open.
// Later incarnations open their own here and retry, because the port may still be
// in use for a short time.
func (i *incarnation) serve() {
	for i.listener == nil {
		err := i.bind(i.p.address)
		if err == nil {
			break
		}
		select {
		case <-i.done:
			return
		case <-time.After(bindBackoff):
			i.p.opts.Log.V(1).Info("listener not open yet", "error", err.Error())
		}
	}
	i.listener.Serve()
}

// enqueue sends an event to the incarnation's goroutine. Events are dropped after
// the end of the incarnation.
func (i *incarnation) enqueue(e event) {
	select {
	case i.events <- e:
	case <-i.done:
	}
}

// run is the goroutine that owns the gate.
func (i *incarnation) run() {
	defer close(i.done)
	timer := time.NewTimer(leaseCheckInterval)
	defer timer.Stop()
	i.p.metrics.lastStats = gate.Stats{}
	i.setMinionDown()
	for i.state != stateEnded {
		select {
		case e := <-i.events:
			i.handleBatch(e)
		case <-timer.C:
			i.checkLease()
		}
		timer.Reset(i.settle())
	}
}

// handleBatch handles an event and up to maxEventBatch events that are queued
// behind it.
func (i *incarnation) handleBatch(e event) {
	i.checkLease()
	now := i.now()
	e.handle(i, now)
	for range maxEventBatch {
		select {
		case e := <-i.events:
			e.handle(i, now)
		default:
			return
		}
	}
}

func (i *incarnation) checkLease() { i.gate.SetLease(i.p.follower.LeaseValid(time.Now())) }

// settle settles the gate, performs its actions, and returns the time until the
// gate must be settled again.
func (i *incarnation) settle() time.Duration {
	now := i.now()
	i.perform(i.gate.Settle(now))
	i.gate.ClearActions()
	i.p.metrics.update(i.gate)
	i.notifySafeWaiters()
	if i.state == stateStopping && !i.gate.Busy() {
		i.step(eventIdle)
	}
	wait := leaseCheckInterval
	if wake := i.gate.NextWake(now); wake != 0 {
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
		if s := i.sessionsByID[id]; s != nil {
			go s.Close()
		}
	}
}

func (i *incarnation) send(s gate.Send) {
	to := i.sessionsByID[s.Session]
	if to == nil {
		return
	}
	lane := wire.LaneTraffic
	if s.Urgent {
		lane = wire.LaneUrgent
	}
	// An error means that the session is closed, which sessionClosed reports.
	_ = to.Send(lane, s.Envelope)
}

// startTask runs a task at the minion in a separate goroutine.
func (i *incarnation) startTask(s gate.Start) {
	ctx, cancel := context.WithCancel(i.ctx)
	i.cancels[s.Key] = cancel
	var budget time.Duration
	if s.Deadline != 0 {
		// The budget is at least 1 ms, because 0 means no limit.
		budget = max(s.Deadline-i.now(), time.Millisecond)
	}
	i.goroutines.Add(1)
	go func() {
		defer i.goroutines.Done()
		end, refused := i.p.minion.run(ctx, s.Request, budget)
		i.enqueue(taskEnded{end, refused})
	}()
}

// step applies an event of the incarnation's chart if the present state has a
// transition for it.
func (i *incarnation) step(e statechart.Event) {
	if next, err := incarnationChart.Next(i.state, e); err == nil {
		i.state = next
	}
}

// setMinionDown makes the gate refuse tasks and probes the minion until it
// accepts connections.
func (i *incarnation) setMinionDown() {
	i.gate.SetMinionDown(true)
	if i.probing {
		return
	}
	i.probing = true
	i.goroutines.Add(1)
	go func() {
		defer i.goroutines.Done()
		if i.p.minion.waitReachable(i.ctx) {
			i.enqueue(minionReachable{})
		}
	}()
}

// notifySafeWaiters notifies the callers of waitSafe once no task is queued or
// running and all outcomes are safe.
func (i *incarnation) notifySafeWaiters() {
	if len(i.safeWaiters) == 0 || i.gate.Busy() || !i.gate.SafeToLeave() {
		return
	}
	for _, waiter := range i.safeWaiters {
		close(waiter)
	}
	i.safeWaiters = nil
}

// waitSafe waits until no task is queued or running and all outcomes are safe. It
// reports false if ctx or the incarnation ended first.
func (i *incarnation) waitSafe(ctx context.Context) bool {
	safe := make(chan struct{})
	i.enqueue(safeRequested{safe})
	select {
	case <-safe:
		return true
	case <-i.done:
	case <-ctx.Done():
	}
	return false
}

// end stops the incarnation and waits until all its goroutines have ended.
func (i *incarnation) end() {
	i.unbind()
	if i.started.Load() {
		i.enqueue(endRequested{})
		<-i.done
	}
	i.cancel()
	i.goroutines.Wait()
}
