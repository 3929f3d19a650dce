package gate

import (
	"slices"
	"time"

	wirepb "endivewing/api/endivewing/v1"
)

// Config is fixed for the life of a gate, but for its Limits.
type Config struct {
	// Incarnation is the registration number of the agent.
	Incarnation uint64
	// Services are the services the minion runs; nil is all of them.
	Services []string
	Limits   Limits
}

// Limits bound what an agent takes on.
type Limits struct {
	// Slots is the number of tasks that run at once.
	Slots int
	// Connections is the number of requests open at the minion at once.
	Connections int
	// QueueTasks and QueueBytes bound the tasks that wait for a slot.
	QueueTasks int
	QueueBytes int
	// ResultBytes bounds the results that are held until they are safe.
	ResultBytes int
	// MaxRun is the longest run time of a task without a time budget.
	MaxRun time.Duration
}

// Load is how busy the agent is.
type Load struct{ Slots, Running, Queued int }

// Gate is the state of one incarnation of an agent. It is not safe for
// concurrent use.
type Gate struct {
	incarnation uint64
	services    map[string]bool
	limits      Limits

	groups     map[uint64]*group
	jobs       map[uint64]*job
	sessions   map[SessionID]*session
	owners     map[uint64]*session // by entry incarnation
	tombstones tombstones

	queue   taskQueue
	running map[Key]*flight
	timer   dueTimer

	leased      bool
	revision    uint64
	draining    bool
	minionDown  bool
	closedFor   Reason
	heldBytes   int
	unsafeTasks int

	lending Lending
	actions Actions
	grants  []Grant
	stats   Stats
}

// Stats counts what happened since the gate was made.
type Stats struct {
	Started, Done, Failed, NotRun uint64
	// Copies are starts that an earlier placement had already decided.
	Copies uint64
	// Fenced are messages of an owner that is no longer the group's.
	Fenced uint64
	// Dropped are messages that named another incarnation, a superseded
	// session or a forgotten job.
	Dropped uint64
}

// New makes a gate that refuses all starts until it has a lease and a
// confirmed configuration.
func New(cfg Config) *Gate {
	g := &Gate{
		incarnation: cfg.Incarnation,
		limits:      cfg.Limits,
		groups:      map[uint64]*group{},
		jobs:        map[uint64]*job{},
		sessions:    map[SessionID]*session{},
		owners:      map[uint64]*session{},
		running:     map[Key]*flight{},
		closedFor:   ReasonUnconfirmed,
	}
	g.SetServices(cfg.Services)
	return g
}

// SetServices replaces the services that the minion runs; nil is all.
func (g *Gate) SetServices(services []string) {
	g.services = nil
	if services == nil {
		return
	}
	g.services = make(map[string]bool, len(services))
	for _, s := range services {
		g.services[s] = true
	}
}

// SetLimits replaces the limits. Tasks that run beyond smaller ones go on.
func (g *Gate) SetLimits(l Limits) { g.limits = l }

// SetLease tells whether the agent's lease is valid now.
func (g *Gate) SetLease(valid bool) { g.leased = valid }

// SetDraining starts or ends a drain; entries are told of both.
func (g *Gate) SetDraining(draining bool) {
	if draining == g.draining {
		return
	}
	g.draining = draining
	for id := range g.sessions {
		g.sendUrgent(id, drainingEnvelope(g.incarnation, !draining))
	}
}

// SetMinionDown tells whether the minion refuses connections.
func (g *Gate) SetMinionDown(down bool) { g.minionDown = down }

// StopRunning stops all that runs, with a reason.
func (g *Gate) StopRunning(reason Reason) {
	for _, f := range g.running {
		g.stop(f, reason)
	}
}

// Demand records what an entry asks for.
func (g *Gate) Demand(now time.Duration, from SessionID, m *wirepb.Demand) {
	s := g.sessions[from]
	if s == nil {
		return
	}
	s.lend = m.Lend
	if s.lend {
		g.lending.Demand(now, from, int(m.Waiting), m.Key)
	}
}

// Settle applies what depends on time and on the conditions that were set,
// and returns what is to be done for all inputs since the last Acted.
func (g *Gate) Settle(now time.Duration) *Actions {
	g.expire(now)
	g.closedFor = g.closed()
	if g.closedFor != ReasonNone {
		g.flushQueue(now, g.closedFor)
		g.lending.SetCapacity(0)
	} else {
		g.pump(now)
		g.lending.SetCapacity(g.limit())
	}
	g.sendGrants(now)
	return &g.actions
}

// Acted tells that the actions of the last Settle were taken.
func (g *Gate) Acted() { g.actions.reset() }

// Wake returns the next time at which Settle must be called even if nothing
// happens; 0 is none.
func (g *Gate) Wake(now time.Duration) time.Duration {
	next := g.timer.next
	if lend := g.lending.Wake(now); next == 0 || lend != 0 && lend < next {
		return lend
	}
	return next
}

// Load returns how busy the agent is.
func (g *Gate) Load() Load {
	return Load{Slots: g.limit(), Running: len(g.running), Queued: g.queue.tasks}
}

// Busy tells whether tasks are queued or running.
func (g *Gate) Busy() bool { return g.queue.tasks+len(g.running) > 0 }

// Safe tells that nothing the gate ever started is unresolved: the agent can
// leave without making an outcome unknown.
func (g *Gate) Safe() bool { return g.unsafeTasks == 0 }

// limit is the number of tasks that may run at once.
func (g *Gate) limit() int { return min(g.limits.Slots, g.limits.Connections) }

// closed is why no task may start now; ReasonNone when one may.
func (g *Gate) closed() Reason {
	switch {
	case g.draining:
		return ReasonDraining
	case g.revision == 0:
		return ReasonUnconfirmed
	case !g.leased:
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

// sendGrants puts changed grants before the updates of this round, so that an
// entry never answers an update with a task on a slot that was taken back.
func (g *Gate) sendGrants(now time.Duration) {
	g.grants = g.lending.Settle(now, g.grants[:0])
	g.grants = slices.DeleteFunc(g.grants, func(grant Grant) bool {
		s := g.sessions[grant.Session]
		return s == nil || !s.lend
	})
	if len(g.grants) == 0 {
		return
	}
	sends := g.actions.Sends
	n := len(g.grants)
	for range n {
		sends = append(sends, Send{})
	}
	copy(sends[n:], sends)
	for i, grant := range g.grants {
		sends[i] = Send{Session: grant.Session, Envelope: grantEnvelope(grant.Slots, grant.Sequence)}
	}
	g.actions.Sends = sends
}
