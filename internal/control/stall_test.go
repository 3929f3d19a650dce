package control

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// stall is an event that blocks the loop for a time, as SIGSTOP or a long pause
// of the machine does. Messages still arrive meanwhile.
type stall time.Duration

func (s stall) handle(*loop) { time.Sleep(time.Duration(s)) }

// TestStalledLeaderEndsNoLease checks that no lease ends when the leader stalls
// and another member takes over, and that the former leader stays a follower
// when it continues.
func TestStalledLeaderEndsNoLease(t *testing.T) {
	c := startCluster(t, 3, nil)
	f := follow(t, c.client(), "a")
	incarnation := f.Incarnation()
	stalled := c.leader()
	former := c.running[stalled]
	former.enqueue(stall(3 * time.Second))
	delete(c.running, stalled) // a stalled member can't return a dump
	next := c.leader()
	assert.Assert(t, next != stalled)
	jobs := acceptSome(t, c.client(), incarnation, "s", 5)
	c.running[stalled] = former
	c.waitCaughtUp()
	assertJobs(t, c.client(), jobs)
	assert.Equal(t, f.Incarnation(), incarnation)
	assert.Assert(t, f.LeaseValid(time.Now()))
	assert.Equal(t, c.leader(), next, "the former leader has taken over again")
	assert.NilError(t, f.Leave(context.Background(), true))
}

// TestStallOfOnlyMemberEndsNoLease guards against ending leases after a stall of
// the only member. The Sync requests that would have renewed them are still
// unread at that time.
func TestStallOfOnlyMemberEndsNoLease(t *testing.T) {
	c := startCluster(t, 1, func(o *Options) { o.Lease = 700 * time.Millisecond })
	client := c.client()
	f := follow(t, client, "a")
	incarnation := f.Incarnation()
	c.running[1].enqueue(stall(time.Second))
	waitUntil(t, "a lease", func() bool { return f.LeaseValid(time.Now()) && f.View().Revision >= incarnation })
	_ = c.dump(1) // after the stall
	waitUntil(t, "a lease", func() bool { return f.LeaseValid(time.Now()) })
	assert.Equal(t, f.Incarnation(), incarnation)
}
