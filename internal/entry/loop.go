package entry

import (
	"context"
	"time"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/controlclient"
	"endivewing/internal/owner"
	"endivewing/internal/placement"
	"endivewing/internal/wire"
)

const (
	// eventBuffer is the number of events that may wait for the loop.
	eventBuffer = 8192
	// eventBatch is the number of events handled before what they decided is
	// sent.
	eventBatch = 256
	// maxSleep bounds the time between two looks at the clock.
	maxSleep = 100 * time.Millisecond
)

// event is a message of an agent, or an action when action is set.
type event struct {
	action   action
	session  *wire.Session
	agent    uint64
	envelope *wirepb.Envelope
}

// action is any other event.
type action interface {
	apply(l *loop)
}

// loop owns the control state of an entry. Only its goroutine touches it.
type loop struct {
	opts    Options
	control controlclient.Control
	events  chan event
	done    chan struct{}
	// ctx ends when the process stops; goroutines started by the loop use it.
	ctx context.Context
	now time.Time
	// leaseValid tells whether control may still count on this entry.
	leaseValid func(now time.Time) bool

	incarnation uint64
	// term counts registrations: what an earlier one started is dropped.
	term      uint64
	owner     *owner.Owner
	dispatch  *placement.Dispatcher
	view      *controlclient.View
	sessions  map[uint64]*wire.Session
	dialers   map[uint64]context.CancelFunc
	dialer    *dialer
	jobs      map[uint64]*heldJob
	accepts   map[submissionKey]*accept
	local     map[submissionKey]*heldJob
	recorders map[uint64]*recorder
	claims    map[uint64]claim // by group
	// draining are the agents that said so on their session.
	draining  map[uint64]bool
	lastToken uint64
	retries   chan struct{} // one for each accept that is being asked again
	refusing  bool

	metrics metrics
}

func newLoop(ctx context.Context, opts Options, control controlclient.Control) *loop {
	return &loop{
		opts:      opts,
		control:   control,
		events:    make(chan event, eventBuffer),
		done:      make(chan struct{}),
		ctx:       ctx,
		view:      &controlclient.View{},
		sessions:  map[uint64]*wire.Session{},
		dialers:   map[uint64]context.CancelFunc{},
		jobs:      map[uint64]*heldJob{},
		accepts:   map[submissionKey]*accept{},
		local:     map[submissionKey]*heldJob{},
		recorders: map[uint64]*recorder{},
		claims:    map[uint64]claim{},
		draining:  map[uint64]bool{},
		retries:   make(chan struct{}, maxRetries),
		metrics:   newMetrics(opts.Scope),
	}
}

// post hands an action to the loop; false when the process has ended.
func (l *loop) post(a action) bool { return l.push(event{action: a}) }

func (l *loop) push(e event) bool {
	select {
	case l.events <- e:
		return true
	case <-l.done:
		return false
	}
}

// run handles events until ctx ends.
func (l *loop) run() {
	defer close(l.done)
	timer := time.NewTimer(maxSleep)
	defer timer.Stop()
	for {
		timer.Reset(l.sleep())
		select {
		case <-l.ctx.Done():
			l.giveUp()
			return
		case e := <-l.events:
			l.now = time.Now()
			l.handle(e)
			l.drainEvents()
		case <-timer.C:
			l.now = time.Now()
		}
		l.act()
	}
}

// drainEvents handles what already waits, up to a batch.
func (l *loop) drainEvents() {
	for range eventBatch - 1 {
		select {
		case e := <-l.events:
			l.handle(e)
		default:
			return
		}
	}
}

// sleep is how long the loop may wait for an event.
func (l *loop) sleep() time.Duration {
	if l.owner == nil {
		return maxSleep
	}
	next := l.owner.NextTick()
	if next.IsZero() {
		return maxSleep
	}
	return min(max(time.Until(next), 0), maxSleep)
}

func (l *loop) handle(e event) {
	if e.action != nil {
		e.action.apply(l)
		return
	}
	// A message of a session that is not the agent's present one is late; what
	// it told is asked for again on the new session.
	if l.owner == nil || l.sessions[e.agent] != e.session {
		l.metrics.wasted("late_session")
		return
	}
	l.message(e.agent, e.envelope)
}

// message handles one message of a connected agent.
func (l *loop) message(agent uint64, e *wirepb.Envelope) {
	switch body := e.Body.(type) {
	case *wirepb.Envelope_TaskUpdate:
		l.dispatch.SetLoad(agent, int(body.TaskUpdate.Load))
		l.owner.Update(agent, body.TaskUpdate, l.now)
	case *wirepb.Envelope_QueryReport:
		l.owner.QueryReport(agent, body.QueryReport, l.now)
	case *wirepb.Envelope_ClaimReport:
		l.claimReport(agent, body.ClaimReport)
	case *wirepb.Envelope_SlotGrant:
		l.dispatch.SetGrant(agent, body.SlotGrant)
	case *wirepb.Envelope_Draining:
		l.drainingAgent(agent, !body.Draining.Over)
	default:
		l.metrics.wasted("unexpected")
	}
}

// act carries out what the handled events decided.
func (l *loop) act() {
	if l.owner != nil {
		l.owner.Tick(l.now)
		l.assign()
		l.recall()
		l.owner.Flush(l.now)
		l.sendDemands()
		l.sendRecords()
	}
	l.publish()
}

// registered begins the work of a new incarnation.
type registered struct{ incarnation uint64 }

func (r registered) apply(l *loop) {
	l.giveUp()
	l.incarnation = r.incarnation
	l.term++
	l.owner = owner.New(owner.Config{Incarnation: r.incarnation, ResolveGrace: resolveGrace, ForgetDelay: forgetDelay}, l)
	l.dispatch = placement.New(l.opts.Placement)
	l.adopt(l.view)
}

// fenced ends the work of an incarnation.
type fenced struct {
	incarnation uint64
	handled     chan<- struct{}
}

func (f fenced) apply(l *loop) {
	if l.incarnation == f.incarnation {
		l.giveUp()
	}
	close(f.handled)
}

// giveUp drops the work of the present incarnation. Callers follow their jobs
// through control.
func (l *loop) giveUp() {
	if l.owner == nil {
		return
	}
	l.owner.FencedAll()
	for job := range l.jobs {
		l.Lost(job)
	}
	for key, a := range l.accepts {
		a.resolve(submitReply{kind: submitAgain})
		delete(l.accepts, key)
	}
	for incarnation, stop := range l.dialers {
		stop()
		delete(l.dialers, incarnation)
	}
	for _, c := range l.claims {
		c.stop()
	}
	clear(l.sessions)
	clear(l.claims)
	clear(l.recorders)
	l.owner = nil
	l.dispatch = nil
	l.incarnation = 0
	l.term++
}
