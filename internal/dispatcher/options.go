// Package dispatcher is the process that takes jobs from callers, has their
// tasks run by runners, and answers when a job has ended. Jobs live in its
// memory only.
//
// One goroutine owns the decisions of package dispatch and takes typed events;
// requests of callers wait for their answers in goroutines of their own.
package dispatcher

import (
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/desired"
)

// Role is the dispatcher's role in a hello and an announcement.
const Role = "dispatcher"

// ReasonStopping is the reason of a dispatcher that is about to end.
const ReasonStopping = "stopping"

const (
	// tickInterval is how often open jobs are looked at, idleTickInterval whether
	// the process stood still when there are none.
	tickInterval     = 10 * time.Millisecond
	idleTickInterval = 100 * time.Millisecond
	// busyLag is how late the loop may be before new jobs are refused, and
	// calmLag how little late it has to be again: the shortest objectives leave
	// some 80 ms besides the work.
	busyLag = 30 * time.Millisecond
	calmLag = 10 * time.Millisecond
	// stallAfter is a pause of the process after which its jobs are given up:
	// the runners have stopped their tasks, and callers may have gone elsewhere.
	stallAfter = 900 * time.Millisecond
	// redialFirst and redialMost bound the pause between dials of a runner.
	redialFirst = 30 * time.Millisecond
	redialMost  = 400 * time.Millisecond
	// forgetRunner is how long a runner that no control member lists is still
	// dialed.
	forgetRunner = 15 * time.Second
	// retireAfter is how long a runner is not wanted before it is given up.
	retireAfter = 8 * time.Second
	// trimInterval is how often runners that are not wanted are looked for.
	trimInterval = 250 * time.Millisecond

	eventQueue = 2048
	// eventBatch bounds the events between two looks at the clock: some 2 ms of
	// work.
	eventBatch = 64
)

// Options are the settings of a dispatcher.
type Options struct {
	Cluster, Name, Zone string
	// Seeds are session addresses of control members.
	Seeds []string
	// Decode reads the desired configuration as its author wrote it.
	Decode func(body []byte) (*desired.Document, error)

	Log   logr.Logger
	Scope tally.Scope
}

func (o *Options) hello() *wirepb.Hello {
	return &wirepb.Hello{Role: Role, Name: o.Name, Zone: o.Zone, Cluster: o.Cluster}
}
