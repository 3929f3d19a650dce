// Package dispatch holds a dispatcher's decisions on jobs that are not stored:
// in which order tasks wait, which runner gets them, when a job is refused,
// and what a lost or failed run means. It is pure: times come in as arguments,
// and what is to be sent goes out through Take.
package dispatch

import (
	"time"

	"endivewing/internal/runtable"
)

// Need is room in a minion.
type Need = runtable.Need

// Step is a part of a job: like tasks that begin once earlier steps are done.
type Step struct {
	Count int
	Need  Need
	// Estimate is the run time of one task that the caller expects.
	Estimate time.Duration
	// After are the numbers of the steps that must be done first.
	After []int
	// Label must be among the minion's; empty asks for none.
	Label string
	// Rack is where the data is; elsewhere tasks take longer. Empty is
	// anywhere.
	Rack string
	// Spread is the most tasks of the step on one minion; 0 is any number.
	Spread int
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
	// Objective is when the answer should be there; Limit is when the caller
	// stops waiting.
	Objective, Limit time.Time
}

// chain is the shortest possible run time: the longest path of estimates.
func (j *Job) chain() time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for i, s := range j.Steps {
		var begin time.Duration
		for _, before := range s.After {
			begin = max(begin, ends[before])
		}
		ends[i] = begin + s.Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// SetObjective derives the objective from the queue's stretch and target.
func (j *Job) SetObjective(stretch float64, target time.Duration) {
	j.Objective = j.Arrived.Add(time.Duration(stretch*float64(j.chain())) + target)
}

// RunnerID names a runner's session.
type RunnerID uint64

// Room is what a runner says of its minion.
type Room struct {
	Name, Service, Zone, Endpoint string
	Labels                        []string
	Capacity, Free                Need
	Ready                         bool
	// Placed is the number of tasks of this dispatcher that Free takes into
	// account.
	Placed uint64
	// Pace is the run time of ended tasks against their estimates; 0 when
	// unknown.
	Pace float64
	// Suspicion is 0 for a sound minion, 1 for one that fails everything.
	Suspicion float64
}

// TaskEnd is the end of a run as a runner tells it.
type TaskEnd struct {
	runtable.Ref
	Outcome runtable.Outcome
	Reason  string
	Ran     time.Duration
}

// Placement gives tasks of one step to a runner.
type Placement struct {
	Runner RunnerID
	Job    *Job
	Step   int
	Runs   []runtable.Ref
	// Key orders waiting tasks at the runner.
	Key time.Time
	// Wait is how long the tasks may wait there for room.
	Wait time.Duration
}

// Stop ends runs at a runner; no Runs means all of the job.
type Stop struct {
	Runner RunnerID
	Job    string
	Step   int
	Runs   []runtable.Ref
}

// Result is the answer to a job.
type Result uint8

// The results.
const (
	// Completed: every task is done.
	Completed Result = iota + 1
	// Failed: a task failed too often.
	Failed
	// GivenUp: the work has begun and could not be finished.
	GivenUp
	// Refused: nothing has run and nothing will.
	Refused
)

// Reasons of answers other than completed.
const (
	ReasonAttempts   = "attempts_used_up"
	ReasonNoRoom     = "no_room_in_time"
	ReasonTooLarge   = "larger_than_any_minion"
	ReasonNoMinion   = "no_minion"
	ReasonOverdue    = "overdue"
	ReasonCallerLeft = "caller_left"
	ReasonStalled    = "dispatcher_stalled"
	ReasonDuplicate  = "job_is_running"
)

// Answer ends a job.
type Answer struct {
	Job    *Job
	Result Result
	Reason string
	// RetryAfter is when a refused job may come back.
	RetryAfter time.Duration
	// Waited is the time until the first task was sent; Starts counts runs.
	Waited time.Duration
	Starts int
	// Lost counts runs whose end was not told.
	Lost int
}

// Output is what the dispatcher wants done.
type Output struct {
	Placements []Placement
	Stops      []Stop
	Answers    []Answer
}
