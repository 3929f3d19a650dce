package quorum

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestMemberThatIsBehindPassedForCurrent: a member that had been cut off followed the
// leader of the same term again before it had what was committed meanwhile, and nothing
// told it so.
func TestMemberThatIsBehindPassedForCurrent(t *testing.T) {
	for name, compacted := range map[string]bool{"entries": false, "snapshot": true} {
		t.Run(name, func(t *testing.T) { checkBehind(t, compacted) })
	}
}

// checkBehind lets a member fall behind. If compacted is set, it needs a snapshot, which
// takes its time, as a transfer does, and it restarts meanwhile.
func checkBehind(t *testing.T, compacted bool) {
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
	if compacted {
		c.snapshot(lead, 0)
	}
	c.partitioned = func(uint64, uint64) bool { return false }
	sawBehind, restarted := 0, false
	for tick := 0; cut.core.applied < committed; tick++ {
		lead.core.Tick()
		c.drain(lead)
		for len(c.undelivered) > 0 {
			if c.undelivered[0].snap != nil && tick < 2*testElectionTicks {
				c.undelivered = c.undelivered[1:] // the transfer is not over yet
				if !restarted {
					restarted = true
					c.crash(cut, 0)
					c.start(cut)
				}
				continue
			}
			c.deliver(0)
			if cut.core.leader != lead.id || cut.core.applied >= committed {
				continue
			}
			sawBehind++
			assert.Equal(t, cut.core.LeaderCommit(), committed, "member %d has applied %d", cut.id, cut.core.applied)
		}
	}
	assert.Assert(t, sawBehind > 0)
}
