package runtable

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestNothingStartsThatTheShrunkCapacityLacks: what runs and what is being stopped
// counts until its end is listed, also if it takes more than there is.
func TestNothingStartsThatTheShrunkCapacityLacks(t *testing.T) {
	tab := table(t)
	first, second := order("first", 0, 6000), order("second", 0, 3000)
	started(t, tab, at(1), first)
	started(t, tab, at(2), second)
	tab.UpdateMinion(at(3), Need{CPU: 4000}, true)
	assert.Equal(t, tab.Free(), Need{CPU: -5000})
	tab.Place(at(4), order("waits", 0, 1000))
	assert.Equal(t, len(tab.TakeOutput().Starts), 0)

	tab.StopJob(at(5), 1, "first")
	tab.StopAnswered(at(6), ref(first))
	assert.Equal(t, len(tab.TakeOutput().Starts), 0)
	tab.ApplyListing(at(8), Listing{
		SentAt: at(7), Running: []RunningRow{{RunID: ref(second), Percent: 1}},
		Ended: []EndedRow{{RunID: ref(first), Number: 1, Outcome: Stopped}},
	})
	assert.Equal(t, tab.TakeOutput().Starts[0].Job, "waits")

	tab.Place(at(9), order("later", 0, 1000))
	assert.Equal(t, len(tab.TakeOutput().Starts), 0)
	tab.UpdateMinion(at(10), Need{CPU: 5000}, true)
	assert.Equal(t, tab.TakeOutput().Starts[0].Job, "later")
}

// TestOrderLargerThanAShrunkMinionWaitedInVain: it held back the orders behind it until
// its wait was over.
func TestOrderLargerThanAShrunkMinionWaitedInVain(t *testing.T) {
	tab := table(t)
	started(t, tab, at(1), order("runs", 0, 3000))
	tab.Place(at(2), order("large", 0, 8000))
	tab.Place(at(2), order("small", 0, 1000))
	tab.UpdateMinion(at(3), Need{CPU: 4000}, true)
	out := tab.TakeOutput()
	assert.Equal(t, len(out.Ends), 1)
	assert.Equal(t, out.Ends[0].Job, "large")
	assert.Equal(t, out.Ends[0].Outcome, NotRun)
	assert.Equal(t, out.Ends[0].Reason, ReasonTooLarge)
	assert.Equal(t, out.Starts[0].Job, "small")
}

// TestNothingFitsBelowZero guards the arithmetic of a minion that shrank below what
// runs there.
func TestNothingFitsBelowZero(t *testing.T) {
	free := Need{CPU: -2000, Memory: 50}
	assert.Assert(t, !Need{CPU: 1}.Fits(free))
	assert.Equal(t, Need{CPU: 1}.FitCount(free, 5), int64(0))
	assert.Equal(t, free.Message().CpuMilli, uint32(0))
}
