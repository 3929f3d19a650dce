package dispatch

import (
	"slices"
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

// taskCrash is a crash under a task.
type taskCrash struct {
	crashID
	// wasLast reports whether the task's job was the last to be started there. A task that
	// crashes its minion does so soon after its start, mostly before the next starts.
	wasLast bool
	// wasOnlySuspect reports whether no minion had crashed under another job that ran there.
	wasOnlySuspect bool
	// begun reports whether the run was certainly at work.
	begun bool
}

// jobCrashes are the crashes under the tasks of a job.
type jobCrashes struct {
	tasks map[runtable.TaskID][]taskCrash
	// lapses are the minions at which runs of a task ended with their lease, and of which
	// no crash is known: a minion that crashes silently is known to have crashed only once
	// it is back.
	lapses map[runtable.TaskID][]string
	// last is when the last one was counted.
	last time.Time
	// givenUp is set once the job is given up for them.
	givenUp bool
}

// add counts a crash under a task. It reports false if it is counted already.
func (j *jobCrashes) add(name runtable.TaskID, c taskCrash) bool {
	known := j.tasks[name]
	same := func(k taskCrash) bool { return k.crashID == c.crashID }
	if slices.ContainsFunc(known, same) || len(known) == maxCrashes {
		return false
	}
	j.tasks[name] = append(known, c)
	j.lapses[name] = slices.DeleteFunc(j.lapses[name], func(endpoint string) bool { return endpoint == c.endpoint })
	return true
}

// addLapse counts the end of a lease at a minion, unless it is known to have crashed under
// the task.
func (j *jobCrashes) addLapse(name runtable.TaskID, endpoint string) {
	crashed := func(k taskCrash) bool { return k.endpoint == endpoint }
	known := slices.ContainsFunc(j.tasks[name], crashed) || slices.Contains(j.lapses[name], endpoint)
	if !known && len(j.lapses[name]) < maxCrashes {
		j.lapses[name] = append(j.lapses[name], endpoint)
	}
}

// mustGiveUp reports whether a task is given up after crashes of its minions. All but one
// of the tasks at a crash are innocent, and a job that could be done is of no use as failed.
// A run that may not have begun counts for maxCrashes only: a task that crashes its minion
// before the start is answered looks like one whose start was lost with the minion.
func (j *jobCrashes) mustGiveUp(name runtable.TaskID) bool {
	n, begun := len(j.tasks[name]), begunOnly(j.tasks[name])
	switch {
	case n+len(j.lapses[name]) >= maxCrashes:
		return true
	case len(begun) >= maxCrashesIfLikely:
		return slices.ContainsFunc(begun, func(c taskCrash) bool { return c.wasLast })
	case len(begun) >= maxCrashesIfToBlame:
		return isToBlame(begun)
	default:
		return false
	}
}

// begunOnly returns the crashes of runs that were certainly at work.
func begunOnly(crashes []taskCrash) []taskCrash {
	return slices.DeleteFunc(slices.Clone(crashes), func(c taskCrash) bool { return !c.begun })
}

// isToBlame reports whether a task alone is to blame: it was the last at each crash, or the
// last and the only suspect at one.
func isToBlame(crashes []taskCrash) bool {
	alwaysLast := true
	for _, c := range crashes {
		if c.wasLast && c.wasOnlySuspect {
			return true
		}
		alwaysLast = alwaysLast && c.wasLast
	}
	return alwaysLast
}

// crashMemory holds the crashes under jobs. It outlasts their submissions: a job that its
// caller sends again goes on with its counts.
type crashMemory struct {
	jobs map[string]*jobCrashes
	// byAge holds an entry for each time that a crash under a job was counted, the oldest
	// first. Only the newest of a job matters.
	byAge []countedCrash
}

type countedCrash struct {
	job string
	at  time.Time
}

func newCrashMemory() crashMemory { return crashMemory{jobs: map[string]*jobCrashes{}} }

// count counts a crash under its tasks, and returns the tasks for which it is new.
func (m *crashMemory) count(now time.Time, c *Crash) []runtable.TaskID {
	suspects := m.suspectsAt(c)
	var counted []runtable.TaskID
	for _, run := range c.Runs {
		crash := taskCrash{crashID: c.id(), wasLast: run.Job == c.lastJob(), wasOnlySuspect: len(suspects) == 1 && suspects[run.Job], begun: !c.MayNotHaveBegun[run]}
		if m.of(run.Job).add(run.TaskID, crash) {
			counted = append(counted, run.TaskID)
			m.touch(now, run.Job)
		}
	}
	m.forget(now)
	return counted
}

// lastJob returns the job that was the last to be started.
func (c *Crash) lastJob() string {
	if len(c.Runs) == 0 {
		return ""
	}
	return c.Runs[len(c.Runs)-1].Job
}

// suspectsAt returns the crashed jobs under which a minion had crashed before.
func (m *crashMemory) suspectsAt(c *Crash) map[string]bool {
	suspects := map[string]bool{}
	another := func(k taskCrash) bool { return k.crashID != c.id() }
	for _, run := range c.Runs {
		if slices.ContainsFunc(m.under(run.TaskID), another) {
			suspects[run.Job] = true
		}
	}
	return suspects
}

// of returns the crashes under a job, which may be none yet.
func (m *crashMemory) of(job string) *jobCrashes {
	j := m.jobs[job]
	if j == nil {
		j = &jobCrashes{tasks: map[runtable.TaskID][]taskCrash{}, lapses: map[runtable.TaskID][]string{}}
		m.jobs[job] = j
	}
	return j
}

func (m *crashMemory) touch(now time.Time, job string) {
	if j := m.jobs[job]; !j.last.Equal(now) {
		j.last = now
		m.byAge = append(m.byAge, countedCrash{job, now})
	}
}

// forget drops the jobs under which no minion has crashed for crashMemoryTime, and the
// oldest ones beyond maxCrashMemory.
func (m *crashMemory) forget(now time.Time) {
	for len(m.byAge) > 0 {
		oldest := m.byAge[0]
		if now.Sub(oldest.at) <= crashMemoryTime && len(m.byAge) <= maxCrashMemory {
			return
		}
		m.byAge = m.byAge[1:]
		if j := m.jobs[oldest.job]; j != nil && j.last.Equal(oldest.at) {
			delete(m.jobs, oldest.job)
		}
	}
}

// under returns the crashes under a task.
func (m *crashMemory) under(name runtable.TaskID) []taskCrash {
	if j := m.jobs[name.Job]; j != nil {
		return j.tasks[name]
	}
	return nil
}

// crashes returns how many minions have crashed under a task.
func (m *crashMemory) crashes(name runtable.TaskID) int { return len(m.under(name)) }

func (m *crashMemory) givenUp(job string) bool {
	j := m.jobs[job]
	return j != nil && j.givenUp
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
