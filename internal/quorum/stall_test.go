package quorum

import (
	"testing"

	"gotest.tools/v3/assert"
)

// roundsPerTick is the number of message delays in a tick.
const roundsPerTick = 5

// heartbeatRounds is the heartbeat interval: ten message delays.
const heartbeatRounds = testHeartbeatTicks * roundsPerTick

// replaceMethods are two methods to replace voter 3 by learner 4. The first is
// the joint consensus of the core. The second is a sequence of single-server
// changes, appended to the log without the checks of ProposeChange.
var replaceMethods = []struct {
	name    string
	replace func(c *cluster, lead *host)
}{
	{"joint", func(c *cluster, lead *host) {
		_, err := lead.core.ProposeChange(Change{Kind: Promote, Member: Member{ID: 4}, Replace: 3})
		if err != nil {
			c.t.Fatalf("promote: %v", err)
		}
	}},
	{"single", func(c *cluster, lead *host) {
		add := lead.core.appendMembership(voters(1, 2, 3, 4))
		remove := uint64(0)
		lead.onReady = func(Ready) {
			if remove == 0 && lead.core.commit >= add {
				remove = lead.core.appendMembership(voters(1, 2, 4))
			}
		}
	}},
}

func voters(ids ...uint64) (m Membership) {
	for _, id := range ids {
		m.Voters = append(m.Voters, Member{ID: id})
	}
	return m
}

// stallCases are the faults during the change.
var stallCases = []struct {
	name string
	// slow is the delay of messages to and from member 4, in rounds.
	slow int
	// down is a member that crashes before the change; 0 means none. lost is a
	// member that crashes right after the start of the change; 0 means none.
	down, lost uint64
}{
	{name: "no fault", slow: 1},
	{name: "new member slow", slow: 4},
	{name: "old member down", slow: 1, down: 3},
	{name: "old member down, new member slow", slow: 4, down: 3},
	{name: "old member down, new member lost", slow: 1, down: 3, lost: 4},
	{name: "another voter lost", slow: 1, lost: 2},
}

// measureStall replaces a voter while one entry is proposed in each round. It
// returns the longest time between two commits, in rounds, and whether the
// change completed.
func measureStall(t *testing.T, replace func(*cluster, *host), down, lost uint64, slow int) (stall int, ended bool) {
	c := newCluster(t, 3)
	c.tick(testElectionTicks)
	c.hosts[1].core.startPreVote(member.electionTimeout)
	c.drain(c.hosts[1])
	c.settle()
	lead := c.elect()
	assert.Equal(t, lead.id, uint64(1))
	_, err := lead.core.ProposeChange(Change{Kind: AddLearner, Member: Member{ID: 4}})
	assert.NilError(t, err)
	c.add(4, Membership{})
	c.drain(lead)
	c.tick(2 * testHeartbeatTicks)
	if down != 0 {
		c.crash(c.hosts[down], 0)
		c.tick(testElectionTicks)
	}
	c.delay = func(from, to uint64) int {
		if from == 4 || to == 4 {
			return slow
		}
		return 1
	}
	last, commit := 0, uint64(0)
	for round := range 60 * roundsPerTick {
		if round == heartbeatRounds {
			replace(c, lead)
			last = round
			if lost != 0 {
				c.crash(c.hosts[lost], 0)
			}
		}
		writeRound(c, lead, round)
		if lead.core == nil || !lead.core.isLeader() {
			return 60 * roundsPerTick, false
		}
		if lead.core.commit > commit {
			commit = lead.core.commit
			last = round
		}
		stall = max(stall, round-last)
	}
	current := lead.core.membership()
	return stall, !current.Joint() && !current.IsVoter(3) && lead.core.configIndex() <= lead.core.commit
}

func writeRound(c *cluster, lead *host, round int) {
	if _, _, err := lead.core.Propose([]byte("write")); err != nil {
		c.t.Fatalf("propose: %v", err)
	}
	c.drain(lead)
	c.round()
	if round%roundsPerTick == 0 {
		for _, id := range c.ids {
			if h := c.hosts[id]; h.core != nil {
				h.core.Tick()
				c.drain(h)
			}
		}
	}
}

// TestWriteStallOfMembershipChange checks that a membership change delays commits
// by at most a heartbeat interval, as long as a quorum of the old voters is up.
func TestWriteStallOfMembershipChange(t *testing.T) {
	for _, s := range stallCases {
		for _, w := range replaceMethods {
			stall, ended := measureStall(t, w.replace, s.down, s.lost, s.slow)
			t.Logf("%-34s %-13s stall %3d rounds, ended %v", s.name, w.name, stall, ended)
			if w.name == "joint" {
				assert.Assert(t, stall <= heartbeatRounds, "%s: %d rounds", s.name, stall)
			}
		}
	}
}

// TestTransferStall checks that a leadership transfer delays commits by at most a
// heartbeat interval.
func TestTransferStall(t *testing.T) {
	c := newCluster(t, 3)
	old := c.elect()
	c.propose(old, []byte("a"))
	old.core.TransferLeader(0)
	_, _, err := old.core.Propose([]byte("b"))
	assert.ErrorIs(t, err, ErrTransferring)
	c.drain(old)
	rounds := 0
	for lead := c.leader(); lead == old || lead == nil || lead.core.commit < lead.core.lead.termStart; lead = c.leader() {
		c.round()
		rounds++
	}
	t.Logf("%d rounds without writes", rounds)
	assert.Assert(t, rounds <= heartbeatRounds)
}
