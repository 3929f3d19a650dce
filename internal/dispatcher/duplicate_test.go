package dispatcher

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivewing/internal/dispatch"
	"endivewing/internal/runtable"
)

// TestSecondRequestOfARunningJobChangesNothing submits a job again while its first
// request is served. The second is answered as a duplicate, and its caller's leaving
// does not cancel the job.
func TestSecondRequestOfARunningJobChangesNothing(t *testing.T) {
	l := testProcess("d").loop
	now := time.Now()
	capacity := runtable.Need{CPU: 4000, Memory: 100}
	l.core.UpdateRunner(now, 1, dispatch.RunnerStatus{Service: "s", Endpoint: "i", Capacity: capacity, Free: capacity, Ready: true})
	submit := func() chan dispatch.Answer {
		answer := make(chan dispatch.Answer, 2)
		jobSubmitted{&dispatch.Job{
			ID: "j", Service: "s", Arrived: now, Objective: now.Add(time.Minute), Deadline: now.Add(time.Minute),
			Steps: []dispatch.Step{{Count: 1, Need: dispatch.Need{CPU: 1000}, Estimate: time.Second}},
		}, answer}.handle(l, now)
		l.flush()
		return answer
	}
	leave := func(answer chan dispatch.Answer) {
		callerLeft{"j", answer}.handle(l, now)
		l.flush()
	}
	first, second := submit(), submit()
	assert.Equal(t, len(second), 1)
	assert.Equal(t, (<-second).Reason, dispatch.ReasonDuplicate)
	leave(second)
	assert.Equal(t, len(first), 0)
	assert.Equal(t, l.core.Jobs(), 1)
	leave(first)
	assert.Equal(t, len(first), 1)
	assert.Equal(t, (<-first).Reason, dispatch.ReasonCallerLeft)
}
