package placement

import "math/rand/v2"

// policy bounds the tasks at an agent and chooses among those below the bound.
type policy interface {
	// limit is the number of tasks that may be outstanding at the agent.
	limit(a *agent) int
	// score orders agents; the smallest is preferred.
	score(a *agent) int
	// demands tells whether agents lend their slots on demand.
	demands() bool
	// pick chooses from a pool with at least one ready agent.
	pick(p *pool, r *rand.Rand) *agent
}

var policies = map[string]policy{
	PolicyRandom:           randomPolicy{},
	PolicyLeastOutstanding: leastOutstanding{},
	PolicyTwoChoices:       twoChoices{},
	PolicyLeases:           leases{},
}

// pickAgent chooses an agent for a service that is ready.
func (d *Dispatcher) pickAgent(s *service) *agent {
	var best *pool
	level := levelCount
	for _, p := range s.pools {
		if l := p.bestLevel(); l < level {
			best, level = p, l
		}
	}
	return d.policy.pick(best, d.rand)
}

// pickBest takes a random agent of the best level.
func pickBest(p *pool, r *rand.Rand) *agent {
	list := p.levels[p.bestLevel()]
	return list[r.IntN(len(list))]
}

func pickAny(p *pool, r *rand.Rand) *agent { return p.ready[r.IntN(len(p.ready))] }

const (
	// crowdFactor is how many tasks per slot all entries together may keep at
	// an agent, those that run included.
	crowdFactor = 3
	// crowdTasks is the number of tasks that each entry may have out anyway, so
	// that a few large jobs can use an idle fleet.
	crowdTasks = 1600
)

// pipelined is the number of slots and what travels meanwhile, or this entry's
// part when many entries share the agent.
func (a *agent) pipelined() int {
	slots := int(a.info.Slots)
	return min(slots+a.pool.pipeline.extra(slots), a.pool.crowdLimit(slots))
}

func (p *pool) crowdLimit(slots int) int {
	share := ceilDiv(crowdFactor*slots, max(p.entries, 1))
	anyway := ceilDiv(crowdTasks, max(p.members, 1))
	return max(share, anyway, 1)
}

func ceilDiv(n, by int) int { return (n + by - 1) / by }

type randomPolicy struct{}

func (randomPolicy) limit(a *agent) int                { return earlyWindow * int(a.info.Slots) }
func (randomPolicy) demands() bool                     { return false }
func (randomPolicy) score(*agent) int                  { return 0 }
func (randomPolicy) pick(p *pool, r *rand.Rand) *agent { return pickAny(p, r) }

type leastOutstanding struct{}

func (leastOutstanding) limit(a *agent) int                { return a.pipelined() }
func (leastOutstanding) demands() bool                     { return false }
func (leastOutstanding) score(a *agent) int                { return a.outstanding }
func (leastOutstanding) pick(p *pool, r *rand.Rand) *agent { return pickBest(p, r) }

type twoChoices struct{}

func (twoChoices) limit(a *agent) int { return a.pipelined() }
func (twoChoices) demands() bool      { return false }
func (twoChoices) score(a *agent) int { return a.load() }
func (twoChoices) pick(p *pool, r *rand.Rand) *agent {
	a, b := pickAny(p, r), pickAny(p, r)
	if b.level < a.level {
		return b
	}
	return a
}

type leases struct{}

func (leases) limit(a *agent) int                { return a.granted }
func (leases) demands() bool                     { return true }
func (leases) score(a *agent) int                { return a.outstanding }
func (leases) pick(p *pool, r *rand.Rand) *agent { return pickBest(p, r) }
