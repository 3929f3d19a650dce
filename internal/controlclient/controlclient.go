// Package controlclient is the client of the control role. It finds the leader,
// retries requests within a time budget, and reports an unknown outcome as
// such. A Follower keeps a process registered and its copy of the configuration
// current.
package controlclient

import (
	"context"
	"errors"

	wirepb "endivewing/api/endivewing/v1"
)

var (
	// ErrNotRun is returned when the request had no effect and will have none:
	// each attempt was either not sent or answered with a fault that rules out
	// an effect.
	ErrNotRun = errors.New("control: not run")
	// ErrUnknownOutcome is returned when a request was sent and all attempts
	// ended without a reply that settles it. It may or may not take effect.
	// Sending the same request with the same token again shows the outcome.
	ErrUnknownOutcome = errors.New("control: unknown outcome")
	// ErrFenced is returned when the sender's incarnation has ended. The error
	// also wraps ErrUnknownOutcome if the outcome of an earlier attempt is
	// unknown.
	ErrFenced = errors.New("control: incarnation has ended")
	// ErrInvalid is returned for a request that can never succeed.
	ErrInvalid = errors.New("control: invalid request")
)

// Control is the set of requests that other roles send to the control role.
// Each method returns when the reply has arrived, the retry budget is used up
// or ctx ends. Errors: ErrNotRun, ErrUnknownOutcome, ErrFenced and ErrInvalid,
// wrapped.
type Control interface {
	// Register registers a process and returns its incarnation. A request with
	// the same token returns the same incarnation.
	Register(ctx context.Context, r *wirepb.RegisterRequest) (*wirepb.RegisterResponse, error)
	// Sync renews a lease and waits for changes of the configuration.
	Sync(ctx context.Context, r *wirepb.SyncRequest) (*wirepb.SyncResponse, error)
	// Accept makes a submission durable. A request with the same owner and
	// token returns the same outcome while the job is open. The record in the
	// response has no task payloads.
	Accept(ctx context.Context, r *wirepb.AcceptRequest) (*wirepb.AcceptResponse, error)
	// Complete records the ends of jobs. It is idempotent.
	Complete(ctx context.Context, r *wirepb.CompleteRequest) (*wirepb.CompleteResponse, error)
	// GetJob reads a job, confirmed by a quorum. The record has no task
	// payloads.
	GetJob(ctx context.Context, r *wirepb.GetJobRequest) (*wirepb.GetJobResponse, error)
	// Apply is a compare-and-set on one resource. It is idempotent by request
	// ID.
	Apply(ctx context.Context, r *wirepb.ApplyRequest) (*wirepb.ApplyResponse, error)
	// ListOpenJobs reads a page of a group's open jobs with their payloads.
	ListOpenJobs(ctx context.Context, r *wirepb.ListOpenJobsRequest) (*wirepb.ListOpenJobsResponse, error)
	// Leave ends an incarnation permanently. It is idempotent.
	Leave(ctx context.Context, r *wirepb.LeaveRequest) error
	// Membership reads or changes the control members.
	Membership(ctx context.Context, r *wirepb.MembershipRequest) (*wirepb.MembershipResponse, error)
}
