package dispatch

import (
	"time"

	"endivewing/internal/runtable"
)

const (
	// maxCrashes is the number of minions that may crash under a task before it is given
	// up, however little speaks against it. The callers' bound is three starts after the
	// third crash; two of them are left for starts that are on their way meanwhile.
	maxCrashes = 4
	// maxCrashesIfLikely is the same for a task that was the last to be started at one of
	// these minions.
	maxCrashesIfLikely = 3
	// maxCrashesIfToBlame is the same for a task that alone is to blame.
	maxCrashesIfToBlame = 2
	// crashMemoryTime is how long the crashes under a job are remembered after the last
	// one. It outlasts the time that callers go on sending a job.
	crashMemoryTime = time.Minute
	// maxCrashMemory bounds the jobs with remembered crashes, of some hundred bytes each.
	// A fleet of a thousand minions that crash every four seconds, with ten jobs each,
	// fills it in seconds; the oldest are forgotten then.
	maxCrashMemory = 20_000
)

// MaxCrashRuns is the number of runs of one crash that count, the last that were started.
// A minion has some tens of runs at work.
const MaxCrashRuns = 1000

// Crash is the crash of an incarnation of a minion.
type Crash struct {
	// Endpoint and StartedUnixMs name the incarnation and thereby the crash.
	Endpoint      string
	StartedUnixMs int64
	// Runs are the runs that were or may have been at work, in the order of their starts.
	// All but one may be innocent.
	Runs []runtable.RunID
	// MayNotHaveBegun are those of the runs of which no answer or list has come.
	MayNotHaveBegun map[runtable.RunID]bool
}

// CrashCount says how many minions have crashed under a task of a job that is here.
type CrashCount struct {
	runtable.TaskID
	Endpoint string
	Crashes  int
}

// crashID names a crash.
type crashID struct {
	endpoint      string
	startedUnixMs int64
}

func (c *Crash) id() crashID { return crashID{c.Endpoint, c.StartedUnixMs} }

// lastJob returns the job that was the last to be started.
func (c *Crash) lastJob() string {
	if len(c.Runs) == 0 {
		return ""
	}
	return c.Runs[len(c.Runs)-1].Job
}

// MinionCrashed counts a crash under the tasks that ran at the minion, whoever placed
// them, and gives up the jobs of those that must not start again. It comes before the
// ends of their runs.
func (d *Dispatcher) MinionCrashed(now time.Time, c Crash) {
	c.Runs = c.Runs[max(0, len(c.Runs)-MaxCrashRuns):]
	for _, name := range d.crashes.count(now, &c) {
		if d.jobWithRuns(name.Job) != nil {
			d.out.Crashes = append(d.out.Crashes, CrashCount{TaskID: name, Endpoint: c.Endpoint, Crashes: d.crashes.crashes(name)})
		}
	}
	for _, run := range c.Runs {
		d.giveUpIfDeadly(now, run.TaskID)
	}
}

// giveUpIfDeadly gives up the job of a task that must not start again, unless the task is
// done. In an ending job a task counts as done once its run has ended in any way.
func (d *Dispatcher) giveUpIfDeadly(now time.Time, name runtable.TaskID) {
	if open := d.jobs[name.Job]; open != nil && open.isDone(name) {
		return
	}
	if j := d.crashes.jobs[name.Job]; j != nil && j.mustGiveUp(name) && !j.givenUp {
		d.giveUpForCrashes(now, name.Job)
	}
}

// leaseLapsed counts a run that ended with its lease: its minion may have crashed silently.
// It reports whether the job is given up for it.
func (d *Dispatcher) leaseLapsed(now time.Time, id RunnerID, name runtable.TaskID) bool {
	d.crashes.of(name.Job).addLapse(name, d.endpoint(id))
	d.crashes.touch(now, name.Job)
	d.giveUpIfDeadly(now, name)
	return d.crashes.givenUp(name.Job)
}

// jobWithRuns returns the open or ending job with an ID, or nil.
func (d *Dispatcher) jobWithRuns(id string) *openJob {
	if o := d.jobs[id]; o != nil {
		return o
	}
	return d.ending[id]
}

// isDone reports whether a task of the job is done.
func (o *openJob) isDone(name runtable.TaskID) bool {
	if int(name.Step) >= len(o.tasks) || int(name.Index) >= len(o.tasks[name.Step]) {
		return false
	}
	return o.tasks[name.Step][name.Index].state == done
}

// giveUpForCrashes gives up a job for good: this submission and later ones.
func (d *Dispatcher) giveUpForCrashes(now time.Time, id string) {
	d.crashes.of(id).givenUp = true
	if o := d.jobs[id]; o != nil {
		d.answer(now, o, Failed, ReasonCrashes)
		return
	}
	if earlier := d.ending[id]; earlier != nil && earlier.next != nil {
		d.answerGivenUp(now, earlier.next)
		earlier.next = nil
	}
}

// answerGivenUp answers a submission of a job that was given up for crashes.
func (d *Dispatcher) answerGivenUp(now time.Time, j *Job) {
	d.out.Answers = append(d.out.Answers, Answer{Job: j, Result: Failed, Reason: ReasonCrashes, Waited: now.Sub(j.Arrived)})
}
