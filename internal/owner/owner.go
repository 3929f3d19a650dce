// Package owner keeps the jobs that an entry owns. It tracks their tasks and
// the outcomes that agents report, computes the answers, and takes over jobs of
// other entries.
//
// It is pure: events arrive as method calls with the time as an argument, and
// the resulting actions go out through Effects. An Owner is used by one
// goroutine.
package owner

import (
	"time"

	wirepb "endivewing/api/endivewing/v1"
)

// Effects carries out the actions that an Owner decides on. Its methods must
// not call back into the Owner.
type Effects interface {
	// Send queues a message to an agent incarnation that has a session.
	Send(agent uint64, e *wirepb.Envelope)
	// Place hands the waiting tasks of a job to placement.
	Place(p PlacementRequest)
	// PlaceAgain hands one task back to placement after an agent reported that the
	// task was not run.
	PlaceAgain(job uint64, task uint32)
	// TaskEnded reports to placement that an agent no longer holds a task.
	TaskEnded(e TaskEnd)
	// Withdraw removes the waiting tasks of a job from placement.
	Withdraw(job uint64)
	// Answer reports the final answer of a job. It is called once for a job.
	Answer(job uint64, a *wirepb.JobAnswer)
	// RecordCompletions requests that a batch of completions be made durable. The caller
	// calls CompletionsRecorded once they are.
	RecordCompletions(group, epoch uint64, batch []*wirepb.JobCompletion)
	// JobLost reports that another entry owns the job now.
	JobLost(job uint64)
}

// PlacementRequest is a job whose tasks, or some of them, wait for slots.
type PlacementRequest struct {
	Job      uint64
	Spec     *wirepb.JobSpec
	Deadline time.Time
	// Tasks are the indexes of the waiting tasks. Nil means all tasks.
	Tasks []uint32
}

// TaskEnd reports that an agent no longer holds a task.
type TaskEnd struct {
	Agent, Job uint64
	Task       uint32
	Outcome    wirepb.TaskOutcome
	Reason     string
	// RunDuration is the time that the task ran at the minion.
	RunDuration time.Duration
}

// Config holds the settings of an Owner.
type Config struct {
	// Incarnation is that of the entry. It is also the number of the entry's
	// own group.
	Incarnation uint64
	// ResolveGrace limits how long a failing job waits for agents to report
	// whether any of its tasks started. After it, the job is answered without
	// that information.
	ResolveGrace time.Duration
	// ForgetDelay is how long a forget may wait so that it can be sent together
	// with later ones to the same agent.
	ForgetDelay time.Duration
}

// DisableForgetDelay disables the delay of forgets. The next Flush sends those that
// wait.
func (o *Owner) DisableForgetDelay() {
	o.cfg.ForgetDelay = 0
	o.batches.forgetAt = time.Time{}
}

// Owner is the state of all jobs that one entry incarnation owns.
type Owner struct {
	cfg     Config
	effects Effects
	groups  map[uint64]*group
	jobs    map[uint64]*job
	agents  map[uint64]*agent
	timers  timers
	// pendingAccepts holds, by token, maxJob at the time when the accept
	// request was sent. The job that the request creates gets a larger number.
	pendingAccepts map[uint64]uint64
	// maxJob is the largest job number known so far.
	maxJob  uint64
	batches batches
	stats   Stats
}

// Stats counts the events that an Owner has handled.
type Stats struct {
	Accepted, Inherited, Completed, Failed, LostJobs uint64
	Placed, Replaced, Queried, StaleUpdates          uint64
}

// New returns an Owner that owns only the entry's own group, at epoch 1 and
// without jobs.
func New(cfg Config, effects Effects) *Owner {
	o := &Owner{
		cfg:            cfg,
		effects:        effects,
		groups:         map[uint64]*group{},
		jobs:           map[uint64]*job{},
		agents:         map[uint64]*agent{},
		pendingAccepts: map[uint64]uint64{},
		batches:        newBatches(),
	}
	o.groups[cfg.Incarnation] = &group{id: cfg.Incarnation, epoch: 1, settled: true, loaded: true}
	return o
}

// Stats returns the counts so far.
func (o *Owner) Stats() Stats { return o.stats }

// OpenJobs returns the number of jobs without a final answer.
func (o *Owner) OpenJobs() int {
	n := 0
	for _, j := range o.jobs {
		if !j.answered() {
			n++
		}
	}
	return n
}

// JobCount returns the number of all jobs in memory, including those with a final
// answer.
func (o *Owner) JobCount() int { return len(o.jobs) }

// Owns reports whether the job is in memory here.
func (o *Owner) Owns(job uint64) bool { return o.jobs[job] != nil }

// AcceptSent records that an accept request was sent to control. Until
// AcceptResolved is called, no forget message to an agent covers job numbers that
// the request could still get.
func (o *Owner) AcceptSent(token uint64) { o.pendingAccepts[token] = o.maxJob }

// AcceptResolved records that the outcome of an accept request is known.
func (o *Owner) AcceptResolved(token uint64) { delete(o.pendingAccepts, token) }

// Accept adds a job that control accepted for a group of this Owner and hands
// its tasks to placement. It is idempotent.
func (o *Owner) Accept(rec *wirepb.JobRecord, deadline time.Time) {
	g := o.groups[rec.Group]
	if g == nil || o.jobs[rec.Job] != nil {
		return
	}
	j := o.addJob(g, rec, deadline)
	o.stats.Accepted++
	o.effects.Place(PlacementRequest{Job: j.id, Spec: j.spec, Deadline: j.deadline})
}

// addJob adds a job with all its tasks waiting.
func (o *Owner) addJob(g *group, rec *wirepb.JobRecord, deadline time.Time) *job {
	j := &job{
		id:       rec.Job,
		spec:     rec.Spec,
		group:    g,
		state:    jobChart.Initial(),
		tasks:    newTasks(len(rec.Spec.Tasks)),
		deadline: deadline,
	}
	o.jobs[j.id] = j
	o.maxJob = max(o.maxJob, j.id)
	g.addOpen(j.id)
	if !deadline.IsZero() {
		o.timers.add(deadline, j.id)
	}
	return j
}

// Cancel fails a job on request of its caller. A job that has ended does not
// change.
func (o *Owner) Cancel(id uint64, now time.Time) {
	if j := o.jobs[id]; j != nil {
		o.failJob(j, failure{reason: ReasonCancelled}, now)
	}
}

// Tick handles the timers that are due at now.
func (o *Owner) Tick(now time.Time) {
	for {
		id, ok := o.timers.popDue(now)
		if !ok {
			return
		}
		o.handleJobTimer(o.jobs[id], now)
	}
}

// NextTick returns the time at which Tick is next needed. It is zero if there
// is no timer.
func (o *Owner) NextTick() time.Time { return o.timers.next() }

func (o *Owner) handleJobTimer(j *job, now time.Time) {
	switch {
	case j == nil || j.answered():
		return
	case j.state == jobFailing:
		// A job that was cancelled shortly before its deadline still has until
		// graceEnd to resolve its tasks.
		j.graceOver = !now.Before(j.graceEnd)
		o.answerIfFinal(j)
	case !now.Before(j.deadline):
		o.failJob(j, failure{reason: ReasonDeadline}, now)
	}
}

// CompletionsRecorded records that the completions of these jobs are durable. It closes
// the jobs of which no agent holds a task.
func (o *Owner) CompletionsRecorded(jobs []uint64) {
	for _, id := range jobs {
		if j := o.jobs[id]; j != nil {
			j.recorded = true
			o.closeIfDone(j)
		}
	}
}

// DropGroup drops a group that another entry owns now, and the group's jobs.
func (o *Owner) DropGroup(id uint64) {
	g := o.groups[id]
	if g == nil {
		return
	}
	delete(o.groups, id)
	o.batches.dropGroup(id)
	for _, j := range o.sortedJobs() {
		if j.group == g {
			o.dropJob(j)
		}
	}
}

// DropAllGroups drops every group, because this incarnation of the entry has ended.
func (o *Owner) DropAllGroups() {
	for id := range o.groups {
		o.DropGroup(id)
	}
}

func (o *Owner) dropJob(j *job) {
	delete(o.jobs, j.id)
	o.stats.LostJobs++
	o.effects.Withdraw(j.id)
	if !j.answered() {
		o.effects.JobLost(j.id)
	}
}
