package quorum

import (
	"slices"

	wirepb "endivewing/api/endivewing/v1"
)

// outbox collects the content of the next Ready.
type outbox struct {
	// hard is the hard state last handed to the caller.
	hard HardState
	// leadership is the leadership last handed to the caller.
	leadership        Leadership
	messages          []*wirepb.CoreMessage
	messagesAfterSync []*wirepb.CoreMessage
	snapshot          *wirepb.SnapshotMeta
	reads             []Read
	failedReads       []uint64
	// pendingProposals are the proposals of this member whose outcome is not
	// known yet.
	pendingProposals []Span
	// unresolved are proposals whose outcome an installed snapshot hides.
	unresolved []Span
}

// recordProposed records the index range of entries proposed at this member.
func (o *outbox) recordProposed(first, last, term uint64) {
	if last < first {
		return
	}
	if n := len(o.pendingProposals); n > 0 && o.pendingProposals[n-1].Term == term && o.pendingProposals[n-1].Last+1 == first {
		o.pendingProposals[n-1].Last = last
		return
	}
	o.pendingProposals = append(o.pendingProposals, Span{First: first, Last: last, Term: term})
}

// recordInstalled records that a snapshot replaced the log. Proposals that the
// snapshot may contain become unresolved.
func (o *outbox) recordInstalled(meta *wirepb.SnapshotMeta) {
	o.snapshot = meta
	o.pendingProposals = slices.DeleteFunc(o.pendingProposals, func(s Span) bool {
		if s.First > meta.Index {
			return false
		}
		o.unresolved = append(o.unresolved, s)
		return true
	})
}

// send queues a message of the current term that may be sent at once.
func (c *Core) send(to uint64, m *wirepb.CoreMessage) { c.sendInTerm(c.term, to, m) }

func (c *Core) sendInTerm(term, to uint64, m *wirepb.CoreMessage) {
	c.out.messages = append(c.out.messages, c.address(term, to, m))
}

// sendAfterSync queues a message that may be sent only after the sync of the
// state that it acknowledges.
func (c *Core) sendAfterSync(to uint64, m *wirepb.CoreMessage) {
	c.out.messagesAfterSync = append(c.out.messagesAfterSync, c.address(c.term, to, m))
}

func (c *Core) hard() HardState { return HardState{Term: c.term, Vote: c.vote, Commit: c.commit} }

func (c *Core) leadership() Leadership {
	return Leadership{Leader: c.leader, Term: c.term, Self: c.isLeader()}
}

// HasReady reports whether Ready has anything to hand out.
func (c *Core) HasReady() bool {
	c.flush()
	o := &c.out
	return len(o.messages)+len(o.messagesAfterSync)+len(o.reads)+len(o.failedReads)+len(o.unresolved) > 0 ||
		o.snapshot != nil ||
		o.hard != c.hard() ||
		o.leadership != c.leadership() ||
		c.log.handedOut < c.log.last() ||
		c.applied < c.commit
}

// flush queues the messages for proposals and reads that arrived since the last
// Ready.
func (c *Core) flush() {
	if c.isLeader() {
		c.replicate()
		c.startReadRound()
	}
}

// Ready returns the pending work for the caller and clears it. Slices and entries
// in it are shared with the core and must not be changed.
func (c *Core) Ready() Ready {
	c.flush()
	o := &c.out
	r := Ready{
		Entries:             c.log.newEntries(),
		Sync:                SyncPoint{Index: c.log.last(), Term: c.term},
		Snapshot:            o.snapshot,
		Messages:            o.messages,
		MessagesAfterSync:   o.messagesAfterSync,
		Reads:               o.reads,
		FailedReads:         o.failedReads,
		UnresolvedProposals: o.unresolved,
	}
	c.addHardState(&r)
	c.addCommitted(&r)
	if current := c.leadership(); current != o.leadership {
		o.leadership = current
		r.Leadership = &current
	}
	c.log.handedOut = c.log.last()
	o.messages, o.messagesAfterSync, o.snapshot = nil, nil, nil
	o.reads, o.failedReads, o.unresolved = nil, nil, nil
	return r
}

// addHardState sets Hard and MustSync of a Ready. A changed commit index alone
// needs no sync, because the member finds it again after a restart.
// MessagesAfterSync always needs one, because the state that its messages
// acknowledge may have been handed out in an earlier Ready. The log file skips a
// sync if nothing was written since the last one.
func (c *Core) addHardState(r *Ready) {
	current, previous := c.hard(), c.out.hard
	if current != previous {
		r.Hard = &current
		c.out.hard = current
	}
	r.MustSync = len(r.Entries) > 0 || len(r.MessagesAfterSync) > 0 || r.Snapshot != nil ||
		current.Term != previous.Term || current.Vote != previous.Vote
}

func (c *Core) addCommitted(r *Ready) {
	if c.applied == c.commit {
		return
	}
	r.Committed = c.log.between(c.applied, c.commit)
	c.applied = c.commit
	r.LostProposals = c.resolveProposals()
}

// resolveProposals removes the proposals whose outcome is known and returns
// those that other committed entries replaced.
func (c *Core) resolveProposals() []Span {
	var lost []Span
	kept := c.out.pendingProposals[:0]
	for _, s := range c.out.pendingProposals {
		if s.First > c.applied {
			kept = append(kept, s)
			continue
		}
		known := min(s.Last, c.applied)
		// Terms never decrease along the log, so the proposals that were
		// committed are a prefix of the span.
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
	c.out.pendingProposals = kept
	return lost
}

// Status returns the member's state for debug dumps.
func (c *Core) Status() Status {
	s := Status{
		ID: c.cfg.ID, Term: c.term, Vote: c.vote, Leader: c.leader,
		Role:   member.chart.StateName(c.role),
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
