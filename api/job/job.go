// Package job holds the JSON types of jobs and errors that callers exchange
// with an entry over HTTP.
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
	// Open: accepted, not ended yet.
	Open State = "open"
	// Complete: every task has a result.
	Complete State = "complete"
	// Failed: the job ended without its whole answer; it has no results.
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
	// TimeoutMs is the time given to the job from its acceptance, in
	// milliseconds; 0 takes the entry's default.
	TimeoutMs uint64 `json:"timeoutMs,omitempty"`
	Tasks     []Task `json:"tasks"`
}

// Task is one task of a submission. At most one of Payload and Data is set.
type Task struct {
	// Payload is base64 in JSON.
	Payload []byte `json:"payload,omitempty"`
	// Data is a JSON value that is handed to the minion as it stands.
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
	// Results has one element per task, in the order of the tasks, when the
	// job is complete.
	Results []Result `json:"results,omitempty"`
	// Failure is set when the job failed.
	Failure *Failure `json:"failure,omitempty"`
}

// Result is the result of one task.
type Result struct {
	// Payload is base64 in JSON.
	Payload []byte `json:"payload"`
}

// Failure tells why a job failed.
type Failure struct {
	// Reason is one of the Reason constants or the agent's reason.
	Reason string `json:"reason"`
	Detail string `json:"detail,omitempty"`
	// NotRun: no task of the job was started and none will be.
	NotRun bool `json:"notRun"`
	// FailedTask is the index of the task that failed the job, when one did.
	FailedTask *uint32 `json:"failedTask,omitempty"`
}

// Reasons of a failed job.
const (
	// ReasonTaskFailed: a task ended without a result.
	ReasonTaskFailed = "task_failed"
	// ReasonAgentLost: an agent ended and the outcome of a task there is unknown.
	ReasonAgentLost = "agent_lost"
	// ReasonCancelled: a caller cancelled the job.
	ReasonCancelled = "cancelled"
	// ReasonDeadline: the job's time ran out.
	ReasonDeadline = "deadline"
	// ReasonAnswerTooLarge: all tasks ran, but their results together are over
	// what the ledger records.
	ReasonAnswerTooLarge = "answer_too_large"
)

// Code is the class of an error.
type Code string

const (
	// CodeInvalid: the request can never succeed as it stands.
	CodeInvalid Code = "invalid"
	// CodeTooLarge: a size limit is exceeded.
	CodeTooLarge Code = "too_large"
	// CodeUnauthorized: the bearer token is missing or wrong.
	CodeUnauthorized Code = "unauthorized"
	// CodeNotFound: no such path, job or resource.
	CodeNotFound Code = "not_found"
	// CodeConflict: the submission ID is in use with another content, or the
	// resource has another version.
	CodeConflict Code = "conflict"
	// CodeExpired: the submission is known, its answer is no longer kept.
	CodeExpired Code = "expired"
	// CodeRefused: admission refused the job; see RetryAfterMs.
	CodeRefused Code = "refused"
	// CodeUnavailable: the entry can't serve the request now; nothing was done.
	CodeUnavailable Code = "unavailable"
	// CodeUnknown: the request may or may not have taken effect. Repeat it with
	// the same submission ID or Request-Id.
	CodeUnknown Code = "unknown_outcome"
	// CodeInternal: a fault of the entry.
	CodeInternal Code = "internal"
)

// Error is the body of every response that is not a success.
type Error struct {
	Code   Code   `json:"code"`
	Reason string `json:"reason"`
	// Field is the path of the first field that is wrong.
	Field string `json:"field,omitempty"`
	// NotRun: no task of the submission was started by this request and none
	// will be.
	NotRun bool `json:"notRun"`
	// RetryAfterMs is when to try again, in milliseconds; 0 is no advice.
	RetryAfterMs int64 `json:"retryAfterMs,omitempty"`
	// Findings lists all that is wrong with the request.
	Findings []Finding `json:"findings,omitempty"`
	// ResourceVersion is the version in force after a conflict.
	ResourceVersion string `json:"resourceVersion,omitempty"`
}

// Finding is one thing wrong with a request.
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

// FormatID returns the ID of a job by its number.
func FormatID(job uint64) string { return idPrefix + strconv.FormatUint(job, 10) }

// ParseID returns the number of a job by its ID. Errors: ErrBadID.
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
