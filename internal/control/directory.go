package control

import (
	"time"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/wire"
)

const (
	// publishGap is the shortest time between two updates of the directory, so
	// that a wave of joining processes is told in few messages.
	publishGap = 20 * time.Millisecond
	// roleDispatcher is the role that is told of other processes.
	roleDispatcher = "dispatcher"
)

// announced: a process tells that it serves.
type announced struct {
	session  *wire.Session
	announce *wirepb.Announce
}

// sessionEnded: a session that another process opened is over.
type sessionEnded struct{ session *wire.Session }

// directory is what this member tells other processes: the control members, the
// newest committed document, and, for dispatchers, who is connected to it. It is
// soft state and differs from member to member.
type directory struct {
	listeners map[*wire.Session]*listener
	// joined and left have changed since the last update.
	joined map[*wire.Session]bool
	left   []*wirepb.Announce
	// members or the document changed since the last update.
	changed bool
	last    time.Time
}

// listener is a connected process.
type listener struct {
	announce *wirepb.Announce
	// version is that of the newest document that it has or was sent.
	version uint64
	// told: it has been sent an update.
	told bool
}

func (d *directory) init() {
	d.listeners = map[*wire.Session]*listener{}
	d.joined = map[*wire.Session]bool{}
}

func (a announced) handle(l *loop) {
	d := &l.directory
	known := d.listeners[a.session]
	if known == nil {
		known = &listener{version: a.announce.KnownVersion}
		d.listeners[a.session] = known
	}
	known.announce = a.announce
	d.joined[a.session] = true
}

func (s sessionEnded) handle(l *loop) {
	d := &l.directory
	gone := d.listeners[s.session]
	if gone == nil {
		return
	}
	delete(d.listeners, s.session)
	delete(d.joined, s.session)
	d.left = append(d.left, gone.announce)
}

// pending tells whether anybody has to be told of anything.
func (d *directory) pending(current bool) bool {
	return d.changed && current || len(d.joined) > 0 || len(d.left) > 0
}

// publish tells what has changed to those it concerns. A member without a
// leader, or that has applied nothing of the leader's term yet, tells who is
// connected but no document: its own may be old.
func (d *directory) publish(l *loop, now time.Time) {
	current := l.leadership.Leader != 0 && l.appliedTerm == l.leadership.Term
	if !d.pending(current) || now.Sub(d.last) < publishGap {
		return
	}
	news := d.news(l)
	if current {
		news.document, news.forAll = l.state.Document(), d.changed
		d.changed = false
	}
	for session, to := range d.listeners {
		d.send(session, to, news)
	}
	clear(d.joined)
	d.left, d.last = nil, now
}

// news is what one round of updates is made of.
type news struct {
	joined, all, left []*wirepb.Announce
	members           []string
	// document is the newest committed one, if that is known.
	document *wirepb.Document
	// forAll: the members or the document have changed.
	forAll bool
}

func (d *directory) news(l *loop) *news {
	n := &news{}
	connected := map[wirepb.ProcessKey]bool{}
	for session, of := range d.listeners {
		connected[of.announce.Key()] = true
		n.all = append(n.all, of.announce)
		if d.joined[session] {
			n.joined = append(n.joined, of.announce)
		}
	}
	for _, gone := range d.left {
		// One that came back on another session has not left.
		if !connected[gone.Key()] {
			n.left = append(n.left, gone)
		}
	}
	for _, m := range l.members {
		n.members = append(n.members, m.Address)
	}
	return n
}

// send tells one process what it does not know; the first time, all.
func (d *directory) send(session *wire.Session, to *listener, n *news) {
	listens := to.announce.Role == roleDispatcher
	if to.told && !listens && !n.forAll && to.version >= n.document.GetVersion() {
		return
	}
	update := &wirepb.DirectoryUpdate{Members: n.members}
	switch {
	case listens && to.told:
		update.Processes, update.Left = n.joined, n.left
	case listens:
		update.Processes = n.all
	}
	if n.document.GetVersion() > to.version {
		update.Document = n.document
		to.version = n.document.Version
	}
	to.told = true
	_ = session.Send(wire.LaneUrgent, &wirepb.Envelope{Body: &wirepb.Envelope_DirectoryUpdate{DirectoryUpdate: update}})
}
