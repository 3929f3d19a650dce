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
	// eventQueueLength is the maximum number of items that wait for the loop.
	eventQueueLength = 8192
	// maxEventBatch is the maximum number of items handled between two calls of
	// flush.
	maxEventBatch = 256
	// maxTickInterval is the maximum time between two calls of flush.
	maxTickInterval = 100 * time.Millisecond
)

// queueItem is an event, or a message of an agent when event is nil.
type queueItem struct {
	event    event
	session  *wire.Session
	agent    uint64
	envelope *wirepb.Envelope
}

// event is an input of the loop other than a message of an agent. The loop's
// goroutine calls handle.
type event interface {
	handle(l *loop)
}

// loop holds the state of an entry, which only the loop's own goroutine reads and
// writes.
type loop struct {
	opts    Options
	control controlclient.Control
	queue   chan queueItem
	done    chan struct{}
	// ctx ends when the process stops. Goroutines started by the loop use it.
	ctx context.Context
	now time.Time
	// leaseValid reports whether the entry's lease allows it to accept jobs at the
	// given time.
	leaseValid func(now time.Time) bool

	incarnation uint64
	// generation changes whenever an incarnation begins or is dropped. The loop
	// ignores results of work that was started under an earlier generation.
	generation       uint64
	owner            *owner.Owner
	dispatcher       *placement.Dispatcher
	view             *controlclient.View
	sessions         map[uint64]*wire.Session      // by agent incarnation
	dialCancels      map[uint64]context.CancelFunc // by agent incarnation
	dialer           *dialer
	jobs             map[uint64]*localJob
	pendingAccepts   map[submissionKey]*pendingAccept
	jobsBySubmission map[submissionKey]*localJob
	recorders        map[uint64]*recorder // by group
	claims           map[uint64]claim     // by group
	// drainingAgents holds the agents that have reported over their session that
	// they are draining.
	drainingAgents map[uint64]bool
	// lastAcceptToken is the token of the last accept request. Each accept request
	// gets a new token, which all its attempts carry.
	lastAcceptToken uint64
	retrySlots      chan struct{} // one for each accept request that is being retried
	refusing        bool

	metrics metrics
}

func newLoop(ctx context.Context, opts Options, control controlclient.Control) *loop {
	return &loop{
		opts:             opts,
		control:          control,
		queue:            make(chan queueItem, eventQueueLength),
		done:             make(chan struct{}),
		ctx:              ctx,
		view:             &controlclient.View{},
		sessions:         map[uint64]*wire.Session{},
		dialCancels:      map[uint64]context.CancelFunc{},
		jobs:             map[uint64]*localJob{},
		pendingAccepts:   map[submissionKey]*pendingAccept{},
		jobsBySubmission: map[submissionKey]*localJob{},
		recorders:        map[uint64]*recorder{},
		claims:           map[uint64]claim{},
		drainingAgents:   map[uint64]bool{},
		retrySlots:       make(chan struct{}, maxConcurrentRetries),
		metrics:          newMetrics(opts.Scope),
	}
}

// enqueue sends an event to the loop. It returns false when the loop has ended.
func (l *loop) enqueue(e event) bool { return l.enqueueItem(queueItem{event: e}) }

func (l *loop) enqueueItem(item queueItem) bool {
	select {
	case l.queue <- item:
		return true
	case <-l.done:
		return false
	}
}

// run handles events until ctx ends.
func (l *loop) run() {
	defer close(l.done)
	timer := time.NewTimer(maxTickInterval)
	defer timer.Stop()
	for {
		timer.Reset(l.nextTickDelay())
		select {
		case <-l.ctx.Done():
			l.dropIncarnation()
			return
		case item := <-l.queue:
			l.now = time.Now()
			l.handleItem(item)
			l.handleQueuedEvents()
		case <-timer.C:
			l.now = time.Now()
		}
		l.flush()
	}
}

// handleQueuedEvents handles the items that are queued already, up to the rest of a
// batch.
func (l *loop) handleQueuedEvents() {
	for range maxEventBatch - 1 {
		select {
		case item := <-l.queue:
			l.handleItem(item)
		default:
			return
		}
	}
}

// nextTickDelay returns how long the loop may wait for an event before it has to call
// flush.
func (l *loop) nextTickDelay() time.Duration {
	if l.owner == nil {
		return maxTickInterval
	}
	next := l.owner.NextTick()
	if next.IsZero() {
		return maxTickInterval
	}
	return min(max(time.Until(next), 0), maxTickInterval)
}

func (l *loop) handleItem(item queueItem) {
	if item.event != nil {
		item.event.handle(l)
		return
	}
	// A message of an earlier session is ignored, because the owner queries the
	// agent again on the new session.
	if l.owner == nil || l.sessions[item.agent] != item.session {
		l.metrics.messageWasted("late_session")
		return
	}
	l.handleMessage(item.agent, item.envelope)
}

// handleMessage handles a message of a connected agent.
func (l *loop) handleMessage(agent uint64, e *wirepb.Envelope) {
	switch body := e.Body.(type) {
	case *wirepb.Envelope_TaskUpdate:
		l.dispatcher.SetLoad(agent, int(body.TaskUpdate.Load))
		l.owner.HandleTaskUpdate(agent, body.TaskUpdate, l.now)
	case *wirepb.Envelope_QueryReport:
		l.owner.HandleQueryReport(agent, body.QueryReport, l.now)
	case *wirepb.Envelope_ClaimReport:
		l.handleClaimReport(agent, body.ClaimReport)
	case *wirepb.Envelope_SlotGrant:
		l.dispatcher.SetGrant(agent, body.SlotGrant)
	case *wirepb.Envelope_Draining:
		l.setDraining(agent, !body.Draining.Over)
	default:
		l.metrics.messageWasted("unexpected")
	}
}

// flush advances the owner's clock, sends what the handled events led to and updates
// the gauges.
func (l *loop) flush() {
	if l.owner != nil {
		l.owner.Tick(l.now)
		l.assign()
		l.recall()
		l.owner.Flush(l.now)
		l.sendDemands()
		l.sendCompletions()
	}
	l.updateGauges()
}

// registered reports a new incarnation of this entry.
type registered struct{ incarnation uint64 }

func (r registered) handle(l *loop) {
	l.dropIncarnation()
	l.incarnation = r.incarnation
	l.generation++
	l.owner = owner.New(owner.Config{Incarnation: r.incarnation, ResolveGrace: resolveGrace, ForgetDelay: forgetDelay}, l)
	l.dispatcher = placement.New(l.opts.Placement)
	l.applyView(l.view)
}

// fenced reports that control has ended an incarnation. The loop closes handled after
// it has dropped the incarnation's work.
type fenced struct {
	incarnation uint64
	handled     chan<- struct{}
}

func (f fenced) handle(l *loop) {
	if l.incarnation == f.incarnation {
		l.dropIncarnation()
	}
	close(f.handled)
}

// dropIncarnation ends all work of the present incarnation. Callers that wait for its
// jobs then wait for them at control.
func (l *loop) dropIncarnation() {
	if l.owner == nil {
		return
	}
	l.owner.DropAllGroups()
	for job := range l.jobs {
		l.JobLost(job)
	}
	for key, a := range l.pendingAccepts {
		a.replyAll(submitReply{outcome: submitRetry})
		delete(l.pendingAccepts, key)
	}
	for incarnation, stop := range l.dialCancels {
		stop()
		delete(l.dialCancels, incarnation)
	}
	for _, c := range l.claims {
		c.stopFetch()
	}
	clear(l.sessions)
	clear(l.claims)
	clear(l.recorders)
	l.owner = nil
	l.dispatcher = nil
	l.incarnation = 0
	l.generation++
}
