package dispatch

import (
	"testing"

	"gotest.tools/v3/assert"

	"endivewing/internal/runtable"
)

// givenUpJob returns a dispatcher that has given up a job of one task whose run has
// not ended, and the runner and the end of this run.
func givenUpJob(t *testing.T, outcome runtable.Outcome, reason string) (d *Dispatcher, at RunnerID, end TaskEnd) {
	t.Helper()
	d = fleet()
	d.Submit(ms(0), testJob(step(1, 1000)))
	at, end = runEnd(d.TakeOutput(), 0, outcome, reason)
	d.Cancel(ms(5), "job")
	out := d.TakeOutput()
	assert.Equal(t, len(out.Stops), 1)
	assert.Equal(t, len(out.Answers), 1)
	return d, at, end
}

// TestJobSentAgainRanBesideItsEarlierRuns: a job that comes back while the stops of its
// earlier runs are on their way waits for their ends.
func TestJobSentAgainRanBesideItsEarlierRuns(t *testing.T) {
	d, at, end := givenUpJob(t, runtable.Stopped, runtable.ReasonStopped)
	d.Submit(ms(6), testJob(step(1, 1000)))
	assert.Equal(t, len(d.TakeOutput().Placements), 0)
	assert.Equal(t, d.Jobs(), 1)
	d.RunEnded(ms(40), at, end)
	assert.Equal(t, len(d.TakeOutput().Placements), 1)
	assert.Equal(t, d.Jobs(), 1)
}

// TestEndOfAnEarlierRunCountedForALaterSubmission: both submissions count their runs
// from 1, so the end of the first run was taken for that of the second, which worked on.
func TestEndOfAnEarlierRunCountedForALaterSubmission(t *testing.T) {
	d, at, end := givenUpJob(t, runtable.NotRun, runtable.ReasonNoCapacity)
	d.Submit(ms(6), testJob(step(1, 1000)))
	d.RunEnded(ms(7), at, end)
	assert.Equal(t, len(d.TakeOutput().Placements), 1)
	assert.Equal(t, len(d.TakeOutput().Placements), 0)
}

// TestJobThatWaitsForItsEarlierRunsIsAnswered: at its deadline, when its caller leaves,
// and when a third submission comes.
func TestJobThatWaitsForItsEarlierRunsIsAnswered(t *testing.T) {
	again := testJob(step(1, 1000))
	d, _, _ := givenUpJob(t, runtable.Stopped, runtable.ReasonStopped)
	d.Submit(ms(6), again)
	d.Tick(again.Deadline.Add(1))
	answer := d.TakeOutput().Answers[0]
	assert.Equal(t, answer.Result, GivenUp)
	assert.Equal(t, answer.Reason, ReasonOverdue)
	assert.Equal(t, d.Jobs(), 0)

	d.Submit(ms(7), again)
	d.Submit(ms(8), again)
	answer = d.TakeOutput().Answers[0]
	assert.Equal(t, answer.Result, Refused)
	assert.Equal(t, answer.Reason, ReasonDuplicate)
	d.Cancel(ms(9), "job")
	assert.Equal(t, d.TakeOutput().Answers[0].Reason, ReasonCallerLeft)

	d.Submit(ms(10), again)
	d.AbortAll(ms(11))
	assert.Equal(t, d.TakeOutput().Answers[0].Reason, ReasonStalled)
}

// TestJobWaitsForTheRunsOfALostRunner: an earlier run is over once its runner is back
// and says so, or LostRunTimeout has passed.
func TestJobWaitsForTheRunsOfALostRunner(t *testing.T) {
	d, at, _ := givenUpJob(t, runtable.Stopped, runtable.ReasonStopped)
	d.RunnerLost(ms(6), at)
	again := testJob(step(1, 1000))
	again.Deadline = ms(6).Add(2 * LostRunTimeout)
	d.Submit(ms(7), again)
	d.Tick(ms(6).Add(LostRunTimeout - 1))
	assert.Equal(t, len(d.TakeOutput().Placements), 0)
	d.Tick(ms(6).Add(LostRunTimeout + reviewInterval))
	assert.Equal(t, len(d.TakeOutput().Placements), 1)
}
