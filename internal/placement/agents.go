package placement

import (
	"slices"
	"sort"
	"strings"
	"time"

	wirepb "endivewing/api/endivewing/v1"
)

// agent is one agent incarnation as this entry sees it.
type agent struct {
	info   Agent
	pool   *pool
	listAt int
	seen   uint64 // last round of SetAgents
	near   bool   // in the zone of this entry
	lost   bool
	// attached: its tasks count in the pool's history.
	attached bool

	outstanding int // tasks of this entry sent and not ended
	granted     int // slots lent by the agent
	sequence    uint64
	reported    int // running and queued tasks by its last report
	sinceReport int // tasks sent since then
	told        bool
	toldKey     uint64 // of the last demand

	window      float64 // tasks it takes from this entry without refusing
	paused      bool    // it has just refused one
	pausedUntil time.Time
	health      health

	place // position in the pool
}

// service is a task service and the pools of agents that offer it.
type service struct {
	name    string
	pools   []*pool
	offered bool // by any agent in the set
	slots   int  // of all agents that take work
	waiting int  // tasks
	runs    runTimes
	drain   drainRate
}

// ready tells whether some agent can take a task now.
func (s *service) ready() bool {
	for _, p := range s.pools {
		if len(p.ready) > 0 {
			return true
		}
	}
	return false
}

// SetAgents replaces the set of agents. Agents that are not in it any more
// get no new task; their outstanding tasks stay until they end.
func (d *Dispatcher) SetAgents(agents []Agent) {
	d.setRound++
	for i := range agents {
		d.setAgent(&agents[i])
	}
	for i := len(d.list) - 1; i >= 0; i-- {
		if a := d.list[i]; a.seen != d.setRound {
			d.dropAgent(a)
		}
	}
	d.countSlots()
}

func (d *Dispatcher) setAgent(info *Agent) {
	a := d.agents[info.Incarnation]
	if a == nil {
		a = &agent{listAt: len(d.list), window: openWindow}
		d.agents[info.Incarnation] = a
		d.list = append(d.list, a)
	}
	a.seen = d.setRound
	if a.pool == nil || !sameServices(a.info.Services, info.Services) {
		d.movePool(a, d.pool(info.Services))
	}
	services := a.info.Services
	if !sameServices(services, info.Services) {
		services = slices.Clone(info.Services)
	}
	a.info = *info
	a.info.Services = services
	a.near = d.cfg.Zone != "" && info.Zone == d.cfg.Zone
	if !info.Connected {
		a.granted, a.sequence, a.told = 0, 0, false
	}
	a.refresh(d)
}

// movePool puts the agent among others; its record starts anew there.
func (d *Dispatcher) movePool(a *agent, to *pool) {
	a.leave()
	if a.pool != nil {
		a.detach()
	}
	a.pool = to
	held, sentSum := a.health.held, a.health.sentSum
	a.health = health{history: history{held: held, sentSum: sentSum}}
	a.attached = true
	to.stays.held += held
	to.stays.sentSum += sentSum
}

// detach takes the agent's part out of the counts of its pool.
func (a *agent) detach() {
	if !a.attached {
		return
	}
	a.attached = false
	a.pool.stays.held -= a.health.held
	a.pool.stays.sentSum -= a.health.sentSum
	if a.health.state == trickling {
		a.pool.ejected--
	}
}

func (d *Dispatcher) dropAgent(a *agent) {
	a.lost = true
	a.refresh(d)
	a.detach()
	last := d.list[len(d.list)-1]
	d.list[a.listAt] = last
	last.listAt = a.listAt
	d.list = d.list[:len(d.list)-1]
	delete(d.agents, a.info.Incarnation)
}

// countSlots sums the slots and members of each pool and each service.
func (d *Dispatcher) countSlots() {
	for _, p := range d.pools {
		p.known, p.members, p.slots, p.entries = 0, 0, 0, d.entries
	}
	for _, a := range d.list {
		a.pool.known++
		if a.takesWork() {
			a.pool.members++
			a.pool.slots += int(a.info.Slots)
		}
	}
	for _, s := range d.services {
		s.countSlots()
	}
}

func (s *service) countSlots() {
	s.slots, s.offered = 0, false
	for _, p := range s.pools {
		s.slots += p.slots
		s.offered = s.offered || p.known > 0
	}
}

// Granted tells how many tasks this entry may have outstanding at an agent.
// A grant older than the newest one is ignored.
func (d *Dispatcher) Granted(incarnation uint64, g *wirepb.SlotGrant) {
	a := d.agents[incarnation]
	if a == nil || g.GetSequence() < a.sequence {
		return
	}
	a.sequence = g.GetSequence()
	a.granted = int(g.GetSlots())
	a.refresh(d)
}

// Load tells how many tasks run or wait at an agent, from all entries.
func (d *Dispatcher) Load(incarnation uint64, tasks int) {
	a := d.agents[incarnation]
	if a == nil {
		return
	}
	a.reported = tasks
	a.sinceReport = 0
	a.refresh(d)
}

// takesWork tells whether new tasks may be sent at all.
func (a *agent) takesWork() bool {
	return a.info.Connected && !a.info.Draining && !a.lost
}

// load estimates the tasks at the agent from all entries.
func (a *agent) load() int { return max(a.outstanding, a.reported+a.sinceReport) }

// refresh puts the agent where it belongs in its pool.
func (a *agent) refresh(d *Dispatcher) {
	if !a.takesWork() || a.outstanding >= d.limit(a) {
		a.leave()
		return
	}
	a.enter(levelOf(d.policy.score(a), a.near))
}

// limit is how many tasks this entry may have outstanding at an agent.
func (d *Dispatcher) limit(a *agent) int {
	if a.paused {
		return 0
	}
	return min(d.policy.limit(a), int(a.window), a.healthLimit())
}

// anyService is the key of the pool of agents that run any service.
const anyService = ""

// sameServices tells whether two lists offer the same; nil is any service.
func sameServices(a, b []string) bool { return (a == nil) == (b == nil) && slices.Equal(a, b) }

// pool returns the pool of the agents that offer these services.
func (d *Dispatcher) pool(services []string) *pool {
	names := slices.Clone(services)
	sort.Strings(names)
	key := anyService
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
		d.join(d.service(name), p)
	}
	if p.offersAll {
		for _, s := range d.services {
			d.join(s, p)
		}
	}
	return p
}

func (d *Dispatcher) join(s *service, p *pool) {
	if slices.Contains(s.pools, p) {
		return
	}
	s.pools = append(s.pools, p)
	p.services = append(p.services, s)
}

// service returns a service by name; agents without a list offer any.
func (d *Dispatcher) service(name string) *service {
	s := d.services[name]
	if s != nil {
		return s
	}
	s = &service{name: name}
	d.services[name] = s
	if p := d.pools[anyService]; p != nil {
		d.join(s, p)
		s.countSlots()
	}
	return s
}
