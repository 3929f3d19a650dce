package runner

import (
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	"endivewing/internal/wire"
)

// Role is the runner's role in hello and announcement messages.
const Role = "runner"

const (
	// SessionHeartbeatInterval is the interval of heartbeats on sessions with dispatchers.
	SessionHeartbeatInterval = 200 * time.Millisecond
	// SessionIdleTimeout is how long a session with a dispatcher may be silent before it
	// is closed. A caller that lost its reply may retry at another dispatcher
	// 1.3 s later; the tasks of the silent dispatcher must have been stopped by then.
	SessionIdleTimeout = 850 * time.Millisecond

	// leaseDuration is the lease that a call asks for. Minions grant at most 1 s.
	leaseDuration = 900 * time.Millisecond
	// maxGrantedLease is the longest lease that minions grant.
	maxGrantedLease = time.Second
	// minStartLease is the lease that a new run must get at least, so that it doesn't
	// end with a run that is to be over soon.
	minStartLease = leaseDuration / 2
	// pollWait is how long a poll waits at the minion for a run to end. A lease
	// lasts for several polls.
	pollWait = 100 * time.Millisecond
	// idlePollWait replaces pollWait while nothing runs.
	idlePollWait = 250 * time.Millisecond
	// pollTimeoutMargin is how much longer than its wait the reply to a poll may
	// take.
	pollTimeoutMargin = 50 * time.Millisecond
	// callTimeout is how long a start or a stop waits for its reply before it is
	// sent again. It is many times the duration of a call on the same host and
	// short in comparison with the shortest objective. Both calls are idempotent.
	callTimeout = 30 * time.Millisecond
	// pollBackoff is the pause after a long poll that was not answered with lists.
	pollBackoff = 5 * time.Millisecond
	// redundantPollDuration is how long after an unanswered call two long polls are
	// kept in progress, so that the loss of one delays no end.
	redundantPollDuration = 2 * time.Second
	// unreachableTimeout is how long all calls may stay unanswered before no more
	// starts are sent and the lease is left to expire.
	unreachableTimeout = 600 * time.Millisecond
	// listTimeout is how long the minion's list may take to say how the runs of a lease
	// that is over have ended. It outlasts one poll.
	listTimeout = 80 * time.Millisecond
	// minClockRate is the lowest rate of a minion's clock, relative to the local
	// clock.
	minClockRate = 0.98
	// maxObservedStep is the most time between two ticks that counts as passed at the
	// minion. It outlasts two of the longest tick intervals.
	maxObservedStep = 250 * time.Millisecond

	// minConfirmationBackoff and maxConfirmationBackoff are the first and the longest
	// pause after a question to the minion about its incarnation that was not
	// answered. A minion may report itself before it takes calls.
	minConfirmationBackoff = 5 * time.Millisecond
	maxConfirmationBackoff = 80 * time.Millisecond
	// maxConfirmationAttempts is how often the minion is asked about an incarnation.
	// It fills the time to the minion's next report.
	maxConfirmationAttempts = 30
	// maxCandidates bounds the incarnations that the minion is asked about in turn.
	// It is more than there are control members with a record each.
	maxCandidates = 16

	// maxOrderAge is the age above which an order is refused. Such an order was
	// delayed, and its task may have been assigned to another runner since.
	maxOrderAge = 400 * time.Millisecond
	// tickInterval is the interval of ticks while runs wait, start or stop.
	tickInterval = 10 * time.Millisecond
	// runningTickInterval is the interval of ticks while runs only have their lease
	// checked.
	runningTickInterval = 40 * time.Millisecond
	// idleTickInterval is the interval of ticks while nothing runs and only the
	// minion's reachability is checked.
	idleTickInterval = 100 * time.Millisecond
	// stallLogThreshold is the delay of a tick above which it is logged.
	stallLogThreshold = 100 * time.Millisecond
	// baseReportInterval times the square of the number of runners that report to a
	// dispatcher is the minimum time between two reports in which only the free
	// capacity differs. With more runners, more of them report to each dispatcher,
	// whose processor time is scarce and which has more of them to choose from.
	baseReportInterval = 75 * time.Microsecond
	// maxReportInterval is the upper bound of that minimum.
	maxReportInterval = 250 * time.Millisecond
	// fenceStep is added to a fencing token that the minion refused.
	fenceStep = uint64(time.Minute / time.Millisecond)

	eventQueueLength = 1024
)

// Options are the settings of a runner.
type Options struct {
	Cluster, Name, Zone string
	// Address is the address that dispatchers connect to, as their hosts reach it.
	Address string
	// ListenAddress is the local address that accepts their sessions.
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

// wire returns the settings of the sessions with dispatchers.
func (o *Options) wire(handler wire.Handler, closed func(*wire.Session)) wire.Options {
	return wire.Options{
		Hello:             o.hello,
		Handler:           handler,
		OnClosed:          closed,
		HeartbeatInterval: SessionHeartbeatInterval,
		IdleTimeout:       SessionIdleTimeout,
		Scope:             o.Scope,
		Log:               o.Log,
	}
}
