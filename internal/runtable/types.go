// Package runtable holds a runner's decisions: which tasks start at its minion
// and when, how much capacity is free, and how each run ended. The package is
// pure: times come in as arguments, and TakeOutput returns the calls to the minion
// and the reports to dispatchers. The time of each input is later than that of the
// input before, so that times tell whether a list was requested before or after an
// answer came.
package runtable

import "time"

// TaskID identifies a task of a job.
type TaskID struct {
	Job         string
	Step, Index uint32
}

// Need is what a task requires of a minion, or what a minion offers. CPU is in
// thousandths of a core, Memory in MB.
type Need struct{ CPU, Memory, GPUs int64 }

// Fits reports whether a need fits into what is free.
func (n Need) Fits(free Need) bool {
	return n.CPU <= free.CPU && n.Memory <= free.Memory && n.GPUs <= free.GPUs
}

// FitCount returns how many times a need fits into what is free, at most the given
// number.
func (n Need) FitCount(free Need, most int64) int64 {
	for _, part := range [][2]int64{{n.CPU, free.CPU}, {n.Memory, free.Memory}, {n.GPUs, free.GPUs}} {
		if need, left := part[0], part[1]; need > 0 {
			most = min(most, max(left, 0)/need)
		}
	}
	return most
}

// Plus returns the sum of two needs.
func (n Need) Plus(o Need) Need {
	return Need{n.CPU + o.CPU, n.Memory + o.Memory, n.GPUs + o.GPUs}
}

// Minus returns the difference of two needs.
func (n Need) Minus(o Need) Need {
	return Need{n.CPU - o.CPU, n.Memory - o.Memory, n.GPUs - o.GPUs}
}

// Owner identifies the session of the dispatcher that ordered a run.
type Owner uint64

// Order asks for one run of a task.
type Order struct {
	TaskID
	// Run is the number of the run among those of its task.
	Run   uint32
	Owner Owner
	Spec  string
	Need  Need
	// Key orders waiting runs; the smallest starts first.
	Key int64
	// Estimate is the run time that the caller expects.
	Estimate time.Duration
	// Expires is when a run that still waits is refused.
	Expires time.Time
}

// Outcome is how a run ended.
type Outcome uint8

// The outcomes of a run.
const (
	Done Outcome = iota + 1
	// Failed means that the task or its minion failed.
	Failed
	// NotRun means that the run never started and never will.
	NotRun
	// Stopped means that the run was stopped, or its lease or its minion ended.
	Stopped
)

// Reasons of outcomes other than Done.
const (
	ReasonFailed          = "task_failed"
	ReasonNoCapacity      = "no_room"
	ReasonNotReady        = "minion_not_ready"
	ReasonTooLarge        = "larger_than_minion"
	ReasonDuplicate       = "task_runs_here"
	ReasonOldRun          = "old_run"
	ReasonRejected        = "minion_rejected"
	ReasonStartUnanswered = "start_unanswered"
	ReasonStopped         = "stopped"
	ReasonLeaseExpired    = "lease_lapsed"
	ReasonMinionGone      = "minion_ended"
	ReasonNoProgress      = "no_progress"
	ReasonSlow            = "too_slow"
	ReasonStale           = "order_too_old"
	// ReasonMinionChanged means that the order was chosen by an earlier incarnation of the
	// minion, or by a service or labels that it no longer has.
	ReasonMinionChanged = "minion_changed"
	ReasonNotHere       = "not_here"
	// ReasonResubmitted means that the job was sent to another dispatcher later.
	ReasonResubmitted = "job_sent_elsewhere"
)

// End is the end of a run.
type End struct {
	TaskID
	Run     uint32
	Owner   Owner
	Outcome Outcome
	Reason  string
	// Ran is the time from the first start sent to the minion until the end; 0
	// if none was sent.
	Ran time.Duration
}

// RunID identifies one run.
type RunID struct {
	TaskID
	Run uint32
}

// Listing is a minion's list of its runs.
type Listing struct {
	// SentAt is when the request for the list was sent.
	SentAt  time.Time
	Running []RunningRow
	// Ended is in the order of the numbers, which start at 1.
	Ended []EndedRow
}

// maxListedEnds is the number of ends that one list holds at most.
const maxListedEnds = 500

// full reports whether there may be more ends than the list holds.
func (l *Listing) full() bool { return len(l.Ended) >= maxListedEnds }

// RunningRow is one active run.
type RunningRow struct {
	RunID
	// Percent is how much of its work is done.
	Percent int
}

// EndedRow is one run that ended.
type EndedRow struct {
	RunID
	Number  uint64
	Outcome Outcome
	Reason  string
}

// Output is what the table wants its caller to do, in order.
type Output struct {
	Starts []Order
	Stops  []RunID
	Ends   []End
	// Unknown are the runs that a list contains and the table does not.
	Unknown []RunID
	// ListNow asks for the minion's lists immediately.
	ListNow bool
}

// StartAnswer is a minion's answer to a start.
type StartAnswer uint8

// The answers to a start.
const (
	Started StartAnswer = iota + 1
	// Rejected means that the minion has not started the run and never will.
	Rejected
	// RejectedOldRun means that the minion has seen a run of the task with this
	// number or a higher one.
	RejectedOldRun
	// RejectedNoCapacity means that the minion has no free capacity.
	RejectedNoCapacity
	// Unanswered means that no answer came: the run may start now or later.
	Unanswered
	// NotReceived means that no answer came because nobody listened at the minion's
	// address: this attempt has not reached the minion.
	NotReceived
)
