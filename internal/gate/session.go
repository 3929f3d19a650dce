package gate

import "time"

// session is a live session with an entry.
type session struct {
	id SessionID
	// entry is the incarnation of the entry.
	// lend: the entry goes by the slots that are lent to it.
	lend  bool
	entry uint64
}

// SessionUp adds a session with an entry. An older session of the same entry
// is closed and nothing that still comes from it counts: that is what keeps
// late copies of a lost session out.
func (g *Gate) SessionUp(now time.Duration, id SessionID, entry uint64) {
	if entry == 0 {
		g.actions.Closes = append(g.actions.Closes, id)
		return
	}
	if old := g.owners[entry]; old != nil {
		g.actions.Closes = append(g.actions.Closes, old.id)
		g.dropSession(old)
	}
	s := &session{id: id, entry: entry}
	g.sessions[id] = s
	g.owners[entry] = s
	g.lending.Join(now, id, g.outstanding(entry))
	if g.draining {
		g.sendUrgent(id, drainingEnvelope(g.incarnation, false))
	}
}

// SessionDown removes a session that has ended. What its entry has at the
// agent goes on; the outcomes are kept until someone asks.
func (g *Gate) SessionDown(id SessionID) {
	if s := g.sessions[id]; s != nil {
		g.dropSession(s)
	}
}

func (g *Gate) dropSession(s *session) {
	delete(g.sessions, s.id)
	delete(g.owners, s.entry)
	g.lending.Leave(s.id)
}

// outstanding counts the tasks that an entry has at the agent.
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

// tell sends a job's task update to the group's owner, if it is connected.
func (g *Gate) tell(j *job, r *record) {
	if j.forgotten {
		return
	}
	if s := g.owners[j.group.owner]; s != nil {
		u := j.update(r)
		u.Load = uint32(len(g.running) + g.queue.tasks)
		g.send(s.id, updateEnvelope(u))
	}
}
