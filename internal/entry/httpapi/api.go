// Package httpapi is the HTTP/JSON interface of an entry for callers and
// operators. It decodes, checks and answers; a Backend does the work.
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

// ForwardedHeader marks a request that another entry passed on.
const ForwardedHeader = "Endivewing-Forwarded-By"

// Backend is what the interface needs of an entry. Errors are *job.Error, or
// count as internal.
type Backend interface {
	// Submit accepts a submission and waits for its answer.
	Submit(ctx context.Context, s *apijob.Submission, wait time.Duration) (*apijob.Job, error)
	// Job returns a job, waiting for its end.
	Job(ctx context.Context, id uint64, wait time.Duration) (*apijob.Job, error)
	JobBySubmission(ctx context.Context, team, submission string, wait time.Duration) (*apijob.Job, error)
	// Cancel cancels a job and waits for its end. forwarded tells that another
	// entry passed the request on.
	Cancel(ctx context.Context, id uint64, wait time.Duration, forwarded bool) (*apijob.Job, error)
	// List returns a kind's resources; with after, once the kind has changed
	// after that revision or ctx ends.
	List(ctx context.Context, kind resource.Kind, after *uint64) *resource.List
	// Get returns nil when there is no such resource.
	Get(kind resource.Kind, name string) *resource.Object
	Apply(ctx context.Context, c Change) (*resource.Object, error)
	Instances() []resource.InstanceStatus
	Members(ctx context.Context) (*resource.Members, error)
	// Viewed tells why no resources can be read; nil once the entry has a
	// confirmed view of them.
	Viewed() error
	// Ready tells why no jobs are taken now; nil when they are.
	Ready() error
}

// Change is a compare-and-set on one resource.
type Change struct {
	Kind   resource.Kind
	Name   string
	Spec   []byte
	Delete bool
	// Expected is the revision of the last change; 0 is no such resource.
	Expected uint64
	// AnyVersion makes the change whatever the revision is.
	AnyVersion bool
	// RequestID makes a repeated request the same change.
	RequestID string
}

// Options are the settings of the interface.
type Options struct {
	Job       apijob.Limits
	BodyBytes int64
	// OperatorToken returns the bearer token for operators' paths; nil asks for
	// none, and an empty token fits nobody.
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
	e.HTTPErrorHandler = a.fail
	e.Use(a.recovered, a.limitBody, limitWrite)
	a.callerRoutes(e)
	a.operatorRoutes(e)
	e.GET("/healthz", func(c echo.Context) error { return c.NoContent(http.StatusNoContent) })
	e.GET("/readyz", a.ready)
	if opts.Metrics != nil {
		e.GET("/metrics", echo.WrapHandler(opts.Metrics), a.operator)
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
		e.GET(path, a.listResources(kind), a.operator, a.viewed)
		e.GET(path+"/:name", a.getResource(kind), a.operator, a.viewed)
		e.PUT(path+"/:name", a.putResource(kind), a.operator)
		e.DELETE(path+"/:name", a.deleteResource(kind), a.operator)
	}
	e.GET("/v1/instances", a.instances, a.operator, a.viewed)
	e.GET("/v1/members", a.members, a.operator)
	e.GET("/debug/state", a.state, a.operator)
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

// fail answers a request with the typed form of an error.
func (a *api) fail(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	e := a.typed(err)
	if e.RetryAfterMs > 0 {
		c.Response().Header().Set(echo.HeaderRetryAfter, retryAfter(e.RetryAfterMs))
	}
	if e.Code == apijob.CodeUnauthorized {
		c.Response().Header().Set(echo.HeaderWWWAuthenticate, "Bearer")
	}
	status := statusOf(e)
	if err := c.JSON(status, e); err != nil {
		a.opts.Log.V(1).Info("answer not written", "error", err.Error())
	}
}

func (a *api) typed(err error) *apijob.Error {
	var typed *apijob.Error
	if errors.As(err, &typed) {
		return typed
	}
	var he *echo.HTTPError
	if errors.As(err, &he) {
		return ofHTTPError(he)
	}
	a.opts.Log.Error(err, "request failed")
	return &apijob.Error{Code: apijob.CodeInternal, Reason: "internal error"}
}
