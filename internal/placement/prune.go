package placement

// pruneAbove is the number of teams and services above which those that are
// not in use are dropped: callers choose the names.
const pruneAbove = 4096

// prune drops teams, services and queues that nothing refers to. It looks
// again when twice as many names are known as were in use.
func (d *Dispatcher) prune() {
	if len(d.teams)+len(d.services) <= max(pruneAbove, d.pruneAt) {
		return
	}
	teams, services := d.inUse()
	for name, t := range d.teams {
		if !teams[t] {
			delete(d.teams, name)
		}
	}
	for name, s := range d.services {
		if !services[s] {
			delete(d.services, name)
		}
	}
	for key, q := range d.queues {
		if !teams[q.team] || !services[q.service] {
			delete(d.queues, key)
		}
	}
	if p := d.pools[anyService]; p != nil {
		p.keepServices(services)
	}
	d.pruneAt = 2 * (len(d.teams) + len(d.services))
}

// inUse returns the teams with a quota or tasks, and the services that agents
// name or jobs need.
func (d *Dispatcher) inUse() (map[*team]bool, map[*service]bool) {
	teams, services := map[*team]bool{}, map[*service]bool{}
	for name, t := range d.teams {
		teams[t] = t.pending.tasks() > 0 || t.quota != (Team{Name: name})
	}
	for _, p := range d.pools {
		for _, s := range p.services {
			services[s] = services[s] || !p.offersAll
		}
	}
	for _, j := range d.jobs {
		teams[j.queue.team] = true
		services[j.queue.service] = true
	}
	return teams, services
}

func (p *pool) keepServices(inUse map[*service]bool) {
	kept := p.services[:0]
	for _, s := range p.services {
		if inUse[s] {
			kept = append(kept, s)
		}
	}
	clear(p.services[len(kept):])
	p.services = kept
}
