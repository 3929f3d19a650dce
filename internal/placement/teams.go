package placement

import "time"

// team is the state of one team at this entry.
type team struct {
	quota    Team
	running  int
	waiting  int
	pending  pending
	tokens   float64 // tasks that may be admitted now; below 0 is a debt
	filledAt time.Time
	// horizon is until when the refused jobs were told to stay away, one after
	// the other at the team's rate.
	horizon time.Time
	counted uint64 // last round of activeWeight
}

// pending counts tasks that were admitted and not added yet. Those of jobs that
// are never added are forgotten after pendingTime to twice that.
type pending struct {
	earlier, latest int
	since           time.Time // of latest
}

func (p *pending) tasks() int { return p.earlier + p.latest }

func (p *pending) admit(n int, now time.Time) {
	p.expire(now)
	p.latest += n
}

func (p *pending) added(n int) {
	early := min(n, p.earlier)
	p.earlier -= early
	p.latest = max(0, p.latest-(n-early))
}

func (p *pending) expire(now time.Time) {
	age := now.Sub(p.since)
	if age < pendingTime {
		return
	}
	p.earlier, p.latest = p.latest, 0
	if age >= 2*pendingTime {
		p.earlier = 0
	}
	p.since = now
}

func (t *team) weight() float64 {
	if t.quota.Weight <= 0 {
		return 1
	}
	return t.quota.Weight
}

// atQuota tells whether no further task may run.
func (d *Dispatcher) atQuota(t *team) bool {
	limit := d.share(t.quota.MaxRunning)
	return limit > 0 && t.running >= limit
}

// share is this entry's part of a quota of the whole fleet, rounded up.
func (d *Dispatcher) share(quota int) int { return ceilDiv(quota, d.entries) }

// untilTokens fills the team's bucket and returns how long it stays empty. A
// job is admitted when there is any token and may leave a debt, so that jobs
// larger than the burst can pass.
func (t *team) untilTokens(entries int, now time.Time) time.Duration {
	rate := t.quota.TasksPerSecond / float64(entries)
	if rate <= 0 {
		return 0
	}
	burst := max(float64(t.quota.Burst)/float64(entries), 1)
	if t.filledAt.IsZero() {
		t.tokens = burst
	} else {
		t.tokens = min(burst, t.tokens+rate*now.Sub(t.filledAt).Seconds())
	}
	t.filledAt = now
	if t.tokens > 0 {
		return 0
	}
	return seconds((1 - t.tokens) / rate)
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

// SetEntries tells how many entries share the load. Quotas are for all of
// them; each keeps to its part.
func (d *Dispatcher) SetEntries(n int) {
	d.entries = max(n, 1)
	for _, p := range d.pools {
		p.entries = d.entries
	}
}

// nextQueue returns the queue to serve next, or nil when no waiting task can
// be placed. Teams below their share come first, by the key of their most
// urgent job; among teams at or above it the least served comes first.
func (d *Dispatcher) nextQueue() *queue {
	if len(d.active) == 0 {
		return nil
	}
	weights := d.activeWeight()
	var best *queue
	for _, q := range d.active {
		if !q.service.ready() || d.atQuota(q.team) {
			continue
		}
		if best == nil || d.prefer(q, best, weights) {
			best = q
		}
	}
	return best
}

// activeWeight sums the weights of the teams with waiting tasks.
func (d *Dispatcher) activeWeight() float64 {
	d.round++
	sum := 0.0
	for _, q := range d.active {
		if q.team.counted != d.round {
			q.team.counted = d.round
			sum += q.team.weight()
		}
	}
	return sum
}

// severalTeams tells whether tasks of more than one team wait.
func (d *Dispatcher) severalTeams() bool {
	for _, q := range d.active {
		if q.team != d.active[0].team {
			return true
		}
	}
	return false
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
