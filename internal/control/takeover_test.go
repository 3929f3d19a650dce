package control

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/controlclient"
	"endivewing/internal/wire"
)

// follow starts a follower and waits until it has a lease.
func follow(t *testing.T, c controlclient.Control, name string) *controlclient.Follower {
	f := controlclient.Follow(context.Background(), c, controlclient.FollowOptions{
		Instance: entryInstance(name), Log: logr.Discard(), Hold: 30 * time.Millisecond,
	})
	t.Cleanup(f.Close)
	waitUntil(t, "lease", func() bool { return f.LeaseValid(time.Now()) })
	return f
}

func TestGroupOfDeadEntryIsTakenOver(t *testing.T) {
	ctx := context.Background()
	c := startCluster(t, 3, func(o *Options) { o.Lease = 300 * time.Millisecond })
	client := c.client()
	successor := follow(t, client, "successor")
	dead := register(t, client, "dead")
	job, err := client.Accept(ctx, acceptRequest(dead, "s"))
	assert.NilError(t, err)

	answer := make(chan *wirepb.GetJobResponse, 1)
	go func() {
		r, err := client.GetJob(ctx, &wirepb.GetJobRequest{Job: job.Job.Job, WaitMs: 30_000})
		assert.Check(t, err)
		answer <- r
	}()
	waitUntil(t, "takeover", func() bool { return successor.View().Groups[dead].GetOwner() == successor.Incarnation() })
	group := successor.View().Groups[dead]
	assert.Equal(t, group.Epoch, uint64(2))
	assert.Assert(t, successor.View().Instances[dead].GetEnded(), "the ended instance was removed while a job accepted before its end was open")
	_, err = client.Sync(ctx, &wirepb.SyncRequest{Incarnation: dead})
	assert.ErrorIs(t, err, controlclient.ErrFenced)
	_, err = client.Accept(ctx, acceptRequest(dead, "s2"))
	assert.ErrorIs(t, err, controlclient.ErrFenced)

	page, err := client.ListOpenJobs(ctx, &wirepb.ListOpenJobsRequest{Group: dead})
	assert.NilError(t, err)
	assert.Equal(t, len(page.Jobs), 1)
	assert.Equal(t, len(page.Jobs[0].Spec.Tasks[0].Payload), 100)
	late, err := client.Complete(ctx, completeRequest(dead, dead, 1, job.Job.Job))
	assert.NilError(t, err)
	assert.Assert(t, late.Fenced)
	request := completeRequest(successor.Incarnation(), dead, 2, job.Job.Job)
	for range 2 { // the second is a resend
		done, err := client.Complete(ctx, request)
		assert.NilError(t, err)
		assert.Assert(t, !done.Fenced)
	}
	r := <-answer
	assert.Equal(t, string(r.Job.Answer.Results[0]), "result")
	waitUntil(t, "the group ends", func() bool { return successor.View().GroupEnded(dead) && successor.View().Instances[dead] == nil })
	waitUntil(t, "the revision is in force", func() bool { return successor.InForce() == successor.View().Revision })
}

func TestResendAfterLostAnswer(t *testing.T) {
	ctx := context.Background()
	c := startCluster(t, 3, nil)
	client := c.client()
	owner := register(t, client, "a")
	request := acceptRequest(owner, "s")
	s, err := wire.Dial(ctx, c.running[c.leader()].Address(), wire.Options{
		Hello: func() *wirepb.Hello { return &wirepb.Hello{Cluster: "test"} }, Log: logr.Discard(),
	})
	assert.NilError(t, err)
	s.Start()
	assert.NilError(t, s.Send(wire.LaneTraffic, &wirepb.Envelope{
		Call: 1, Body: &wirepb.Envelope_AcceptRequest{AcceptRequest: request},
	}))
	waitUntil(t, "the record", func() bool { return c.dump(c.leader()).Ledger.Open == 1 })
	s.Close()
	first, err := client.Accept(ctx, request)
	assert.NilError(t, err)
	assert.Equal(t, first.Outcome, wirepb.AcceptOutcome_ACCEPT_OUTCOME_NEW)
	other, err := client.Accept(ctx, acceptRequest(owner, "s"))
	assert.NilError(t, err)
	assert.Equal(t, other.Outcome, wirepb.AcceptOutcome_ACCEPT_OUTCOME_EXISTING)
	assert.Equal(t, other.Job.Job, first.Job.Job)
}

func TestUnknownOutcomeIsNotReportedAsNotRun(t *testing.T) {
	c := startCluster(t, 3, nil)
	client := c.client()
	owner := register(t, client, "a")
	leader := c.leader()
	for _, m := range c.members {
		if m.ID != leader {
			c.kill(m.ID)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, err := client.Accept(ctx, acceptRequest(owner, "s"))
	assert.ErrorIs(t, err, controlclient.ErrUnknownOutcome)
	c.kill(leader)
	fresh := c.client()
	ctx, cancel = context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	_, err = fresh.Accept(ctx, acceptRequest(owner, "s"))
	assert.ErrorIs(t, err, controlclient.ErrNotRun)
}

func TestConcurrentApplyOfSameRevisionConflicts(t *testing.T) {
	ctx := context.Background()
	c := startCluster(t, 3, nil)
	a, b := c.client(), c.client()
	apply := func(client controlclient.Control, id, spec string, expected uint64) *wirepb.ApplyResponse {
		r, err := client.Apply(ctx, &wirepb.ApplyRequest{
			RequestId: id, ExpectedRevision: expected,
			Resource: &wirepb.Resource{Kind: "team", Name: "x", Spec: []byte(spec)},
		})
		assert.Check(t, err)
		return r
	}
	first := apply(a, "1", "v1", 0)
	results := make(chan *wirepb.ApplyResponse, 2)
	go func() { results <- apply(a, "2", "a", first.Resource.Revision) }()
	go func() { results <- apply(b, "3", "b", first.Resource.Revision) }()
	x, y := <-results, <-results
	assert.Assert(t, x.Conflict != y.Conflict)
	assert.Equal(t, x.Resource.Revision, y.Resource.Revision, "the conflicting request did not get the revision of the applied one")
	assert.Equal(t, string(x.Resource.Spec), string(y.Resource.Spec))
	c.kill(c.leader())
	again := apply(b, "1", "v1", 0)
	assert.Assert(t, !again.Conflict, "a resent request did not get its first response")
	assert.Equal(t, again.Resource.Revision, first.Resource.Revision)
}

func TestExpiredAnswerIsReportedAsExpired(t *testing.T) {
	ctx := context.Background()
	c := startCluster(t, 3, func(o *Options) { o.AnswerRetention = time.Millisecond })
	client := c.client()
	owner := register(t, client, "a")
	request := acceptRequest(owner, "s")
	job, err := client.Accept(ctx, request)
	assert.NilError(t, err)
	_, err = client.Complete(ctx, completeRequest(owner, owner, 1, job.Job.Job))
	assert.NilError(t, err)
	waitUntil(t, "expiry", func() bool { return c.dump(c.leader()).Ledger.Expired == 1 })
	again, err := client.Accept(ctx, request)
	assert.NilError(t, err)
	assert.Equal(t, again.Outcome, wirepb.AcceptOutcome_ACCEPT_OUTCOME_EXPIRED)
	assert.Equal(t, again.Job.Job, job.Job.Job)
	got, err := client.GetJob(ctx, &wirepb.GetJobRequest{Team: "t", Submission: "s"})
	assert.NilError(t, err)
	assert.Assert(t, got.Found && got.Job.AnswerExpired)
	assert.Equal(t, got.Job.State, wirepb.JobState_JOB_STATE_COMPLETE)
}

func TestDrainedEntryLeavesNoInstanceOrGroup(t *testing.T) {
	ctx := context.Background()
	c := startCluster(t, 3, nil)
	client := c.client()
	leaving, staying := follow(t, client, "a"), follow(t, client, "b")
	gone := leaving.Incarnation()
	leaving.Drain()
	waitUntil(t, "draining is seen", func() bool { return staying.View().Instances[gone].GetDraining() })
	assert.NilError(t, leaving.Leave(ctx, true))
	waitUntil(t, "the end is seen", func() bool { return staying.View().Instances[gone] == nil && staying.View().GroupEnded(gone) })
	assert.Equal(t, staying.View().Groups[staying.Incarnation()].Epoch, uint64(1))
}

// TestLargeRecord checks that a record close to maxCommandBytes reaches all
// members and that a larger one is refused without effect. Heartbeats are queued
// behind the record, so this test runs with the default tick instead of the
// shorter one of the other tests.
func TestLargeRecord(t *testing.T) {
	ctx := context.Background()
	c := startCluster(t, 3, func(o *Options) { o.Tick = DefaultTick })
	client := c.client()
	owner := register(t, client, "a")
	request := acceptRequest(owner, "large")
	request.Spec.Tasks[0].Payload = make([]byte, maxCommandBytes-1024)
	_, err := client.Accept(ctx, request)
	assert.NilError(t, err)
	request = acceptRequest(owner, "larger")
	request.Spec.Tasks[0].Payload = make([]byte, maxCommandBytes)
	_, err = client.Accept(ctx, request)
	assert.ErrorIs(t, err, controlclient.ErrInvalid)
	c.kill(c.leader())
	page, err := client.ListOpenJobs(ctx, &wirepb.ListOpenJobsRequest{Group: owner})
	assert.NilError(t, err)
	assert.Equal(t, len(page.Jobs), 1)
	c.waitCaughtUp()
}
