// Package runner implements the process beside a minion that starts tasks there
// for dispatchers. It renews the minion's lease, forwards starts and stops, and
// reports the ends of runs and the free capacity.
//
// One goroutine owns the table of runs and handles typed events. Each call to the
// minion runs in a goroutine of its own.
package runner

import (
	"context"
	"time"

	"endivewing/internal/runtable"
)

// Report is a minion's report of its own state.
type Report struct {
	// Endpoint is the name of the minion. If a minion restarts under the same name,
	// StartedUnixMs distinguishes its incarnations.
	Endpoint string
	Service  string
	Address  string
	Zone     string
	Labels   []string
	Capacity runtable.Need
	Draining bool
	// Sequence increases with each report of one incarnation.
	Sequence uint64
	// StartedUnixMs is the start time of the incarnation, in Unix milliseconds.
	StartedUnixMs int64
	// Clock is the reading of the minion's monotonic clock, in milliseconds.
	Clock int64
}

// StartCall asks a minion to start a run.
type StartCall struct {
	Endpoint string
	RunID    runtable.RunID
	Spec     string
	// Deadline is the end of the lease, in milliseconds on the minion's clock.
	Deadline int64
	Fence    uint64
}

// StopCall asks a minion to stop a run.
type StopCall struct {
	Endpoint string
	RunID    runtable.RunID
	Fence    uint64
}

// PollCall renews the lease of all runs and asks for the lists of running and
// ended runs.
type PollCall struct {
	Endpoint string
	// Deadline is the new end of the lease, in milliseconds on the minion's clock.
	// 0 leaves the lease unchanged.
	Deadline int64
	Fence    uint64
	// AckedEnd is the number of the last ended run that the runner has applied.
	AckedEnd uint64
	// Wait is how long the minion may wait for a run to end before it replies.
	Wait time.Duration
}

// CallStatus is a minion's decision on a call.
type CallStatus uint8

// Decisions of a minion on a call.
const (
	Accepted CallStatus = iota + 1
	// Fenced means that the minion has seen a higher fencing token.
	Fenced
	// OtherIncarnation means that the call was meant for another incarnation of the
	// minion.
	OtherIncarnation
	// OldRun means that the run number is not higher than one seen before.
	OldRun
	// DeadlinePassed means that the deadline has passed on the minion's clock.
	DeadlinePassed
	// NoCapacity means that the run needs more than the minion's free capacity.
	NoCapacity
	// Refused means that the minion did nothing, for another reason.
	Refused
)

// Answer is a minion's reply to a start or a stop.
type Answer struct {
	Status CallStatus
	// Clock is the reading of the minion's monotonic clock, in milliseconds. It is
	// 0 if the reply has none.
	Clock int64
}

// PollAnswer is a minion's reply to a PollCall.
type PollAnswer struct {
	Answer
	StartedUnixMs int64
	Running       []runtable.RunningRow
	Ended         []runtable.EndedRow
}

// Minion calls a minion. An error means that no reply came: the minion may have
// executed the call, or may still execute it later.
type Minion interface {
	Start(ctx context.Context, c StartCall) (Answer, error)
	Stop(ctx context.Context, c StopCall) (Answer, error)
	Poll(ctx context.Context, c PollCall) (PollAnswer, error)
}
