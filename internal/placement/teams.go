package placement

// team is the state of one team at this entry.
type team struct {
	quota   Team
	running int
	waiting int
}

func (t *team) weight() float64 {
	if t.quota.Weight <= 0 {
		return 1
	}
	return t.quota.Weight
}

// atQuota tells whether no further task may run.
func (t *team) atQuota() bool {
	return t.quota.MaxRunning > 0 && t.running >= t.quota.MaxRunning
}

func (d *Dispatcher) team(name string) *team {
	t := d.teams[name]
	if t == nil {
		t = &team{quota: Team{Name: name}}
		d.teams[name] = t
	}
	return t
}

// SetTeams replaces the shares and quotas. A team that is not in the set has
// weight 1 and no quota.
func (d *Dispatcher) SetTeams(teams []Team) {
	for _, t := range d.teams {
		t.quota = Team{Name: t.quota.Name}
	}
	for _, q := range teams {
		d.team(q.Name).quota = q
	}
}

// nextQueue returns the queue to serve next, or nil when no waiting task can
// be placed. Teams below their share come first, by the key of their most
// urgent job; among teams at or above it the least served comes first.
func (d *Dispatcher) nextQueue() *queue {
	weights := d.activeWeight()
	var best *queue
	for _, q := range d.active {
		if q.team.atQuota() || !q.service.ready() {
			continue
		}
		if best == nil || d.prefer(q, best, weights) {
			best = q
		}
	}
	return best
}

func (d *Dispatcher) activeWeight() float64 {
	sum := 0.0
	for _, q := range d.active {
		sum += q.team.weight()
	}
	return sum
}

func (d *Dispatcher) prefer(q, r *queue, weights float64) bool {
	if q.team == r.team {
		return q.jobs.items[0].before(r.jobs.items[0])
	}
	above, otherAbove := d.aboveShare(q.team, weights), d.aboveShare(r.team, weights)
	if above != otherAbove {
		return otherAbove
	}
	if !above {
		return q.jobs.items[0].before(r.jobs.items[0])
	}
	return float64(q.team.running)*r.team.weight() < float64(r.team.running)*q.team.weight()
}

// aboveShare tells whether a team runs more than its weighted share of what
// this entry runs.
func (d *Dispatcher) aboveShare(t *team, weights float64) bool {
	return float64(t.running)*weights > float64(d.running)*t.weight()
}
