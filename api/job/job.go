// Package job holds the JSON types of jobs and errors in the HTTP API of an entry.
package job

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// State is the state of a job as callers see it.
type State string

const (
	// Open means that the job is accepted and has not ended yet.
	Open State = "open"
	// Complete means that every task has a result.
	Complete State = "complete"
	// Failed means that the job ended without a result for every task. It has no
	// results then.
	Failed State = "failed"
)

// Submission is the body of POST /v1/jobs.
type Submission struct {
	// SubmissionID makes the submission idempotent within its team. The header
	// Idempotency-Key can carry it instead.
	SubmissionID string `json:"submissionId,omitempty"`
	Team         string `json:"team"`
	Service      string `json:"service"`
	Unrepeatable bool   `json:"unrepeatable,omitempty"`
	// TimeoutMs is the time limit of the job from its acceptance, in milliseconds;
	// 0 means the default of the entry.
	TimeoutMs uint64 `json:"timeoutMs,omitempty"`
	Tasks     []Task `json:"tasks"`
}

// Task is one task of a submission. At most one of Payload and Data is set.
type Task struct {
	// Payload is base64 in JSON.
	Payload []byte `json:"payload,omitempty"`
	// Data is a JSON value that is passed to the minion unchanged.
	Data json.RawMessage `json:"data,omitempty"`
	// DeclaredMs is the expected run time in milliseconds.
	DeclaredMs uint32 `json:"declaredMs,omitempty"`
}

// Job is a job as callers see it.
type Job struct {
	ID           string     `json:"id"`
	SubmissionID string     `json:"submissionId"`
	Team         string     `json:"team"`
	Service      string     `json:"service"`
	Unrepeatable bool       `json:"unrepeatable,omitempty"`
	State        State      `json:"state"`
	Tasks        int        `json:"tasks"`
	AcceptedAt   *time.Time `json:"acceptedAt,omitempty"`
	EndedAt      *time.Time `json:"endedAt,omitempty"`
	// Results has one element per task, in the order of the tasks. It is set when
	// the job is complete.
	Results []Result `json:"results,omitempty"`
	// Failure is set when the job failed.
	Failure *Failure `json:"failure,omitempty"`
}

// Result is the result of one task.
type Result struct {
	// Payload is base64 in JSON.
	Payload []byte `json:"payload"`
}

// Failure describes why a job failed.
type Failure struct {
	// Reason is one of the Reason constants or the reason that the agent reported.
	Reason string `json:"reason"`
	Detail string `json:"detail,omitempty"`
	// NotRun is set when no task of the job was started and none will be.
	NotRun bool `json:"notRun"`
	// FailedTask is the index of the task that failed the job, when one did.
	FailedTask *uint32 `json:"failedTask,omitempty"`
}

// Reasons of a failed job.
const (
	// ReasonTaskFailed means that a task ended without a result.
	ReasonTaskFailed = "task_failed"
	// ReasonAgentLost means that an agent ended and the outcome of a task at it is
	// unknown.
	ReasonAgentLost = "agent_lost"
	// ReasonCancelled means that a caller cancelled the job.
	ReasonCancelled = "cancelled"
	// ReasonDeadline means that the time limit of the job passed.
	ReasonDeadline = "deadline"
	// ReasonAnswerTooLarge means that all tasks ran, but their results together
	// exceed the size that the ledger can record.
	ReasonAnswerTooLarge = "answer_too_large"
)

// Code is the class of an error.
type Code string

const (
	// CodeInvalid means that the request can never succeed unchanged.
	CodeInvalid Code = "invalid"
	// CodeTooLarge means that the request exceeds a size limit.
	CodeTooLarge Code = "too_large"
	// CodeUnauthorized means that the bearer token is missing or wrong.
	CodeUnauthorized Code = "unauthorized"
	// CodeNotFound means that there is no such path, job or resource.
	CodeNotFound Code = "not_found"
	// CodeConflict means that the submission ID is in use with another content, or
	// that the resource has another version.
	CodeConflict Code = "conflict"
	// CodeExpired means that the submission is known, but its answer is no longer
	// kept.
	CodeExpired Code = "expired"
	// CodeRefused means that admission control refused the job. RetryAfterMs says
	// when to try again.
	CodeRefused Code = "refused"
	// CodeUnavailable means that the entry can't serve the request now. Nothing was
	// done.
	CodeUnavailable Code = "unavailable"
	// CodeUnknown means that the request may or may not have taken effect. It can be
	// retried with the same submission ID or Request-Id.
	CodeUnknown Code = "unknown_outcome"
	// CodeInternal means that the entry has an internal error.
	CodeInternal Code = "internal"
)

// Error is the body of every error response.
type Error struct {
	Code   Code   `json:"code"`
	Reason string `json:"reason"`
	// Field is the path of the first invalid field.
	Field string `json:"field,omitempty"`
	// NotRun is set when this request started no task of the submission and will
	// start none.
	NotRun bool `json:"notRun"`
	// RetryAfterMs is the time after which to try again, in milliseconds; 0 means
	// that no time is advised.
	RetryAfterMs int64 `json:"retryAfterMs,omitempty"`
	// Findings lists the problems of the request.
	Findings []Finding `json:"findings,omitempty"`
	// ResourceVersion is the current version of the resource. It is set after a
	// conflict.
	ResourceVersion string `json:"resourceVersion,omitempty"`
}

// Finding is one problem of a request.
type Finding struct {
	Field  string `json:"field"`
	Reason string `json:"reason"`
}

// Error implements error.
func (e *Error) Error() string {
	if e.Field == "" {
		return string(e.Code) + ": " + e.Reason
	}
	return string(e.Code) + ": " + e.Field + ": " + e.Reason
}

// ErrBadID is returned for a string that is not a job ID.
var ErrBadID = eris.New("job: not a job ID")

const idPrefix = "j"

// FormatID returns the ID of the job with the given number.
func FormatID(job uint64) string { return idPrefix + strconv.FormatUint(job, 10) }

// ParseID returns the number of the job with the given ID. Errors: ErrBadID.
func ParseID(id string) (uint64, error) {
	digits, ok := strings.CutPrefix(id, idPrefix)
	if !ok {
		return 0, ErrBadID
	}
	n, err := strconv.ParseUint(digits, 10, 64)
	if err != nil || n == 0 || FormatID(n) != id {
		return 0, ErrBadID
	}
	return n, nil
}
