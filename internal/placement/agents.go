package placement

import (
	"slices"
	"sort"
	"strings"
	"time"

	wirepb "endivewing/api/endivewing/v1"
)

// agent is the state of one agent incarnation at this entry.
type agent struct {
	info         Agent
	pool         *pool
	listIndex    int    // index in Dispatcher.agentList
	lastSetRound uint64 // setRound of the last SetAgents with this agent
	sameZone     bool   // in the zone of this entry
	dropped      bool   // no longer in the set of agents
	// attached is true while the agent's tasks count in the turnaround times of
	// its pool.
	attached bool

	outstanding     int    // tasks that this entry sent and that have not ended
	granted         int    // slots granted by the agent
	grantSequence   uint64 // of the newest grant
	reportedLoad    int    // running and queued tasks by the agent's last report
	sentSinceReport int    // tasks sent by this entry since that report
	demandSent      bool   // the last demand asked for slots
	demandKey       uint64 // key of the last demand

	window      float64 // limit of outstanding tasks after refusals
	paused      bool    // gets no task for a backoff after a refusal
	pausedUntil time.Time
	health      health

	poolPosition
}

// service is the state of one task service, with the pools that offer it.
type service struct {
	name           string
	pools          []*pool
	offered        bool // by an agent of the set
	availableSlots int  // slots of the agents that take work
	waiting        int  // number of waiting tasks
	runTimes       runTimeEstimator
	completions    completionRate
}

// ready reports whether an agent can take a task of the service now.
func (s *service) ready() bool {
	for _, p := range s.pools {
		if len(p.ready) > 0 {
			return true
		}
	}
	return false
}

// SetAgents replaces the set of agents. Agents that are no longer in the set get
// no new task. Their outstanding tasks remain until they end.
func (d *Dispatcher) SetAgents(agents []Agent) {
	d.setRound++
	for i := range agents {
		d.setAgent(&agents[i])
	}
	for i := len(d.agentList) - 1; i >= 0; i-- {
		if a := d.agentList[i]; a.lastSetRound != d.setRound {
			d.dropAgent(a)
		}
	}
	d.countSlots()
}

func (d *Dispatcher) setAgent(info *Agent) {
	a := d.agents[info.Incarnation]
	if a == nil {
		a = &agent{listIndex: len(d.agentList), window: unlimitedWindow}
		d.agents[info.Incarnation] = a
		d.agentList = append(d.agentList, a)
	}
	a.lastSetRound = d.setRound
	if a.pool == nil || !sameServices(a.info.Services, info.Services) {
		d.setPool(a, d.pool(info.Services))
	}
	services := a.info.Services
	if !sameServices(services, info.Services) {
		services = slices.Clone(info.Services)
	}
	a.info = *info
	a.info.Services = services
	a.sameZone = d.cfg.Zone != "" && info.Zone == d.cfg.Zone
	if !info.Connected {
		a.granted, a.grantSequence, a.demandSent = 0, 0, false
	}
	a.updateListing(d)
}

// setPool moves the agent to another pool. The health of the agent is reset;
// only its outstanding tasks carry over.
func (d *Dispatcher) setPool(a *agent, to *pool) {
	a.unlist()
	if a.pool != nil {
		a.detach()
	}
	a.pool = to
	unfinished, sentSum := a.health.unfinished, a.health.sentSum
	a.health = health{turnaroundStats: turnaroundStats{unfinished: unfinished, sentSum: sentSum}}
	a.attached = true
	to.turnarounds.unfinished += unfinished
	to.turnarounds.sentSum += sentSum
}

// detach subtracts the agent's part from the counts of its pool.
func (a *agent) detach() {
	if !a.attached {
		return
	}
	a.attached = false
	a.pool.turnarounds.unfinished -= a.health.unfinished
	a.pool.turnarounds.sentSum -= a.health.sentSum
	if a.health.state == probing {
		a.pool.ejected--
	}
}

func (d *Dispatcher) dropAgent(a *agent) {
	a.dropped = true
	a.updateListing(d)
	a.detach()
	last := d.agentList[len(d.agentList)-1]
	d.agentList[a.listIndex] = last
	last.listIndex = a.listIndex
	d.agentList = d.agentList[:len(d.agentList)-1]
	delete(d.agents, a.info.Incarnation)
}

// countSlots recounts the agents and slots of each pool and each service.
func (d *Dispatcher) countSlots() {
	for _, p := range d.pools {
		p.agentCount, p.availableAgents, p.availableSlots, p.entryCount = 0, 0, 0, d.entryCount
	}
	for _, a := range d.agentList {
		a.pool.agentCount++
		if a.takesWork() {
			a.pool.availableAgents++
			a.pool.availableSlots += int(a.info.Slots)
		}
	}
	for _, s := range d.services {
		s.countSlots()
	}
}

func (s *service) countSlots() {
	s.availableSlots, s.offered = 0, false
	for _, p := range s.pools {
		s.availableSlots += p.availableSlots
		s.offered = s.offered || p.agentCount > 0
	}
}

// SetGrant records the number of slots that an agent grants to this entry. A
// grant that is older than the newest one is ignored.
func (d *Dispatcher) SetGrant(incarnation uint64, g *wirepb.SlotGrant) {
	a := d.agents[incarnation]
	if a == nil || g.GetSequence() < a.grantSequence {
		return
	}
	a.grantSequence = g.GetSequence()
	a.granted = int(g.GetSlots())
	a.updateListing(d)
}

// SetLoad records the number of tasks of all entries that run or wait at an agent.
func (d *Dispatcher) SetLoad(incarnation uint64, tasks int) {
	a := d.agents[incarnation]
	if a == nil {
		return
	}
	a.reportedLoad = tasks
	a.sentSinceReport = 0
	a.updateListing(d)
}

// takesWork reports whether new tasks may be sent to the agent, whatever its
// limit.
func (a *agent) takesWork() bool {
	return a.info.Connected && !a.info.Draining && !a.dropped
}

// estimatedLoad estimates the number of tasks of all entries at the agent.
func (a *agent) estimatedLoad() int { return max(a.outstanding, a.reportedLoad+a.sentSinceReport) }

// updateListing lists the agent at its present level in the pool, or unlists it
// when it can't take a task.
func (a *agent) updateListing(d *Dispatcher) {
	if !a.takesWork() || a.outstanding >= d.limit(a) {
		a.unlist()
		return
	}
	a.setLevel(levelOf(d.policy.score(a), a.sameZone))
}

// limit returns the number of tasks that this entry may have outstanding at an
// agent.
func (d *Dispatcher) limit(a *agent) int {
	if a.paused {
		return 0
	}
	return min(d.policy.limit(a), int(a.window), a.healthLimit())
}

// anyServiceKey is the key of the pool of agents that offer any service.
const anyServiceKey = ""

// sameServices reports whether two lists of services are equal. Nil means any
// service and differs from an empty list.
func sameServices(a, b []string) bool { return (a == nil) == (b == nil) && slices.Equal(a, b) }

// pool returns the pool of the agents that offer exactly these services. It
// creates the pool if needed.
func (d *Dispatcher) pool(services []string) *pool {
	names := slices.Clone(services)
	sort.Strings(names)
	key := anyServiceKey
	if services != nil {
		key = "=" + strings.Join(names, "\x00")
	}
	p := d.pools[key]
	if p != nil {
		return p
	}
	p = &pool{offersAll: services == nil}
	d.pools[key] = p
	for _, name := range names {
		d.link(d.service(name), p)
	}
	if p.offersAll {
		for _, s := range d.services {
			d.link(s, p)
		}
	}
	return p
}

func (d *Dispatcher) link(s *service, p *pool) {
	if slices.Contains(s.pools, p) {
		return
	}
	s.pools = append(s.pools, p)
	p.services = append(p.services, s)
}

// service returns a service by name and creates it if needed. Agents without a
// list of services offer a new service too.
func (d *Dispatcher) service(name string) *service {
	s := d.services[name]
	if s != nil {
		return s
	}
	s = &service{name: name}
	d.services[name] = s
	if p := d.pools[anyServiceKey]; p != nil {
		d.link(s, p)
		s.countSlots()
	}
	return s
}
