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
	// Incarnation tells runs of the agent apart.
	Incarnation uint64
	Name        string
	Zone        string
	// Slots is the number of tasks its minion runs at once.
	Slots uint32
	// Services are the task services of its minion; nil is any service, and an
	// empty list none.
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
	// Tasks is the number of tasks.
	Tasks int
	// Bytes is the size of all payloads.
	Bytes int64
	// DeclaredMs is the sum of the declared run times; 0 when not declared.
	DeclaredMs uint64
	// Accepted is when the job was accepted; orders go by it.
	Accepted time.Time
	// Deadline is when the caller no longer wants the answer; zero is never.
	Deadline time.Time
}

// Assignment binds one task to one agent incarnation.
type Assignment struct {
	Job  uint64
	Task uint32
	// Agent is an incarnation.
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
	// NotRun tasks were refused by the agent and never started; Requeue places
	// them again.
	NotRun
	// NotSent tasks never left this entry; the agent isn't to blame.
	NotSent
)

// Demand is what to tell one agent.
type Demand struct {
	// Agent is an incarnation.
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
	list     []*agent // the same, in no order
	pools    map[string]*pool
	services map[string]*service
	teams    map[string]*team
	queues   map[queueKey]*queue
	active   []*queue // queues with a waiting task
	jobs     map[uint64]*job
	removed  []*job // with tasks still at agents, in the order of removal
	entries  int

	waiting      int   // tasks
	running      int   // tasks at agents
	waitingBytes int64 // payloads of jobs with a waiting task

	epoch    time.Time // stays are counted from here
	nextWake time.Time
	speedAt  int    // index in list of the last agent judged
	round    uint64 // of activeWeight
	setRound uint64 // of SetAgents
	pruneAt  int    // names known at which prune looks again

	demands               []Demand
	recalls, spareRecalls []Recall
}

// New returns a Dispatcher without agents or jobs. Unknown policy and order
// names fall back to the defaults; Config.Check reports them.
func New(cfg Config) *Dispatcher {
	cfg = cfg.withDefaults()
	return &Dispatcher{
		cfg:      cfg,
		rand:     rand.New(rand.NewPCG(cfg.Seed, cfg.Seed^seedMix)),
		policy:   policies[cfg.Policy],
		order:    orders[cfg.Order],
		agents:   map[uint64]*agent{},
		pools:    map[string]*pool{},
		services: map[string]*service{},
		teams:    map[string]*team{},
		queues:   map[queueKey]*queue{},
		jobs:     map[uint64]*job{},
		entries:  1,
	}
}

// Add makes an accepted job wait. A job that is known already is ignored.
func (d *Dispatcher) Add(info JobInfo, _ time.Time) {
	if old := d.jobs[info.Job]; old != nil && old.removed {
		d.forget(old)
	}
	if d.jobs[info.Job] != nil || info.Tasks <= 0 {
		return
	}
	j := newJob(info, d.queue(info.Service, info.Team))
	d.jobs[info.Job] = j
	j.queue.team.pending.added(info.Tasks)
	d.wait(j, info.Tasks)
}

// Next returns the next task to send, until it returns false. The task then
// counts as outstanding at the agent until Ended or Requeue. Pauses of agents
// end only in Next, so it is also called now and then when nothing happens.
func (d *Dispatcher) Next(now time.Time) (Assignment, bool) {
	if d.epoch.IsZero() {
		d.epoch = now
	}
	d.wake(now)
	d.dropRemoved(now)
	q := d.nextQueue()
	if q == nil {
		return Assignment{}, false
	}
	return d.send(q.jobs.items[0], d.pickAgent(q.service), now), true
}

// send binds the job's next task to the agent.
func (d *Dispatcher) send(j *job, a *agent, now time.Time) Assignment {
	at := now.Sub(d.epoch)
	key := d.sendKey(j, now)
	task := j.take(a, at)
	d.unwait(j)
	d.running++
	j.queue.team.running++
	a.outstanding++
	a.sinceReport++
	a.health.due = false
	a.health.sent(at)
	a.pool.stays.sent(at)
	a.refresh(d)
	return Assignment{Job: j.info.Job, Task: task, Agent: a.info.Incarnation, Key: key}
}

// sendKey is the key that orders the task at the agent. It is never long before now:
// otherwise a backlog of old jobs of one team, or at another entry, would pass
// newer tasks at the agents for as long as it lasts. Where several teams wait,
// the tasks keep the order in which their shares were given out.
func (d *Dispatcher) sendKey(j *job, now time.Time) uint64 {
	sent := uint64(now.UnixMicro())
	if d.severalTeams() {
		return sent
	}
	return max(j.key, sent-uint64(keySlack.Microseconds()))
}

// Ended tells how a task ended at the agent it was sent to. run is the time at
// the minion. After NotRun and NotSent the task is placed again only by
// Requeue. Ends of removed jobs free their slots.
func (d *Dispatcher) Ended(incarnation, jobNumber uint64, task uint32, outcome Outcome, run time.Duration, now time.Time) {
	j := d.jobs[jobNumber]
	if j == nil || int(task) >= len(j.tasks) {
		return
	}
	t := &j.tasks[task]
	if t.state != taskOut || t.agent.info.Incarnation != incarnation {
		return
	}
	a, stay := t.agent, now.Sub(d.epoch)-t.sent
	d.release(j, t)
	t.state = taskEnded
	if outcome == NotRun || outcome == NotSent {
		t.state = taskHeld
	} else {
		j.remaining--
	}
	d.learn(j, a, outcome, stay, run, now)
	a.refresh(d)
	d.finish(j)
}

// learn judges the agent by the end of a task.
func (d *Dispatcher) learn(j *job, a *agent, outcome Outcome, stay, run time.Duration, now time.Time) {
	if a.lost {
		return
	}
	s := j.queue.service
	if s.waiting == 0 {
		s.drain.idle()
	}
	switch outcome {
	case Done:
		declared := j.info.declaredPerTask()
		d.judgeDone(a, stay, run, s.runs.estimate(declared), now)
		s.runs.add(run.Seconds(), declared)
		s.drain.end(now)
		d.widen(a)
	case Failed:
		if !j.removed {
			d.judgeFailed(a, j.info.Job, now)
		}
		s.drain.end(now)
	case NotRun:
		if !j.removed {
			d.narrow(a, now)
		}
	}
}

// finish moves a job to its place after a task has ended, or forgets it.
func (d *Dispatcher) finish(j *job) {
	if !j.removed {
		d.reorder(j)
		return
	}
	if j.out == 0 {
		delete(d.jobs, j.info.Job)
	}
}

// Requeue makes a task wait again that was not run, or whose agent never saw
// it. A task that waits or has ended stays as it is.
func (d *Dispatcher) Requeue(jobNumber uint64, task uint32) {
	j := d.jobs[jobNumber]
	if j == nil || j.removed || int(task) >= len(j.tasks) {
		return
	}
	t := &j.tasks[task]
	if t.state == taskOut {
		a := t.agent
		d.release(j, t)
		t.state = taskHeld
		a.refresh(d)
	}
	if t.state != taskHeld {
		return
	}
	t.state = taskWaiting
	j.again = append(j.again, task)
	d.wait(j, 1)
}

// Remove drops a job: nothing of it is placed any more. Its tasks at agents
// keep their slots until Ended, or for a few seconds when that never comes.
func (d *Dispatcher) Remove(jobNumber uint64) {
	j := d.jobs[jobNumber]
	if j == nil || j.removed {
		return
	}
	d.forgetWaiting(j)
	if j.out == 0 {
		delete(d.jobs, jobNumber)
		return
	}
	j.removed = true
	d.removed = append(d.removed, j)
}

// dropRemoved frees the slots of tasks of removed jobs that never ended.
func (d *Dispatcher) dropRemoved(now time.Time) {
	for len(d.removed) > 0 {
		j := d.removed[0]
		if j.removedAt.IsZero() {
			j.removedAt = now
		}
		if j.out > 0 && now.Sub(j.removedAt) < removedHold {
			return
		}
		d.removed = d.removed[1:]
		d.forget(j)
	}
}

// forget drops a removed job with the tasks that are still at agents.
func (d *Dispatcher) forget(j *job) {
	if d.jobs[j.info.Job] == j {
		delete(d.jobs, j.info.Job)
	}
	for i := range j.tasks {
		if t := &j.tasks[i]; t.state == taskOut {
			a := t.agent
			d.release(j, t)
			t.state = taskEnded
			a.refresh(d)
		}
	}
}

// release frees the slot of an outstanding task.
func (d *Dispatcher) release(j *job, t *taskState) {
	a := t.agent
	d.running--
	j.queue.team.running--
	j.out--
	a.outstanding--
	a.health.left(t.sent)
	if a.attached {
		a.pool.stays.left(t.sent)
	}
	t.agent = nil
}
