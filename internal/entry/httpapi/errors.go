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

// codeMethodNotAllowed is a code that package job doesn't have, since it stands for an
// error of HTTP alone.
const codeMethodNotAllowed apijob.Code = "method_not_allowed"

var statusByCode = map[apijob.Code]int{
	apijob.CodeInvalid:      http.StatusBadRequest,
	apijob.CodeTooLarge:     http.StatusRequestEntityTooLarge,
	apijob.CodeUnauthorized: http.StatusUnauthorized,
	apijob.CodeNotFound:     http.StatusNotFound,
	codeMethodNotAllowed:    http.StatusMethodNotAllowed,
	apijob.CodeConflict:     http.StatusConflict,
	apijob.CodeExpired:      http.StatusGone,
	apijob.CodeRefused:      http.StatusTooManyRequests,
	apijob.CodeUnavailable:  http.StatusServiceUnavailable,
	apijob.CodeUnknown:      http.StatusServiceUnavailable,
	apijob.CodeInternal:     http.StatusInternalServerError,
}

func statusOf(e *apijob.Error) int {
	if status, ok := statusByCode[e.Code]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// fromHTTPError converts an error of the router.
func fromHTTPError(he *echo.HTTPError) *apijob.Error {
	reason := fmt.Sprint(he.Message)
	switch he.Code {
	case http.StatusNotFound:
		return &apijob.Error{Code: apijob.CodeNotFound, Reason: "no such path", NotRun: true}
	case http.StatusMethodNotAllowed:
		return &apijob.Error{Code: codeMethodNotAllowed, Reason: reason, NotRun: true}
	}
	if he.Code < http.StatusInternalServerError {
		return &apijob.Error{Code: apijob.CodeInvalid, Reason: reason, NotRun: true}
	}
	return &apijob.Error{Code: apijob.CodeInternal, Reason: "internal error"}
}

// retryAfter converts milliseconds to the whole seconds of the header Retry-After,
// rounded up.
func retryAfter(ms int64) string { return strconv.FormatInt((ms+999)/1000, 10) }

// invalid returns the error of a request that can never succeed. Nothing of it was
// done.
func invalid(field, reason string) error {
	return &apijob.Error{
		Code: apijob.CodeInvalid, Reason: reason, Field: field, NotRun: true,
		Findings: []apijob.Finding{{Field: field, Reason: reason}},
	}
}

// invalidAll returns the error of an invalid request with all its findings.
func invalidAll(findings []apijob.Finding) error {
	return &apijob.Error{
		Code: apijob.CodeInvalid, Reason: findings[0].Reason, Field: findings[0].Field,
		NotRun: true, Findings: findings,
	}
}

func tooLarge(limit int64) error {
	return &apijob.Error{Code: apijob.CodeTooLarge, Reason: fmt.Sprintf("the body is over %d bytes", limit), NotRun: true}
}

// limitBody refuses a body over the limit, whether or not Content-Length announces
// its size.
func (a *api) limitBody(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		r := c.Request()
		if r.ContentLength > a.opts.MaxBodyBytes {
			return tooLarge(a.opts.MaxBodyBytes)
		}
		r.Body = http.MaxBytesReader(c.Response(), r.Body, a.opts.MaxBodyBytes)
		return next(c)
	}
}

// writeTimeout is the time limit for writing a response. It starts when the response
// begins, since a caller may wait a long time for it.
const writeTimeout = time.Minute

func limitWrite(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		c.Response().Before(func() {
			// Only writers of tests don't support deadlines, and they have no slow
			// readers.
			_ = http.NewResponseController(c.Response()).SetWriteDeadline(time.Now().Add(writeTimeout))
		})
		return next(c)
	}
}

// recoverPanic turns a panic of a handler into an internal error.
func (a *api) recoverPanic(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) (err error) {
		defer func() {
			if r := recover(); r != nil {
				err = fmt.Errorf("panic: %v", r)
			}
		}()
		return next(c)
	}
}

// requireOperator refuses requests without the operators' bearer token, when one is
// set.
func (a *api) requireOperator(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if a.opts.OperatorToken == nil {
			return next(c)
		}
		want := a.opts.OperatorToken()
		got, _ := strings.CutPrefix(c.Request().Header.Get(echo.HeaderAuthorization), "Bearer ")
		// The token is empty when it can't be read. No request may match it then.
		if want == "" || subtle.ConstantTimeCompare([]byte(want), []byte(got)) != 1 {
			return &apijob.Error{Code: apijob.CodeUnauthorized, Reason: "a bearer token is needed", NotRun: true}
		}
		return next(c)
	}
}
