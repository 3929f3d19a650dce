package dispatcher

import (
	"slices"
	"time"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/dispatch"
	"endivewing/internal/resubmission"
	"endivewing/internal/wire"
)

// sharedJobs exchanges old jobs with the other dispatchers through the control members,
// so that a job that its caller has sent again does not run at two dispatchers.
type sharedJobs struct {
	others *resubmission.View[*wire.Session]
	sharer resubmission.Sharer
	// sequence numbers the messages. It starts with the time, so that those of a
	// process that has restarted follow the earlier ones.
	sequence uint64
	members  map[*wire.Session]bool
}

func newSharedJobs() sharedJobs {
	return sharedJobs{
		others:   resubmission.NewView[*wire.Session](),
		sequence: uint64(time.Now().UnixNano()),
		members:  map[*wire.Session]bool{},
	}
}

// submit passes a job to the decisions. A job that another dispatcher has open waits.
func (l *loop) submit(now time.Time, j *dispatch.Job) {
	if !l.shared.others.OldElsewhere(j.ID) {
		l.core.Submit(now, j)
		return
	}
	l.p.opts.Log.Info("job waits for its runs at another dispatcher", "job", j.ID, "queue", j.Queue)
	l.core.HoldForElsewhere(now, j)
	l.shareJobs(now)
}

// shareJobs sends the old jobs to the control members if they have changed.
func (l *loop) shareJobs(now time.Time) {
	present := resubmission.Jobs{Old: l.core.OldJobs(now.Add(-resubmission.MinAge)), Wanted: l.core.HeldForElsewhere()}
	if !l.shared.sharer.Due(now, present, l.shared.others.WantedElsewhere) {
		return
	}
	l.shared.sequence++
	for member := range l.shared.members {
		l.sendSharedJobs(member)
	}
}

func (l *loop) sendSharedJobs(member *wire.Session) {
	jobs := l.shared.sharer.Shared()
	message := &wirepb.SharedJobs{Old: jobs.Old, Wanted: jobs.Wanted, Sequence: l.shared.sequence}
	err := member.Send(wire.LaneUrgent, &wirepb.Envelope{Body: &wirepb.Envelope_SharedJobs{SharedJobs: message}})
	if err != nil {
		delete(l.shared.members, member) // its next session gets them
		l.p.opts.Log.Info("shared jobs not sent", "member", member.Peer().GetName(), "error", err.Error())
	}
}

// applySharedJobs gives up the jobs that other dispatchers want, and submits those that
// no other dispatcher has open any more.
func (l *loop) applySharedJobs(now time.Time) {
	wanted := slices.DeleteFunc(l.core.OldJobs(now.Add(-resubmission.MinAge)),
		func(id string) bool { return !l.shared.others.WantedElsewhere(id) })
	for _, id := range wanted {
		l.core.GiveUpForElsewhere(now, id)
	}
	for _, id := range l.core.HeldForElsewhere() {
		if !l.shared.others.OldElsewhere(id) {
			l.core.ReleaseElsewhere(now, id)
		}
	}
}

// sharedJobsEvents passes messages of the control members to the loop.
type sharedJobsEvents struct{ p *Process }

// MemberConnected implements directory.SharedJobsHandler.
func (h sharedJobsEvents) MemberConnected(s *wire.Session) { h.p.enqueue(memberConnected{s}) }

// JobsShared implements directory.SharedJobsHandler.
func (h sharedJobsEvents) JobsShared(s *wire.Session, update *wirepb.SharedJobsUpdate) {
	h.p.enqueue(jobsShared{s, update})
}

// MemberLost implements directory.SharedJobsHandler.
func (h sharedJobsEvents) MemberLost(s *wire.Session) { h.p.enqueue(memberLost{s}) }

type memberConnected struct{ member *wire.Session }

func (e memberConnected) handle(l *loop, _ time.Time) {
	l.shared.members[e.member] = true
	l.sendSharedJobs(e.member)
}

type memberLost struct{ member *wire.Session }

func (e memberLost) handle(l *loop, now time.Time) {
	delete(l.shared.members, e.member)
	l.shared.others.DropMember(e.member)
	l.applySharedJobs(now)
}

// jobsShared carries changes of the shared jobs of other dispatchers.
type jobsShared struct {
	member *wire.Session
	update *wirepb.SharedJobsUpdate
}

func (e jobsShared) handle(l *loop, now time.Time) {
	for _, dispatcher := range e.update.Left {
		l.shared.others.Left(e.member, dispatcher)
	}
	for dispatcher, jobs := range e.update.Dispatchers {
		if dispatcher == l.p.opts.Name {
			continue
		}
		l.shared.others.Update(e.member, dispatcher, jobs.Sequence, resubmission.Jobs{Old: jobs.Old, Wanted: jobs.Wanted})
	}
	l.applySharedJobs(now)
}
