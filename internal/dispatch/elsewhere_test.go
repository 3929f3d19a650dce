package dispatch

import (
	"testing"

	"gotest.tools/v3/assert"

	"endivewing/internal/runtable"
)

// TestJobOfAnotherDispatcherRanBesideItsEarlierRuns: a job that another dispatcher has
// open waits until that has ended.
func TestJobOfAnotherDispatcherRanBesideItsEarlierRuns(t *testing.T) {
	d := fleet()
	d.HoldForElsewhere(ms(0), testJob(step(1, 1000)))
	d.Tick(ms(60))
	assert.Equal(t, len(d.TakeOutput().Placements), 0)
	assert.Equal(t, d.Jobs(), 1)
	assert.DeepEqual(t, d.HeldForElsewhere(), []string{"job"})
	d.ReleaseElsewhere(ms(70), "job")
	assert.Equal(t, len(d.TakeOutput().Placements), 1)
	assert.Equal(t, d.Jobs(), 1)
	assert.Equal(t, len(d.HeldForElsewhere()), 0)
}

// TestJobWaitsForItsRunsHereAndElsewhere: it was sent here, then elsewhere, then here
// again.
func TestJobWaitsForItsRunsHereAndElsewhere(t *testing.T) {
	for _, hereFirst := range []bool{true, false} {
		d, at, end := givenUpJob(t, runtable.Stopped, runtable.ReasonStopped)
		d.HoldForElsewhere(ms(6), testJob(step(1, 1000)))
		if hereFirst {
			d.RunEnded(ms(7), at, end)
		} else {
			d.ReleaseElsewhere(ms(7), "job")
		}
		assert.Equal(t, len(d.TakeOutput().Placements), 0)
		if hereFirst {
			d.ReleaseElsewhere(ms(8), "job")
		} else {
			d.RunEnded(ms(8), at, end)
		}
		assert.Equal(t, len(d.TakeOutput().Placements), 1)
	}
}

// TestJobThatWaitsForRunsElsewhereIsAnswered: at its deadline, when its caller leaves,
// after a pause of the process, and when a third dispatcher wants it.
func TestJobThatWaitsForRunsElsewhereIsAnswered(t *testing.T) {
	again := testJob(step(1, 1000))
	causes := map[string]func(d *Dispatcher){
		ReasonOverdue:    func(d *Dispatcher) { d.Tick(again.Deadline.Add(1)) },
		ReasonCallerLeft: func(d *Dispatcher) { d.Cancel(ms(1), "job") },
		ReasonStalled:    func(d *Dispatcher) { d.AbortAll(ms(1)) },
		ReasonElsewhere:  func(d *Dispatcher) { d.GiveUpForElsewhere(ms(1), "job") },
	}
	for reason, cause := range causes {
		d := fleet()
		d.HoldForElsewhere(ms(0), again)
		cause(d)
		answers := d.TakeOutput().Answers
		assert.Equal(t, len(answers), 1, reason)
		assert.Equal(t, answers[0].Result, GivenUp)
		assert.Equal(t, answers[0].Reason, reason)
		assert.Equal(t, d.Jobs(), 0)
		assert.Equal(t, len(d.OldJobs(again.Deadline)), 0)
		d.Tick(again.Deadline.Add(2 * reviewInterval))
		assert.Equal(t, len(d.ending), 0)
	}
}

// TestJobThatAnotherDispatcherWantsIsGivenUp: it counts as old until its runs have ended.
func TestJobThatAnotherDispatcherWantsIsGivenUp(t *testing.T) {
	d := fleet()
	d.Submit(ms(0), testJob(step(1, 1000)))
	at, end := runEnd(d.TakeOutput(), 0, runtable.Stopped, runtable.ReasonStopped)
	assert.Equal(t, len(d.OldJobs(ms(-1))), 0)
	assert.DeepEqual(t, d.OldJobs(ms(0)), []string{"job"})
	d.GiveUpForElsewhere(ms(1400), "job")
	out := d.TakeOutput()
	assert.Equal(t, len(out.Stops), 1)
	assert.Equal(t, out.Answers[0].Result, GivenUp)
	assert.Equal(t, out.Answers[0].Reason, ReasonElsewhere)
	assert.DeepEqual(t, d.OldJobs(ms(0)), []string{"job"})
	d.RunEnded(ms(1410), at, end)
	assert.Equal(t, len(d.OldJobs(ms(0))), 0)
}
