package quorum

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestDeposedLeaderConfirmsNoRead checks that a deposed leader confirms no read,
// even if its clock has stopped so that it doesn't step down by itself.
func TestDeposedLeaderConfirmsNoRead(t *testing.T) {
	c := newCluster(t, 3)
	old := c.elect()
	var reads []Read
	var lost []uint64
	old.onReady = func(r Ready) {
		reads = append(reads, r.Reads...)
		lost = append(lost, r.FailedReads...)
	}
	c.partitioned = func(from, to uint64) bool { return from == old.id || to == old.id }
	next := old
	for next == old {
		for id, h := range c.hosts {
			if id != old.id {
				h.core.Tick()
				c.drain(h)
			}
		}
		c.settle()
		next = c.leader()
	}
	c.propose(next, []byte("a"))
	assert.NilError(t, old.core.ConfirmRead(1))
	c.drain(old)
	c.settle()
	assert.Assert(t, old.core.isLeader())
	c.partitioned = func(uint64, uint64) bool { return false }
	c.tick(testHeartbeatTicks)
	assert.Equal(t, len(reads), 0)
	assert.DeepEqual(t, lost, []uint64{1})
}

// TestReadOfANewLeader checks that the read index of a new leader covers the
// entries that earlier leaders committed, though the new leader does not know
// yet that they are committed.
func TestReadOfANewLeader(t *testing.T) {
	c := newSingleCore(t)
	makeLeader(t, c)
	assert.NilError(t, c.ConfirmRead(1))
	c.Ready()
	for _, id := range []uint64{2, 3} {
		step(t, c, id, 4, heartbeatResponseMessage(heartbeatResponse(1)))
	}
	assert.DeepEqual(t, c.Ready().Reads, []Read{{Token: 1, Index: 3}})
}

// TestReadsShareARound checks that one round confirms several reads, and that
// reads which arrive during a round are confirmed by the next one.
func TestReadsShareARound(t *testing.T) {
	c := newSingleCore(t)
	makeLeader(t, c)
	heartbeats := func() (n int) {
		for _, m := range c.Ready().Messages {
			if m.GetHeartbeat() != nil {
				n++
			}
		}
		return n
	}
	assert.NilError(t, c.ConfirmRead(1))
	assert.NilError(t, c.ConfirmRead(2))
	assert.Equal(t, heartbeats(), 4)
	assert.NilError(t, c.ConfirmRead(3))
	assert.Equal(t, heartbeats(), 0)
	step(t, c, 2, 4, heartbeatResponseMessage(heartbeatResponse(1)))
	step(t, c, 3, 4, heartbeatResponseMessage(heartbeatResponse(1)))
	r := c.Ready()
	assert.Equal(t, len(r.Reads), 2)
	assert.Equal(t, len(r.Messages), 4)
}
