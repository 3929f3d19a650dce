// Package runtable holds a runner's decisions: which task starts at its minion
// and when, what room is left, and how each run ended. It is pure: times come
// in as arguments, and calls to the minion and reports to dispatchers go out
// through Take.
package runtable

import "time"

// Name identifies a task of a job.
type Name struct {
	Job         string
	Step, Index uint32
}

// Need is room in a minion. CPU is in thousandths of a core, Memory in MB.
type Need struct{ CPU, Memory, GPUs int64 }

// Fits tells whether a need has room in what is free.
func (n Need) Fits(free Need) bool {
	return n.CPU <= free.CPU && n.Memory <= free.Memory && n.GPUs <= free.GPUs
}

// Times is how often a need has room in what is free, at most the given number.
func (n Need) Times(free Need, most int64) int64 {
	for _, part := range [][2]int64{{n.CPU, free.CPU}, {n.Memory, free.Memory}, {n.GPUs, free.GPUs}} {
		if need, left := part[0], part[1]; need > 0 {
			most = min(most, max(left, 0)/need)
		}
	}
	return most
}

// Plus adds two needs.
func (n Need) Plus(o Need) Need {
	return Need{n.CPU + o.CPU, n.Memory + o.Memory, n.GPUs + o.GPUs}
}

// Minus takes a need off.
func (n Need) Minus(o Need) Need {
	return Need{n.CPU - o.CPU, n.Memory - o.Memory, n.GPUs - o.GPUs}
}

// Owner is the session of the dispatcher that ordered a run.
type Owner uint64

// Order asks for one run of a task.
type Order struct {
	Name
	// Run numbers the starts of the task.
	Run   uint32
	Owner Owner
	Spec  string
	Need  Need
	// Key orders waiting runs; the smallest starts first.
	Key int64
	// Estimate is the run time that the caller expects.
	Estimate time.Duration
	// Expires is when a waiting run is given up.
	Expires time.Time
}

// Outcome is how a run ended.
type Outcome uint8

// The outcomes of a run.
const (
	Done Outcome = iota + 1
	// Failed: the task or its minion failed.
	Failed
	// NotRun: it never started and never will.
	NotRun
	// Stopped: it was stopped, or its lease or its minion ended.
	Stopped
)

// Reasons of outcomes other than Done.
const (
	ReasonFailed     = "task_failed"
	ReasonNoRoom     = "no_room"
	ReasonNotReady   = "minion_not_ready"
	ReasonTooLarge   = "larger_than_minion"
	ReasonDuplicate  = "task_runs_here"
	ReasonOldRun     = "old_run"
	ReasonRejected   = "minion_rejected"
	ReasonNoAnswer   = "start_unanswered"
	ReasonStopped    = "stopped"
	ReasonLapsed     = "lease_lapsed"
	ReasonMinionGone = "minion_ended"
	ReasonStuck      = "no_progress"
	ReasonSlow       = "too_slow"
	ReasonStale      = "order_too_old"
)

// End is the end of a run.
type End struct {
	Name
	Run     uint32
	Owner   Owner
	Outcome Outcome
	Reason  string
	// Ran is the time from the order to the minion to the end.
	Ran time.Duration
}

// Ref names one run.
type Ref struct {
	Name
	Run uint32
}

// Listing is what a minion says of its runs.
type Listing struct {
	// Asked is when the call was sent.
	Asked   time.Time
	Running []RunningRow
	// Ended are in the order of their numbers, which start at 1.
	Ended []EndedRow
}

// RunningRow is one run at work.
type RunningRow struct {
	Ref
	// Percent is how much of its work is done.
	Percent int
}

// EndedRow is one run that ended.
type EndedRow struct {
	Ref
	Number  uint64
	Outcome Outcome
	Reason  string
}

// Output is what the table wants done, in order.
type Output struct {
	Starts []Order
	Stops  []Ref
	Ends   []End
	// Look: the minion is to be asked for its lists at once.
	Look bool
}

// StartAnswer is a minion's answer to a start.
type StartAnswer uint8

// The answers to a start.
const (
	Started StartAnswer = iota + 1
	// Rejected: the minion has not started the run and never will.
	Rejected
	// RejectedOld: a run with this number or a higher one was here before.
	RejectedOld
	// RejectedRoom: the minion has no room.
	RejectedRoom
	// Unanswered: it may start, now or later.
	Unanswered
)
