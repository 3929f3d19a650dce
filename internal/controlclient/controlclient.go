// Package controlclient talks to the control role: it finds the leader, sends
// requests again within a budget, and keeps unknown outcomes unknown. A
// Follower keeps a process registered and its copy of the configuration
// current.
package controlclient

import (
	"context"
	"errors"

	wirepb "endivewing/api/endivewing/v1"
)

var (
	// ErrNotRun is returned when nothing of the request was done and nothing
	// will be: it was never sent, or control said so each time.
	ErrNotRun = errors.New("control: not run")
	// ErrUnknownOutcome is returned when a request was sent and the attempts
	// ended without an answer. It may or may not take effect; the same request
	// with the same token finds out.
	ErrUnknownOutcome = errors.New("control: unknown outcome")
	// ErrFenced is returned when the sender's incarnation has ended. It can
	// wrap ErrUnknownOutcome too, when an earlier attempt was not answered.
	ErrFenced = errors.New("control: incarnation has ended")
	// ErrInvalid is returned for a request that can never succeed.
	ErrInvalid = errors.New("control: invalid request")
)

// Control is what the other roles ask of the control role. Each method waits
// for the answer, the end of the retry budget or the end of ctx. Errors:
// ErrNotRun, ErrUnknownOutcome, ErrFenced and ErrInvalid, wrapped.
type Control interface {
	// Register makes a process known. The same token is answered with the
	// same incarnation again.
	Register(ctx context.Context, r *wirepb.RegisterRequest) (*wirepb.RegisterResponse, error)
	// Sync renews a lease and waits for changes of the configuration.
	Sync(ctx context.Context, r *wirepb.SyncRequest) (*wirepb.SyncResponse, error)
	// Accept makes a submission durable. The same owner and token are answered
	// with the same outcome again while the job is open. The record in the
	// answer has no task payloads.
	Accept(ctx context.Context, r *wirepb.AcceptRequest) (*wirepb.AcceptResponse, error)
	// Complete records the ends of jobs; it is idempotent.
	Complete(ctx context.Context, r *wirepb.CompleteRequest) (*wirepb.CompleteResponse, error)
	// GetJob reads a job, quorum-confirmed. The record has no task payloads.
	GetJob(ctx context.Context, r *wirepb.GetJobRequest) (*wirepb.GetJobResponse, error)
	// Apply is a compare-and-set on one resource, idempotent by request ID.
	Apply(ctx context.Context, r *wirepb.ApplyRequest) (*wirepb.ApplyResponse, error)
	// ListOpenJobs reads a page of a group's open jobs, with their payloads.
	ListOpenJobs(ctx context.Context, r *wirepb.ListOpenJobsRequest) (*wirepb.ListOpenJobsResponse, error)
	// Leave ends an incarnation for good; it is idempotent.
	Leave(ctx context.Context, r *wirepb.LeaveRequest) error
	// Membership reads or changes the control members.
	Membership(ctx context.Context, r *wirepb.MembershipRequest) (*wirepb.MembershipResponse, error)
}
