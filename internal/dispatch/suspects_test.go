package dispatch

import (
	"testing"

	"gotest.tools/v3/assert"

	"endivewing/internal/runtable"
)

// suspectFleet returns a dispatcher with n minions and jobs of one task, under each of which
// a minion crashed before they came.
func suspectFleet(n int, jobs ...string) *Dispatcher {
	d := largeFleet(n)
	var runs []runtable.RunID
	for _, id := range jobs {
		runs = append(runs, runOf(id, 0, 1))
	}
	d.MinionCrashed(ms(0), Crash{Endpoint: "m9", StartedUnixMs: 1, Runs: runs})
	for _, id := range jobs {
		d.Submit(ms(1), namedJob(id, 1))
	}
	return d
}

// TestSuspectsCrashedTogetherAgain: two suspects at one minion can't be told apart, and crash
// it twice over. Where there are more of them than minions, all are served.
func TestSuspectsCrashedTogetherAgain(t *testing.T) {
	d := suspectFleet(3, "a", "b", "c")
	d.UpdateRunner(ms(0), 1, minionStatus("m1", 1_000)) // others have less work, but suspects
	assert.DeepEqual(t, tasksPerRunner(d.TakeOutput()), map[RunnerID]int{1: 1, 2: 1, 3: 1})

	d = suspectFleet(2, "a", "b", "c", "d")
	assert.DeepEqual(t, tasksPerRunner(d.TakeOutput()), map[RunnerID]int{1: 2, 2: 2})
	assert.Equal(t, d.WaitingJobs(), 0)
}

// TestSuspectWentWhereMostIsAtWork: it goes where least is at work, and never waits at a
// full runner, where it would start beside whatever is there.
func TestSuspectWentWhereMostIsAtWork(t *testing.T) {
	d := suspectFleet(3)
	d.UpdateRunner(ms(0), 1, minionStatus("m1", 2_000))
	d.UpdateRunner(ms(0), 2, minionStatus("m2", 7_000))
	d.UpdateRunner(ms(0), 3, minionStatus("m3", 5_000))
	d.MinionCrashed(ms(0), Crash{Endpoint: "m9", StartedUnixMs: 1, Runs: []runtable.RunID{runOf("a", 0, 1)}})
	d.Submit(ms(1), namedJob("a", 1))
	assert.DeepEqual(t, tasksPerRunner(d.TakeOutput()), map[RunnerID]int{2: 1})

	d = suspectFleet(1, "a")
	d.UpdateRunner(ms(1), 1, minionStatus("m1", 0))
	assert.Equal(t, len(d.TakeOutput().Placements), 0)
	d.UpdateRunner(ms(2), 1, minionStatus("m1", 1000))
	assert.Equal(t, len(d.TakeOutput().Placements), 1)
}

// TestSuspectsOfOneJobCrashedAMinionEach: they go to one minion, which they can only take
// down once.
func TestSuspectsOfOneJobCrashedAMinionEach(t *testing.T) {
	d := largeFleet(4)
	runs := []runtable.RunID{runOf("a", 0, 1), runOf("a", 1, 1), runOf("a", 2, 1)}
	for i, r := range runs {
		d.MinionCrashed(ms(0), Crash{Endpoint: "m", StartedUnixMs: int64(i), Runs: []runtable.RunID{r}})
	}
	d.Submit(ms(1), namedJob("a", 3))
	assert.Equal(t, len(tasksPerRunner(d.TakeOutput())), 1)
}

// TestOtherTasksWaitedForASuspect: it may not wait at a full runner, the other tasks of its
// step may.
func TestOtherTasksWaitedForASuspect(t *testing.T) {
	d := suspectFleet(1, "a")
	d.UpdateRunner(ms(1), 1, minionStatus("m1", 0))
	d.TakeOutput()
	d.Submit(ms(3), namedJob("b", 2))
	d.MinionCrashed(ms(3), Crash{Endpoint: "m9", StartedUnixMs: 2, Runs: []runtable.RunID{runOf("b", 0, 1)}})
	out := d.TakeOutput()
	assert.Equal(t, len(out.Placements), 1)
	assert.DeepEqual(t, out.Placements[0].Runs, []runtable.RunID{runOf("b", 1, 1)})
}
