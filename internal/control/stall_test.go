package control

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// stall stops the loop for a while, as SIGSTOP or a long pause of the machine
// does; messages go on arriving meanwhile.
type stall time.Duration

func (s stall) handle(*loop) { time.Sleep(time.Duration(s)) }

// TestLeaderThatStandsStillCostsNobodyALease: another member leads meanwhile,
// and the former leader disturbs nothing when it goes on.
func TestLeaderThatStandsStillCostsNobodyALease(t *testing.T) {
	c := startCluster(t, 3, nil)
	f := follow(t, c.client(), "a")
	incarnation := f.Incarnation()
	stalled := c.leader()
	former := c.running[stalled]
	former.post(stall(3 * time.Second))
	delete(c.running, stalled) // its state can't be asked meanwhile
	next := c.leader()
	assert.Assert(t, next != stalled)
	jobs := acceptSome(t, c.client(), incarnation, "s", 5)
	c.running[stalled] = former
	c.caughtUp()
	assertJobs(t, c.client(), jobs)
	assert.Equal(t, f.Incarnation(), incarnation)
	assert.Assert(t, f.LeaseValid(time.Now()))
	assert.Equal(t, c.leader(), next, "the former leader does not take over again")
	assert.NilError(t, f.Leave(context.Background(), true))
}

// TestPauseOfTheOnlyLeaderEndsNoLease: when all stood still, the requests that
// would have renewed the leases are still unread.
func TestPauseOfTheOnlyLeaderEndsNoLease(t *testing.T) {
	c := startCluster(t, 1, func(o *Options) { o.Lease = 700 * time.Millisecond })
	client := c.client()
	f := follow(t, client, "a")
	incarnation := f.Incarnation()
	c.running[1].post(stall(time.Second))
	until(t, "a lease", func() bool { return f.LeaseValid(time.Now()) && f.View().Revision >= incarnation })
	_ = c.dump(1) // after the stall
	until(t, "a lease", func() bool { return f.LeaseValid(time.Now()) })
	assert.Equal(t, f.Incarnation(), incarnation)
}
