// Package placement decides which waiting task goes to which agent next.
//
// A Dispatcher belongs to one goroutine of an entry. It has no I/O, clock or
// goroutine: times come as arguments and the random source is seeded by
// Config. Tasks wait here and are bound to an agent only when that agent has a
// slot for this entry.
package placement

import (
	"math/rand/v2"
	"time"

	wirepb "endivewing/api/endivewing/v1"
)

// Agent is what the configuration and the sessions say about one agent.
type Agent struct {
	Incarnation uint64
	Name        string
	Zone        string
	// Slots is the number of tasks its minion runs at once.
	Slots uint32
	// Services are the task services of its minion. An agent without any
	// offers the service with the empty name.
	Services []string
	// Draining agents get no new task.
	Draining bool
	// Connected is false while this entry has no session with it.
	Connected bool
}

// Team is the share and the quota of one team. A zero quota is no limit.
type Team struct {
	Name string
	// Weight is the team's share relative to the others; 0 counts as 1.
	Weight float64
	// MaxRunning bounds the team's tasks at agents, for this entry.
	MaxRunning int
	// MaxWaiting bounds the team's tasks that wait at this entry.
	MaxWaiting int
	// TasksPerSecond bounds the long-term rate of admitted tasks, and Burst
	// is how many tasks may be admitted at once above it.
	TasksPerSecond float64
	Burst          int
}

// JobInfo describes a job for admission and placement.
type JobInfo struct {
	Job     uint64
	Team    string
	Service string
	Tasks   int
	// Bytes is the size of the payloads.
	Bytes int64
	// DeclaredMs is the sum of the declared run times; 0 when not declared.
	DeclaredMs uint64
	Accepted   time.Time
	// Deadline is when the caller no longer wants the answer; zero is never.
	Deadline time.Time
}

// Assignment binds one task to one agent incarnation.
type Assignment struct {
	Job   uint64
	Task  uint32
	Agent uint64
	// Key goes with the task: agents start the smallest key first.
	Key uint64
}

// Outcome is how a task ended at an agent.
type Outcome uint8

const (
	// Done tasks have a result.
	Done Outcome = iota + 1
	// Failed tasks were started and have no result.
	Failed
	// NotRun tasks were never started; Requeue places them again.
	NotRun
)

// Demand is what to tell one agent.
type Demand struct {
	Agent  uint64
	Demand *wirepb.Demand
}

// Dispatcher holds the waiting jobs and the agents of one entry.
type Dispatcher struct {
	cfg    Config
	rand   *rand.Rand
	policy policy
	order  order

	agents   map[uint64]*agent
	pools    map[string]*pool
	services map[string]*service
	teams    map[string]*team
	queues   map[queueKey]*queue
	active   []*queue // queues with a waiting task
	jobs     map[uint64]*job

	waiting      int   // tasks
	running      int   // tasks at agents
	waitingBytes int64 // payloads of jobs with a waiting task
}

// New returns a Dispatcher without agents or jobs. Unknown policy and order
// names fall back to the defaults; Config.Check reports them.
func New(cfg Config) *Dispatcher {
	cfg = cfg.withDefaults()
	return &Dispatcher{
		cfg:      cfg,
		rand:     rand.New(rand.NewPCG(cfg.Seed, cfg.Seed^seedMix)),
		policy:   newPolicy(cfg),
		order:    newOrder(cfg),
		agents:   map[uint64]*agent{},
		pools:    map[string]*pool{},
		services: map[string]*service{},
		teams:    map[string]*team{},
		queues:   map[queueKey]*queue{},
		jobs:     map[uint64]*job{},
	}
}

// Add makes an accepted job wait. A job that is known already is ignored.
func (d *Dispatcher) Add(info JobInfo, _ time.Time) {
	if d.jobs[info.Job] != nil || info.Tasks <= 0 {
		return
	}
	j := newJob(info, d.queue(info.Service, info.Team))
	d.jobs[info.Job] = j
	d.wait(j, info.Tasks)
}

// Next returns the next task to send, until it returns false. The task then
// counts as outstanding at the agent until Ended, Requeue or Remove.
func (d *Dispatcher) Next(_ time.Time) (Assignment, bool) {
	q := d.nextQueue()
	if q == nil {
		return Assignment{}, false
	}
	a := d.pickAgent(q.service)
	j := q.jobs.items[0]
	task := j.take(a)
	d.unwait(j)
	d.running++
	j.queue.team.running++
	a.outstanding++
	a.refresh(d)
	return Assignment{Job: j.info.Job, Task: task, Agent: a.info.Incarnation, Key: j.key}, true
}

// Ended tells how a task ended at the agent it was sent to. run is the time at
// the minion. After NotRun the task is placed again only by Requeue.
func (d *Dispatcher) Ended(incarnation, jobNumber uint64, task uint32, outcome Outcome, run time.Duration, now time.Time) {
	j := d.jobs[jobNumber]
	if j == nil || int(task) >= len(j.tasks) {
		return
	}
	t := &j.tasks[task]
	if t.state != taskOut || t.agent.info.Incarnation != incarnation {
		return
	}
	d.release(j, t)
	if outcome == NotRun {
		t.state = taskHeld
		return
	}
	t.state = taskEnded
	j.remaining--
	d.reorder(j)
}

// Requeue makes a task wait again that was not run, or whose agent never saw
// it. A task that waits or has ended stays as it is.
func (d *Dispatcher) Requeue(jobNumber uint64, task uint32) {
	j := d.jobs[jobNumber]
	if j == nil || int(task) >= len(j.tasks) {
		return
	}
	t := &j.tasks[task]
	if t.state == taskOut {
		d.release(j, t)
		t.state = taskHeld
	}
	if t.state != taskHeld {
		return
	}
	t.state = taskWaiting
	j.again = append(j.again, task)
	d.wait(j, 1)
}

// Remove drops a job: nothing of it is placed any more, and its outstanding
// tasks no longer occupy slots here.
func (d *Dispatcher) Remove(jobNumber uint64) {
	j := d.jobs[jobNumber]
	if j == nil {
		return
	}
	delete(d.jobs, jobNumber)
	for i := range j.tasks {
		if j.tasks[i].state == taskOut {
			d.release(j, &j.tasks[i])
		}
	}
	d.forgetWaiting(j)
}

// release frees the slot of an outstanding task.
func (d *Dispatcher) release(j *job, t *taskState) {
	d.running--
	j.queue.team.running--
	t.agent.outstanding--
	t.agent.refresh(d)
	t.agent = nil
}
