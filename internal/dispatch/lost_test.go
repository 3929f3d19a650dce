package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivewing/internal/runtable"
)

// loseAndReconnect returns a dispatcher whose job has one run, at a runner that
// was lost at 100 ms and is connected again as runner 9 at 200 ms.
func loseAndReconnect(t *testing.T) (d *Dispatcher, lost runtable.RunID) {
	t.Helper()
	d = fleet()
	d.Submit(ms(0), testJob(step(1, 1000)))
	p := d.TakeOutput().Placements[0]
	name := d.runners[p.Runner].Name
	d.RunnerLost(ms(100), p.Runner)
	assert.Equal(t, len(d.TakeOutput().Stops), 0)
	d.UpdateRunner(ms(200), 9, minionStatus(name, 10_000))
	out := d.TakeOutput()
	assert.DeepEqual(t, out.Stops, []Stop{{Runner: 9, Job: "job", Runs: p.Runs}})
	assert.Equal(t, len(out.Placements), 0)
	return d, p.Runs[0]
}

// TestLostRunIsNotPlacedAgainOnElapsedTime: a run counted as over 1.8 s after its
// runner was lost, although the runner was connected again and the run at work.
func TestLostRunIsNotPlacedAgainOnElapsedTime(t *testing.T) {
	d, lost := loseAndReconnect(t)
	d.Tick(ms(200).Add(2 * LostRunTimeout))
	assert.Equal(t, len(d.TakeOutput().Placements), 0)
	d.RunEnded(ms(6000), 9, TaskEnd{RunID: lost, Outcome: runtable.Stopped, Reason: runtable.ReasonStopped})
	out := d.TakeOutput()
	assert.Equal(t, len(out.Placements), 1)
	assert.Equal(t, out.Placements[0].Runs[0].Run, lost.Run+1)
	assert.DeepEqual(t, out.LostRuns, []LostRun{{Earlier: lost, Runner: out.LostRuns[0].Runner, Since: 5900 * time.Millisecond, Confirmed: true}})
}

// TestLostRunThatEndedIsPlacedAtOnce: a job waited 1.8 s after its runner was
// lost for a moment, although the runner knew that the run had ended.
func TestLostRunThatEndedIsPlacedAtOnce(t *testing.T) {
	d, lost := loseAndReconnect(t)
	d.RunEnded(ms(210), 9, TaskEnd{RunID: lost, Outcome: runtable.Stopped, Reason: runtable.ReasonNotHere})
	assert.Equal(t, len(d.TakeOutput().Placements), 1)
}

// TestRunnerLostAgainBeforeItsAnswer: the time from which a run must have ended
// begins anew, since the runner was there in between.
func TestRunnerLostAgainBeforeItsAnswer(t *testing.T) {
	d, _ := loseAndReconnect(t)
	d.RunnerLost(ms(1000), 9)
	d.Tick(ms(999).Add(LostRunTimeout))
	assert.Equal(t, len(d.TakeOutput().Placements), 0)
	d.Tick(ms(1100).Add(LostRunTimeout))
	out := d.TakeOutput()
	assert.Equal(t, len(out.Placements), 1)
	assert.Equal(t, out.LostRuns[0].Confirmed, false)
}

// TestSpreadCountsLostRuns guards against more tasks of a step at one minion than it allows:
// a run whose session was lost counts at the next session until its end is reported.
func TestSpreadCountsLostRuns(t *testing.T) {
	d := New("z")
	d.UpdateRunner(ms(0), 1, minionStatus("m1", 10_000))
	spread := step(2, 1000)
	spread.MaxPerMinion = 1
	d.Submit(ms(0), testJob(spread))
	lost := d.TakeOutput().Placements[0].Runs[0]
	d.RunnerLost(ms(100), 1)
	d.UpdateRunner(ms(200), 9, minionStatus("m1", 10_000))
	assert.Equal(t, len(d.TakeOutput().Placements), 0)
	d.UpdateRunner(ms(300), 9, minionStatus("m1 after a restart", 10_000))
	assert.Equal(t, len(d.TakeOutput().Placements), 0)
	d.RunEnded(ms(400), 9, TaskEnd{RunID: lost, Outcome: runtable.Stopped, Reason: runtable.ReasonMinionGone})
	assert.DeepEqual(t, tasksPerRunner(d.TakeOutput()), map[RunnerID]int{9: 1})
}
