package quorum

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// TestCommitsAtEveryMember: an append stands for the heartbeat of its
// interval, and the next heartbeat tells the rest of the commit index.
func TestCommitsAtEveryMember(t *testing.T) {
	c := newCluster(t, 3)
	lead := c.elect()
	c.tick(2 * testHeartbeatTicks)
	index := c.propose(lead, []byte("a"), []byte("b"))
	heartbeats := 0
	lead.ready = func(r Ready) {
		for _, m := range r.Messages {
			if m.GetHeartbeat() != nil {
				heartbeats++
			}
		}
	}
	c.tick(testHeartbeatTicks)
	assert.Equal(t, heartbeats, 0)
	c.tick(testHeartbeatTicks)
	assert.Equal(t, heartbeats, 2)
	for _, h := range c.hosts {
		assert.Equal(t, h.app.applied, index+1)
	}
}

func TestSingleVoterWaitsForItsDisk(t *testing.T) {
	c := newCluster(t, 1)
	c.autoSync = false
	h := c.hosts[1]
	c.tick(3 * testElectionTicks)
	assert.Equal(t, h.core.Status().Role, "candidate")
	c.sync(h, 10)
	c.drain(h)
	assert.Equal(t, h.core.Status().Role, "leader")
	assert.Equal(t, h.core.commit, uint64(0))
	c.sync(h, 10)
	c.drain(h)
	assert.Equal(t, h.app.applied, uint64(1))
}

// TestLeaderKilledWritesResume: within three election timeouts, for any draw
// of the timeouts.
func TestLeaderKilledWritesResume(t *testing.T) {
	const seeds = 300
	var all []int
	for seed := range uint64(seeds) {
		c := newSeededCluster(t, 3, seed)
		old := c.elect()
		c.propose(old, []byte("a"))
		c.crash(old, 0)
		ticks := 0
		for c.leader() == nil || c.leader().core.commit < c.leader().core.lead.termStart {
			c.tick(1)
			ticks++
		}
		all = append(all, ticks)
	}
	slices.Sort(all)
	t.Logf("ticks without writes: median %d, longest %d; election timeout %d", all[seeds/2], all[seeds-1], testElectionTicks)
	assert.Assert(t, all[seeds-1] <= 3*testElectionTicks)
}

// TestReturningMemberDisturbsNobody: neither with an old log nor with one that
// could win an election.
func TestReturningMemberDisturbsNobody(t *testing.T) {
	for _, writes := range []int{0, 1} {
		returnAfter(t, writes)
	}
}

func returnAfter(t *testing.T, writes int) {
	t.Helper()
	c := newCluster(t, 3)
	lead := c.elect()
	away := lead.id%3 + 1
	c.cut = func(from, to uint64) bool { return from == away || to == away }
	c.tick(20 * testElectionTicks)
	for range writes {
		c.propose(lead, []byte("a"))
	}
	term := lead.core.term
	c.cut = func(uint64, uint64) bool { return false }
	// It asks before it hears of the leader.
	for range 2 * testElectionTicks {
		c.hosts[away].core.Tick()
		c.drain(c.hosts[away])
	}
	assert.Assert(t, len(c.mail) > 0)
	c.settle()
	c.tick(5 * testElectionTicks)
	assert.Equal(t, c.leader(), lead)
	assert.Equal(t, lead.core.term, term)
	assert.Equal(t, c.hosts[away].app.applied, lead.app.applied)
}

// TestLostAnswersBeforeCompaction: a member has all that was sent, its answers
// are lost, and the log that they were about is compacted.
func TestLostAnswersBeforeCompaction(t *testing.T) {
	c := newCluster(t, 3)
	lead := c.elect()
	deaf := lead.id%3 + 1
	c.tick(testElectionTicks)
	c.cut = func(from, _ uint64) bool { return from == deaf }
	for range 6 {
		c.propose(lead, []byte("a"))
	}
	c.tick(4 * testHeartbeatTicks)
	c.snapshot(lead, 0)
	// The first question after it is lost too.
	c.cut = func(from, to uint64) bool { return to == deaf }
	c.tick(testHeartbeatTicks)
	c.cut = func(uint64, uint64) bool { return false }
	c.tick(4 * testHeartbeatTicks)
	assert.Equal(t, c.hosts[deaf].app.applied, lead.app.applied)
	assert.Equal(t, lead.core.lead.peers[deaf].match, lead.core.log.last())
}

func TestCutLeaderStepsDown(t *testing.T) {
	c := newCluster(t, 3)
	lead := c.elect()
	c.cut = func(from, to uint64) bool { return from == lead.id || to == lead.id }
	assert.NilError(t, lead.core.ConfirmRead(1))
	var lost []uint64
	lead.ready = func(r Ready) { lost = append(lost, r.LostReads...) }
	c.tick(2 * testElectionTicks)
	assert.Assert(t, !lead.core.isLeader())
	assert.DeepEqual(t, lost, []uint64{1})
	_, _, err := lead.core.Propose([]byte("x"))
	assert.ErrorIs(t, err, ErrNotLeader)
}
