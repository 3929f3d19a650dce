package controlfake

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/controlclient"
)

// Register implements controlclient.Control.
func (f *Fake) Register(ctx context.Context, r *wirepb.RegisterRequest) (*wirepb.RegisterResponse, error) {
	result, err := f.runCommand(ctx, "Register", &wirepb.Command{Body: &wirepb.Command_Register{Register: r}})
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return &wirepb.RegisterResponse{
		Incarnation: result.Register.Incarnation,
		LeaseMs:     uint32(f.lease.Milliseconds()),
	}, nil
}

// Sync implements controlclient.Control.
func (f *Fake) Sync(ctx context.Context, r *wirepb.SyncRequest) (*wirepb.SyncResponse, error) {
	if err := f.injectedError(ctx, "Sync"); err != nil {
		return nil, err
	}
	if r.Draining {
		f.mu.Lock()
		f.applyCommand(&wirepb.Command{Body: &wirepb.Command_SetDraining{
			SetDraining: &wirepb.SetDraining{Incarnation: r.Incarnation},
		}})
		f.mu.Unlock()
	}
	f.waitUntil(ctx, time.Duration(r.HoldMs)*time.Millisecond, func() bool {
		i := f.ledger.Instance(r.Incarnation)
		return i == nil || i.Ended || f.ledger.HasChanges(r.Applied, isAgent(i))
	})
	if err := ctx.Err(); err != nil {
		return nil, eris.Wrap(controlclient.ErrNotRun, err.Error())
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	i := f.ledger.Instance(r.Incarnation)
	if i == nil || i.Ended {
		return nil, eris.Wrap(controlclient.ErrFenced, "incarnation has ended")
	}
	resources, full := f.ledger.Changes(r.Applied, isAgent(i))
	return &wirepb.SyncResponse{
		Revision:  f.ledger.Revision(),
		Full:      full,
		Resources: resources,
		InForce:   r.Applied,
		LeaseMs:   uint32(f.lease.Milliseconds()),
	}, nil
}

func isAgent(i *wirepb.Instance) bool { return i.Kind == wirepb.InstanceKind_INSTANCE_KIND_AGENT }

// Accept implements controlclient.Control.
func (f *Fake) Accept(ctx context.Context, r *wirepb.AcceptRequest) (*wirepb.AcceptResponse, error) {
	result, err := f.runCommand(ctx, "Accept", &wirepb.Command{Body: &wirepb.Command_Accept{Accept: r}})
	return result.Accept, err
}

// Complete implements controlclient.Control.
func (f *Fake) Complete(ctx context.Context, r *wirepb.CompleteRequest) (*wirepb.CompleteResponse, error) {
	result, err := f.runCommand(ctx, "Complete", &wirepb.Command{Body: &wirepb.Command_Complete{Complete: r}})
	return result.Complete, err
}

// GetJob implements controlclient.Control.
func (f *Fake) GetJob(ctx context.Context, r *wirepb.GetJobRequest) (*wirepb.GetJobResponse, error) {
	if err := f.injectedError(ctx, "GetJob"); err != nil {
		return nil, err
	}
	find := func() *wirepb.JobRecord {
		if r.Job != 0 {
			return f.ledger.Job(r.Job)
		}
		return f.ledger.JobBySubmission(r.Team, r.Submission)
	}
	f.waitUntil(ctx, time.Duration(r.WaitMs)*time.Millisecond, func() bool {
		return find().GetState() != wirepb.JobState_JOB_STATE_OPEN
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	j := find()
	return &wirepb.GetJobResponse{Found: j != nil, Job: j, Group: f.ledger.Group(j.GetGroup())}, nil
}

// Apply implements controlclient.Control.
func (f *Fake) Apply(ctx context.Context, r *wirepb.ApplyRequest) (*wirepb.ApplyResponse, error) {
	result, err := f.runCommand(ctx, "Apply", &wirepb.Command{Body: &wirepb.Command_Apply{Apply: r}})
	return result.Apply, err
}

// ListOpenJobs implements controlclient.Control.
func (f *Fake) ListOpenJobs(ctx context.Context, r *wirepb.ListOpenJobsRequest) (*wirepb.ListOpenJobsResponse, error) {
	if err := f.injectedError(ctx, "ListOpenJobs"); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	jobs, more := f.ledger.OpenJobs(r.Group, r.AfterJob, int(r.Limit))
	return &wirepb.ListOpenJobsResponse{Jobs: jobs, More: more}, nil
}

// Leave implements controlclient.Control.
func (f *Fake) Leave(ctx context.Context, r *wirepb.LeaveRequest) error {
	_, err := f.runCommand(ctx, "Leave", &wirepb.Command{Body: &wirepb.Command_EndInstances{
		EndInstances: &wirepb.EndInstances{Incarnations: []uint64{r.Incarnation}, Clean: r.Clean},
	}})
	return err
}

// Membership implements controlclient.Control. The fake has no members.
func (f *Fake) Membership(context.Context, *wirepb.MembershipRequest) (*wirepb.MembershipResponse, error) {
	return &wirepb.MembershipResponse{}, nil
}
