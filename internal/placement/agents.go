package placement

import (
	"slices"
	"sort"
	"strings"

	wirepb "endivewing/api/endivewing/v1"
)

// agent is one agent incarnation as this entry sees it.
type agent struct {
	info Agent
	pool *pool
	near bool // in the zone of this entry
	lost bool

	outstanding int // tasks of this entry sent and not ended
	granted     int // slots lent by the agent
	sequence    uint64
	reported    int // running and queued tasks by its last report
	sinceReport int // tasks sent since then

	place // position in the pool
}

// service is a task service and the pools of agents that offer it.
type service struct {
	name  string
	pools []*pool
	slots int // of all connected agents that take work
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
	present := make(map[uint64]bool, len(agents))
	for i := range agents {
		present[agents[i].Incarnation] = true
		d.setAgent(&agents[i])
	}
	for number, a := range d.agents {
		if present[number] {
			continue
		}
		a.lost = true
		a.refresh(d)
		delete(d.agents, number)
	}
	d.countSlots()
}

func (d *Dispatcher) setAgent(info *Agent) {
	a := d.agents[info.Incarnation]
	if a == nil {
		a = &agent{}
		d.agents[info.Incarnation] = a
	}
	if a.pool == nil || !slices.Equal(a.info.Services, info.Services) {
		a.leave()
		a.pool = d.pool(info.Services)
	}
	a.info = *info
	a.info.Services = slices.Clone(info.Services)
	a.near = d.cfg.Zone != "" && info.Zone == d.cfg.Zone
	if !info.Connected {
		a.granted = 0
		a.sequence = 0
	}
	a.refresh(d)
}

// countSlots sums the slots of each service.
func (d *Dispatcher) countSlots() {
	for _, s := range d.services {
		s.slots = 0
	}
	for _, a := range d.agents {
		if !a.takesWork() {
			continue
		}
		for _, s := range a.pool.services {
			s.slots += int(a.info.Slots)
		}
	}
}

// AgentLost tells that an agent incarnation has ended: it gets nothing more.
// Its outstanding tasks stay until Ended, Requeue or Remove.
func (d *Dispatcher) AgentLost(incarnation uint64) {
	a := d.agents[incarnation]
	if a == nil {
		return
	}
	a.lost = true
	a.refresh(d)
	d.countSlots()
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

// Load tells how busy an agent is, with the tasks of all entries.
func (d *Dispatcher) Load(incarnation uint64, l *wirepb.AgentLoad) {
	a := d.agents[incarnation]
	if a == nil {
		return
	}
	a.reported = int(l.GetRunning() + l.GetQueued())
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
func (d *Dispatcher) limit(a *agent) int { return d.policy.limit(a) }

func (d *Dispatcher) pool(services []string) *pool {
	names := slices.Clone(services)
	sort.Strings(names)
	key := strings.Join(names, "\x00")
	p := d.pools[key]
	if p != nil {
		return p
	}
	p = &pool{}
	d.pools[key] = p
	for _, name := range strings.Split(key, "\x00") {
		s := d.service(name)
		s.pools = append(s.pools, p)
		p.services = append(p.services, s)
	}
	return p
}

func (d *Dispatcher) service(name string) *service {
	s := d.services[name]
	if s == nil {
		s = &service{name: name}
		d.services[name] = s
	}
	return s
}
