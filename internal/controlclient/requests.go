package controlclient

import (
	"context"
	"time"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/wire"
)

// Register implements Control.
func (c *Client) Register(ctx context.Context, r *wirepb.RegisterRequest) (*wirepb.RegisterResponse, error) {
	reply, err := c.call(ctx, wire.LaneUrgent, 0, func() *wirepb.Envelope {
		return &wirepb.Envelope{Body: &wirepb.Envelope_RegisterRequest{RegisterRequest: r}}
	})
	return responseBody(reply, err, reply.GetRegisterResponse)
}

// Sync implements Control.
func (c *Client) Sync(ctx context.Context, r *wirepb.SyncRequest) (*wirepb.SyncResponse, error) {
	reply, err := c.call(ctx, wire.LaneUrgent, millis(r.HoldMs), func() *wirepb.Envelope {
		return &wirepb.Envelope{Body: &wirepb.Envelope_SyncRequest{SyncRequest: r}}
	})
	return responseBody(reply, err, reply.GetSyncResponse)
}

// Accept implements Control.
func (c *Client) Accept(ctx context.Context, r *wirepb.AcceptRequest) (*wirepb.AcceptResponse, error) {
	reply, err := c.call(ctx, wire.LaneTraffic, 0, func() *wirepb.Envelope {
		return &wirepb.Envelope{Body: &wirepb.Envelope_AcceptRequest{AcceptRequest: r}}
	})
	return responseBody(reply, err, reply.GetAcceptResponse)
}

// Complete implements Control.
func (c *Client) Complete(ctx context.Context, r *wirepb.CompleteRequest) (*wirepb.CompleteResponse, error) {
	reply, err := c.call(ctx, wire.LaneTraffic, 0, func() *wirepb.Envelope {
		return &wirepb.Envelope{Body: &wirepb.Envelope_CompleteRequest{CompleteRequest: r}}
	})
	return responseBody(reply, err, reply.GetCompleteResponse)
}

// GetJob implements Control.
func (c *Client) GetJob(ctx context.Context, r *wirepb.GetJobRequest) (*wirepb.GetJobResponse, error) {
	reply, err := c.call(ctx, wire.LaneTraffic, millis(r.WaitMs), func() *wirepb.Envelope {
		return &wirepb.Envelope{Body: &wirepb.Envelope_GetJobRequest{GetJobRequest: r}}
	})
	return responseBody(reply, err, reply.GetGetJobResponse)
}

// Apply implements Control.
func (c *Client) Apply(ctx context.Context, r *wirepb.ApplyRequest) (*wirepb.ApplyResponse, error) {
	reply, err := c.call(ctx, wire.LaneTraffic, 0, func() *wirepb.Envelope {
		return &wirepb.Envelope{Body: &wirepb.Envelope_ApplyRequest{ApplyRequest: r}}
	})
	return responseBody(reply, err, reply.GetApplyResponse)
}

// ListOpenJobs implements Control.
func (c *Client) ListOpenJobs(ctx context.Context, r *wirepb.ListOpenJobsRequest) (*wirepb.ListOpenJobsResponse, error) {
	reply, err := c.call(ctx, wire.LaneTraffic, 0, func() *wirepb.Envelope {
		return &wirepb.Envelope{Body: &wirepb.Envelope_ListOpenJobsRequest{ListOpenJobsRequest: r}}
	})
	return responseBody(reply, err, reply.GetListOpenJobsResponse)
}

// Leave implements Control.
func (c *Client) Leave(ctx context.Context, r *wirepb.LeaveRequest) error {
	reply, err := c.call(ctx, wire.LaneUrgent, 0, func() *wirepb.Envelope {
		return &wirepb.Envelope{Body: &wirepb.Envelope_LeaveRequest{LeaveRequest: r}}
	})
	_, err = responseBody(reply, err, reply.GetLeaveResponse)
	return err
}

// Membership implements Control.
func (c *Client) Membership(ctx context.Context, r *wirepb.MembershipRequest) (*wirepb.MembershipResponse, error) {
	reply, err := c.call(ctx, wire.LaneUrgent, 0, func() *wirepb.Envelope {
		return &wirepb.Envelope{Body: &wirepb.Envelope_MembershipRequest{MembershipRequest: r}}
	})
	return responseBody(reply, err, reply.GetMembershipResponse)
}

// responseBody returns the expected response from a reply.
func responseBody[R any](reply *wirepb.Envelope, err error, get func() *R) (*R, error) {
	if err != nil {
		return nil, err
	}
	if r := get(); r != nil {
		return r, nil
	}
	return nil, unexpectedReply(reply)
}

func millis(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }
