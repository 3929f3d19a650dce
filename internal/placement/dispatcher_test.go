package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"endivewing/internal/testkit"
)

func TestMain(m *testing.M) { testkit.Main(m, testkit.RapidOptions{Checks: 100}) }

// model records where each task of a dispatcher is, as a reference for its
// assignments and counts.
type model struct {
	d            *Dispatcher
	now          time.Time
	agents       []Agent
	teams        []Team
	granted      map[uint64]int
	jobs         map[uint64]*modelJob
	next         uint64
	failingAgent uint64 // incarnation of an agent that fails all tasks; 0 is none
	probes       int    // number of probes placed
}

type modelJob struct {
	info      JobInfo
	agentOf   map[uint32]uint64 // agent by task, while outstanding
	ended     map[uint32]bool   // tasks that have ended
	remaining int               // number of tasks that have not ended
}

func drawModel(t *rapid.T, policy string) *model {
	m := &model{now: start, granted: map[uint64]int{}, jobs: map[uint64]*modelJob{}}
	m.d = New(Config{
		Seed: 1, Policy: policy, Zone: "a",
		Order: rapid.SampledFrom([]string{OrderFirstCome, OrderFewestRemaining, OrderAged}).Draw(t, "order"),
	})
	for i := range rapid.IntRange(1, 6).Draw(t, "agents") {
		m.agents = append(m.agents, Agent{
			Incarnation: uint64(i + 1), Zone: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"),
			Slots:     uint32(rapid.IntRange(1, 4).Draw(t, "slots")),
			Services:  rapid.SampledFrom([][]string{{"crop", "proof"}, {"crop", "proof"}, {"crop", "proof"}, {"crop"}}).Draw(t, "services"),
			Connected: true,
		})
	}
	m.failingAgent = uint64(rapid.IntRange(0, len(m.agents)).Draw(t, "bad"))
	m.teams = []Team{{Name: "x", MaxRunning: rapid.IntRange(0, 5).Draw(t, "quota")}, {Name: "y", Weight: 3}}
	m.d.SetTeams(m.teams)
	m.d.SetAgents(m.agents)
	return m
}

// countOutstanding returns the numbers of outstanding tasks at the agent and of
// the team.
func (m *model) countOutstanding(agent uint64, team string) (atAgent, ofTeam int) {
	for _, j := range m.jobs {
		for _, a := range j.agentOf {
			if a == agent {
				atAgent++
			}
			if j.info.Team == team {
				ofTeam++
			}
		}
	}
	return atAgent, ofTeam
}

func (m *model) add(t *rapid.T) {
	m.next++
	info := JobInfo{
		Job: m.next, Team: rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "team"),
		Service: rapid.SampledFrom([]string{"crop", "proof"}).Draw(t, "service"),
		Tasks:   rapid.IntRange(1, 8).Draw(t, "tasks"), Accepted: m.now,
	}
	m.jobs[info.Job] = &modelJob{info: info, agentOf: map[uint32]uint64{}, ended: map[uint32]bool{}, remaining: info.Tasks}
	m.d.Add(info, m.now)
}

// place places all tasks that can be placed and checks each assignment.
func (m *model) place(t *rapid.T) {
	for a, ok := m.d.Next(m.now); ok; a, ok = m.d.Next(m.now) {
		j := m.jobs[a.Job]
		assert.Assert(t, j != nil, "assigned a task of a removed job")
		_, outstanding := j.agentOf[a.Task]
		assert.Assert(t, !outstanding && !j.ended[a.Task], "task %v is outstanding or has ended already", a)
		j.agentOf[a.Task] = a.Incarnation
		m.checkAgent(t, j, a)
	}
}

func (m *model) checkAgent(t *rapid.T, j *modelJob, a Assignment) {
	agent := m.agents[a.Incarnation-1]
	assert.Assert(t, agent.Connected && !agent.Draining, "agent is disconnected or draining")
	offers := false
	for _, s := range agent.Services {
		offers = offers || s == j.info.Service
	}
	assert.Assert(t, offers, "agent does not offer the service")
	atAgent, ofTeam := m.countOutstanding(a.Incarnation, j.info.Team)
	limit := m.d.agents[a.Incarnation].pipelineLimit()
	assert.Assert(t, limit <= 2*int(agent.Slots))
	if m.d.cfg.Policy == PolicyLeases {
		limit = m.granted[a.Incarnation]
	}
	assert.Assert(t, atAgent <= limit, "%d outstanding tasks at an agent with limit %d", atAgent, limit)
	if m.d.agents[a.Incarnation].health.state == probing {
		m.probes++
		assert.Assert(t, atAgent == 1, "more than one probe at an agent")
	}
	if j.info.Team == "x" && m.teams[0].MaxRunning > 0 {
		assert.Assert(t, ofTeam <= m.teams[0].MaxRunning, "team over its quota")
	}
}

// drawOutstanding draws an outstanding task.
func (m *model) drawOutstanding(t *rapid.T) (*modelJob, uint32, uint64, bool) {
	n := rapid.IntRange(0, 1000).Draw(t, "which")
	for number := uint64(1); number <= m.next; number++ {
		j := m.jobs[number]
		if j == nil || len(j.agentOf) == 0 {
			continue
		}
		if n -= len(j.agentOf); n > 0 && number < m.next {
			continue
		}
		for task := range uint32(j.info.Tasks) {
			if agent, ok := j.agentOf[task]; ok {
				return j, task, agent, true
			}
		}
	}
	return nil, 0, 0, false
}

// endTaskAt ends one outstanding task at the agent, if there is one.
func (m *model) endTaskAt(t *rapid.T, agent uint64) {
	for number := uint64(1); number <= m.next; number++ {
		if j := m.jobs[number]; j != nil {
			for task := range uint32(j.info.Tasks) {
				if j.agentOf[task] == agent && agent != 0 {
					m.endTask(t, j, task, agent)
					return
				}
			}
		}
	}
}

func (m *model) endAny(t *rapid.T) {
	if j, task, agent, ok := m.drawOutstanding(t); ok {
		m.endTask(t, j, task, agent)
	}
}

func (m *model) endTask(t *rapid.T, j *modelJob, task uint32, agent uint64) {
	outcome := rapid.SampledFrom([]Outcome{Done, Done, Done, Done, Failed, Crashed, NotRun, NotSent}).Draw(t, "outcome")
	if agent == m.failingAgent {
		outcome = Failed
	}
	run := time.Duration(rapid.IntRange(1, 5000).Draw(t, "run")) * time.Millisecond
	m.d.HandleOutcome(agent, j.info.Job, task, outcome, run, m.now)
	delete(j.agentOf, task)
	j.ended[task] = true
	if outcome == NotRun || outcome == NotSent {
		m.d.Requeue(j.info.Job, task)
		delete(j.ended, task)
		return
	}
	if j.remaining--; j.remaining == 0 {
		m.d.Remove(j.info.Job)
		delete(m.jobs, j.info.Job)
	}
}

func (m *model) step(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
	switch rapid.IntRange(0, 11).Draw(t, "step") {
	case 0, 1, 2:
		m.add(t)
	case 5:
		m.requeueAny(t)
	case 6:
		m.endTaskAt(t, m.failingAgent)
	case 3:
		a := &m.agents[rapid.IntRange(0, len(m.agents)-1).Draw(t, "agent")]
		a.Connected = rapid.Bool().Draw(t, "connected")
		a.Draining = rapid.IntRange(0, 3).Draw(t, "draining") == 0
		a.Slots = uint32(rapid.IntRange(1, 4).Draw(t, "slots")) // may shrink below what is outstanding
		if !a.Connected {
			m.granted[a.Incarnation] = 0
		}
		m.d.SetAgents(m.agents)
	case 4:
		m.grant(t)
	default:
		m.endAny(t)
	}
}

// requeueAny requeues a task in any state. Only a task at an agent waits again by
// this.
func (m *model) requeueAny(t *rapid.T) {
	j := m.jobs[rapid.Uint64Range(0, m.next).Draw(t, "requeued")]
	if j == nil {
		return
	}
	task := uint32(rapid.IntRange(0, j.info.Tasks).Draw(t, "task"))
	m.d.Requeue(j.info.Job, task)
	delete(j.agentOf, task)
}

func (m *model) grant(t *rapid.T) {
	a := m.agents[rapid.IntRange(0, len(m.agents)-1).Draw(t, "agent")]
	sequence := rapid.Uint64Range(0, 20).Draw(t, "sequence")
	slots := rapid.IntRange(0, int(a.Slots)).Draw(t, "grant")
	if known := m.d.agents[a.Incarnation]; sequence >= known.grantSequence {
		m.granted[a.Incarnation] = slots
	}
	m.d.SetGrant(a.Incarnation, slotGrant(slots, sequence))
}

// TestAssignmentsKeepEveryLimit guards against assignments beyond a limit, in
// random sequences of events. A task must be at one agent at most. That agent
// must take work, offer the service, and be within its limit, which is one probe
// when it is ejected. The team must be within its quota.
func TestAssignmentsKeepEveryLimit(t *testing.T) {
	for _, policy := range []string{PolicyLeastOutstanding, PolicyTwoChoices, PolicyLeases} {
		t.Run(policy, func(t *testing.T) {
			probes := 0
			defer func() { assert.Assert(t, probes > 0 || policy == PolicyLeases, "no agent was probed") }()
			rapid.Check(t, func(t *rapid.T) {
				m := drawModel(t, policy)
				for range rapid.IntRange(1, 150).Draw(t, "steps") {
					m.step(t)
					m.place(t)
					m.checkCounts(t)
				}
				probes += m.probes
			})
		})
	}
}

// checkCounts compares the counts of the dispatcher with those of the model.
func (m *model) checkCounts(t *rapid.T) {
	sum := 0
	for _, a := range m.agents {
		n, _ := m.countOutstanding(a.Incarnation, "")
		sum += n
		assert.Equal(t, m.d.agents[a.Incarnation].outstanding, n)
		assert.Equal(t, m.d.agents[a.Incarnation].health.unfinished, n)
	}
	assert.Equal(t, m.d.running, sum)
	ejected := 0
	for _, p := range m.d.pools {
		ejected += p.ejected
	}
	for _, a := range m.d.agentList {
		if a.health.state == probing {
			ejected--
		}
	}
	assert.Equal(t, ejected, 0)
}

// TestEverythingIsPlacedInTheEnd guards against starvation: as long as agents
// take work and tasks end, every waiting task of every team and job must be
// placed.
func TestEverythingIsPlacedInTheEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawModel(t, PolicyLeastOutstanding)
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			m.step(t)
			m.place(t)
		}
		for i := range m.agents {
			m.agents[i].Connected, m.agents[i].Draining = true, false
			m.agents[i].Services = []string{"crop", "proof"}
		}
		m.d.SetAgents(m.agents)
		for range 2000 {
			m.now = m.now.Add(time.Second)
			m.place(t)
			m.endAll()
		}
		assert.Equal(t, len(m.jobs), 0)
		assert.Equal(t, m.d.waiting, 0)
		assert.Equal(t, len(m.d.jobs), 0)
	})
}

// endAll ends every outstanding task with Done.
func (m *model) endAll() {
	for number, j := range m.jobs {
		for task, agent := range j.agentOf {
			m.d.HandleOutcome(agent, number, task, Done, time.Millisecond, m.now)
			delete(j.agentOf, task)
			j.remaining--
		}
		if j.remaining == 0 {
			m.d.Remove(number)
			delete(m.jobs, number)
		}
	}
}
