package httpapi

import (
	"crypto/subtle"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	apijob "endivewing/api/job"
)

// Codes of errors that only HTTP itself has.
const codeMethod apijob.Code = "method_not_allowed"

var statuses = map[apijob.Code]int{
	apijob.CodeInvalid:      http.StatusBadRequest,
	apijob.CodeTooLarge:     http.StatusRequestEntityTooLarge,
	apijob.CodeUnauthorized: http.StatusUnauthorized,
	apijob.CodeNotFound:     http.StatusNotFound,
	codeMethod:              http.StatusMethodNotAllowed,
	apijob.CodeConflict:     http.StatusConflict,
	apijob.CodeExpired:      http.StatusGone,
	apijob.CodeRefused:      http.StatusTooManyRequests,
	apijob.CodeUnavailable:  http.StatusServiceUnavailable,
	apijob.CodeUnknown:      http.StatusServiceUnavailable,
	apijob.CodeInternal:     http.StatusInternalServerError,
}

func statusOf(e *apijob.Error) int {
	if status, ok := statuses[e.Code]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// ofHTTPError types an error of the router.
func ofHTTPError(he *echo.HTTPError) *apijob.Error {
	reason := fmt.Sprint(he.Message)
	switch he.Code {
	case http.StatusNotFound:
		return &apijob.Error{Code: apijob.CodeNotFound, Reason: "no such path", NotRun: true}
	case http.StatusMethodNotAllowed:
		return &apijob.Error{Code: codeMethod, Reason: reason, NotRun: true}
	}
	if he.Code < http.StatusInternalServerError {
		return &apijob.Error{Code: apijob.CodeInvalid, Reason: reason, NotRun: true}
	}
	return &apijob.Error{Code: apijob.CodeInternal, Reason: "internal error"}
}

// retryAfter rounds up to the whole seconds of the HTTP header.
func retryAfter(ms int64) string { return strconv.FormatInt((ms+999)/1000, 10) }

// invalid is a request that can never succeed; nothing of it was done.
func invalid(field, reason string) error {
	return &apijob.Error{
		Code: apijob.CodeInvalid, Reason: reason, Field: field, NotRun: true,
		Findings: []apijob.Finding{{Field: field, Reason: reason}},
	}
}

// invalidAll reports all findings together.
func invalidAll(findings []apijob.Finding) error {
	return &apijob.Error{
		Code: apijob.CodeInvalid, Reason: findings[0].Reason, Field: findings[0].Field,
		NotRun: true, Findings: findings,
	}
}

func tooLarge(limit int64) error {
	return &apijob.Error{Code: apijob.CodeTooLarge, Reason: fmt.Sprintf("the body is over %d bytes", limit), NotRun: true}
}

// limitBody refuses bodies over the limit, announced or not.
func (a *api) limitBody(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		r := c.Request()
		if r.ContentLength > a.opts.BodyBytes {
			return tooLarge(a.opts.BodyBytes)
		}
		r.Body = http.MaxBytesReader(c.Response(), r.Body, a.opts.BodyBytes)
		return next(c)
	}
}

// writeTime bounds how long an answer may take to be written. A caller may
// wait long for an answer, but must then read it.
const writeTime = time.Minute

func limitWrite(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		c.Response().Before(func() {
			// A writer without deadlines, as in tests, has no slow reader.
			_ = http.NewResponseController(c.Response()).SetWriteDeadline(time.Now().Add(writeTime))
		})
		return next(c)
	}
}

// recovered turns a panic of a handler into an internal error.
func (a *api) recovered(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) (err error) {
		defer func() {
			if r := recover(); r != nil {
				err = fmt.Errorf("panic: %v", r)
			}
		}()
		return next(c)
	}
}

// operator asks for the bearer token when one is set.
func (a *api) operator(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if a.opts.OperatorToken == nil {
			return next(c)
		}
		want := a.opts.OperatorToken()
		got, _ := strings.CutPrefix(c.Request().Header.Get(echo.HeaderAuthorization), "Bearer ")
		// No token to be read is no token that fits.
		if want == "" || subtle.ConstantTimeCompare([]byte(want), []byte(got)) != 1 {
			return &apijob.Error{Code: apijob.CodeUnauthorized, Reason: "a bearer token is needed", NotRun: true}
		}
		return next(c)
	}
}
