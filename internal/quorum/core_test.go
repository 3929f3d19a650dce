package quorum

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// TestCommitsAtEveryMember checks that an append replaces the heartbeat of its
// interval, and that the heartbeat after it carries the commit index to all
// members.
func TestCommitsAtEveryMember(t *testing.T) {
	c := newCluster(t, 3)
	lead := c.elect()
	c.tick(2 * testHeartbeatTicks)
	index := c.propose(lead, []byte("a"), []byte("b"))
	heartbeats := 0
	lead.onReady = func(r Ready) {
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

// TestWritesResumeAfterLeaderCrash checks that a new leader commits an entry
// within three election timeouts, with any random timeouts.
func TestWritesResumeAfterLeaderCrash(t *testing.T) {
	const seeds = 300
	var stalls []int
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
		stalls = append(stalls, ticks)
	}
	slices.Sort(stalls)
	t.Logf("ticks without writes: median %d, longest %d; election timeout %d", stalls[seeds/2], stalls[seeds-1], testElectionTicks)
	assert.Assert(t, stalls[seeds-1] <= 3*testElectionTicks)
}

// TestReturningMemberCausesNoElection checks that a member that returns after a
// partition doesn't depose the leader. One case has a log that is behind, the
// other one that could win an election.
func TestReturningMemberCausesNoElection(t *testing.T) {
	for _, writes := range []int{0, 1} {
		checkReturnAfter(t, writes)
	}
}

func checkReturnAfter(t *testing.T, writes int) {
	t.Helper()
	c := newCluster(t, 3)
	lead := c.elect()
	isolated := lead.id%3 + 1
	c.partitioned = func(from, to uint64) bool { return from == isolated || to == isolated }
	c.tick(20 * testElectionTicks)
	for range writes {
		c.propose(lead, []byte("a"))
	}
	term := lead.core.term
	c.partitioned = func(uint64, uint64) bool { return false }
	// The member sends vote requests before it hears from the leader.
	for range 2 * testElectionTicks {
		c.hosts[isolated].core.Tick()
		c.drain(c.hosts[isolated])
	}
	assert.Assert(t, len(c.undelivered) > 0)
	c.settle()
	c.tick(5 * testElectionTicks)
	assert.Equal(t, c.leader(), lead)
	assert.Equal(t, lead.core.term, term)
	assert.Equal(t, c.hosts[isolated].app.applied, lead.app.applied)
}

// TestLostAnswersBeforeCompaction checks that replication to a member continues
// after its replies were lost and the leader has compacted the entries that
// they acknowledged.
func TestLostAnswersBeforeCompaction(t *testing.T) {
	c := newCluster(t, 3)
	lead := c.elect()
	follower := lead.id%3 + 1
	c.tick(testElectionTicks)
	c.partitioned = func(from, _ uint64) bool { return from == follower }
	for range 6 {
		c.propose(lead, []byte("a"))
	}
	c.tick(4 * testHeartbeatTicks)
	c.snapshot(lead, 0)
	// The first message to the member after the compaction is lost too.
	c.partitioned = func(from, to uint64) bool { return to == follower }
	c.tick(testHeartbeatTicks)
	c.partitioned = func(uint64, uint64) bool { return false }
	c.tick(4 * testHeartbeatTicks)
	assert.Equal(t, c.hosts[follower].app.applied, lead.app.applied)
	assert.Equal(t, lead.core.lead.peers[follower].match, lead.core.log.last())
}

func TestPartitionedLeaderStepsDown(t *testing.T) {
	c := newCluster(t, 3)
	lead := c.elect()
	c.partitioned = func(from, to uint64) bool { return from == lead.id || to == lead.id }
	assert.NilError(t, lead.core.ConfirmRead(1))
	var lost []uint64
	lead.onReady = func(r Ready) { lost = append(lost, r.FailedReads...) }
	c.tick(2 * testElectionTicks)
	assert.Assert(t, !lead.core.isLeader())
	assert.DeepEqual(t, lost, []uint64{1})
	_, _, err := lead.core.Propose([]byte("x"))
	assert.ErrorIs(t, err, ErrNotLeader)
}

// TestStartElectsOnceMembersReachEachOther replays the return of all members
// after a power loss: their sessions open some ticks after their starts. A leader
// is elected as soon as a quorum is connected, not a regular election timeout
// later.
func TestStartElectsOnceMembersReachEachOther(t *testing.T) {
	for unreachable := range 2 * testElectionTicks {
		c := newCluster(t, 3)
		c.elect()
		c.startTicks = 1
		c.restartAll()
		c.partitioned = func(uint64, uint64) bool { return true }
		c.tick(unreachable)
		c.partitioned = func(uint64, uint64) bool { return false }
		c.tick(2)
		assert.Assert(t, c.leader() != nil, "unreachable for %d ticks", unreachable)
	}
}

// TestStartElectionWaitsForSlowDisks checks that the short timeouts of a start
// don't end an election whose votes are still on their way to the disks.
func TestStartElectionWaitsForSlowDisks(t *testing.T) {
	c := newCluster(t, 3)
	term := c.elect().core.term
	c.startTicks = 1
	c.restartAll()
	c.autoSync = false
	for range testElectionTicks - 1 {
		c.tick(1)
	}
	for range 4 {
		for _, id := range c.ids {
			c.sync(c.hosts[id], len(c.hosts[id].unsynced))
			c.drain(c.hosts[id])
		}
		c.settle()
	}
	assert.Assert(t, c.leader() != nil)
	assert.Equal(t, c.leader().core.term, term+1)
}

// TestStartElectsOverSlowLinks checks that members whose answers take several of
// the short timeouts of a start, and each a different time, elect a leader all
// the same: answers to an earlier request count.
func TestStartElectsOverSlowLinks(t *testing.T) {
	c := newCluster(t, 5)
	c.elect()
	c.startTicks = 1
	c.restartAll()
	c.delay = func(from, to uint64) int { return int(from + to - 2) }
	slowest := c.delay(4, 5)
	for range 4*slowest + 4 {
		for _, id := range c.ids {
			c.hosts[id].core.Tick()
			c.drain(c.hosts[id])
		}
		c.round()
	}
	assert.Assert(t, c.leader() != nil)
}
