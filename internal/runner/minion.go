// Package runner is the process beside a minion that starts tasks there for
// dispatchers: it keeps the minion's lease, hands starts and stops on, and
// reports ends and room.
//
// One goroutine owns the table of runs and takes typed events; calls to the
// minion run in goroutines of their own.
package runner

import (
	"context"
	"time"

	"endivewing/internal/runtable"
)

// Report is what a minion says of itself.
type Report struct {
	// Endpoint names one life of the minion, or several when it starts again
	// under the same name; Born tells those apart.
	Endpoint string
	Service  string
	Address  string
	Zone     string
	Labels   []string
	Capacity runtable.Need
	Draining bool
	// Sequence grows with each report of one life.
	Sequence uint64
	// Born is the Unix time of the life's start, in milliseconds.
	Born int64
	// Clock is the minion's steady clock, in milliseconds.
	Clock int64
}

// StartCall asks a minion to start a run.
type StartCall struct {
	Endpoint string
	Ref      runtable.Ref
	Spec     string
	// Deadline is the end of the lease on the minion's clock, in milliseconds.
	Deadline int64
	Fence    uint64
}

// StopCall asks a minion to stop a run.
type StopCall struct {
	Endpoint string
	Ref      runtable.Ref
	Fence    uint64
}

// HoldCall renews the lease of all that runs and asks for the lists.
type HoldCall struct {
	Endpoint string
	// Deadline is the new end of the lease; 0 leaves it.
	Deadline int64
	Fence    uint64
	// Acked is the number of the last end taken in.
	Acked uint64
	// Wait is how long the minion may wait for an end.
	Wait time.Duration
}

// Verdict is how a minion took a call.
type Verdict uint8

// The verdicts.
const (
	Accepted Verdict = iota + 1
	// Fenced: the minion has seen a higher fencing token.
	Fenced
	// OtherLife: the minion is another life than the one meant.
	OtherLife
	// Old: the run number is not higher than one seen before.
	Old
	// Late: the deadline has passed on the minion's clock.
	Late
	// NoRoom: the run does not fit.
	NoRoom
	// Refused: nothing was done, for another reason.
	Refused
)

// Answer is a minion's answer to a start or a stop.
type Answer struct {
	Verdict Verdict
	// Clock is the minion's steady clock in milliseconds; 0 when not told.
	Clock int64
}

// Lists are a minion's answer to a hold.
type Lists struct {
	Answer
	Born    int64
	Running []runtable.RunningRow
	Ended   []runtable.EndedRow
}

// Minion calls a minion. An error means that no answer came: the call may have
// been carried out, or may be later.
type Minion interface {
	Start(ctx context.Context, c StartCall) (Answer, error)
	Stop(ctx context.Context, c StopCall) (Answer, error)
	Hold(ctx context.Context, c HoldCall) (Lists, error)
}
