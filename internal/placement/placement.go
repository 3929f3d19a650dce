// Package placement decides which waiting task goes to which agent next.
//
// A Dispatcher is pure: it has no I/O, clock or goroutine, times are arguments
// and Config seeds the random source. It is not safe for concurrent use; one
// goroutine of an entry owns it. Tasks wait in the Dispatcher and are assigned
// to an agent only when that agent has a slot for this entry.
package placement

import (
	"math/rand/v2"
	"time"

	wirepb "endivewing/api/endivewing/v1"
)

// Agent describes one agent by its configuration and its session with this
// entry.
type Agent struct {
	// Incarnation identifies one run of the agent process.
	Incarnation uint64
	Name        string
	Zone        string
	// Slots is the number of tasks its minion runs at once.
	Slots uint32
	// Services are the task services of its minion. Nil means any service, and
	// an empty list means none.
	Services []string
	// Draining is true while the agent drains. A draining agent gets no new
	// task.
	Draining bool
	// Connected is false while this entry has no session with the agent.
	Connected bool
}

// Team holds the share and the quotas of one team. A zero quota means no limit.
type Team struct {
	Name string
	// Weight is the team's share relative to other teams; 0 counts as 1.
	Weight float64
	// MaxRunning bounds the team's tasks at agents. Each entry applies an equal
	// part of it.
	MaxRunning int
	// MaxWaiting bounds the team's waiting tasks. Each entry applies an equal
	// part of it.
	MaxWaiting int
	// TasksPerSecond bounds the long-term rate of admitted tasks.
	TasksPerSecond float64
	// Burst is the number of tasks that may be admitted at once above
	// TasksPerSecond.
	Burst int
}

// JobInfo describes a job for admission and placement.
type JobInfo struct {
	Job     uint64
	Team    string
	Service string
	// Tasks is the number of tasks.
	Tasks int
	// Bytes is the total size of the payloads.
	Bytes int64
	// DeclaredMs is the sum of the declared run times in milliseconds; 0 when
	// none are declared.
	DeclaredMs uint64
	// Accepted is when the job was accepted. The arrival and aged orders sort
	// by it.
	Accepted time.Time
	// Deadline is when the caller stops waiting for the answer. Zero means that
	// there is no deadline.
	Deadline time.Time
}

// Assignment assigns one task to one agent incarnation.
type Assignment struct {
	Job  uint64
	Task uint32
	// Incarnation is the incarnation of the agent.
	Incarnation uint64
	// Key is the priority of the task at the agent, which starts the task with
	// the smallest key first.
	Key uint64
}

// Outcome is how a task ended at an agent.
type Outcome uint8

const (
	// Done means that the task has a result.
	Done Outcome = iota + 1
	// Failed means that the task was started and has no result.
	Failed
	// Crashed means the same as Failed, and that the minion's connection broke, as
	// in a crash of the minion. All tasks that it ran then end so.
	Crashed
	// NotRun means that the agent refused the task and never started it. The
	// task may be placed again with Requeue.
	NotRun
	// NotSent means that the task never left this entry. It doesn't count
	// against the agent.
	NotSent
)

// Demand is a demand message for one agent.
type Demand struct {
	// Incarnation is the incarnation of the agent.
	Incarnation uint64
	Message     *wirepb.Demand
}

// Dispatcher holds the waiting jobs and the agents of one entry.
type Dispatcher struct {
	cfg    Config
	rand   *rand.Rand
	policy policy
	order  order

	agents       map[uint64]*agent
	agentList    []*agent // the values of agents, in no particular order
	pools        map[string]*pool
	services     map[string]*service
	teams        map[string]*team
	queues       map[queueKey]*queue
	activeQueues []*queue // queues with a waiting task
	jobs         map[uint64]*job
	removedJobs  []*job // removed jobs with tasks at agents, in the order of removal
	entryCount   int    // number of entries that share the agents

	waiting      int   // number of waiting tasks
	running      int   // number of tasks at agents
	waitingBytes int64 // payload size of jobs with a waiting task

	epoch          time.Time // zero point of the times of sending; set by the first Next
	nextResume     time.Time // when resumeAgents checks the agents next; zero is never
	speedIndex     int       // index in agentList of the agent whose speed was checked last
	weightRound    uint64    // counts the calls of activeWeight
	setRound       uint64    // counts the calls of SetAgents
	nextPruneNames int       // number of known names above which prune runs next

	demands []Demand // buffer that TakeDemands reuses
	// TakeRecalls returns one buffer while new recalls go to the other.
	recalls, spareRecalls []Recall
}

// New returns a Dispatcher without agents or jobs. Unknown names of policies
// and orders are replaced by the defaults; Config.Check reports them.
func New(cfg Config) *Dispatcher {
	cfg = cfg.withDefaults()
	return &Dispatcher{
		cfg:        cfg,
		rand:       rand.New(rand.NewPCG(cfg.Seed, cfg.Seed^seedMix)),
		policy:     policies[cfg.Policy],
		order:      orders[cfg.Order],
		agents:     map[uint64]*agent{},
		pools:      map[string]*pool{},
		services:   map[string]*service{},
		teams:      map[string]*team{},
		queues:     map[queueKey]*queue{},
		jobs:       map[uint64]*job{},
		entryCount: 1,
	}
}

// Add adds the tasks of an accepted job to the waiting tasks. A job that is
// already known is ignored, unless it was removed: it is then added anew.
func (d *Dispatcher) Add(info JobInfo, _ time.Time) {
	if old := d.jobs[info.Job]; old != nil && old.removed {
		d.dropJob(old)
	}
	if d.jobs[info.Job] != nil || info.Tasks <= 0 {
		return
	}
	j := newJob(info, d.queue(info.Service, info.Team))
	d.jobs[info.Job] = j
	j.queue.team.admissions.remove(info.Tasks)
	d.addWaiting(j, info.Tasks)
}

// Next returns the next task to send, or false when no waiting task can be
// placed now. The task counts as outstanding at the agent until HandleOutcome or
// Requeue. Agents leave their backoff only in Next, so the caller must also call
// it periodically when nothing else happens.
func (d *Dispatcher) Next(now time.Time) (Assignment, bool) {
	if d.epoch.IsZero() {
		d.epoch = now
	}
	d.resumeAgents(now)
	d.dropRemoved(now)
	q := d.nextQueue()
	if q == nil {
		return Assignment{}, false
	}
	return d.assign(q.jobs.items[0], d.pickAgent(q.service), now), true
}

// assign assigns the job's next task to the agent.
func (d *Dispatcher) assign(j *job, a *agent, now time.Time) Assignment {
	at := now.Sub(d.epoch)
	key := d.assignmentKey(j, now)
	task := j.takeTask(a, at)
	d.removeWaiting(j)
	d.running++
	j.queue.team.running++
	a.outstanding++
	a.sentSinceReport++
	a.health.probeDue = false
	a.health.addSent(at)
	a.pool.turnarounds.addSent(at)
	a.updateListing(d)
	return Assignment{Job: j.info.Job, Task: task, Incarnation: a.info.Incarnation, Key: key}
}

// assignmentKey returns the key that orders the task at the agent. The key is
// at most maxKeyAge before now. Otherwise a backlog of old jobs, of one team or
// at another entry, would overtake newer tasks at the agents for as long as it
// lasts. While several teams wait, the key is the time of sending, so that
// agents start the tasks in the order in which this entry served the teams'
// shares.
func (d *Dispatcher) assignmentKey(j *job, now time.Time) uint64 {
	sent := uint64(now.UnixMicro())
	if d.severalTeams() {
		return sent
	}
	return max(j.key, sent-uint64(maxKeyAge.Microseconds()))
}

// HandleOutcome handles the outcome of a task at the agent to which it was sent. run is
// the task's run time at the minion. A task that ended with NotRun or NotSent is
// placed again only after Requeue. The outcome of a removed job's task frees its
// slot.
func (d *Dispatcher) HandleOutcome(incarnation, jobNumber uint64, task uint32, outcome Outcome, run time.Duration, now time.Time) {
	j := d.jobs[jobNumber]
	if j == nil || int(task) >= len(j.tasks) {
		return
	}
	t := &j.tasks[task]
	if t.phase != taskAtAgent || t.agent.info.Incarnation != incarnation {
		return
	}
	a, turnaround := t.agent, now.Sub(d.epoch)-t.sentAt
	d.releaseSlot(j, t)
	t.phase = taskEnded
	if outcome == NotRun || outcome == NotSent {
		t.phase = taskNotRun
	} else {
		j.remaining--
	}
	d.recordOutcome(j, a, outcome, turnaround, run, now)
	a.updateListing(d)
	d.updateJob(j)
}

// recordOutcome updates the estimates of the service and the health and window
// of the agent after a task has ended.
func (d *Dispatcher) recordOutcome(j *job, a *agent, outcome Outcome, turnaround, run time.Duration, now time.Time) {
	if a.dropped {
		return
	}
	s := j.queue.service
	if s.waiting == 0 {
		s.completions.reset()
	}
	switch outcome {
	case Done:
		declared := j.info.declaredPerTask()
		d.recordDone(a, turnaround, run, s.runTimes.estimate(declared), now)
		s.runTimes.add(run.Seconds(), declared)
		s.completions.recordEnd(now)
		d.growWindow(a)
	case Failed:
		if !j.removed {
			d.recordFailed(a, j.info.Job, now)
		}
		s.completions.recordEnd(now)
	case Crashed:
		if !j.removed {
			d.recordCrashed(a, j.info.Job, turnaround, now)
		}
		s.completions.recordEnd(now)
	case NotRun:
		if !j.removed {
			d.shrinkWindow(a, now)
		}
	}
}

// updateJob updates a job after one of its tasks has ended: it sorts the job
// anew in its queue, or drops a removed job whose last outstanding task this was.
func (d *Dispatcher) updateJob(j *job) {
	if !j.removed {
		d.updateKey(j)
		return
	}
	if j.atAgents == 0 {
		delete(d.jobs, j.info.Job)
	}
}

// Requeue makes a task wait again that was not run or that never reached its
// agent. A task that is waiting or has ended is left unchanged.
func (d *Dispatcher) Requeue(jobNumber uint64, task uint32) {
	j := d.jobs[jobNumber]
	if j == nil || j.removed || int(task) >= len(j.tasks) {
		return
	}
	t := &j.tasks[task]
	if t.phase == taskAtAgent {
		a := t.agent
		d.releaseSlot(j, t)
		t.phase = taskNotRun
		a.updateListing(d)
	}
	if t.phase != taskNotRun {
		return
	}
	t.phase = taskWaiting
	j.requeued = append(j.requeued, task)
	d.addWaiting(j, 1)
}

// Remove removes a job. None of its waiting tasks is placed any more. Its tasks
// at agents keep their slots until HandleOutcome, or until removedTaskTimeout when
// no outcome arrives.
func (d *Dispatcher) Remove(jobNumber uint64) {
	j := d.jobs[jobNumber]
	if j == nil || j.removed {
		return
	}
	d.dropWaiting(j)
	if j.atAgents == 0 {
		delete(d.jobs, jobNumber)
		return
	}
	j.removed = true
	d.removedJobs = append(d.removedJobs, j)
}

// dropRemoved drops the removed jobs whose removedTaskTimeout has passed and
// frees the slots of their tasks that never ended.
func (d *Dispatcher) dropRemoved(now time.Time) {
	for len(d.removedJobs) > 0 {
		j := d.removedJobs[0]
		if j.removedAt.IsZero() {
			j.removedAt = now
		}
		if j.atAgents > 0 && now.Sub(j.removedAt) < removedTaskTimeout {
			return
		}
		d.removedJobs = d.removedJobs[1:]
		d.dropJob(j)
	}
}

// dropJob drops a removed job and frees the slots of its tasks at agents.
func (d *Dispatcher) dropJob(j *job) {
	if d.jobs[j.info.Job] == j {
		delete(d.jobs, j.info.Job)
	}
	for i := range j.tasks {
		if t := &j.tasks[i]; t.phase == taskAtAgent {
			a := t.agent
			d.releaseSlot(j, t)
			t.phase = taskEnded
			a.updateListing(d)
		}
	}
}

// releaseSlot frees the slot of an outstanding task.
func (d *Dispatcher) releaseSlot(j *job, t *taskState) {
	a := t.agent
	d.running--
	j.queue.team.running--
	j.atAgents--
	a.outstanding--
	a.health.removeSent(t.sentAt)
	if a.attached {
		a.pool.turnarounds.removeSent(t.sentAt)
	}
	t.agent = nil
}
