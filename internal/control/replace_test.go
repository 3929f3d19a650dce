package control

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/controlclient"
)

// acceptSome accepts n jobs and returns their numbers by submission.
func acceptSome(t *testing.T, client controlclient.Control, owner uint64, prefix string, n int) map[string]uint64 {
	jobs := map[string]uint64{}
	for i := range n {
		submission := fmt.Sprint(prefix, i)
		r, err := client.Accept(context.Background(), acceptRequest(owner, submission))
		assert.NilError(t, err)
		jobs[submission] = r.Job.Job
	}
	return jobs
}

// assertJobs checks that each submission has its job.
func assertJobs(t *testing.T, client controlclient.Control, jobs map[string]uint64) {
	for submission, job := range jobs {
		r, err := client.GetJob(context.Background(), &wirepb.GetJobRequest{Team: "t", Submission: submission})
		assert.NilError(t, err)
		assert.Equal(t, r.Job.GetJob(), job)
	}
}

func changeMembers(t testing.TB, client controlclient.Control, action wirepb.MembershipAction, p Peer, replace uint64) {
	_, err := client.Membership(context.Background(), &wirepb.MembershipRequest{
		Action: action, Replace: replace,
		Member: &wirepb.Member{Id: p.ID, Name: p.Name, Address: p.Address},
	})
	assert.NilError(t, err)
}

// TestMemberLossAfterLostDiskIsReplaced checks that no accepted job is lost in
// this sequence: a member loses its disk and is refused under its old ID, a
// member with a new ID replaces it, and the leader is killed right after the
// promotion.
func TestMemberLossAfterLostDiskIsReplaced(t *testing.T) {
	for _, snapshots := range []uint64{0, 10} {
		t.Run(fmt.Sprint("snapshots every ", snapshots), func(t *testing.T) {
			c := startCluster(t, 3, func(o *Options) {
				o.SnapshotEntries = snapshots
				o.RetainEntries = max(1, snapshots/2)
			})
			client := c.client()
			owner := register(t, client, "a")
			jobs := acceptSome(t, client, owner, "before", 40)
			waitUntil(t, "disks are recorded", func() bool { return c.dump(c.leader()).Ledger.Resources == 3+2 })
			c.waitCaughtUp()
			if snapshots > 0 {
				waitUntil(t, "snapshots", func() bool { return c.dump(c.leader()).LastSnapshot >= 40 })
			}

			c.kill(3)
			c.dirs[3] = t.TempDir()
			emptied := c.start(3, false)
			assert.ErrorIs(t, emptied.Err(), ErrDiskLost)
			delete(c.running, 3)

			c.members = append(c.members, c.newPeer(4))
			c.start(4, true)
			changeMembers(t, client, wirepb.MembershipAction_MEMBERSHIP_ACTION_ADD_LEARNER, c.peer(4), 0)
			changeMembers(t, client, wirepb.MembershipAction_MEMBERSHIP_ACTION_PROMOTE, c.peer(4), 3)
			c.kill(c.leader())
			for submission, job := range acceptSome(t, client, owner, "after", 5) {
				jobs[submission] = job
			}
			assertJobs(t, client, jobs)
			assert.Equal(t, c.dump(4).Quorum.Role == "learner", false)
			assert.Equal(t, len(c.dump(4).Members), 3)
		})
	}
}

func TestDataFolderOfAnotherClusterIsRefused(t *testing.T) {
	c := startCluster(t, 1, nil)
	c.kill(1)
	o := c.options(1, false)
	o.Cluster = "another"
	_, err := Start(context.Background(), o)
	assert.ErrorIs(t, err, ErrIdentity)
	_, err = Start(context.Background(), Options{})
	assert.ErrorIs(t, err, ErrOptions)
}

// TestMemberFarBehindCatchesUp checks that a member catches up by a snapshot if
// the leader's log no longer holds the entries that it missed, and that it
// restarts from that snapshot.
func TestMemberFarBehindCatchesUp(t *testing.T) {
	c := startCluster(t, 3, func(o *Options) {
		o.SnapshotEntries = 20
		o.RetainEntries = 1
	})
	client := c.client()
	owner := register(t, client, "a")
	c.waitCaughtUp()
	behind := c.leader()%3 + 1
	c.kill(behind)
	jobs := acceptSome(t, client, owner, "s", 100)
	waitUntil(t, "snapshot", func() bool { return c.dump(c.leader()).LastSnapshot > 60 })
	c.start(behind, false)
	c.waitCaughtUp()
	assert.Equal(t, c.dump(behind).Ledger.Open, 100)
	assert.Assert(t, c.dump(behind).LastSnapshot > 60)
	c.kill(behind)
	c.start(behind, false)
	c.waitCaughtUp()
	assert.Equal(t, c.dump(behind).Ledger.Open, 100)
	assertJobs(t, client, jobs)
}

// TestCrashBetweenSnapshotAndLog checks the start of a member that crashed after
// a received snapshot was durable but before the log recorded it. Later entries
// must not leave a gap in the log.
func TestCrashBetweenSnapshotAndLog(t *testing.T) {
	c := startCluster(t, 3, func(o *Options) {
		o.SnapshotEntries = 20
		o.RetainEntries = 1
	})
	client := c.client()
	owner := register(t, client, "a")
	c.waitCaughtUp()
	leader := c.leader()
	behind := leader%3 + 1
	c.kill(behind)
	jobs := acceptSome(t, client, owner, "s", 50)
	waitUntil(t, "snapshot", func() bool { return c.dump(leader).LastSnapshot > 20 })
	assert.NilError(t, os.CopyFS(filepath.Join(c.dirs[behind], "snapshots"), os.DirFS(filepath.Join(c.dirs[leader], "snapshots"))))
	for range 2 {
		c.start(behind, false)
		for submission, job := range acceptSome(t, client, owner, fmt.Sprint(len(jobs)), 5) {
			jobs[submission] = job
		}
		c.waitCaughtUp()
		assert.Equal(t, c.dump(behind).Ledger.Open, len(jobs))
		c.kill(behind)
	}
	c.start(behind, false)
	assertJobs(t, client, jobs)
}
