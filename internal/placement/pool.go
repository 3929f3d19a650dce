package placement

import "math/bits"

const (
	maxScore = 63
	// levelCount: each score has a level for agents in the entry's zone and
	// one for the others.
	levelCount = 2 * (maxScore + 1)
	wordBits   = 64
)

// pool holds the agents that offer the same services. Those that can take a
// task are kept in a flat list and by level, so that both a random and the
// best agent are found in constant time.
type pool struct {
	services []*service
	// offersAll: the agents named no services and run any.
	offersAll bool
	known     int     // agents
	members   int     // agents that take work
	slots     int     // of the members
	entries   int     // that share the agents
	ejected   int     // agents that get probes only
	failures  float64 // recent share of failed tasks
	stays     history // of the tasks at all agents
	pipeline  pipeline
	ready     []*agent
	levels    [levelCount][]*agent
	used      [levelCount / wordBits]uint64
}

// place is an agent's position in its pool.
type place struct {
	listed  bool
	readyAt int
	level   int
	levelAt int
}

// levelOf maps a score to a level; smaller is better.
func levelOf(score int, near bool) int {
	level := 2 * min(max(score, 0), maxScore)
	if !near {
		level++
	}
	return level
}

// enter lists the agent at a level, or moves it there.
func (a *agent) enter(level int) {
	p := a.pool
	if !a.listed {
		a.listed = true
		a.readyAt = len(p.ready)
		p.ready = append(p.ready, a)
		a.pushLevel(level)
		return
	}
	if a.level != level {
		a.popLevel()
		a.pushLevel(level)
	}
}

// leave takes the agent off the lists of its pool.
func (a *agent) leave() {
	if !a.listed {
		return
	}
	a.listed = false
	p := a.pool
	last := p.ready[len(p.ready)-1]
	p.ready[a.readyAt] = last
	last.readyAt = a.readyAt
	p.ready = p.ready[:len(p.ready)-1]
	a.popLevel()
}

func (a *agent) pushLevel(level int) {
	p := a.pool
	a.level = level
	a.levelAt = len(p.levels[level])
	p.levels[level] = append(p.levels[level], a)
	p.used[level/wordBits] |= 1 << (level % wordBits)
}

func (a *agent) popLevel() {
	p := a.pool
	list := p.levels[a.level]
	last := list[len(list)-1]
	list[a.levelAt] = last
	last.levelAt = a.levelAt
	p.levels[a.level] = list[:len(list)-1]
	if len(list) == 1 {
		p.used[a.level/wordBits] &^= 1 << (a.level % wordBits)
	}
}

// bestLevel returns the smallest level with an agent, or levelCount.
func (p *pool) bestLevel() int {
	for i, word := range p.used {
		if word != 0 {
			return i*wordBits + bits.TrailingZeros64(word)
		}
	}
	return levelCount
}
