package quorum

import (
	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/statechart"
)

// campaign asks the voters whether an election could be won.
func (c *Core) campaign(e statechart.Event) {
	c.fire(e)
	c.leader = 0
	c.resetTimer()
	c.votes = map[uint64]bool{c.cfg.ID: true}
	for _, id := range c.others() {
		if c.membership().IsVoter(id) {
			c.sendIn(c.term+1, id, c.voteRequest(true, false))
		}
	}
	c.tally()
}

// elect starts an election in a new term. The requests wait for the sync of
// term and vote, and the own vote counts only after it.
func (c *Core) elect(e statechart.Event, transfer bool) {
	c.fire(e)
	c.term++
	c.vote = c.cfg.ID
	c.leader = 0
	c.resetTimer()
	c.votes = map[uint64]bool{}
	for _, id := range c.others() {
		if c.membership().IsVoter(id) {
			c.sendSynced(id, c.voteRequest(false, transfer))
		}
	}
}

func (c *Core) voteRequest(pre, transfer bool) *wirepb.CoreMessage {
	return voteRequestMessage(&wirepb.VoteRequest{
		Pre:       pre,
		LastIndex: c.log.last(),
		LastTerm:  c.log.lastTerm(),
		Transfer:  transfer,
	})
}

func voteResponse(pre, granted bool) *wirepb.CoreMessage {
	return voteResponseMessage(&wirepb.VoteResponse{Pre: pre, Granted: granted})
}

// onVoteRequest answers a request of this term, or a question about a later
// one. A member votes whether or not it knows itself as a voter: the
// candidate's configuration may be newer.
func (c *Core) onVoteRequest(from, term uint64, r *wirepb.VoteRequest) {
	free := term > c.term || c.vote == from || (c.vote == 0 && c.leader == 0)
	granted := free && c.log.upToDate(r.LastIndex, r.LastTerm)
	if r.Pre && c.ahead(from, r) {
		granted = false
	}
	switch {
	case r.Pre && granted:
		c.sendIn(term, from, voteResponse(true, true))
	case r.Pre || !granted:
		c.send(from, voteResponse(r.Pre, false))
	default:
		c.vote = from
		c.elapsed = 0
		c.sendSynced(from, voteResponse(false, true))
	}
}

// ahead tells whether this member asks for pre-votes too and comes before
// another one that does. Without an order among them, members whose timeouts
// end together would all be granted their question and split the votes.
func (c *Core) ahead(of uint64, r *wirepb.VoteRequest) bool {
	same := r.LastIndex == c.log.last() && r.LastTerm == c.log.lastTerm()
	return c.role == member.preCandidate && same && c.cfg.ID > of
}

func (c *Core) onVoteResponse(from, term uint64, r *wirepb.VoteResponse) {
	asked := c.role == member.candidate
	if r.Pre {
		asked = c.role == member.preCandidate
		if r.Granted && term != c.term+1 {
			return
		}
	}
	if !asked {
		return
	}
	if _, answered := c.votes[from]; !answered {
		c.votes[from] = r.Granted
	}
	c.tally()
}

// tally ends the election, or the question before it, once it is decided.
func (c *Core) tally() {
	m := c.membership()
	if m.quorum(func(id uint64) bool { return c.votes[id] }) {
		c.won()
		return
	}
	open := func(id uint64) bool {
		granted, answered := c.votes[id]
		return granted || !answered
	}
	if !m.quorum(open) {
		c.fire(member.voteLost)
	}
}

func (c *Core) won() {
	if c.role == member.preCandidate {
		c.elect(member.preVoteWon, false)
		return
	}
	c.fire(member.voteWon)
	c.leader = c.cfg.ID
	c.elapsed = 0
	c.beatElapsed = 0
	c.lead = leaderState{peers: map[uint64]*progress{}, termStart: c.log.last() + 1}
	c.trackMembers(c.lead.termStart)
	// Entries of older terms commit only together with one of this term.
	c.appendEntry(&wirepb.Entry{Kind: wirepb.EntryKind_ENTRY_KIND_NOOP})
}

// onTimeoutNow starts an election at the leader's wish.
func (c *Core) onTimeoutNow() {
	if c.role == member.follower {
		c.elect(member.transferred, true)
	}
}

// TransferLeader hands the leadership to a voter, or to the one with the most
// of the log when to is 0. Proposals are refused until it ends, at the latest
// after an election timeout. It does nothing at a member that does not lead.
func (c *Core) TransferLeader(to uint64) {
	if !c.isLeader() || c.lead.transferee != 0 {
		return
	}
	if to == 0 {
		to = c.bestVoter()
	}
	if to == c.cfg.ID || !contains(c.membership().Voters, to) {
		return
	}
	c.lead.transferee = to
	c.lead.transferLeft = c.cfg.ElectionTicks
	c.tryTransfer()
}

// tryTransfer asks the transferee to stand once it has the whole log.
func (c *Core) tryTransfer() {
	to := c.lead.transferee
	if to == 0 {
		return
	}
	if p, ok := c.lead.peers[to]; ok && p.match == c.log.last() {
		c.send(to, timeoutNowMessage(&wirepb.TimeoutNow{}))
	}
}

// bestVoter returns the live voter with the most of the log; 0 if none.
func (c *Core) bestVoter() uint64 {
	var best, match uint64
	for _, v := range c.membership().Voters {
		p, ok := c.lead.peers[v.ID]
		if !ok || v.ID == c.cfg.ID || !c.live(v.ID) {
			continue
		}
		if best == 0 || p.match > match {
			best, match = v.ID, p.match
		}
	}
	return best
}
