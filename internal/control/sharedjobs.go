package control

import (
	"time"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/wire"
)

// minSharedJobsInterval is the minimum time between two updates of the shared jobs. A
// job that was sent again waits for up to two of them.
const minSharedJobsInterval = 50 * time.Millisecond

// jobsShared is a SharedJobs message of a dispatcher.
type jobsShared struct {
	session *wire.Session
	jobs    *wirepb.SharedJobs
}

// sharedJobs passes the shared jobs of each dispatcher that is connected to this member
// on to the others. It is kept in memory only and needs no leader.
type sharedJobs struct {
	// bySession holds the newest message of each session.
	bySession map[*wire.Session]*wirepb.SharedJobs
	// changed holds the changes since the last update.
	changed *wirepb.SharedJobsUpdate
	// informed holds the sessions that were sent everything once.
	informed      map[*wire.Session]bool
	lastPublished time.Time
}

func (j *sharedJobs) init() {
	j.bySession = map[*wire.Session]*wirepb.SharedJobs{}
	j.informed = map[*wire.Session]bool{}
	j.changed = &wirepb.SharedJobsUpdate{}
}

func (e jobsShared) handle(l *loop) {
	if e.session.Peer().GetRole() != roleDispatcher {
		return
	}
	l.sharedJobs.update(e.session, e.jobs)
}

func (j *sharedJobs) update(session *wire.Session, jobs *wirepb.SharedJobs) {
	j.bySession[session] = jobs
	if j.changed.Dispatchers == nil {
		j.changed.Dispatchers = map[string]*wirepb.SharedJobs{}
	}
	j.changed.Dispatchers[session.Peer().GetName()] = jobs
}

// drop forgets a session that has ended.
func (j *sharedJobs) drop(session *wire.Session) {
	delete(j.informed, session)
	if j.bySession[session] == nil {
		return
	}
	delete(j.bySession, session)
	name := session.Peer().GetName()
	if j.isConnected(name) {
		return
	}
	delete(j.changed.Dispatchers, name)
	j.changed.Left = append(j.changed.Left, name)
}

// isConnected reports whether a dispatcher shares jobs on a session.
func (j *sharedJobs) isConnected(name string) bool {
	for session := range j.bySession {
		if session.Peer().GetName() == name {
			return true
		}
	}
	return false
}

// publish sends the changes since the last update to the dispatchers. A dispatcher that
// is new gets everything.
func (j *sharedJobs) publish(l *loop, now time.Time) {
	if now.Sub(j.lastPublished) < minSharedJobsInterval {
		return
	}
	changed := j.changed
	hasChanges := len(changed.Dispatchers)+len(changed.Left) > 0
	for session, subscriber := range l.directory.subscribers {
		switch {
		case subscriber.announce.Role != roleDispatcher:
		case !j.informed[session]:
			j.informed[session] = true
			j.send(l, session, &wirepb.SharedJobsUpdate{Dispatchers: j.all()})
		case hasChanges:
			j.send(l, session, changed)
		}
	}
	j.lastPublished = now
	if hasChanges {
		j.changed = &wirepb.SharedJobsUpdate{}
	}
}

// all returns the shared jobs of the connected dispatchers. Of two sessions of one
// dispatcher the one with the later message counts.
func (j *sharedJobs) all() map[string]*wirepb.SharedJobs {
	all := map[string]*wirepb.SharedJobs{}
	for session, jobs := range j.bySession {
		name := session.Peer().GetName()
		if all[name].GetSequence() <= jobs.Sequence {
			all[name] = jobs
		}
	}
	return all
}

func (j *sharedJobs) send(l *loop, session *wire.Session, update *wirepb.SharedJobsUpdate) {
	err := session.Send(wire.LaneUrgent, &wirepb.Envelope{Body: &wirepb.Envelope_SharedJobsUpdate{SharedJobsUpdate: update}})
	if err != nil {
		l.opts.Log.Info("shared jobs not sent", "to", session.Peer().GetName(), "error", err.Error())
	}
}
