package placement

import "math/bits"

const (
	maxScore = 63
	// levelCount is the number of levels. Each score has one level for agents in
	// the entry's zone and one for the other agents.
	levelCount = 2 * (maxScore + 1)
	wordBits   = 64
)

// pool holds the agents that offer the same services. Agents that can take a
// task are listed both in a flat list and by level, so that a random agent and
// the best agent are found in constant time.
type pool struct {
	services []*service
	// offersAll is true when the agents name no services and offer any.
	offersAll       bool
	agentCount      int             // number of agents
	availableAgents int             // number of agents that take work
	availableSlots  int             // slots of the agents that take work
	entryCount      int             // number of entries that share the agents
	ejected         int             // number of agents that get only probes
	failureRate     float64         // recent share of failed tasks
	turnarounds     turnaroundStats // tasks at all agents
	pipeline        pipeline
	ready           []*agent                      // agents that can take a task, in no order
	levels          [levelCount][]*agent          // the same agents by level
	usedLevels      [levelCount / wordBits]uint64 // one bit per level, set when the level has an agent
}

// poolPosition is an agent's position in the lists of its pool.
type poolPosition struct {
	listed     bool // the other fields are valid
	readyIndex int  // index in pool.ready
	level      int
	levelIndex int // index in pool.levels[level]
}

// levelOf returns the level of an agent with this score; smaller is better.
func levelOf(score int, near bool) int {
	level := 2 * min(max(score, 0), maxScore)
	if !near {
		level++
	}
	return level
}

// setLevel lists the agent at a level, or moves it to that level.
func (a *agent) setLevel(level int) {
	p := a.pool
	if !a.listed {
		a.listed = true
		a.readyIndex = len(p.ready)
		p.ready = append(p.ready, a)
		a.pushLevel(level)
		return
	}
	if a.level != level {
		a.popLevel()
		a.pushLevel(level)
	}
}

// unlist removes the agent from the lists of its pool.
func (a *agent) unlist() {
	if !a.listed {
		return
	}
	a.listed = false
	p := a.pool
	last := p.ready[len(p.ready)-1]
	p.ready[a.readyIndex] = last
	last.readyIndex = a.readyIndex
	p.ready = p.ready[:len(p.ready)-1]
	a.popLevel()
}

func (a *agent) pushLevel(level int) {
	p := a.pool
	a.level = level
	a.levelIndex = len(p.levels[level])
	p.levels[level] = append(p.levels[level], a)
	p.usedLevels[level/wordBits] |= 1 << (level % wordBits)
}

func (a *agent) popLevel() {
	p := a.pool
	list := p.levels[a.level]
	last := list[len(list)-1]
	list[a.levelIndex] = last
	last.levelIndex = a.levelIndex
	p.levels[a.level] = list[:len(list)-1]
	if len(list) == 1 {
		p.usedLevels[a.level/wordBits] &^= 1 << (a.level % wordBits)
	}
}

// bestLevel returns the smallest level with an agent, or levelCount when no agent
// is listed.
func (p *pool) bestLevel() int {
	for i, word := range p.usedLevels {
		if word != 0 {
			return i*wordBits + bits.TrailingZeros64(word)
		}
	}
	return levelCount
}
