package placement

// minPruneNames is the number of known teams and services above which unused
// ones are dropped. Callers choose the names, so their number has no other
// bound.
const minPruneNames = 4096

// prune drops unused teams, services and queues when many names are known. It
// runs again when twice as many names are known as remained.
func (d *Dispatcher) prune() {
	if len(d.teams)+len(d.services) <= max(minPruneNames, d.nextPruneNames) {
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
	if p := d.pools[anyServiceKey]; p != nil {
		p.keepServices(services)
	}
	d.nextPruneNames = 2 * (len(d.teams) + len(d.services))
}

// inUse returns the teams that have a quota, a weight or tasks, and the services
// that agents name or jobs need. A name that maps to false is not in use.
func (d *Dispatcher) inUse() (map[*team]bool, map[*service]bool) {
	teams, services := map[*team]bool{}, map[*service]bool{}
	for name, t := range d.teams {
		teams[t] = t.admissions.tasks() > 0 || t.quota != (Team{Name: name})
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
