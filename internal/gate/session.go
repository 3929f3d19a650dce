package gate

import "time"

// session is an open session with an entry.
type session struct {
	id SessionID
	// usesGrants is set if the entry limits its outstanding tasks to the slots
	// granted to it.
	usesGrants bool
	// entry is the incarnation number of the entry.
	entry uint64
}

// AddSession adds a session with an entry. An older session of the same entry is
// closed, and messages that still arrive from it are dropped. This keeps out
// delayed messages of a lost session.
func (g *Gate) AddSession(now time.Duration, id SessionID, entry uint64) {
	if entry == 0 {
		g.actions.Closes = append(g.actions.Closes, id)
		return
	}
	if old := g.sessionsByEntry[entry]; old != nil {
		g.actions.Closes = append(g.actions.Closes, old.id)
		g.dropSession(old)
	}
	s := &session{id: id, entry: entry}
	g.sessions[id] = s
	g.sessionsByEntry[entry] = s
	g.allocator.AddSession(now, id, g.outstanding(entry))
	if g.draining {
		g.sendUrgent(id, drainingEnvelope(g.incarnation, false))
	}
}

// RemoveSession removes a session that has ended. The entry's tasks continue, and
// their outcomes are kept until an owner asks for them.
func (g *Gate) RemoveSession(id SessionID) {
	if s := g.sessions[id]; s != nil {
		g.dropSession(s)
	}
}

func (g *Gate) dropSession(s *session) {
	delete(g.sessions, s.id)
	delete(g.sessionsByEntry, s.entry)
	g.allocator.RemoveSession(s.id)
}

// outstanding returns the number of an entry's queued and running tasks.
func (g *Gate) outstanding(entry uint64) int {
	n := 0
	for f := g.queue.head; f != nil; f = f.next {
		if f.owner == entry {
			n++
		}
	}
	for _, f := range g.running {
		if f.owner == entry {
			n++
		}
	}
	return n
}

// sendUpdate sends an update on a task to the owner of its group if the owner is
// connected.
func (g *Gate) sendUpdate(j *job, r *taskRecord) {
	if j.forgotten {
		return
	}
	if s := g.sessionsByEntry[j.group.owner]; s != nil {
		u := j.update(r)
		u.Load = uint32(len(g.running) + g.queue.tasks)
		g.send(s.id, updateEnvelope(u))
	}
}
