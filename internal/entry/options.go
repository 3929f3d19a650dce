// Package entry is the process that serves callers and operators over HTTP,
// owns the jobs it accepted and sends their tasks to agents.
//
// One goroutine, the loop, uses the job owner of package owner and the dispatcher of
// package placement, and handles typed events. HTTP and session goroutines send it
// events and read immutable snapshots of the configuration.
package entry

import (
	"cmp"
	"crypto/tls"
	"net/http"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	apijob "endivewing/api/job"
	"endivewing/internal/controlclient"
	"endivewing/internal/placement"
)

// Options are the settings of an entry process.
type Options struct {
	// Cluster is the name of the deployment. Sessions with processes of another
	// deployment are rejected.
	Cluster string
	Name    string
	Zone    string
	// ListenAddress is the HTTP address; port 0 lets the kernel choose.
	ListenAddress string
	// AdvertiseHTTP is the HTTP address under which other entries reach this one.
	// It defaults to the listener's address.
	AdvertiseHTTP string
	// ControlAddresses are the session addresses of the control members.
	ControlAddresses []string
	// Control replaces the client of ControlAddresses when set.
	Control controlclient.Control

	// JobLimits is the limits of a submission.
	JobLimits apijob.Limits
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int64
	// ReadTimeout is the time limit for reading a request's header and body.
	// IdleTimeout is how long an idle connection is kept.
	ReadTimeout, IdleTimeout time.Duration
	// DefaultTimeout is the timeout of a job whose submission has none.
	DefaultTimeout time.Duration
	// DrainDelay is how long a stopping entry continues to accept jobs after its
	// readiness probe fails, so that the load balancer notices first.
	DrainDelay time.Duration
	// Placement configures the dispatcher. Start sets its zone.
	Placement placement.Config

	// OperatorToken returns the bearer token that operators must send. No token is
	// needed when OperatorToken is nil. An empty token rejects all operators.
	OperatorToken func() string
	// Metrics serves /metrics when set.
	Metrics http.Handler
	// Dump returns the state shown at /debug/state. It defaults to Process.Dump.
	Dump func() any

	// TLS secures sessions between processes when set.
	TLS   *tls.Config
	Log   logr.Logger
	Scope tally.Scope
}

const (
	defaultMaxTasks        = 390
	defaultMaxPayloadBytes = 1 << 20
	defaultMaxBodyBytes    = 8 << 20
	defaultReadTimeout     = 15 * time.Second
	defaultIdleTimeout     = 2 * time.Minute
	defaultJobTimeout      = 2 * time.Minute
	defaultMaxJobTimeout   = time.Hour
	// resolveGrace is how long a failing job waits for reports on which of its
	// tasks ran.
	resolveGrace = 3 * time.Second
	// forgetDelay is how long a message that lets an agent forget ended jobs may be
	// delayed. The next task to the agent carries most of them at no cost, and the
	// rest are sent together.
	forgetDelay = 5 * time.Second
)

func (o Options) withDefaults() Options {
	o.JobLimits.Tasks = cmp.Or(o.JobLimits.Tasks, defaultMaxTasks)
	o.JobLimits.PayloadBytes = cmp.Or(o.JobLimits.PayloadBytes, defaultMaxPayloadBytes)
	o.JobLimits.Timeout = cmp.Or(o.JobLimits.Timeout, defaultMaxJobTimeout)
	o.MaxBodyBytes = cmp.Or(o.MaxBodyBytes, defaultMaxBodyBytes)
	o.ReadTimeout = cmp.Or(o.ReadTimeout, defaultReadTimeout)
	o.IdleTimeout = cmp.Or(o.IdleTimeout, defaultIdleTimeout)
	o.DefaultTimeout = cmp.Or(o.DefaultTimeout, defaultJobTimeout)
	o.Placement.Zone = o.Zone
	if o.ListenAddress == "" {
		o.ListenAddress = "127.0.0.1:0"
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	return o
}
