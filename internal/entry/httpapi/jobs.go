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
	// idempotencyHeader can carry the submission ID.
	idempotencyHeader = "Idempotency-Key"
	// cancelWait is how long a cancel waits for the job's end by default.
	cancelWait = 5 * time.Second
	// maxWait bounds a wait.
	maxWait = time.Hour
)

func (a *api) postJob(c echo.Context) error {
	wait, err := waitOf(c, maxWait)
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
	if findings := s.Check(a.opts.Job); len(findings) > 0 {
		return invalidAll(findings)
	}
	j, err := a.backend.Submit(c.Request().Context(), s, wait)
	return a.answer(c, j, err)
}

// setSubmissionID joins the ID of the body with that of the header.
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
	wait, err := waitOf(c, 0)
	if err != nil {
		return err
	}
	j, err := a.backend.Job(c.Request().Context(), id, wait)
	return a.answer(c, j, err)
}

func (a *api) getSubmission(c echo.Context) error {
	team, submission := c.Param("team"), c.Param("submission")
	wait, err := waitOf(c, 0)
	if err != nil {
		return err
	}
	j, err := a.backend.JobBySubmission(c.Request().Context(), team, submission, wait)
	return a.answer(c, j, err)
}

func (a *api) deleteJob(c echo.Context) error {
	id, err := apijob.ParseID(c.Param("id"))
	if err != nil {
		return invalid("id", "is not a job ID")
	}
	wait, err := waitOf(c, cancelWait)
	if err != nil {
		return err
	}
	forwarded := c.Request().Header.Get(ForwardedHeader) != ""
	j, err := a.backend.Cancel(c.Request().Context(), id, wait, forwarded)
	return a.answer(c, j, err)
}

// answer writes a job: 200 when it has ended, else 202.
func (a *api) answer(c echo.Context, j *apijob.Job, err error) error {
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

// waitOf reads the parameter wait, such as 30s.
func waitOf(c echo.Context, byDefault time.Duration) (time.Duration, error) {
	text := c.QueryParam("wait")
	if text == "" {
		return byDefault, nil
	}
	wait, err := time.ParseDuration(text)
	if err != nil || wait < 0 || wait > maxWait {
		return 0, invalid("wait", "is not a duration between 0s and "+maxWait.String())
	}
	return wait, nil
}

// decode reads a JSON body strictly: one value, no unknown fields, UTF-8.
func (a *api) decode(c echo.Context, into any) error {
	body, err := io.ReadAll(c.Request().Body)
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return tooLarge(a.opts.BodyBytes)
	case err != nil:
		return invalid("", "the body can't be read")
	case !utf8.Valid(body):
		return invalid("", "the body is not UTF-8")
	}
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return badJSON(err)
	}
	if _, err := d.Token(); err != io.EOF {
		return invalid("", "the body has more than one value")
	}
	return nil
}

// badJSON names the field that does not fit, if there is one.
func badJSON(err error) error {
	var typ *json.UnmarshalTypeError
	if errors.As(err, &typ) {
		return invalid(typ.Field, "can't be "+typ.Value)
	}
	return invalid("", "the body is not valid JSON: "+strings.TrimPrefix(err.Error(), "json: "))
}
