package placement

import "math/rand/v2"

// policy limits the outstanding tasks at each agent and picks an agent among
// those below their limit.
type policy interface {
	// limit returns the number of tasks that may be outstanding at the agent.
	limit(a *agent) int
	// score orders agents; the smallest score is preferred.
	score(a *agent) int
	// usesDemands reports whether agents grant their slots on demand.
	usesDemands() bool
	// pick picks an agent from a pool with at least one ready agent.
	pick(p *pool, r *rand.Rand) *agent
}

var policies = map[string]policy{
	PolicyRandom:           randomPolicy{},
	PolicyLeastOutstanding: leastOutstanding{},
	PolicyTwoChoices:       twoChoices{},
	PolicyLeases:           leases{},
}

// pickAgent picks an agent for a service that is ready, from the pool with the
// best level.
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

// pickBest returns a random agent of the best level.
func pickBest(p *pool, r *rand.Rand) *agent {
	list := p.levels[p.bestLevel()]
	return list[r.IntN(len(list))]
}

func pickRandom(p *pool, r *rand.Rand) *agent { return p.ready[r.IntN(len(p.ready))] }

const (
	// sharedTasksPerSlot is the number of tasks per slot that all entries
	// together may keep at an agent, including those that run.
	sharedTasksPerSlot = 3
	// minTasksPerPool is the number of outstanding tasks in a pool that each
	// entry may have in any case, so that a few large jobs can use an idle
	// fleet.
	minTasksPerPool = 1600
)

// pipelineLimit returns the number of slots plus the extra tasks of the pipeline,
// or the lower entryLimit when many entries share the agent.
func (a *agent) pipelineLimit() int {
	slots := int(a.info.Slots)
	return min(slots+a.pool.pipeline.extraTasks(slots), a.pool.entryLimit(slots))
}

// entryLimit returns the number of tasks that one of the entries may keep at an
// agent with this number of slots. It is at least 1.
func (p *pool) entryLimit(slots int) int {
	share := ceilDiv(sharedTasksPerSlot*slots, max(p.entryCount, 1))
	minimum := ceilDiv(minTasksPerPool, max(p.availableAgents, 1))
	return max(share, minimum, 1)
}

func ceilDiv(n, by int) int { return (n + by - 1) / by }

type randomPolicy struct{}

func (randomPolicy) limit(a *agent) int                { return earlyBindingPerSlot * int(a.info.Slots) }
func (randomPolicy) usesDemands() bool                 { return false }
func (randomPolicy) score(*agent) int                  { return 0 }
func (randomPolicy) pick(p *pool, r *rand.Rand) *agent { return pickRandom(p, r) }

type leastOutstanding struct{}

func (leastOutstanding) limit(a *agent) int                { return a.pipelineLimit() }
func (leastOutstanding) usesDemands() bool                 { return false }
func (leastOutstanding) score(a *agent) int                { return a.outstanding }
func (leastOutstanding) pick(p *pool, r *rand.Rand) *agent { return pickBest(p, r) }

type twoChoices struct{}

func (twoChoices) limit(a *agent) int { return a.pipelineLimit() }
func (twoChoices) usesDemands() bool  { return false }
func (twoChoices) score(a *agent) int { return a.estimatedLoad() }
func (twoChoices) pick(p *pool, r *rand.Rand) *agent {
	a, b := pickRandom(p, r), pickRandom(p, r)
	if b.level < a.level {
		return b
	}
	return a
}

type leases struct{}

func (leases) limit(a *agent) int                { return a.granted }
func (leases) usesDemands() bool                 { return true }
func (leases) score(a *agent) int                { return a.outstanding }
func (leases) pick(p *pool, r *rand.Rand) *agent { return pickBest(p, r) }
