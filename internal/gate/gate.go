package gate

import (
	"slices"
	"time"

	wirepb "endivewing/api/endivewing/v1"
)

// Config holds the initial settings of a gate. SetServices and SetLimits replace
// the services and the limits later.
type Config struct {
	// Incarnation is the registration number of the agent.
	Incarnation uint64
	// Services are the services that the minion runs; nil means all services.
	Services []string
	Limits   Limits
}

// Limits bounds the work that an agent accepts.
type Limits struct {
	// Slots is the maximum number of tasks that run at once.
	Slots int
	// Connections is the maximum number of open requests to the minion.
	Connections int
	// QueueTasks is the maximum number of tasks that wait for a slot.
	QueueTasks int
	// QueueBytes is the maximum total size of the payloads of these tasks.
	QueueBytes int
	// ResultBytes bounds the total size of the results that the gate holds until
	// their jobs are forgotten.
	ResultBytes int
	// MaxRunTime is the maximum run time of a task whose request sets no time
	// budget.
	MaxRunTime time.Duration
}

// Load counts an agent's slots, running tasks and queued tasks.
type Load struct{ Slots, Running, Queued int }

// Gate is the state of one incarnation of an agent. It is not safe for
// concurrent use.
type Gate struct {
	incarnation uint64
	services    map[string]bool
	// servicesChanged is set until Settle has looked through the queue for tasks of other
	// services.
	servicesChanged bool
	limits          Limits

	groups          map[uint64]*group
	jobs            map[uint64]*job
	sessions        map[SessionID]*session
	sessionsByEntry map[uint64]*session // by entry incarnation
	tombstones      tombstones

	queue   taskQueue
	running map[Key]*inFlightTask
	timer   deadlineTimer

	leaseValid bool
	revision   uint64
	draining   bool
	minionDown bool
	// lastClosedReason is the reason that closedReason gave at the last Settle.
	lastClosedReason Reason
	// heldBytes is the total size of the results and error details held.
	heldBytes int
	// unsafeTasks is the number of tasks for which blocksLeave is true.
	unsafeTasks int

	allocator   SlotAllocator
	actions     Actions
	grantBuffer []Grant
	stats       Stats
}

// Stats counts events since the gate was created.
type Stats struct {
	Started, Done, Failed, NotRun uint64
	// Copies counts start requests that changed nothing, because the task was
	// accepted before or this placement was already refused.
	Copies uint64
	// Fenced counts messages from an entry that no longer owns the group.
	Fenced uint64
	// Dropped counts messages that named another incarnation, a superseded
	// session or a forgotten job.
	Dropped uint64
}

// New returns a gate that refuses all starts until it has a valid lease and a
// confirmed configuration.
func New(cfg Config) *Gate {
	g := &Gate{
		incarnation:      cfg.Incarnation,
		limits:           cfg.Limits,
		groups:           map[uint64]*group{},
		jobs:             map[uint64]*job{},
		sessions:         map[SessionID]*session{},
		sessionsByEntry:  map[uint64]*session{},
		running:          map[Key]*inFlightTask{},
		lastClosedReason: ReasonUnconfirmed,
	}
	g.SetServices(cfg.Services)
	return g
}

// SetServices replaces the services that the minion runs; nil means all
// services. Queued tasks of other services are refused; running ones continue.
func (g *Gate) SetServices(services []string) {
	g.servicesChanged = true
	g.services = nil
	if services == nil {
		return
	}
	g.services = make(map[string]bool, len(services))
	for _, s := range services {
		g.services[s] = true
	}
}

// SetLimits replaces the limits. If more tasks run than a lowered limit allows,
// they continue.
func (g *Gate) SetLimits(l Limits) { g.limits = l }

// SetLease sets whether the agent's lease is valid now.
func (g *Gate) SetLease(valid bool) { g.leaseValid = valid }

// SetDraining starts or ends a drain and reports either change to all connected
// entries.
func (g *Gate) SetDraining(draining bool) {
	if draining == g.draining {
		return
	}
	g.draining = draining
	for id := range g.sessions {
		g.sendUrgent(id, drainingEnvelope(g.incarnation, !draining))
	}
}

// SetMinionDown sets whether the minion refuses connections.
func (g *Gate) SetMinionDown(down bool) { g.minionDown = down }

// StopRunning stops all running tasks for the given reason.
func (g *Gate) StopRunning(reason Reason) {
	for _, f := range g.running {
		g.stop(f, reason)
	}
}

// Demand records whether an entry uses grants. If it does, Demand also records
// how many slots it asks for and with which key.
func (g *Gate) Demand(now time.Duration, from SessionID, m *wirepb.Demand) {
	s := g.sessions[from]
	if s == nil {
		return
	}
	s.usesGrants = m.Lend
	if s.usesGrants {
		g.allocator.SetDemand(now, from, int(m.Waiting), m.Key)
	}
}

// Settle applies deadlines and the conditions that were set, starts queued tasks
// and assigns slots. It returns the actions for all inputs since the last ClearActions.
func (g *Gate) Settle(now time.Duration) *Actions {
	g.expire(now)
	g.lastClosedReason = g.closedReason()
	if g.lastClosedReason != ReasonNone {
		g.refuseAllQueued(now, g.lastClosedReason)
		g.allocator.SetCapacity(0)
	} else {
		g.refuseOtherServices(now)
		g.startQueued(now)
		g.allocator.SetCapacity(g.limit())
	}
	g.sendGrants(now)
	return &g.actions
}

// ClearActions clears the actions after the caller has performed them.
func (g *Gate) ClearActions() { g.actions.reset() }

// NextWake returns the time at which Settle must be called next if there is no other
// input; 0 means that no such call is needed.
func (g *Gate) NextWake(now time.Duration) time.Duration {
	next := g.timer.next
	if wake := g.allocator.NextWake(now); next == 0 || wake != 0 && wake < next {
		return wake
	}
	return next
}

// Load returns the present load of the agent.
func (g *Gate) Load() Load {
	return Load{Slots: g.limit(), Running: len(g.running), Queued: g.queue.tasks}
}

// Busy reports whether tasks are queued or running.
func (g *Gate) Busy() bool { return g.queue.tasks+len(g.running) > 0 }

// SafeToLeave reports whether the agent can leave without making the outcome of a task
// unknown: no task is queued or running, and the jobs of all tasks that ran are
// forgotten.
func (g *Gate) SafeToLeave() bool { return g.unsafeTasks == 0 }

// limit returns the maximum number of tasks that may run at once.
func (g *Gate) limit() int { return min(g.limits.Slots, g.limits.Connections) }

// closedReason returns the reason why no task may start now. It is ReasonNone if
// tasks may start.
func (g *Gate) closedReason() Reason {
	switch {
	case g.draining:
		return ReasonDraining
	case g.revision == 0:
		return ReasonUnconfirmed
	case !g.leaseValid:
		return ReasonLease
	case g.minionDown:
		return ReasonMinionDown
	case g.heldBytes >= g.limits.ResultBytes:
		return ReasonResultsFull
	}
	return ReasonNone
}

func (g *Gate) send(to SessionID, e *wirepb.Envelope) {
	g.actions.Sends = append(g.actions.Sends, Send{Session: to, Envelope: e})
}

func (g *Gate) sendUrgent(to SessionID, e *wirepb.Envelope) {
	g.actions.Sends = append(g.actions.Sends, Send{Session: to, Urgent: true, Envelope: e})
}

// sendGrants puts changed grants before the updates of this Settle. Otherwise an
// entry could answer an update by sending a task for a slot that was revoked.
func (g *Gate) sendGrants(now time.Duration) {
	g.grantBuffer = g.allocator.Settle(now, g.grantBuffer[:0])
	g.grantBuffer = slices.DeleteFunc(g.grantBuffer, func(grant Grant) bool {
		s := g.sessions[grant.Session]
		return s == nil || !s.usesGrants
	})
	if len(g.grantBuffer) == 0 {
		return
	}
	sends := g.actions.Sends
	n := len(g.grantBuffer)
	for range n {
		sends = append(sends, Send{})
	}
	copy(sends[n:], sends)
	for i, grant := range g.grantBuffer {
		sends[i] = Send{Session: grant.Session, Envelope: grantEnvelope(grant.Slots, grant.Sequence)}
	}
	g.actions.Sends = sends
}
