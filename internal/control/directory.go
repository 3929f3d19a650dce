package control

import (
	"maps"
	"slices"
	"time"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/wire"
)

// publishGap is the shortest time between two updates of the directory, so
// that a wave of joining processes is told in few messages.
const publishGap = 20 * time.Millisecond

// announced: a process tells that it serves.
type announced struct {
	session  *wire.Session
	announce *wirepb.Announce
}

// sessionEnded: a session that another process opened is over.
type sessionEnded struct{ session *wire.Session }

// directory is what this member tells dispatchers and runners: who is
// connected to it, the control members, and the newest committed document.
// It is soft state and differs from member to member.
type directory struct {
	processes map[*wire.Session]*wirepb.Announce
	changed   bool
	last      time.Time
}

func (d *directory) init() { d.processes = map[*wire.Session]*wirepb.Announce{} }

// handle notes a process. The document version that it has in force grows
// with what it is sent.
func (a announced) handle(l *loop) {
	l.directory.processes[a.session] = a.announce
	l.directory.changed = true
}

func (s sessionEnded) handle(l *loop) {
	if _, known := l.directory.processes[s.session]; !known {
		return
	}
	delete(l.directory.processes, s.session)
	l.directory.changed = true
}

// publish sends the directory to all in it when it has changed. A member
// without a leader, or that has applied nothing of the leader's term yet,
// stays silent: its document may be old.
func (d *directory) publish(l *loop, now time.Time) {
	current := l.leadership.Leader != 0 && l.appliedTerm == l.leadership.Term
	if !d.changed || !current || now.Sub(d.last) < publishGap {
		return
	}
	d.changed = false
	d.last = now
	update := &wirepb.DirectoryUpdate{Processes: slices.Collect(maps.Values(d.processes))}
	for _, m := range l.members {
		update.Members = append(update.Members, m.Address)
	}
	document := l.state.Document()
	for session, process := range d.processes {
		d.send(session, process, update, document)
	}
}

func (d *directory) send(session *wire.Session, process *wirepb.Announce, update *wirepb.DirectoryUpdate, document *wirepb.Document) {
	own := &wirepb.DirectoryUpdate{Processes: update.Processes, Members: update.Members}
	if document.GetVersion() > process.KnownVersion {
		own.Document = document
		d.processes[session] = &wirepb.Announce{
			Role: process.Role, Name: process.Name, Zone: process.Zone, Address: process.Address,
			KnownVersion: document.Version,
		}
	}
	_ = session.Send(wire.LaneUrgent, &wirepb.Envelope{Body: &wirepb.Envelope_DirectoryUpdate{DirectoryUpdate: own}})
}
