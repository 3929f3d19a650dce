package quorum

import (
	"slices"

	wirepb "endivewing/api/endivewing/v1"
)

// Propose appends commands to the log, one entry each, in order. The entries
// have the indexes from firstIndex on and the given term; Ready.Committed and
// Ready.Lost tell their fate. The core keeps the slices.
func (c *Core) Propose(data ...[]byte) (firstIndex, term uint64, err error) {
	if err := c.canPropose(); err != nil {
		return 0, 0, err
	}
	firstIndex = c.log.last() + 1
	for _, d := range data {
		c.appendEntry(&wirepb.Entry{Kind: wirepb.EntryKind_ENTRY_KIND_COMMAND, Data: d})
	}
	c.out.proposed(firstIndex, c.log.last(), c.term)
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

// appendEntry adds an entry to the leader's log. It is sent at the next Ready,
// together with all that was added by then.
func (c *Core) appendEntry(e *wirepb.Entry) uint64 {
	e.Index = c.log.last() + 1
	e.Term = c.term
	c.log.append(e)
	if e.Kind == wirepb.EntryKind_ENTRY_KIND_MEMBERSHIP {
		c.noteConfigs([]*wirepb.Entry{e})
		c.trackMembers(e.Index)
	}
	return e.Index
}

// trackMembers makes the leader's progress records fit the configuration. A
// new member is first sent the entry at next.
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
	c.beatElapsed++
	for _, id := range c.lead.ids {
		c.lead.peers[id].silent++
	}
	if c.elapsed >= c.cfg.ElectionTicks {
		c.elapsed = 0
		if !c.checkQuorum() {
			return
		}
	}
	if c.lead.transferee != 0 {
		c.lead.transferLeft--
		if c.lead.transferLeft <= 0 {
			c.lead.transferee = 0
		}
	}
	if c.beatElapsed >= c.cfg.HeartbeatTicks {
		c.beatElapsed = 0
		c.beatAll()
	}
}

// checkQuorum ends the leadership of a leader that no quorum has answered for
// an election timeout: a newer one may have been elected by then.
func (c *Core) checkQuorum() bool {
	heard := func(id uint64) bool { return id == c.cfg.ID || c.lead.peers[id].silent < c.cfg.ElectionTicks }
	if c.membership().quorum(heard) {
		return true
	}
	c.fire(member.quorumLost)
	c.settle()
	return false
}

func (c *Core) beatAll() {
	for _, id := range c.lead.ids {
		if id != c.cfg.ID {
			c.beat(id, c.lead.peers[id])
		}
	}
	c.lead.beatBefore, c.lead.lastBeat = c.lead.lastBeat, c.commit
}

// beat sends the periodic heartbeat, unless an append did its work. An append
// that was not answered for a whole interval is asked about again, since it
// or its answer may be lost.
func (c *Core) beat(id uint64, p *progress) {
	if !p.spoken || len(c.lead.reads.running) > 0 {
		c.sendHeartbeat(id, p)
	}
	p.spoken = false
	switch p.state {
	case probing:
		p.probed = false
		if p.match < c.log.last() && c.log.last() < p.next {
			c.askAgain(id, p)
		}
	case replicating:
		if p.match == p.beatMatch && p.match+1 < p.next {
			c.askAgain(id, p)
		}
	case snapshotting:
		p.waitTicks += c.cfg.HeartbeatTicks
		if p.waitTicks >= snapshotRetryTimeouts*c.cfg.ElectionTicks {
			p.probe(p.match + 1)
		}
	}
	p.beatMatch = p.match
}

// askAgain asks for an answer to what was sent. When the log no longer tells
// the term there, it asks from its start on.
func (c *Core) askAgain(id uint64, p *progress) {
	if p.next <= c.log.baseIndex {
		p.probe(c.log.first())
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
		Round:     c.lead.reads.round,
		Commit:    min(c.commit, p.match),
		PrevIndex: prev,
		PrevTerm:  term,
	}))
}

// replicate sends what each member lacks and may be sent now.
func (c *Core) replicate() {
	for _, id := range c.lead.ids {
		if id == c.cfg.ID {
			continue
		}
		p := c.lead.peers[id]
		for p.next <= c.log.last() && p.sendable(c.cfg.MaxInflight) {
			if p.next <= c.log.baseIndex {
				c.offerSnapshot(id, p)
				break
			}
			entries := c.log.from(p.next, c.cfg.MaxBatchBytes)
			c.sendAppend(id, p, entries)
			p.sent(entries[len(entries)-1].Index)
		}
	}
}

func (c *Core) sendAppend(id uint64, p *progress, entries []*wirepb.Entry) {
	term, ok := c.log.term(p.next - 1)
	if !ok {
		return
	}
	p.spoken = true
	c.send(id, appendMessage(&wirepb.AppendRequest{
		PrevIndex: p.next - 1,
		PrevTerm:  term,
		Commit:    c.commit,
		Entries:   entries,
	}))
}

func (c *Core) onAppend(from uint64, r *wirepb.AppendRequest) {
	prev, prevTerm, entries := r.PrevIndex, r.PrevTerm, r.Entries
	if prev < c.commit {
		// What is committed agrees already.
		n := min(c.commit-prev, uint64(len(entries)))
		entries = entries[n:]
		prev = c.commit
		prevTerm, _ = c.log.term(prev)
	}
	if !c.log.matches(prev, prevTerm) {
		c.reject(from, prev, prevTerm)
		return
	}
	c.extend(entries)
	last := prev + uint64(len(entries))
	c.commitTo(min(r.Commit, last))
	c.sendSynced(from, appendResponse(last))
}

// extend appends entries that follow an agreed one; those that differ from
// what the log holds replace it.
func (c *Core) extend(entries []*wirepb.Entry) {
	for i, e := range entries {
		if c.log.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= c.log.last() {
			c.log.truncate(e.Index - 1)
			c.dropConfigs(e.Index - 1)
		}
		c.log.append(entries[i:]...)
		c.noteConfigs(entries[i:])
		c.settle()
		return
	}
}

func (c *Core) reject(to, prev, prevTerm uint64) {
	hint, hintTerm := c.log.agree(prev, prevTerm)
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
	c.send(from, heartbeatResponseMessage(&wirepb.HeartbeatResponse{Round: h.Round}))
	if h.PrevIndex > c.commit && !c.log.matches(h.PrevIndex, h.PrevTerm) {
		c.reject(from, h.PrevIndex, h.PrevTerm)
		return
	}
	// The leader knows this member's log up to that commit as its own.
	c.commitTo(min(h.Commit, c.log.last()))
}

func (c *Core) onAppendResponse(from uint64, r *wirepb.AppendResponse) {
	p := c.peer(from)
	if p == nil {
		return
	}
	p.silent = 0
	if r.Rejected {
		c.onReject(p, r)
		return
	}
	if p.state == snapshotting && r.Match < c.log.baseIndex {
		return
	}
	if p.acked(r.Match) {
		c.advanceCommit()
		c.tryTransfer()
	}
}

// onReject goes back to the latest place at which the logs may agree. An old
// rejection, of what was acknowledged since, is ignored.
func (c *Core) onReject(p *progress, r *wirepb.AppendResponse) {
	if p.state == snapshotting || r.RejectedIndex <= p.match {
		return
	}
	if p.state == probing && r.RejectedIndex != p.next-1 {
		return
	}
	agreed, _ := c.log.agree(min(r.HintIndex, r.RejectedIndex-1), r.HintTerm)
	p.probe(agreed + 1)
}

func (c *Core) peer(id uint64) *progress {
	if !c.isLeader() {
		return nil
	}
	return c.lead.peers[id]
}

// advanceCommit commits what a quorum has synced. Only an entry of the
// leader's own term commits by count; older ones commit with it.
func (c *Core) advanceCommit() {
	match := func(id uint64) uint64 { return c.lead.peers[id].match }
	index := c.membership().matched(match)
	if index < c.lead.termStart || index <= c.commit {
		return
	}
	c.commitTo(index)
	c.finishChange()
}

func (c *Core) commitTo(index uint64) {
	if index <= c.commit {
		return
	}
	c.commit = index
	c.settle()
}
