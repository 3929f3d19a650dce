// Package entry is the process that serves callers and operators over HTTP,
// owns the jobs it accepted and sends their tasks to agents.
//
// One goroutine, the loop, owns the owner of jobs and the dispatcher and takes
// typed events. HTTP and session goroutines hand it events and read immutable
// snapshots.
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
	// Cluster guards against processes of another deployment.
	Cluster string
	Name    string
	Zone    string
	// ListenAddress is the HTTP address; port 0 lets the kernel choose.
	ListenAddress string
	// AdvertiseHTTP is the HTTP address that other entries are told; empty is
	// the listener's.
	AdvertiseHTTP string
	// ControlAddresses are the session addresses of the control members.
	ControlAddresses []string
	// Control replaces the client of ControlAddresses when set.
	Control controlclient.Control

	// Job bounds each submission.
	Job apijob.Limits
	// BodyBytes bounds a request body.
	BodyBytes int64
	// ReadTimeout bounds how long a request's header and body may take, and
	// IdleTimeout how long an idle connection is kept.
	ReadTimeout, IdleTimeout time.Duration
	// DefaultTimeout is the time of a job that names none.
	DefaultTimeout time.Duration
	// DrainDelay is how long a stopping entry goes on accepting jobs after its
	// readiness fails, so that the balancer notices first.
	DrainDelay time.Duration
	// Placement configures the dispatcher; its zone is filled in.
	Placement placement.Config

	// OperatorToken returns the bearer token for operators' paths; nil asks for
	// none, and an empty token fits nobody.
	OperatorToken func() string
	// Metrics serves /metrics when set.
	Metrics http.Handler
	// Dump is the state shown at /debug/state; nil is the entry's own.
	Dump func() any

	// TLS secures sessions between processes when set.
	TLS   *tls.Config
	Log   logr.Logger
	Scope tally.Scope
}

const (
	defaultTasks        = 390
	defaultPayloadBytes = 1 << 20
	defaultBodyBytes    = 8 << 20
	defaultReadTimeout  = 15 * time.Second
	defaultIdleTimeout  = 2 * time.Minute
	defaultJobTimeout   = 2 * time.Minute
	defaultMaxTimeout   = time.Hour
	// resolveGrace is how long a failing job waits to learn what of it ran.
	resolveGrace = 3 * time.Second
	// forgetDelay is how long agents may keep ended jobs: most are told with the
	// next tasks, at no cost, and the rest together.
	forgetDelay = 5 * time.Second
)

func (o Options) withDefaults() Options {
	o.Job.Tasks = cmp.Or(o.Job.Tasks, defaultTasks)
	o.Job.PayloadBytes = cmp.Or(o.Job.PayloadBytes, defaultPayloadBytes)
	o.Job.Timeout = cmp.Or(o.Job.Timeout, defaultMaxTimeout)
	o.BodyBytes = cmp.Or(o.BodyBytes, defaultBodyBytes)
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
