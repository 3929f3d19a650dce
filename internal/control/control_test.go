package control

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/controlclient"
)

// TestNothingIsLostWhenLeaderIsKilled checks that accepted jobs and a lease
// survive when the leader is killed.
func TestNothingIsLostWhenLeaderIsKilled(t *testing.T) {
	c := startCluster(t, 3, nil)
	client := c.client()
	f := controlclient.Follow(context.Background(), client, controlclient.FollowOptions{
		Instance: entryInstance("a"), Log: logr.Discard(), Hold: 50 * time.Millisecond,
	})
	defer f.Close()
	waitUntil(t, "lease", func() bool { return f.LeaseValid(time.Now()) })
	owner := f.Incarnation()
	jobs := map[string]uint64{}
	var victim uint64
	for i := range 60 {
		switch i % 20 {
		case 5:
			victim = c.leader()
			c.kill(victim)
		case 15:
			c.start(victim, false)
			c.waitCaughtUp()
		}
		submission := fmt.Sprint("s", i)
		r, err := client.Accept(context.Background(), acceptRequest(owner, submission))
		assert.NilError(t, err)
		assert.Equal(t, r.Outcome, wirepb.AcceptOutcome_ACCEPT_OUTCOME_NEW)
		jobs[submission] = r.Job.Job
	}
	for submission, job := range jobs {
		r, err := client.GetJob(context.Background(), &wirepb.GetJobRequest{Team: "t", Submission: submission})
		assert.NilError(t, err)
		assert.Equal(t, r.Job.Job, job)
	}
	assert.Assert(t, f.LeaseValid(time.Now()), "the lease ended with the killed leader")
	assert.Equal(t, f.Incarnation(), owner)
}
