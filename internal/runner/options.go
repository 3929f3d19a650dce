package runner

import (
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	"endivewing/internal/wire"
)

// Role is the runner's role in a hello and an announcement.
const Role = "runner"

const (
	// SessionHeartbeat and SessionIdle watch the sessions with dispatchers. A
	// caller that lost its answer may come back to another dispatcher 1.3 s
	// later: by then the tasks of the silent one must have been stopped.
	SessionHeartbeat = 200 * time.Millisecond
	SessionIdle      = 800 * time.Millisecond

	// leaseSpan is the lease that a call asks for; minions grant 1 s at most.
	leaseSpan = 900 * time.Millisecond
	// holdWait is how long a call waits at the minion for an end; a lease
	// outlives several of them.
	holdWait = 100 * time.Millisecond
	// idleHoldWait is holdWait while nothing runs.
	idleHoldWait = 250 * time.Millisecond
	// holdSlack is how much longer than holdWait an answer may take.
	holdSlack = 50 * time.Millisecond
	// callTimeout is how long a start or a stop waits for its answer before it
	// is sent again: many times a call on the same host, little against the
	// shortest objective. Sending again does no harm.
	callTimeout = 30 * time.Millisecond
	// holdRetry is the pause after a call without an answer.
	holdRetry = 5 * time.Millisecond
	// doubtTime is how long after a call without an answer two calls wait for
	// ends at once, so that losing one delays no end.
	doubtTime = 2 * time.Second
	// unreachableAfter is how long no call is answered before no more starts
	// are sent and the lease is left to end.
	unreachableAfter = 600 * time.Millisecond
	// slowestClock is the least rate of a minion's clock.
	slowestClock = 0.98

	// orderAge is the age from which an order is refused: it was held up, and
	// its task may have been given to another runner since.
	orderAge = 400 * time.Millisecond
	// tickInterval is how often waiting runs, starts and stops are looked at,
	// workTickInterval the lease of runs at work, and idleTickInterval whether the
	// minion can be reached.
	tickInterval     = 10 * time.Millisecond
	workTickInterval = 40 * time.Millisecond
	idleTickInterval = 100 * time.Millisecond
	// reportGap times the square of the number of runners that report to a dispatcher is the shortest time
	// between two reports of room alone, reportGapMost the longest. With more
	// runners more of them report to each dispatcher, whose time is scarce, and
	// it has more of them to choose from.
	reportGap     = 75 * time.Microsecond
	reportGapMost = 250 * time.Millisecond
	// fenceStep is added to a fencing token that was refused.
	fenceStep = uint64(time.Minute / time.Millisecond)

	eventQueue = 1024
)

// Options are the settings of a runner.
type Options struct {
	Cluster, Name, Zone string
	// Address is where dispatchers connect, as they reach it.
	Address string
	// ListenAddress is where their sessions are taken.
	ListenAddress string
	// Seeds are session addresses of control members.
	Seeds []string
	// Minion calls the minion beside the runner.
	Minion Minion
	// StopTimeout bounds a graceful stop.
	StopTimeout time.Duration

	Log   logr.Logger
	Scope tally.Scope
}

func (o *Options) wire(handler wire.Handler, closed func(*wire.Session)) wire.Options {
	return wire.Options{
		Hello:     o.hello,
		Handler:   handler,
		Closed:    closed,
		Heartbeat: SessionHeartbeat,
		Idle:      SessionIdle,
		Scope:     o.Scope,
		Log:       o.Log,
	}
}
