package httpapi

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/labstack/echo/v4"

	apijob "endivewing/api/job"
)

const (
	// idempotencyHeader is the header that can carry the submission ID.
	idempotencyHeader = "Idempotency-Key"
	// defaultCancelWait is how long a cancel waits for the job's end by default.
	defaultCancelWait = 5 * time.Second
	// maxWait is the longest wait that a request may ask for.
	maxWait = time.Hour
)

func (a *api) postJob(c echo.Context) error {
	wait, err := parseWait(c, maxWait)
	if err != nil {
		return err
	}
	s := &apijob.Submission{}
	if err := a.decode(c, s); err != nil {
		return err
	}
	if err := setSubmissionID(s, c.Request().Header.Get(idempotencyHeader)); err != nil {
		return err
	}
	if findings := s.Check(a.opts.JobLimits); len(findings) > 0 {
		return invalidAll(findings)
	}
	j, err := a.backend.Submit(c.Request().Context(), s, wait)
	return a.writeJob(c, j, err)
}

// setSubmissionID takes the submission ID from the header when the body has none. It
// fails when the two differ.
func setSubmissionID(s *apijob.Submission, header string) error {
	switch {
	case header == "":
	case s.SubmissionID == "":
		s.SubmissionID = header
	case s.SubmissionID != header:
		return invalid("submissionId", "differs from the header "+idempotencyHeader)
	}
	return nil
}

func (a *api) getJob(c echo.Context) error {
	id, err := apijob.ParseID(c.Param("id"))
	if err != nil {
		return invalid("id", "is not a job ID")
	}
	wait, err := parseWait(c, 0)
	if err != nil {
		return err
	}
	j, err := a.backend.Job(c.Request().Context(), id, wait)
	return a.writeJob(c, j, err)
}

func (a *api) getSubmission(c echo.Context) error {
	team, submission := c.Param("team"), c.Param("submission")
	wait, err := parseWait(c, 0)
	if err != nil {
		return err
	}
	j, err := a.backend.JobBySubmission(c.Request().Context(), team, submission, wait)
	return a.writeJob(c, j, err)
}

func (a *api) deleteJob(c echo.Context) error {
	id, err := apijob.ParseID(c.Param("id"))
	if err != nil {
		return invalid("id", "is not a job ID")
	}
	wait, err := parseWait(c, defaultCancelWait)
	if err != nil {
		return err
	}
	forwarded := c.Request().Header.Get(ForwardedHeader) != ""
	j, err := a.backend.Cancel(c.Request().Context(), id, wait, forwarded)
	return a.writeJob(c, j, err)
}

// writeJob writes a job with status 200 when it has ended and 202 while it is open. It
// returns err when that is set.
func (a *api) writeJob(c echo.Context, j *apijob.Job, err error) error {
	if err != nil {
		return err
	}
	status := http.StatusOK
	if j.State == apijob.Open {
		status = http.StatusAccepted
	}
	c.Response().Header().Set(echo.HeaderLocation, "/v1/jobs/"+j.ID)
	return c.JSON(status, j)
}

// parseWait returns the query parameter wait, such as 30s.
func parseWait(c echo.Context, defaultWait time.Duration) (time.Duration, error) {
	text := c.QueryParam("wait")
	if text == "" {
		return defaultWait, nil
	}
	wait, err := time.ParseDuration(text)
	if err != nil || wait < 0 || wait > maxWait {
		return 0, invalid("wait", "is not a duration between 0s and "+maxWait.String())
	}
	return wait, nil
}

// decode reads a JSON body. The body must be UTF-8 and have one value without unknown
// fields.
func (a *api) decode(c echo.Context, target any) error {
	body, err := io.ReadAll(c.Request().Body)
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return tooLarge(a.opts.MaxBodyBytes)
	case err != nil:
		return invalid("", "the body can't be read")
	case !utf8.Valid(body):
		return invalid("", "the body is not UTF-8")
	}
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(target); err != nil {
		return jsonError(err)
	}
	if _, err := d.Token(); err != io.EOF {
		return invalid("", "the body has more than one value")
	}
	return nil
}

// jsonError returns the error of an invalid JSON body. It names the field when a value
// has the wrong type.
func jsonError(err error) error {
	var typ *json.UnmarshalTypeError
	if errors.As(err, &typ) {
		return invalid(typ.Field, "can't be "+typ.Value)
	}
	return invalid("", "the body is not valid JSON: "+strings.TrimPrefix(err.Error(), "json: "))
}
