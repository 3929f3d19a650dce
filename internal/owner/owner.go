// Package owner holds the jobs that an entry answers for: their tasks, the
// outcomes that agents report, the answers, and takeovers of other entries'
// jobs.
//
// It is pure: events come in as method calls with the time as an argument, and
// what has to be done goes out through Effects. One goroutine uses an Owner.
package owner

import (
	"time"

	wirepb "endivewing/api/endivewing/v1"
)

// Effects carries out what an owner decides. Its methods must not call back
// into the owner.
type Effects interface {
	// Send queues a message to an agent incarnation whose session is up.
	Send(agent uint64, e *wirepb.Envelope)
	// Place hands tasks of a job to placement; nil means all of them.
	Place(p Placeable)
	// Replace hands one task back to placement after it was not run.
	Replace(job uint64, task uint32)
	// TaskEnded tells placement that an agent no longer holds a task.
	TaskEnded(e TaskEnd)
	// Withdraw takes what waits of a job out of placement.
	Withdraw(job uint64)
	// Answer tells the final answer of a job, once.
	Answer(job uint64, a *wirepb.JobAnswer)
	// Record asks for a batch of completions to be made durable; Recorded is
	// called when it is.
	Record(group, epoch uint64, batch []*wirepb.JobCompletion)
	// Lost tells that the job has another owner now.
	Lost(job uint64)
}

// Placeable is a job, or part of one, that waits for slots.
type Placeable struct {
	Job      uint64
	Spec     *wirepb.JobSpec
	Deadline time.Time
	// Tasks are the indexes that wait; nil is all.
	Tasks []uint32
}

// TaskEnd is the end of a task's stay at an agent.
type TaskEnd struct {
	Agent, Job uint64
	Task       uint32
	Outcome    wirepb.TaskOutcome
	Reason     string
	// Run is the time at the minion.
	Run time.Duration
}

// Config are the constants of an owner.
type Config struct {
	// Incarnation of the entry; it is also the number of its own group.
	Incarnation uint64
	// ResolveGrace is how long a failing job waits to learn whether anything
	// of it ran before it is answered without that knowledge.
	ResolveGrace time.Duration
	// ForgetDelay is how long a forget may wait for others to the same agent.
	ForgetDelay time.Duration
}

// ForgetNow sends forgets without a delay from now on.
func (o *Owner) ForgetNow() {
	o.cfg.ForgetDelay = 0
	o.batches.forgetAt = time.Time{}
}

// Owner is the state of all jobs of one entry incarnation.
type Owner struct {
	cfg    Config
	fx     Effects
	groups map[uint64]*group
	jobs   map[uint64]*job
	agents map[uint64]*agent
	timers timers
	// accepts holds, by token, the largest job number known when the accept
	// was sent: the job will have a larger one.
	accepts map[uint64]uint64
	known   uint64
	batches batches
	stats   Stats
}

// Stats counts what an owner has seen.
type Stats struct {
	Accepted, Inherited, Completed, Failed, LostJobs uint64
	Placed, Replaced, Queried, StaleUpdates          uint64
}

// New returns an owner with an empty group of its own at epoch 1.
func New(cfg Config, fx Effects) *Owner {
	o := &Owner{
		cfg:     cfg,
		fx:      fx,
		groups:  map[uint64]*group{},
		jobs:    map[uint64]*job{},
		agents:  map[uint64]*agent{},
		accepts: map[uint64]uint64{},
		batches: newBatches(),
	}
	o.groups[cfg.Incarnation] = &group{id: cfg.Incarnation, epoch: 1, settled: true, loaded: true}
	return o
}

// Stats returns the counts so far.
func (o *Owner) Stats() Stats { return o.stats }

// Open is the number of jobs without a final answer.
func (o *Owner) Open() int {
	n := 0
	for _, j := range o.jobs {
		if !j.answered() {
			n++
		}
	}
	return n
}

// Held is the number of jobs that are kept for any reason.
func (o *Owner) Held() int { return len(o.jobs) }

// Owns tells whether the job is held here.
func (o *Owner) Owns(job uint64) bool { return o.jobs[job] != nil }

// AcceptSent notes that an accept request is on its way to control. Until
// AcceptResolved, agents are not told to forget job numbers it could get.
func (o *Owner) AcceptSent(token uint64) { o.accepts[token] = o.known }

// AcceptResolved notes that the outcome of an accept request is known.
func (o *Owner) AcceptResolved(token uint64) { delete(o.accepts, token) }

// Accept takes over a job that control accepted for this entry's own group
// and hands its tasks to placement. It is idempotent.
func (o *Owner) Accept(rec *wirepb.JobRecord, deadline time.Time) {
	g := o.groups[rec.Group]
	if g == nil || o.jobs[rec.Job] != nil {
		return
	}
	j := o.add(g, rec, deadline)
	o.stats.Accepted++
	o.fx.Place(Placeable{Job: j.id, Spec: j.spec, Deadline: j.deadline})
}

// add makes the job known, with every task waiting.
func (o *Owner) add(g *group, rec *wirepb.JobRecord, deadline time.Time) *job {
	j := &job{
		id:       rec.Job,
		spec:     rec.Spec,
		group:    g,
		state:    jobChart.Initial(),
		tasks:    newTasks(len(rec.Spec.Tasks)),
		deadline: deadline,
	}
	o.jobs[j.id] = j
	o.known = max(o.known, j.id)
	g.open(j.id)
	if !deadline.IsZero() {
		o.timers.add(deadline, j.id)
	}
	return j
}

// Cancel fails a job for its caller. Jobs that have ended are left as they
// are.
func (o *Owner) Cancel(id uint64, now time.Time) {
	if j := o.jobs[id]; j != nil {
		o.fail(j, failure{reason: ReasonCancelled}, now)
	}
}

// Tick handles the deadlines that have passed.
func (o *Owner) Tick(now time.Time) {
	for {
		id, ok := o.timers.due(now)
		if !ok {
			return
		}
		o.expire(o.jobs[id], now)
	}
}

// NextTick is when Tick is next needed; zero when not at all.
func (o *Owner) NextTick() time.Time { return o.timers.next() }

func (o *Owner) expire(j *job, now time.Time) {
	switch {
	case j == nil || j.answered():
		return
	case j.state == jobFailing:
		// A cancel shortly before the deadline leaves its own grace running.
		j.graceOver = !now.Before(j.graceEnd)
		o.settle(j)
	case !now.Before(j.deadline):
		o.fail(j, failure{reason: ReasonDeadline}, now)
	}
}

// Recorded notes that the completions of these jobs are durable.
func (o *Owner) Recorded(jobs []uint64) {
	for _, id := range jobs {
		if j := o.jobs[id]; j != nil {
			j.recorded = true
			o.closeIfDone(j)
		}
	}
}

// Fenced drops a group that has another owner now.
func (o *Owner) Fenced(id uint64) {
	g := o.groups[id]
	if g == nil {
		return
	}
	delete(o.groups, id)
	o.batches.dropGroup(id)
	for _, j := range o.sortedJobs() {
		if j.group == g {
			o.lose(j)
		}
	}
}

// FencedAll drops every group: this incarnation has ended.
func (o *Owner) FencedAll() {
	for id := range o.groups {
		o.Fenced(id)
	}
}

func (o *Owner) lose(j *job) {
	delete(o.jobs, j.id)
	o.stats.LostJobs++
	o.fx.Withdraw(j.id)
	if !j.answered() {
		o.fx.Lost(j.id)
	}
}
