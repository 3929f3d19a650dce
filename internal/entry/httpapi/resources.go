package httpapi

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"

	apijob "endivewing/api/job"
	"endivewing/api/resource"
)

const (
	// requestIDHeader is the header with the ID that makes a change idempotent.
	requestIDHeader = "Request-Id"
	// maxRequestIDBytes is the maximum length of a request ID.
	maxRequestIDBytes = 128
	// defaultWatchWait is how long a watch waits by default.
	defaultWatchWait = 30 * time.Second
	// anyVersion is the value of If-Match for a change at any version.
	anyVersion = "*"
)

func (a *api) listResources(kind resource.Kind) echo.HandlerFunc {
	return func(c echo.Context) error {
		after, err := parseWatch(c)
		if err != nil {
			return err
		}
		wait, err := parseWait(c, defaultWatchWait)
		if err != nil {
			return err
		}
		ctx, stop := context.WithTimeout(c.Request().Context(), wait)
		defer stop()
		return c.JSON(http.StatusOK, a.backend.List(ctx, kind, after))
	}
}

// parseWatch returns the query parameter watch, the resourceVersion after which a
// change is awaited. It returns nil when the parameter is missing.
func parseWatch(c echo.Context) (*uint64, error) {
	if !c.QueryParams().Has("watch") {
		return nil, nil
	}
	revision, ok := resource.ParseVersion(c.QueryParam("watch"))
	if !ok {
		return nil, invalid("watch", "is not a resourceVersion")
	}
	return &revision, nil
}

func (a *api) getResource(kind resource.Kind) echo.HandlerFunc {
	return func(c echo.Context) error {
		o := a.backend.Get(kind, c.Param("name"))
		if o == nil {
			return &apijob.Error{Code: apijob.CodeNotFound, Reason: "no such " + string(kind)}
		}
		return c.JSON(http.StatusOK, o)
	}
}

func (a *api) putResource(kind resource.Kind) echo.HandlerFunc {
	return func(c echo.Context) error {
		o := &resource.Object{}
		if err := a.decode(c, o); err != nil {
			return err
		}
		if err := checkObject(o, kind, c.Param("name")); err != nil {
			return err
		}
		change, err := parseChange(c, kind, o.Metadata.ResourceVersion)
		if err != nil {
			return err
		}
		change.Spec = o.Spec
		return a.apply(c, change)
	}
}

// checkObject checks a resource and compares its kind and name with the path. It sets
// those that the body leaves out.
func checkObject(o *resource.Object, kind resource.Kind, name string) error {
	if o.Kind == "" {
		o.Kind = kind
	}
	if o.Metadata.Name == "" {
		o.Metadata.Name = name
	}
	var findings []apijob.Finding
	if o.Kind != kind {
		findings = append(findings, apijob.Finding{Field: "kind", Reason: "differs from the path"})
	}
	if o.Metadata.Name != name {
		findings = append(findings, apijob.Finding{Field: "metadata.name", Reason: "differs from the path"})
	}
	for _, f := range o.Check() {
		findings = append(findings, apijob.Finding{Field: f.Field, Reason: f.Reason})
	}
	if len(findings) > 0 {
		return invalidAll(findings)
	}
	return nil
}

func (a *api) deleteResource(kind resource.Kind) echo.HandlerFunc {
	return func(c echo.Context) error {
		change, err := parseChange(c, kind, c.QueryParam("resourceVersion"))
		if err != nil {
			return err
		}
		if change.ExpectedRevision == 0 && !change.AnyVersion {
			return invalid("resourceVersion", "is missing; send it or If-Match: *")
		}
		change.Delete = true
		return a.apply(c, change)
	}
}

func parseChange(c echo.Context, kind resource.Kind, version string) (Change, error) {
	header := c.Request().Header
	change := Change{
		Kind: kind, Name: c.Param("name"),
		AnyVersion: header.Get("If-Match") == anyVersion,
		RequestID:  header.Get(requestIDHeader),
	}
	if reason := resource.CheckName(change.Name); reason != "" {
		return change, invalid("metadata.name", reason)
	}
	expected, ok := resource.ParseVersion(version)
	if !ok {
		return change, invalid("metadata.resourceVersion", "is not a version")
	}
	change.ExpectedRevision = expected
	if len(change.RequestID) > maxRequestIDBytes {
		return change, invalid(requestIDHeader, "is too long")
	}
	if change.RequestID == "" {
		change.RequestID = uuid.NewString()
	}
	return change, nil
}

func (a *api) apply(c echo.Context, change Change) error {
	o, err := a.backend.Apply(c.Request().Context(), change)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, o)
}
