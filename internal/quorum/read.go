package quorum

import wirepb "endivewing/api/endivewing/v1"

// readState holds the unconfirmed reads of a leader. A round of heartbeats
// confirms many reads at once: those that arrive during a round wait for the
// next one.
type readState struct {
	// round is the number of the newest round.
	round uint64
	// running are the reads of the round in progress.
	running []Read
	// waiting are the reads for the next round.
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

// ConfirmRead requests a read index that a quorum confirms. The result follows
// under the same token, in Ready.Reads if confirmed or in Ready.FailedReads if
// not. It returns ErrNotLeader on other members.
func (c *Core) ConfirmRead(token uint64) error {
	if !c.isLeader() {
		return ErrNotLeader
	}
	// Before the first commit in its term, a leader may not know the newest
	// commit index. The first entry of its term comes after every entry that
	// can be committed by then.
	index := max(c.commit, c.lead.termStart)
	c.lead.reads.waiting = append(c.lead.reads.waiting, Read{Token: token, Index: index})
	return nil
}

// startReadRound sends the heartbeats that confirm the waiting reads, unless a
// round is in progress.
func (c *Core) startReadRound() {
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
	c.finishReadRound()
}

func (c *Core) onHeartbeatResponse(from uint64, h *wirepb.HeartbeatResponse) {
	p := c.peer(from)
	if p == nil {
		return
	}
	p.silentTicks = 0
	p.round = max(p.round, h.Round)
	c.finishReadRound()
}

func (c *Core) finishReadRound() {
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
