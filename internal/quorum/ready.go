package quorum

import (
	"slices"

	wirepb "endivewing/api/endivewing/v1"
)

// outbox gathers what the next Ready hands out.
type outbox struct {
	// hard is the hard state that the host was given last.
	hard       HardState
	leadership Leadership
	messages   []*wirepb.CoreMessage
	waiting    []*wirepb.CoreMessage
	snapshot   *wirepb.SnapshotMeta
	reads      []Read
	lostReads  []uint64
	// spans are the proposals whose fate is open.
	spans      []Span
	unresolved []Span
}

// proposed notes entries proposed here.
func (o *outbox) proposed(first, last, term uint64) {
	if last < first {
		return
	}
	if n := len(o.spans); n > 0 && o.spans[n-1].Term == term && o.spans[n-1].Last+1 == first {
		o.spans[n-1].Last = last
		return
	}
	o.spans = append(o.spans, Span{First: first, Last: last, Term: term})
}

// installed notes that a snapshot replaced the log.
func (o *outbox) installed(meta *wirepb.SnapshotMeta) {
	o.snapshot = meta
	o.spans = slices.DeleteFunc(o.spans, func(s Span) bool {
		if s.First > meta.Index {
			return false
		}
		o.unresolved = append(o.unresolved, s)
		return true
	})
}

// send queues a message of the present term that may leave at once.
func (c *Core) send(to uint64, m *wirepb.CoreMessage) { c.sendIn(c.term, to, m) }

func (c *Core) sendIn(term, to uint64, m *wirepb.CoreMessage) {
	c.out.messages = append(c.out.messages, c.address(term, to, m))
}

// sendSynced queues a message that waits for the sync of what it promises.
func (c *Core) sendSynced(to uint64, m *wirepb.CoreMessage) {
	c.out.waiting = append(c.out.waiting, c.address(c.term, to, m))
}

func (c *Core) hard() HardState { return HardState{Term: c.term, Vote: c.vote, Commit: c.commit} }

func (c *Core) leadership() Leadership {
	return Leadership{Leader: c.leader, Term: c.term, Self: c.isLeader()}
}

// HasReady tells whether Ready has anything to hand out.
func (c *Core) HasReady() bool {
	c.flush()
	o := &c.out
	return len(o.messages)+len(o.waiting)+len(o.reads)+len(o.lostReads)+len(o.unresolved) > 0 ||
		o.snapshot != nil ||
		o.hard != c.hard() ||
		o.leadership != c.leadership() ||
		c.log.handed < c.log.last() ||
		c.applied < c.commit
}

// flush turns what was proposed and asked since the last Ready into messages.
func (c *Core) flush() {
	if c.isLeader() {
		c.replicate()
		c.startRound()
	}
}

// Ready hands out the work that is due. Slices and entries in it are shared
// with the core and must not be changed.
func (c *Core) Ready() Ready {
	c.flush()
	o := &c.out
	r := Ready{
		Entries:    c.log.unhanded(),
		Sync:       SyncPoint{Index: c.log.last(), Term: c.term},
		Snapshot:   o.snapshot,
		Messages:   o.messages,
		Waiting:    o.waiting,
		Reads:      o.reads,
		LostReads:  o.lostReads,
		Unresolved: o.unresolved,
	}
	c.readyHard(&r)
	c.readyCommitted(&r)
	if now := c.leadership(); now != o.leadership {
		o.leadership = now
		r.Leadership = &now
	}
	c.log.handed = c.log.last()
	o.messages, o.waiting, o.snapshot = nil, nil, nil
	o.reads, o.lostReads, o.unresolved = nil, nil, nil
	return r
}

// readyHard hands out the hard state. A commit index alone needs no sync: it
// is found again after a restart. Waiting always asks for one, because what
// its messages promise may have been handed out before; the log file skips a
// sync when nothing was written since the last.
func (c *Core) readyHard(r *Ready) {
	now, before := c.hard(), c.out.hard
	if now != before {
		r.Hard = &now
		c.out.hard = now
	}
	r.MustSync = len(r.Entries) > 0 || len(r.Waiting) > 0 || r.Snapshot != nil ||
		now.Term != before.Term || now.Vote != before.Vote
}

func (c *Core) readyCommitted(r *Ready) {
	if c.applied == c.commit {
		return
	}
	r.Committed = c.log.between(c.applied, c.commit)
	c.applied = c.commit
	r.Lost = c.resolve()
}

// resolve drops the proposals whose fate is known by now and returns those
// that another entry replaced.
func (c *Core) resolve() []Span {
	var lost []Span
	kept := c.out.spans[:0]
	for _, s := range c.out.spans {
		if s.First > c.applied {
			kept = append(kept, s)
			continue
		}
		known := min(s.Last, c.applied)
		// Terms never fall along the log, so the entries that took effect
		// are a prefix of the span.
		for i := s.First; i <= known; i++ {
			if !c.log.matches(i, s.Term) {
				lost = append(lost, Span{First: i, Last: known, Term: s.Term})
				break
			}
		}
		if s.First = known + 1; s.First <= s.Last {
			kept = append(kept, s)
		}
	}
	c.out.spans = kept
	return lost
}

// Status returns a view for dumps.
func (c *Core) Status() Status {
	s := Status{
		ID: c.cfg.ID, Term: c.term, Vote: c.vote, Leader: c.leader,
		Role:   member.chart.Name(c.role),
		Commit: c.commit, Applied: c.applied, First: c.log.first(), Last: c.log.last(),
		SnapshotIndex: c.snap.index,
		Membership:    c.membership(), MembershipIndex: c.configIndex(),
		TransfereeID: c.lead.transferee,
		PendingReads: len(c.lead.reads.tokens()),
	}
	for _, id := range c.lead.ids {
		p := c.lead.peers[id]
		s.Peers = append(s.Peers, PeerStatus{
			ID: id, State: p.state.String(), Match: p.match, Next: p.next,
			Inflight: len(p.inflight), Live: c.live(id),
		})
	}
	return s
}
