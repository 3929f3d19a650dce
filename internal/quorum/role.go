package quorum

import (
	"endivewing/charts"
	"endivewing/internal/statechart"
)

// member holds the state machine of a member's role with its states and events.
var member = loadMemberChart()

type memberChart struct {
	chart *statechart.Chart

	learner, follower, preCandidate, candidate, leader statechart.State

	electionTimeout, transferred, preVoteWon, voteWon, voteLost statechart.Event
	newerTerm, leaderSeen, quorumLost, promoted, demoted        statechart.Event
}

func loadMemberChart() memberChart {
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

// fire changes the role by an event of the state machine. It panics if the
// present role has no transition for the event, since that is a bug in the core
// whatever its input.
func (c *Core) fire(e statechart.Event) {
	next, err := member.chart.Next(c.role, e)
	if err != nil {
		panic(err)
	}
	if c.role == member.leader && next != member.leader {
		c.stopLeading()
	}
	c.role = next
}

func (c *Core) isLeader() bool { return c.role == member.leader }

// becomeFollower makes the member a follower, unless it is a learner. A larger
// term is adopted with the vote cleared; a leader of 0 is unknown.
func (c *Core) becomeFollower(term, leader uint64, e statechart.Event) {
	if term > c.term {
		c.term = term
		c.vote = 0
		c.leader = 0
		c.resetElectionTimer()
	}
	c.fire(e)
	if leader != 0 {
		c.leader = leader
	}
	c.updateRole()
}

// updateRole promotes or demotes the member as its configurations require. A
// leader keeps its role until the configuration without it is committed.
func (c *Core) updateRole() {
	if c.isLeader() {
		return
	}
	voter := c.canCampaign()
	switch {
	case voter && c.role == member.learner:
		c.fire(member.promoted)
	case !voter && c.role != member.learner:
		c.fire(member.demoted)
	}
}

// canCampaign reports whether the member is a voter in the last configuration
// known to be committed or in a later one. A member whose removal is in its log
// but not committed must still be able to campaign, since it may be the only
// member left whose log is up-to-date enough to win an election.
func (c *Core) canCampaign() bool {
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

// stopLeading clears the leader's state; its unconfirmed reads have failed.
func (c *Core) stopLeading() {
	c.out.failedReads = append(c.out.failedReads, c.lead.reads.tokens()...)
	c.lead = leaderState{}
	c.leader = 0
	c.resetElectionTimer()
}
