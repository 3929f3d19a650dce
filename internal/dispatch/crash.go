package dispatch

import (
	"slices"
	"time"

	"endivewing/internal/runtable"
)

const (
	// maxCrashes is the number of minions that may crash under a task before it is given
	// up, whatever ran beside it.
	maxCrashes = 3
	// maxCrashesAlone is the same for a task that is the only one to blame.
	maxCrashesAlone = 2
	// crashMemoryTime is how long the crashes under a job are remembered after the last
	// one. It outlasts the time that callers go on sending a job.
	crashMemoryTime = time.Minute
	// maxCrashMemory bounds the jobs with remembered crashes, of some hundred bytes each.
	// A fleet of a thousand minions that crash every four seconds, with ten jobs each,
	// fills it in seconds; the oldest are forgotten then.
	maxCrashMemory = 20_000
)

// Crash is the crash of an incarnation of a minion.
type Crash struct {
	// Endpoint and StartedUnixMs name the incarnation and thereby the crash.
	Endpoint      string
	StartedUnixMs int64
	// Runs are the runs that were or may have been at work, in the order of their starts.
	// All but one may be innocent.
	Runs []runtable.RunID
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

// jobCrashes are the crashes under the tasks of a job.
type jobCrashes struct {
	tasks map[runtable.TaskID][]crashID
	// last is when the last one was counted.
	last time.Time
	// givenUp is set once the job is given up for them.
	givenUp bool
}

// add counts a crash under a task. It reports false if it is counted already.
func (j *jobCrashes) add(name runtable.TaskID, id crashID) bool {
	known := j.tasks[name]
	if slices.Contains(known, id) || len(known) == maxCrashes {
		return false
	}
	j.tasks[name] = append(known, id)
	return true
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
	var counted []runtable.TaskID
	for _, run := range c.Runs {
		if m.of(run.Job).add(run.TaskID, c.id()) {
			counted = append(counted, run.TaskID)
			m.touch(now, run.Job)
		}
	}
	m.forget(now)
	return counted
}

// of returns the crashes under a job, which may be none yet.
func (m *crashMemory) of(job string) *jobCrashes {
	j := m.jobs[job]
	if j == nil {
		j = &jobCrashes{tasks: map[runtable.TaskID][]crashID{}}
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

// crashes returns how many minions have crashed under a task.
func (m *crashMemory) crashes(name runtable.TaskID) int {
	if j := m.jobs[name.Job]; j != nil {
		return len(j.tasks[name])
	}
	return 0
}

func (m *crashMemory) givenUp(job string) bool {
	j := m.jobs[job]
	return j != nil && j.givenUp
}

// toBlame returns the job that alone is to blame for a crash, or "". It is the only one
// of the crashed jobs under which a minion had crashed before, and the last that was
// started: a task that crashes its minion does so soon after its start, and one that was
// started later may be the first of another such job.
func (m *crashMemory) toBlame(c *Crash) string {
	if len(c.Runs) == 0 {
		return ""
	}
	last := c.Runs[len(c.Runs)-1].Job
	suspect := false
	for _, run := range c.Runs {
		if m.crashes(run.TaskID) < maxCrashesAlone { // this crash is its first
			continue
		}
		if run.Job != last {
			return ""
		}
		suspect = true
	}
	if !suspect {
		return ""
	}
	return last
}

// mustGiveUp reports whether a task is given up after a crash for which a job is to blame.
func (m *crashMemory) mustGiveUp(name runtable.TaskID, blamed string) bool {
	n := m.crashes(name)
	return n >= maxCrashes || n >= maxCrashesAlone && name.Job == blamed
}

// MinionCrashed counts a crash under the tasks that ran at the minion, whoever placed
// them, and gives up the jobs of those that must not start again. It comes before the
// ends of their runs.
func (d *Dispatcher) MinionCrashed(now time.Time, c Crash) {
	counted := d.crashes.count(now, &c)
	blamed := d.crashes.toBlame(&c)
	for _, name := range counted {
		o := d.jobWithRuns(name.Job)
		if o != nil {
			d.out.Crashes = append(d.out.Crashes, CrashCount{TaskID: name, Endpoint: c.Endpoint, Crashes: d.crashes.crashes(name)})
		}
		if d.crashes.mustGiveUp(name, blamed) && (o == nil || !o.isDone(name)) {
			d.giveUpForCrashes(now, name.Job)
		}
	}
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
