package quorum

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestDeposedLeaderConfirmsNoRead: its clock stands still, so it does not step
// down by itself.
func TestDeposedLeaderConfirmsNoRead(t *testing.T) {
	c := newCluster(t, 3)
	old := c.elect()
	var reads []Read
	var lost []uint64
	old.ready = func(r Ready) {
		reads = append(reads, r.Reads...)
		lost = append(lost, r.LostReads...)
	}
	c.cut = func(from, to uint64) bool { return from == old.id || to == old.id }
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
	c.cut = func(uint64, uint64) bool { return false }
	c.tick(testHeartbeatTicks)
	assert.Equal(t, len(reads), 0)
	assert.DeepEqual(t, lost, []uint64{1})
}

// TestReadOfANewLeader: its index covers what the leader before committed,
// though this one does not know yet that it is committed.
func TestReadOfANewLeader(t *testing.T) {
	c := alone(t)
	lead(t, c)
	assert.NilError(t, c.ConfirmRead(1))
	c.Ready()
	for _, id := range []uint64{2, 3} {
		step(t, c, id, 4, heartbeatResponseMessage(heartbeatResponse(1)))
	}
	assert.DeepEqual(t, c.Ready().Reads, []Read{{Token: 1, Index: 3}})
}

// TestReadsShareARound: those that arrive while a round runs take the next.
func TestReadsShareARound(t *testing.T) {
	c := alone(t)
	lead(t, c)
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
