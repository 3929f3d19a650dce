// Package httpapi is the HTTP/JSON interface of an entry for callers and
// operators. It decodes and checks requests and encodes responses. A Backend does
// the work.
package httpapi

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/go-logr/logr"
	"github.com/labstack/echo/v4"

	apijob "endivewing/api/job"
	"endivewing/api/resource"
)

// ForwardedHeader marks a request that another entry forwarded. Its value is the name
// of that entry.
const ForwardedHeader = "Endivewing-Forwarded-By"

// Backend does the work of an entry's HTTP interface. Its methods return *job.Error;
// any other error is answered as an internal error.
type Backend interface {
	// Submit accepts a submission and waits for the job's end. When the wait ends
	// first, it returns the open job, as do Job, JobBySubmission and Cancel.
	Submit(ctx context.Context, s *apijob.Submission, wait time.Duration) (*apijob.Job, error)
	// Job waits for the end of a job and returns it.
	Job(ctx context.Context, id uint64, wait time.Duration) (*apijob.Job, error)
	JobBySubmission(ctx context.Context, team, submission string, wait time.Duration) (*apijob.Job, error)
	// Cancel cancels a job and waits for its end. forwarded reports whether another
	// entry forwarded the request.
	Cancel(ctx context.Context, id uint64, wait time.Duration, forwarded bool) (*apijob.Job, error)
	// List returns a kind's resources. When after is set, it first waits until the
	// kind has changed after that revision or ctx ends.
	List(ctx context.Context, kind resource.Kind, after *uint64) *resource.List
	// Get returns nil when there is no such resource.
	Get(kind resource.Kind, name string) *resource.Object
	Apply(ctx context.Context, c Change) (*resource.Object, error)
	Instances() []resource.InstanceStatus
	Members(ctx context.Context) (*resource.Members, error)
	// ViewReady returns the reason why resources can't be read, or nil once the entry
	// has a confirmed view of them.
	ViewReady() error
	// Ready returns the reason why the entry accepts no jobs now, or nil when it
	// accepts them.
	Ready() error
}

// Change is a compare-and-set of one resource.
type Change struct {
	Kind   resource.Kind
	Name   string
	Spec   []byte
	Delete bool
	// ExpectedRevision is the revision that the resource must have, or 0 if it must not
	// exist.
	ExpectedRevision uint64
	// AnyVersion makes the change at any revision.
	AnyVersion bool
	// RequestID makes the change idempotent: a request with the same ID is applied
	// once.
	RequestID string
}

// Options are the settings of the interface.
type Options struct {
	// JobLimits is the limits of a submission.
	JobLimits apijob.Limits
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int64
	// OperatorToken returns the bearer token that operators must send. No token is
	// needed when OperatorToken is nil. An empty token rejects all operators.
	OperatorToken func() string
	// Metrics serves /metrics when set.
	Metrics http.Handler
	// Dump returns the state shown at /debug/state.
	Dump func() any
	Log  logr.Logger
}

type api struct {
	backend Backend
	opts    Options
}

// New returns the handler of all routes.
func New(b Backend, opts Options) *echo.Echo {
	a := &api{backend: b, opts: opts}
	e := echo.New()
	e.HideBanner = true
	e.HTTPErrorHandler = a.handleError
	e.Use(a.recoverPanic, a.limitBody, limitWrite)
	a.callerRoutes(e)
	a.operatorRoutes(e)
	e.GET("/healthz", func(c echo.Context) error { return c.NoContent(http.StatusNoContent) })
	e.GET("/readyz", a.ready)
	if opts.Metrics != nil {
		e.GET("/metrics", echo.WrapHandler(opts.Metrics), a.requireOperator)
	}
	return e
}

func (a *api) callerRoutes(e *echo.Echo) {
	e.POST("/v1/jobs", a.postJob)
	e.GET("/v1/jobs/:id", a.getJob)
	e.DELETE("/v1/jobs/:id", a.deleteJob)
	e.GET("/v1/teams/:team/submissions/:submission", a.getSubmission)
}

func (a *api) operatorRoutes(e *echo.Echo) {
	for _, kind := range resource.Kinds() {
		path := "/v1/" + kind.Plural()
		e.GET(path, a.listResources(kind), a.requireOperator, a.requireView)
		e.GET(path+"/:name", a.getResource(kind), a.requireOperator, a.requireView)
		e.PUT(path+"/:name", a.putResource(kind), a.requireOperator)
		e.DELETE(path+"/:name", a.deleteResource(kind), a.requireOperator)
	}
	e.GET("/v1/instances", a.instances, a.requireOperator, a.requireView)
	e.GET("/v1/members", a.members, a.requireOperator)
	e.GET("/debug/state", a.state, a.requireOperator)
}

func (a *api) ready(c echo.Context) error {
	if err := a.backend.Ready(); err != nil {
		return err
	}
	return c.NoContent(http.StatusNoContent)
}

func (a *api) state(c echo.Context) error { return c.JSONPretty(http.StatusOK, a.opts.Dump(), "  ") }

func (a *api) instances(c echo.Context) error {
	return c.JSON(http.StatusOK, instanceList{Items: a.backend.Instances()})
}

// instanceList is the body of /v1/instances.
type instanceList struct {
	Items []resource.InstanceStatus `json:"items"`
}

func (a *api) members(c echo.Context) error {
	members, err := a.backend.Members(c.Request().Context())
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, members)
}

// handleError answers a request with an error as JSON.
func (a *api) handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	e := a.toError(err)
	if e.RetryAfterMs > 0 {
		c.Response().Header().Set(echo.HeaderRetryAfter, retryAfter(e.RetryAfterMs))
	}
	if e.Code == apijob.CodeUnauthorized {
		c.Response().Header().Set(echo.HeaderWWWAuthenticate, "Bearer")
	}
	status := statusOf(e)
	if err := c.JSON(status, e); err != nil {
		a.opts.Log.V(1).Info("error response not written", "error", err.Error())
	}
}

func (a *api) toError(err error) *apijob.Error {
	var typed *apijob.Error
	if errors.As(err, &typed) {
		return typed
	}
	var he *echo.HTTPError
	if errors.As(err, &he) {
		return fromHTTPError(he)
	}
	a.opts.Log.Error(err, "request failed")
	return &apijob.Error{Code: apijob.CodeInternal, Reason: "internal error"}
}
