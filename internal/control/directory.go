package control

import (
	"time"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/wire"
)

const (
	// minPublishInterval is the minimum time between two updates of the
	// directory, so that many processes that join at once cause few messages.
	minPublishInterval = 20 * time.Millisecond
	// maxInlineDocumentBytes is the size of the largest document that is sent with the
	// update that tells of it. It costs little more than the update itself, and saves
	// a busy dispatcher the request.
	maxInlineDocumentBytes = 16 << 10
	// roleDispatcher is the role whose processes receive the list of connected
	// processes.
	roleDispatcher = "dispatcher"
)

// processAnnounced is an Announce message of another process.
type processAnnounced struct {
	session  *wire.Session
	announce *wirepb.Announce
}

// sessionEnded reports that a session opened by another process has ended.
type sessionEnded struct{ session *wire.Session }

// directory sends updates to the processes connected to this member: the control
// members and, for dispatchers, the version of the newest committed configuration
// document and the processes connected to this member. It is kept in memory only and
// differs from member to member.
type directory struct {
	subscribers map[*wire.Session]*subscriber
	// joined holds the sessions with an Announce since the last update. left
	// holds the processes whose sessions have ended since then.
	joined map[*wire.Session]bool
	left   []*wirepb.Announce
	// changed is set if the members, the document or the leadership changed
	// since this member was last known to be current, membersChanged if the members did.
	changed, membersChanged bool
	// document is the newest document that was published, or nil.
	document      *wirepb.Document
	lastPublished time.Time
}

// subscriber is a connected process that has announced itself.
type subscriber struct {
	announce *wirepb.Announce
	// version is the version of the newest document that the process has, was told of
	// or was sent.
	version uint64
	// updateSent is set once the process has been sent an update.
	updateSent bool
}

func (d *directory) init() {
	d.subscribers = map[*wire.Session]*subscriber{}
	d.joined = map[*wire.Session]bool{}
}

func (a processAnnounced) handle(l *loop) {
	d := &l.directory
	known := d.subscribers[a.session]
	if known == nil {
		known = &subscriber{version: a.announce.KnownVersion}
		d.subscribers[a.session] = known
	}
	l.minions.remember(a.announce)
	a.announce.Minion = nil // other processes do not need it
	known.announce = a.announce
	d.joined[a.session] = true
}

func (s sessionEnded) handle(l *loop) {
	l.sharedJobs.drop(s.session)
	d := &l.directory
	gone := d.subscribers[s.session]
	if gone == nil {
		return
	}
	delete(d.subscribers, s.session)
	delete(d.joined, s.session)
	d.left = append(d.left, gone.announce)
}

// hasUpdates reports whether there is anything to publish. current is set if
// this member's document is known to be current.
func (d *directory) hasUpdates(current bool) bool {
	return d.changed && current || len(d.joined) > 0 || len(d.left) > 0
}

// isCurrent reports whether this member has what was committed when it last heard from
// the leader: it has applied an entry of the leader's term, and all that the leader has
// said to be committed.
func (l *loop) isCurrent() bool {
	return l.leadership.Leader != 0 && l.appliedTerm == l.leadership.Term && l.applied >= l.core.LeaderCommit()
}

// publish sends the changes since the last update to the processes that need
// them. A member that is not current says nothing of a document, because its own may be
// outdated. It still publishes the connected processes.
func (d *directory) publish(l *loop, now time.Time) {
	current := l.isCurrent()
	if !d.hasUpdates(current) || now.Sub(d.lastPublished) < minPublishInterval {
		return
	}
	changeSet := d.changeSet(l)
	if current {
		d.refreshDocument(l)
		changeSet.document, changeSet.sendToAll = d.document, d.membersChanged
		d.changed, d.membersChanged = false, false
	}
	told := 0
	for session, to := range d.subscribers {
		if d.send(session, to, changeSet, l.minions.lastMinion(to.announce)) {
			told++
		}
	}
	if told > 0 {
		l.opts.Log.Info("document published", "version", d.document.Version, "bytes", len(d.document.Body),
			"processes", told, "index", l.applied, "term", l.appliedTerm)
	}
	clear(d.joined)
	d.left, d.lastPublished = nil, now
}

// refreshDocument takes over the document of the ledger if it may have changed.
func (d *directory) refreshDocument(l *loop) {
	if !d.changed {
		return
	}
	document := l.state.Document()
	if document.GetVersion() != d.document.GetVersion() {
		d.document = document
		l.p.documents.publish(document)
	}
}

// changeSet is the content of one round of updates.
type changeSet struct {
	// joined and left have changed since the last update; all are the processes
	// connected at present.
	joined, all, left []*wirepb.Announce
	// members are the addresses of the control members.
	members []string
	// document is the newest committed document; nil if it is not known.
	document *wirepb.Document
	// sendToAll is set if every subscriber must be sent an update.
	sendToAll bool
}

// changeSet collects the connected processes, the changes and the members.
func (d *directory) changeSet(l *loop) *changeSet {
	c := &changeSet{}
	connected := map[wirepb.ProcessKey]bool{}
	for session, sub := range d.subscribers {
		connected[sub.announce.Key()] = true
		c.all = append(c.all, sub.announce)
		if d.joined[session] {
			c.joined = append(c.joined, sub.announce)
		}
	}
	for _, gone := range d.left {
		// A process that is connected on another session has not left.
		if !connected[gone.Key()] {
			c.left = append(c.left, gone)
		}
	}
	for _, m := range l.members {
		c.members = append(c.members, m.Address)
	}
	return c
}

// send sends one subscriber an update if it needs one. The first update to a
// dispatcher lists all connected processes, later ones only the changes. The
// first update to a runner has its last minion. It reports whether the update is
// about the document.
func (d *directory) send(session *wire.Session, to *subscriber, c *changeSet, lastMinion *wirepb.MinionRecord) (hasDocument bool) {
	isDispatcher := to.announce.Role == roleDispatcher
	update := &wirepb.DirectoryUpdate{Members: c.members}
	switch {
	case isDispatcher && to.updateSent:
		update.Processes, update.Left = c.joined, c.left
	case isDispatcher:
		update.Processes = c.all
	}
	hasDocument = to.addDocument(update, c.document)
	if to.updateSent && !c.sendToAll && !hasDocument && len(update.Processes)+len(update.Left) == 0 {
		return false
	}
	if !to.updateSent {
		update.LastMinion = lastMinion
	}
	to.updateSent = true
	_ = session.Send(wire.LaneUrgent, &wirepb.Envelope{Body: &wirepb.Envelope_DirectoryUpdate{DirectoryUpdate: update}})
	return hasDocument
}

// addDocument adds to an update what the subscriber is to know of a document, and reports
// whether it is anything. A dispatcher requests a large document itself, from any one of
// the members, and a runner uses none. A process of an older version is sent all of it.
func (s *subscriber) addDocument(update *wirepb.DirectoryUpdate, document *wirepb.Document) bool {
	fetches := s.announce.FetchesDocuments
	if document.GetVersion() <= s.version || fetches && s.announce.Role != roleDispatcher {
		return false
	}
	s.version = document.Version
	if fetches && len(document.Body) > maxInlineDocumentBytes {
		update.DocumentVersion = document.Version
	} else {
		update.Document = document
	}
	return true
}
