// Package dispatcher is the process that accepts jobs from callers, has their
// tasks run by runners, and answers when a job has ended. Jobs are kept in
// memory only.
//
// One goroutine makes the decisions of package dispatch and handles typed
// events. Requests of callers wait for their answers in goroutines of their
// own.
package dispatcher

import (
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/fleetconfig"
)

// Role is the dispatcher's role in a hello and an announcement.
const Role = "dispatcher"

// ReasonStopping is the reason of refusals while the dispatcher shuts down.
const ReasonStopping = "stopping"

const (
	// tickInterval is the time between two ticks while jobs are open. Waiting
	// jobs are checked at each of them.
	tickInterval = 10 * time.Millisecond
	// idleTickInterval is the time between two ticks without open jobs, which
	// detect a pause of the process and surplus runners.
	idleTickInterval = 100 * time.Millisecond
	// busyLag is the delay of a tick above which new jobs are refused. The
	// shortest objectives leave about 80 ms besides the work.
	busyLag = 30 * time.Millisecond
	// recoveredLag is the delay of a tick below which new jobs are accepted
	// again.
	recoveredLag = 10 * time.Millisecond
	// stallTimeout is the pause of the process after which its jobs are ended:
	// the runners have stopped their tasks, and callers may have retried
	// elsewhere.
	stallTimeout = 900 * time.Millisecond
	// backlogReadTime is how long after a pause of the process a request may be
	// read that came before or during it.
	backlogReadTime = 100 * time.Millisecond
	// minRedialBackoff is the first pause between dials of a runner.
	minRedialBackoff = 30 * time.Millisecond
	// maxRedialBackoff is the longest pause between dials of a runner. A
	// session that lasts longer resets the backoff.
	maxRedialBackoff = 400 * time.Millisecond
	// unlistedTimeout is how long a runner that no control member lists is
	// still dialed.
	unlistedTimeout = 15 * time.Second
	// surplusTimeout is how long a runner must not be among the chosen ones
	// before its session is closed.
	surplusTimeout = 8 * time.Second
	// surplusCheckInterval is the time between two checks for surplus runners.
	surplusCheckInterval = 250 * time.Millisecond

	eventQueueSize = 2048
	// maxEventBatch bounds the events that are handled between two checks for
	// ticks. A full batch takes about 2 ms.
	maxEventBatch = 64
)

// Options are the settings of a dispatcher.
type Options struct {
	Cluster, Name, Zone string
	// Seeds are session addresses of control members.
	Seeds []string
	// Decode parses the configuration document.
	Decode func(body []byte) (*fleetconfig.Document, error)

	Log   logr.Logger
	Scope tally.Scope
}

func (o *Options) hello() *wirepb.Hello {
	return &wirepb.Hello{Role: Role, Name: o.Name, Zone: o.Zone, Cluster: o.Cluster}
}
