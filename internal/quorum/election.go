package quorum

import (
	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/statechart"
)

// startPreVote asks the voters whether they would vote for this member, without
// a new term.
func (c *Core) startPreVote(e statechart.Event) {
	c.fire(e)
	c.leader = 0
	c.resetElectionTimer()
	c.votes = map[uint64]bool{c.cfg.ID: true}
	for _, id := range c.otherMembers() {
		if c.membership().IsVoter(id) {
			c.sendInTerm(c.term+1, id, c.voteRequest(true, false))
		}
	}
	c.tally()
}

// startElection starts an election in a new term. The vote requests are sent
// after term and vote are synced, and the member's own vote counts only then.
func (c *Core) startElection(e statechart.Event, transfer bool) {
	c.fire(e)
	c.term++
	c.vote = c.cfg.ID
	c.leader = 0
	c.startPhase = false
	c.resetElectionTimer()
	c.votes = map[uint64]bool{}
	for _, id := range c.otherMembers() {
		if c.membership().IsVoter(id) {
			c.sendAfterSync(id, c.voteRequest(false, transfer))
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

// onVoteRequest replies to a vote request of this term, or to a pre-vote
// request for a later term. A member votes even if it is not a voter in its own
// configuration, since the candidate's configuration may be newer.
func (c *Core) onVoteRequest(from, term uint64, r *wirepb.VoteRequest) {
	canVote := term > c.term || c.vote == from || (c.vote == 0 && c.leader == 0)
	granted := canVote && c.log.upToDate(r.LastIndex, r.LastTerm)
	if r.Pre && c.precedes(from, r) {
		granted = false
	}
	switch {
	case r.Pre && granted:
		c.endStartPhase()
		c.sendInTerm(term, from, voteResponse(true, true))
	case r.Pre || !granted:
		c.send(from, voteResponse(r.Pre, false))
	default:
		c.vote = from
		c.endStartPhase()
		c.electionElapsed = 0
		c.sendAfterSync(from, voteResponse(false, true))
	}
}

// precedes reports whether this member is a pre-candidate with the same log as
// the other pre-candidate and has the larger ID. Without this order, members
// whose election timeouts expire together would all win their pre-votes and
// split the votes.
func (c *Core) precedes(other uint64, r *wirepb.VoteRequest) bool {
	same := r.LastIndex == c.log.last() && r.LastTerm == c.log.lastTerm()
	return c.role == member.preCandidate && same && c.cfg.ID > other
}

func (c *Core) onVoteResponse(from, term uint64, r *wirepb.VoteResponse) {
	expected := c.role == member.candidate
	if r.Pre {
		expected = c.role == member.preCandidate
		if r.Granted && term != c.term+1 {
			return
		}
	}
	if !expected {
		return
	}
	if _, answered := c.votes[from]; !answered {
		c.votes[from] = r.Granted
	}
	c.tally()
}

// tally ends the pre-vote or election once a quorum has granted its vote or no
// quorum can be reached any more.
func (c *Core) tally() {
	m := c.membership()
	if m.quorum(func(id uint64) bool { return c.votes[id] }) {
		c.onElectionWon()
		return
	}
	mayGrant := func(id uint64) bool {
		granted, answered := c.votes[id]
		return granted || !answered
	}
	if !m.quorum(mayGrant) {
		c.fire(member.voteLost)
	}
}

func (c *Core) onElectionWon() {
	if c.role == member.preCandidate {
		c.startElection(member.preVoteWon, false)
		return
	}
	c.fire(member.voteWon)
	c.leader = c.cfg.ID
	c.electionElapsed = 0
	c.heartbeatElapsed = 0
	c.lead = leaderState{peers: map[uint64]*progress{}, termStart: c.log.last() + 1}
	c.trackMembers(c.lead.termStart)
	// Entries of older terms are committed only by committing an entry of this
	// term after them.
	c.appendEntry(&wirepb.Entry{Kind: wirepb.EntryKind_ENTRY_KIND_NOOP})
}

// onTimeoutNow starts an election without a pre-vote, as the leader requested
// for a leadership transfer.
func (c *Core) onTimeoutNow() {
	if c.role == member.follower {
		c.startElection(member.transferred, true)
	}
}

// TransferLeader starts a leadership transfer to a voter. If to is 0, the
// target is the live voter with the largest match index. Proposals are refused
// until the transfer ends or ElectionTicks have passed. TransferLeader does
// nothing if this member is not the leader or a transfer is in progress.
func (c *Core) TransferLeader(to uint64) {
	if !c.isLeader() || c.lead.transferee != 0 {
		return
	}
	if to == 0 {
		to = c.transferTarget()
	}
	if to == c.cfg.ID || !contains(c.membership().Voters, to) {
		return
	}
	c.lead.transferee = to
	c.lead.transferTicksLeft = c.cfg.ElectionTicks
	c.tryTransfer()
}

// tryTransfer asks the transferee to start an election once it has the whole
// log.
func (c *Core) tryTransfer() {
	to := c.lead.transferee
	if to == 0 {
		return
	}
	if p, ok := c.lead.peers[to]; ok && p.match == c.log.last() {
		c.send(to, timeoutNowMessage(&wirepb.TimeoutNow{}))
	}
}

// transferTarget returns the other live voter with the largest match index; 0
// if there is none.
func (c *Core) transferTarget() uint64 {
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
