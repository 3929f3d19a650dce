package placement

import "time"

// team is the state of one team at this entry.
type team struct {
	quota      Team
	running    int        // number of tasks at agents
	waiting    int        // number of waiting tasks
	admissions admissions // tasks of jobs that were admitted and not added yet
	tokens     float64    // tasks that may be admitted now; a negative number is a debt
	refilledAt time.Time  // when tokens were last added; zero is never
	// lastRetry is the latest retry time of the team's refused jobs, which are
	// asked to retry one after the other.
	lastRetry       time.Time
	lastWeightRound uint64 // weightRound of the last activeWeight that counted the team
}

// admissions counts tasks of jobs that were admitted and not added yet. Tasks
// of jobs that are never added stop counting after one to two times addTimeout.
type admissions struct {
	previous, present int       // tasks admitted in the previous and the present period
	presentSince      time.Time // start of the present period, which lasts addTimeout
}

func (p *admissions) tasks() int { return p.previous + p.present }

func (p *admissions) add(n int, now time.Time) {
	p.expire(now)
	p.present += n
}

func (p *admissions) remove(n int) {
	old := min(n, p.previous)
	p.previous -= old
	p.present = max(0, p.present-(n-old))
}

func (p *admissions) expire(now time.Time) {
	age := now.Sub(p.presentSince)
	if age < addTimeout {
		return
	}
	p.previous, p.present = p.present, 0
	if age >= 2*addTimeout {
		p.previous = 0
	}
	p.presentSince = now
}

func (t *team) weight() float64 {
	if t.quota.Weight <= 0 {
		return 1
	}
	return t.quota.Weight
}

// atQuota reports whether the team's quota allows no further task at agents.
func (d *Dispatcher) atQuota(t *team) bool {
	limit := d.quotaShare(t.quota.MaxRunning)
	return limit > 0 && t.running >= limit
}

// quotaShare returns this entry's part of a quota of the whole fleet, rounded up.
func (d *Dispatcher) quotaShare(quota int) int { return ceilDiv(quota, d.entryCount) }

// refillTokens refills the team's token bucket and returns the time until it holds
// a token; 0 means that a job may be admitted now. A job is admitted when there
// is any token and may leave a debt, so that jobs larger than the burst can be
// admitted.
func (t *team) refillTokens(entries int, now time.Time) time.Duration {
	rate := t.quota.TasksPerSecond / float64(entries)
	if rate <= 0 {
		return 0
	}
	burst := max(float64(t.quota.Burst)/float64(entries), 1)
	if t.refilledAt.IsZero() {
		t.tokens = burst
	} else {
		t.tokens = min(burst, t.tokens+rate*now.Sub(t.refilledAt).Seconds())
	}
	t.refilledAt = now
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

// SetTeams replaces the weights and quotas of all teams. A team that is not in
// the set has weight 1 and no quota.
func (d *Dispatcher) SetTeams(teams []Team) {
	for _, t := range d.teams {
		t.quota = Team{Name: t.quota.Name}
	}
	for _, q := range teams {
		d.team(q.Name).quota = q
	}
}

// SetEntryCount sets the number of entries that share the load. Quotas hold for all
// entries together; each entry applies an equal part.
func (d *Dispatcher) SetEntryCount(n int) {
	d.entryCount = max(n, 1)
	for _, p := range d.pools {
		p.entryCount = d.entryCount
	}
}

// nextQueue returns the queue to serve next, or nil when no waiting task can be
// placed. Teams at or below their share come first, ordered by the key of their
// most urgent job. Teams above their share follow, ordered by their number of
// tasks at agents relative to their weight.
func (d *Dispatcher) nextQueue() *queue {
	if len(d.activeQueues) == 0 {
		return nil
	}
	weights := d.activeWeight()
	var best *queue
	for _, q := range d.activeQueues {
		if !q.service.ready() || d.atQuota(q.team) {
			continue
		}
		if best == nil || d.servedBefore(q, best, weights) {
			best = q
		}
	}
	return best
}

// activeWeight returns the sum of the weights of the teams with waiting tasks.
func (d *Dispatcher) activeWeight() float64 {
	d.weightRound++
	sum := 0.0
	for _, q := range d.activeQueues {
		if q.team.lastWeightRound != d.weightRound {
			q.team.lastWeightRound = d.weightRound
			sum += q.team.weight()
		}
	}
	return sum
}

// severalTeams reports whether tasks of more than one team wait.
func (d *Dispatcher) severalTeams() bool {
	for _, q := range d.activeQueues {
		if q.team != d.activeQueues[0].team {
			return true
		}
	}
	return false
}

// servedBefore reports whether q is served before r. weights is the result of
// activeWeight.
func (d *Dispatcher) servedBefore(q, r *queue, weights float64) bool {
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

// aboveShare reports whether a team has more than its weighted share of this
// entry's tasks at agents. weights is the result of activeWeight.
func (d *Dispatcher) aboveShare(t *team, weights float64) bool {
	return float64(t.running)*weights > float64(d.running)*t.weight()
}
