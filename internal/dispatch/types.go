// Package dispatch holds a dispatcher's decisions on jobs, which are kept in
// memory only: in which order tasks wait, which runner gets them, when a job is
// refused, and what a lost or failed run means. The package is pure: times come
// in as arguments, and TakeOutput returns what is to be sent.
package dispatch

import (
	"time"

	"endivewing/internal/runtable"
)

// Need is what a task requires of a minion, or what a minion offers.
type Need = runtable.Need

// Step is a part of a job: tasks of the same kind that start once the earlier
// steps are done.
type Step struct {
	Count int
	Need  Need
	// Estimate is the run time of one task that the caller expects.
	Estimate time.Duration
	// After holds the indexes of the steps that must be done first.
	After []int
	// Label must be among the minion's labels; empty means any minion.
	Label string
	// Rack is the label of the minions that hold the data; tasks take longer on
	// other minions. Empty means that the data has no location.
	Rack string
	// MaxPerMinion is the maximum number of tasks of the step on one minion; 0 means
	// no limit.
	MaxPerMinion int
}

// Job is a batch of tasks that one caller waits for.
type Job struct {
	ID    string
	Queue string
	Spec  string
	Steps []Step

	Service     string
	Priority    int
	MaxAttempts int
	// Arrived is when the request came in.
	Arrived time.Time
	// Objective is the time by which the answer should be sent. Deadline is the
	// time at which the caller stops waiting.
	Objective, Deadline time.Time
}

// criticalPath returns the shortest possible run time of the job: the longest
// path of estimates through its steps.
func (j *Job) criticalPath() time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for i, s := range j.Steps {
		var begin time.Duration
		for _, earlier := range s.After {
			begin = max(begin, ends[earlier])
		}
		ends[i] = begin + s.Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// SetObjective derives the objective from the critical path times the queue's
// stretch factor, plus its target.
func (j *Job) SetObjective(stretch float64, target time.Duration) {
	j.Objective = j.Arrived.Add(time.Duration(stretch*float64(j.criticalPath())) + target)
}

// RunnerID identifies a session with a runner.
type RunnerID uint64

// RunnerStatus is the state that a runner reports of its minion.
type RunnerStatus struct {
	Name, Service, Zone, Endpoint string
	Labels                        []string
	Capacity, Free                Need
	Ready                         bool
	// MinionRevision numbers what the runner's minion is: its incarnation, service and
	// labels. 0 means that the runner does not number them.
	MinionRevision uint64
	// Placed is the number of tasks of this dispatcher that Free accounts for.
	Placed uint64
	// RuntimeRatio is the run time of ended tasks divided by their estimates; 0 means
	// unknown.
	RuntimeRatio float64
	// FailureRate is the weighted share of failures: 0 for a minion that fails
	// nothing, 1 for one that fails everything.
	FailureRate float64
}

// TaskEnd is the end of a run as a runner reports it.
type TaskEnd struct {
	runtable.RunID
	Outcome runtable.Outcome
	Reason  string
	Ran     time.Duration
}

// Placement assigns tasks of one step to a runner.
type Placement struct {
	Runner RunnerID
	// MinionRevision is the revision of its minion that the runner was chosen by.
	MinionRevision uint64
	Job            *Job
	Step           int
	Runs           []runtable.RunID
	// Key orders the waiting tasks at the runner.
	Key time.Time
	// Wait is how long the tasks may wait at the runner for free capacity.
	Wait time.Duration
}

// Stop ends runs at a runner. Empty Runs means all runs of the job. The runner
// also reports the end of each run in Runs, if it was lost with an earlier
// session.
type Stop struct {
	Runner RunnerID
	Job    string
	Step   int
	Runs   []runtable.RunID
}

// Result is how a job ended.
type Result uint8

// The results of a job.
const (
	// Completed means that every task is done.
	Completed Result = iota + 1
	// Failed means that a task used up its attempts, or that too many minions crashed
	// under it.
	Failed
	// GivenUp means that tasks have or may have run, and the job was not
	// finished.
	GivenUp
	// Refused means that nothing has run and nothing will.
	Refused
)

// Reasons of results other than Completed.
const (
	ReasonAttempts   = "attempts_used_up"
	ReasonCrashes    = "crashed_minions"
	ReasonNoCapacity = "no_room_in_time"
	ReasonTooLarge   = "larger_than_any_minion"
	ReasonNoMinion   = "no_minion"
	ReasonOverdue    = "overdue"
	ReasonCallerLeft = "caller_left"
	ReasonStalled    = "dispatcher_stalled"
	ReasonDuplicate  = "job_is_running"
	ReasonElsewhere  = "job_sent_elsewhere"
)

// Answer is the result of a job for its caller.
type Answer struct {
	Job    *Job
	Result Result
	Reason string
	// RetryAfter is how long the caller of a refused job should wait before it
	// submits the job again.
	RetryAfter time.Duration
	// Waited is the time from the arrival until the first task was placed.
	// Starts is the number of runs that were placed.
	Waited time.Duration
	Starts int
	// Lost is the number of runs whose runner was lost before it reported their
	// end.
	Lost int
}

// Output is what the dispatcher wants its caller to do.
type Output struct {
	Placements []Placement
	Stops      []Stop
	Answers    []Answer
	// LostRuns are the tasks of lost runs that Placements contains.
	LostRuns []LostRun
	// Crashes are the tasks under which a minion has crashed.
	Crashes []CrashCount
}
