package quorum

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestMemberThatIsBehindPassedForCurrent: a member that had been cut off followed the
// leader of the same term again before it had what was committed meanwhile, and nothing
// told it so.
func TestMemberThatIsBehindPassedForCurrent(t *testing.T) {
	c := newCluster(t, 3)
	lead := c.elect()
	c.propose(lead, []byte("a"))
	c.tick(testHeartbeatTicks)
	cut := c.hosts[lead.id%3+1]
	c.partitioned = func(from, to uint64) bool { return from == cut.id || to == cut.id }
	c.tick(2 * testElectionTicks) // cut no longer knows a leader
	for range 20 {
		c.propose(lead, []byte("b"))
	}
	c.settle()
	committed := lead.core.commit
	assert.Assert(t, cut.core.commit < committed)
	c.partitioned = func(uint64, uint64) bool { return false }
	sawBehind := false
	for cut.core.applied < committed {
		lead.core.Tick()
		c.drain(lead)
		for len(c.undelivered) > 0 {
			c.deliver(0)
			if cut.core.leader != lead.id || cut.core.applied >= committed {
				continue
			}
			sawBehind = true
			assert.Assert(t, cut.core.applied < cut.core.LeaderCommit(), "member %d has applied %d of %d", cut.id, cut.core.applied, committed)
		}
	}
	assert.Assert(t, sawBehind)
}
