package quorum

import wirepb "endivewing/api/endivewing/v1"

// readState holds a leader's reads. Those that arrive while a round runs wait
// for the next one, so that one round confirms many.
type readState struct {
	round   uint64
	running []Read
	waiting []Read
}

func (r *readState) tokens() []uint64 {
	var out []uint64
	for _, x := range r.running {
		out = append(out, x.Token)
	}
	for _, x := range r.waiting {
		out = append(out, x.Token)
	}
	return out
}

// ConfirmRead asks for a read index that a quorum confirms: Ready.Reads tells
// it under the same token, or Ready.LostReads that it failed.
func (c *Core) ConfirmRead(token uint64) error {
	if !c.isLeader() {
		return ErrNotLeader
	}
	// Before its first commit a leader may not know the newest commit index,
	// but its first entry is behind everything that can be committed.
	index := max(c.commit, c.lead.termStart)
	c.lead.reads.waiting = append(c.lead.reads.waiting, Read{Token: token, Index: index})
	return nil
}

// startRound sends the heartbeats that confirm the waiting reads.
func (c *Core) startRound() {
	r := &c.lead.reads
	if len(r.waiting) == 0 || len(r.running) > 0 {
		return
	}
	r.round++
	r.running, r.waiting = r.waiting, nil
	for _, id := range c.lead.ids {
		if id != c.cfg.ID && c.membership().IsVoter(id) {
			c.sendHeartbeat(id, c.lead.peers[id])
		}
	}
	c.endRound()
}

func (c *Core) onHeartbeatResponse(from uint64, h *wirepb.HeartbeatResponse) {
	p := c.peer(from)
	if p == nil {
		return
	}
	p.silent = 0
	p.round = max(p.round, h.Round)
	c.endRound()
}

func (c *Core) endRound() {
	r := &c.lead.reads
	if len(r.running) == 0 {
		return
	}
	confirmed := func(id uint64) bool { return id == c.cfg.ID || c.lead.peers[id].round >= r.round }
	if !c.membership().quorum(confirmed) {
		return
	}
	c.out.reads = append(c.out.reads, r.running...)
	r.running = nil
}
