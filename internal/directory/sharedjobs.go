package directory

import (
	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/wire"
)

// SharedJobsHandler exchanges shared jobs with the control members. Its methods are
// called from several goroutines.
type SharedJobsHandler interface {
	// MemberConnected is called when a session with a member has begun.
	MemberConnected(s *wire.Session)
	// JobsShared is called with each update of a member.
	JobsShared(s *wire.Session, update *wirepb.SharedJobsUpdate)
	// MemberLost is called after the last message of a session with a member.
	MemberLost(s *wire.Session)
}

// handleSharedJobs adds the handling of shared jobs to the options of a session.
func (c *Client) handleSharedJobs(opts *wire.Options) {
	handler := c.opts.SharedJobs
	if handler == nil {
		return
	}
	next := opts.Handler
	opts.Handler = func(s *wire.Session, e *wirepb.Envelope) {
		if update := e.GetSharedJobsUpdate(); update != nil {
			handler.JobsShared(s, update)
			return
		}
		next(s, e)
	}
	opts.OnClosed = handler.MemberLost
}

func (c *Client) memberConnected(s *wire.Session) {
	if c.opts.SharedJobs != nil {
		c.opts.SharedJobs.MemberConnected(s)
	}
}
