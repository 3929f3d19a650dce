package quorum

import (
	"slices"

	wirepb "endivewing/api/endivewing/v1"
)

// Propose appends commands to the log, one entry each, in order. The entries
// have the returned term and consecutive indexes from firstIndex on. Their
// outcome follows in Ready.Committed, Ready.LostProposals or Ready.UnresolvedProposals. The core
// keeps the slices. Errors: ErrNotLeader, ErrTransferring.
func (c *Core) Propose(data ...[]byte) (firstIndex, term uint64, err error) {
	if err := c.canPropose(); err != nil {
		return 0, 0, err
	}
	firstIndex = c.log.last() + 1
	for _, d := range data {
		c.appendEntry(&wirepb.Entry{Kind: wirepb.EntryKind_ENTRY_KIND_COMMAND, Data: d})
	}
	c.out.recordProposed(firstIndex, c.log.last(), c.term)
	return firstIndex, c.term, nil
}

func (c *Core) canPropose() error {
	if !c.isLeader() {
		return ErrNotLeader
	}
	if c.lead.transferee != 0 {
		return ErrTransferring
	}
	return nil
}

// appendEntry adds an entry to the leader's log and returns its index. The next
// Ready or HasReady queues it for sending, together with all entries added by
// then.
func (c *Core) appendEntry(e *wirepb.Entry) uint64 {
	e.Index = c.log.last() + 1
	e.Term = c.term
	c.log.append(e)
	if e.Kind == wirepb.EntryKind_ENTRY_KIND_MEMBERSHIP {
		c.addConfigs([]*wirepb.Entry{e})
		c.trackMembers(e.Index)
	}
	return e.Index
}

// trackMembers keeps one progress for each member of the configuration in
// force, and one for the leader itself. Replication to a new member starts at
// next.
func (c *Core) trackMembers(next uint64) {
	members := c.membership().Members()
	if !c.membership().IsVoter(c.cfg.ID) {
		members = append(members, Member{ID: c.cfg.ID})
	}
	peers := map[uint64]*progress{}
	for _, m := range members {
		p := c.lead.peers[m.ID]
		if p == nil {
			p = &progress{next: next}
		}
		peers[m.ID] = p
	}
	c.lead.peers = peers
	c.lead.ids = c.lead.ids[:0]
	for id := range peers {
		c.lead.ids = append(c.lead.ids, id)
	}
	slices.Sort(c.lead.ids)
}

func (c *Core) tickLeader() {
	c.heartbeatElapsed++
	for _, id := range c.lead.ids {
		c.lead.peers[id].silentTicks++
	}
	if c.electionElapsed >= c.cfg.ElectionTicks {
		c.electionElapsed = 0
		if !c.checkQuorum() {
			return
		}
	}
	if c.lead.transferee != 0 {
		c.lead.transferTicksLeft--
		if c.lead.transferTicksLeft <= 0 {
			c.lead.transferee = 0
		}
	}
	if c.heartbeatElapsed >= c.cfg.HeartbeatTicks {
		c.heartbeatElapsed = 0
		c.heartbeatPeers()
	}
}

// checkQuorum steps down if no quorum has replied within ElectionTicks, since
// another leader may have been elected by then. It reports whether this member
// still leads.
func (c *Core) checkQuorum() bool {
	responded := func(id uint64) bool { return id == c.cfg.ID || c.lead.peers[id].silentTicks < c.cfg.ElectionTicks }
	if c.membership().quorum(responded) {
		return true
	}
	c.fire(member.quorumLost)
	c.updateRole()
	return false
}

func (c *Core) heartbeatPeers() {
	for _, id := range c.lead.ids {
		if id != c.cfg.ID {
			c.heartbeatPeer(id, c.lead.peers[id])
		}
	}
	c.lead.prevHeartbeatCommit, c.lead.lastHeartbeatCommit = c.lead.lastHeartbeatCommit, c.commit
}

// heartbeatPeer sends the periodic heartbeat to a member, unless an append sent
// in this interval replaces it. If the member did not reply to an append for a
// whole interval, an empty append follows, since the append or its reply may
// be lost. An unanswered snapshot offer ends after snapshotRetryTimeouts.
func (c *Core) heartbeatPeer(id uint64, p *progress) {
	if !p.appendSent || len(c.lead.reads.running) > 0 {
		c.sendHeartbeat(id, p)
	}
	p.appendSent = false
	switch p.state {
	case probing:
		p.awaitingReply = false
		if p.match < c.log.last() && c.log.last() < p.next {
			c.sendEmptyAppend(id, p)
		}
	case replicating:
		if p.match == p.heartbeatMatch && p.match+1 < p.next {
			c.sendEmptyAppend(id, p)
		}
	case snapshotting:
		p.snapshotWaitTicks += c.cfg.HeartbeatTicks
		if p.snapshotWaitTicks >= snapshotRetryTimeouts*c.cfg.ElectionTicks {
			p.startProbing(p.match + 1)
		}
	}
	p.heartbeatMatch = p.match
}

// sendEmptyAppend sends an append without entries, to which the member replies
// with its match index or a rejection. If the entry before next was compacted,
// the append refers to the start of the log.
func (c *Core) sendEmptyAppend(id uint64, p *progress) {
	if p.next <= c.log.baseIndex {
		p.startProbing(c.log.first())
	}
	c.sendAppend(id, p, nil)
}

func (c *Core) sendHeartbeat(id uint64, p *progress) {
	prev := p.match
	if p.state == replicating {
		prev = p.next - 1
	}
	term, _ := c.log.term(prev)
	c.send(id, heartbeatMessage(&wirepb.Heartbeat{
		Round:        c.lead.reads.round,
		Commit:       min(c.commit, p.match),
		PrevIndex:    prev,
		PrevTerm:     term,
		LeaderCommit: c.commit,
	}))
}

// replicate sends each member the entries that it lacks, as far as canSend
// allows, or offers a snapshot if those entries were compacted.
func (c *Core) replicate() {
	for _, id := range c.lead.ids {
		if id == c.cfg.ID {
			continue
		}
		p := c.lead.peers[id]
		for p.next <= c.log.last() && p.canSend(c.cfg.MaxInflight) {
			if p.next <= c.log.baseIndex {
				c.offerSnapshot(id, p)
				break
			}
			entries := c.log.from(p.next, c.cfg.MaxBatchBytes)
			c.sendAppend(id, p, entries)
			p.recordSent(entries[len(entries)-1].Index)
		}
	}
}

func (c *Core) sendAppend(id uint64, p *progress, entries []*wirepb.Entry) {
	term, ok := c.log.term(p.next - 1)
	if !ok {
		return
	}
	p.appendSent = true
	c.send(id, appendMessage(&wirepb.AppendRequest{
		PrevIndex: p.next - 1,
		PrevTerm:  term,
		Commit:    c.commit,
		Entries:   entries,
	}))
}

func (c *Core) onAppend(from uint64, r *wirepb.AppendRequest) {
	c.leaderCommit = max(c.leaderCommit, r.Commit)
	prev, prevTerm, entries := r.PrevIndex, r.PrevTerm, r.Entries
	if prev < c.commit {
		// Committed entries match those of every later leader, so they are
		// skipped.
		n := min(c.commit-prev, uint64(len(entries)))
		entries = entries[n:]
		prev = c.commit
		prevTerm, _ = c.log.term(prev)
	}
	if !c.log.matches(prev, prevTerm) {
		c.rejectAppend(from, prev, prevTerm)
		return
	}
	c.extendLog(entries)
	last := prev + uint64(len(entries))
	c.commitTo(min(r.Commit, last))
	c.sendAfterSync(from, appendResponse(last))
}

// extendLog appends entries that follow a matching one. From the first entry on
// that conflicts with the log, the new entries replace the old ones.
func (c *Core) extendLog(entries []*wirepb.Entry) {
	for i, e := range entries {
		if c.log.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= c.log.last() {
			c.log.truncate(e.Index - 1)
			c.truncateConfigs(e.Index - 1)
		}
		c.log.append(entries[i:]...)
		c.addConfigs(entries[i:])
		c.updateRole()
		return
	}
}

func (c *Core) rejectAppend(to, prev, prevTerm uint64) {
	hint, hintTerm := c.log.lastUpToTerm(prev, prevTerm)
	c.send(to, appendResponseMessage(&wirepb.AppendResponse{
		Rejected:      true,
		RejectedIndex: prev,
		HintIndex:     hint,
		HintTerm:      hintTerm,
	}))
}

func appendResponse(match uint64) *wirepb.CoreMessage {
	return appendResponseMessage(&wirepb.AppendResponse{Match: match})
}

func (c *Core) onHeartbeat(from uint64, h *wirepb.Heartbeat) {
	c.leaderCommit = max(c.leaderCommit, h.LeaderCommit)
	c.send(from, heartbeatResponseMessage(&wirepb.HeartbeatResponse{Round: h.Round}))
	if h.PrevIndex > c.commit && !c.log.matches(h.PrevIndex, h.PrevTerm) {
		c.rejectAppend(from, h.PrevIndex, h.PrevTerm)
		return
	}
	// The leader sends at most its match index for this member as commit, so the
	// logs match up to it.
	c.commitTo(min(h.Commit, c.log.last()))
}

func (c *Core) onAppendResponse(from uint64, r *wirepb.AppendResponse) {
	p := c.peer(from)
	if p == nil {
		return
	}
	p.silentTicks = 0
	if r.Rejected {
		c.onAppendRejected(p, r)
		return
	}
	if p.state == snapshotting && r.Match < c.log.baseIndex {
		return
	}
	if p.recordMatch(r.Match) {
		c.advanceCommit()
		c.tryTransfer()
	}
}

// onAppendRejected restarts probing at the largest index at which the logs may
// match. A stale rejection of an index that was acknowledged since is ignored.
func (c *Core) onAppendRejected(p *progress, r *wirepb.AppendResponse) {
	if p.state == snapshotting || r.RejectedIndex <= p.match {
		return
	}
	if p.state == probing && r.RejectedIndex != p.next-1 {
		return
	}
	agreed, _ := c.log.lastUpToTerm(min(r.HintIndex, r.RejectedIndex-1), r.HintTerm)
	p.startProbing(agreed + 1)
}

func (c *Core) peer(id uint64) *progress {
	if !c.isLeader() {
		return nil
	}
	return c.lead.peers[id]
}

// advanceCommit commits the entries that a quorum has synced. Only an entry of
// the leader's own term is committed by counting replicas; older entries are
// committed with it.
func (c *Core) advanceCommit() {
	match := func(id uint64) uint64 { return c.lead.peers[id].match }
	index := c.membership().quorumIndex(match)
	if index < c.lead.termStart || index <= c.commit {
		return
	}
	c.commitTo(index)
	c.advanceChange()
}

// LeaderCommit returns the largest commit index that a leader has told this member. A
// member that has applied less is behind: what it holds may be outdated.
func (c *Core) LeaderCommit() uint64 { return c.leaderCommit }

func (c *Core) commitTo(index uint64) {
	if index <= c.commit {
		return
	}
	c.commit = index
	c.updateRole()
}
