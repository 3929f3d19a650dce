package quorum

import (
	"endivewing/charts"
	"endivewing/internal/statechart"
)

// member holds the chart of a member's role with its states and events.
var member = loadMember()

type memberChart struct {
	chart *statechart.Chart

	learner, follower, preCandidate, candidate, leader statechart.State

	electionTimeout, transferred, preVoteWon, voteWon, voteLost statechart.Event
	newerTerm, leaderSeen, quorumLost, promoted, demoted        statechart.Event
}

func loadMember() memberChart {
	chart := statechart.MustLoad(charts.Member)
	return memberChart{
		chart:           chart,
		learner:         chart.State("learner"),
		follower:        chart.State("follower"),
		preCandidate:    chart.State("pre_candidate"),
		candidate:       chart.State("candidate"),
		leader:          chart.State("leader"),
		electionTimeout: chart.Event("election_timeout"),
		transferred:     chart.Event("transferred"),
		preVoteWon:      chart.Event("pre_vote_won"),
		voteWon:         chart.Event("vote_won"),
		voteLost:        chart.Event("vote_lost"),
		newerTerm:       chart.Event("newer_term"),
		leaderSeen:      chart.Event("leader_seen"),
		quorumLost:      chart.Event("quorum_lost"),
		promoted:        chart.Event("promoted"),
		demoted:         chart.Event("demoted"),
	}
}

// fire steps the role through its chart. An event without a transition is a
// defect of the core, not of its input.
func (c *Core) fire(e statechart.Event) {
	next, err := member.chart.Next(c.role, e)
	if err != nil {
		panic(err)
	}
	if c.role == member.leader && next != member.leader {
		c.leaveLead()
	}
	c.role = next
}

func (c *Core) isLeader() bool { return c.role == member.leader }

// follow makes the member a follower, or lets it stay a learner.
func (c *Core) follow(term, leader uint64, e statechart.Event) {
	if term > c.term {
		c.term = term
		c.vote = 0
		c.leader = 0
		c.resetTimer()
	}
	c.fire(e)
	if leader != 0 {
		c.leader = leader
	}
	c.settle()
}

// settle brings the role in line with the configurations. A leader stays one
// until the configuration without it is committed.
func (c *Core) settle() {
	if c.isLeader() {
		return
	}
	voter := c.mayStand()
	switch {
	case voter && c.role == member.learner:
		c.fire(member.promoted)
	case !voter && c.role != member.learner:
		c.fire(member.demoted)
	}
}

// mayStand tells whether the member has a vote in the last configuration that
// is known to be committed, or in a later one. A member whose removal is in
// its log but not committed must still stand for election: it may be the only
// one left with a log that the others can vote for.
func (c *Core) mayStand() bool {
	for i := len(c.configs) - 1; i >= 0; i-- {
		if c.configs[i].membership.IsVoter(c.cfg.ID) {
			return true
		}
		if c.configs[i].index <= c.commit {
			return false
		}
	}
	return false
}

// leaveLead drops what only a leader has.
func (c *Core) leaveLead() {
	c.out.lostReads = append(c.out.lostReads, c.lead.reads.tokens()...)
	c.lead = leaderState{}
	c.leader = 0
	c.resetTimer()
}
