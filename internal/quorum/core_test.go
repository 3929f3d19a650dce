package quorum

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestCommitsAtEveryMember(t *testing.T) {
	c := newCluster(t, 3)
	lead := c.elect()
	index := c.propose(lead, []byte("a"), []byte("b"))
	c.tick(testHeartbeatTicks)
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

func TestLeaderKilledWritesResume(t *testing.T) {
	c := newCluster(t, 3)
	old := c.elect()
	c.propose(old, []byte("a"))
	c.crash(old, 0)
	ticks := 0
	for c.leader() == nil || c.leader().core.commit < c.leader().core.lead.termStart {
		c.tick(1)
		ticks++
	}
	assert.Assert(t, ticks <= 3*testElectionTicks, "%d ticks", ticks)
}

func TestReturningMemberDisturbsNobody(t *testing.T) {
	c := newCluster(t, 3)
	lead := c.elect()
	away := lead.id%3 + 1
	c.cut = func(from, to uint64) bool { return from == away || to == away }
	c.tick(20 * testElectionTicks)
	c.propose(lead, []byte("a"))
	term := lead.core.term
	c.cut = func(uint64, uint64) bool { return false }
	c.tick(5 * testElectionTicks)
	assert.Equal(t, c.leader(), lead)
	assert.Equal(t, lead.core.term, term)
	assert.Equal(t, c.hosts[away].app.applied, lead.app.applied)
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
