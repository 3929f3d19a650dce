package control

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/controlclient"
	"endivewing/internal/wal"
)

// failingLog is a log whose appends fail while its disk is full or broken.
type failingLog struct {
	appender
	full, broken *atomic.Bool
}

func (f failingLog) Append(records ...*wirepb.LogRecord) error {
	switch {
	case f.broken.Load():
		return &wal.FatalError{File: "log", Op: "sync", Err: errors.New("input/output error")}
	case f.full.Load():
		return wal.ErrDiskFull
	}
	return f.appender.Append(records...)
}

// diskFaults switches disk faults on and off, by member.
type diskFaults struct{ full, broken map[uint64]*atomic.Bool }

func startWithDiskFaults(t *testing.T) (*cluster, diskFaults) {
	d := diskFaults{full: map[uint64]*atomic.Bool{}, broken: map[uint64]*atomic.Bool{}}
	c := startCluster(t, 3, func(o *Options) {
		full, broken := &atomic.Bool{}, &atomic.Bool{}
		d.full[o.ID], d.broken[o.ID] = full, broken
		o.wrapLog = func(log appender) appender { return failingLog{log, full, broken} }
	})
	return c, d
}

func TestFullDiskOfLeaderTransfersLeadership(t *testing.T) {
	c, d := startWithDiskFaults(t)
	client := c.client()
	owner := register(t, client, "a")
	c.waitCaughtUp()
	full := c.leader()
	d.full[full].Store(true)
	jobs := acceptSome(t, client, owner, "s", 10)
	assert.Assert(t, c.leader() != full)
	d.full[full].Store(false)
	c.waitCaughtUp()
	assertJobs(t, client, jobs)
}

// TestFullDisksRefuseRequestsUntilSpaceIsFree fills the disks of all members.
// The request whose record meets the full disk has an unknown outcome. Later
// requests are refused without effect, and succeed once there is space.
func TestFullDisksRefuseRequestsUntilSpaceIsFree(t *testing.T) {
	c, d := startWithDiskFaults(t)
	client := c.client()
	owner := register(t, client, "a")
	c.waitCaughtUp()
	for _, full := range d.full {
		full.Store(true)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	// This record was proposed before the leader found its disk full.
	_, err := client.Accept(ctx, acceptRequest(owner, "unresolved"))
	assert.ErrorIs(t, err, controlclient.ErrUnknownOutcome)
	ctx, cancel = context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	_, err = client.Accept(ctx, acceptRequest(owner, "refused"))
	assert.ErrorIs(t, err, controlclient.ErrNotRun)
	for _, full := range d.full {
		full.Store(false)
	}
	r, err := client.Accept(context.Background(), acceptRequest(owner, "refused"))
	assert.NilError(t, err)
	assert.Equal(t, r.Outcome, wirepb.AcceptOutcome_ACCEPT_OUTCOME_NEW, "a request reported as not run was recorded")
}

func TestFailedSyncEndsTheProcess(t *testing.T) {
	c, d := startWithDiskFaults(t)
	client := c.client()
	owner := register(t, client, "a")
	jobs := acceptSome(t, client, owner, "s", 5)
	broken := c.leader()
	d.broken[broken].Store(true)
	r, err := client.Accept(context.Background(), acceptRequest(owner, "s5"))
	assert.NilError(t, err)
	jobs["s5"] = r.Job.Job
	var fatal *wal.FatalError
	assert.Assert(t, errors.As(c.running[broken].Err(), &fatal))
	delete(c.running, broken)
	assertJobs(t, client, jobs)
}

func TestStopTransfersLeadership(t *testing.T) {
	c := startCluster(t, 3, nil)
	client := c.client()
	owner := register(t, client, "a")
	stopped := c.leader()
	answered := make(chan error, 1)
	go func() {
		_, err := client.Accept(context.Background(), acceptRequest(owner, "s"))
		answered <- err
	}()
	assert.NilError(t, c.running[stopped].Stop(context.Background()))
	delete(c.running, stopped)
	assert.NilError(t, <-answered)
	assert.Assert(t, c.leader() != stopped)
}
