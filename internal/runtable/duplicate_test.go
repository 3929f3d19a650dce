package runtable

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestTaskIsFreeOnceItsEarlierRunHasEnded: an order for a task of which another
// run was at work was refused at once. Its dispatcher placed the task at another
// minion while the earlier run was still being stopped.
func TestTaskIsFreeOnceItsEarlierRunHasEnded(t *testing.T) {
	tab := table(t)
	earlier := order("a", 0, 1000)
	started(t, tab, at(2), earlier)
	later := earlier
	later.Owner = 2
	tab.Place(at(3), later)
	out := tab.TakeOutput()
	assert.Equal(t, len(out.Stops), 1)
	assert.Equal(t, len(out.Ends), 0, "refused while the earlier run is at work")
	tab.StopAnswered(at(4), ref(earlier))
	tab.ApplyListing(at(60), Listing{SentAt: at(59), Ended: []EndedRow{{RunID: ref(earlier), Number: 1, Outcome: Stopped}}})
	ends := tab.TakeOutput().Ends
	assert.Equal(t, len(ends), 2)
	assert.Equal(t, ends[0].Owner, Owner(1))
	assert.Equal(t, ends[1].Owner, Owner(2))
	assert.Equal(t, ends[1].Outcome, NotRun)
	assert.Equal(t, ends[1].Reason, ReasonDuplicate)
}

// TestTheLaterSubmissionGoesOn: two dispatchers had one job, and each order for a
// task stopped the run of the other. Of two submissions of a job, the later one
// has the greater key.
func TestTheLaterSubmissionGoesOn(t *testing.T) {
	earlier, later := order("a", 0, 1000), order("a", 0, 1000)
	earlier.Key, later.Key, later.Owner = 1000, 2300, 2

	tab := table(t)
	started(t, tab, at(2), earlier)
	tab.Place(at(3), later)
	tab.StopAnswered(at(4), ref(earlier))
	tab.ApplyListing(at(60), Listing{SentAt: at(59)})
	ends := tab.TakeOutput().Ends
	assert.Equal(t, ends[0].Reason, ReasonResubmitted)
	assert.Equal(t, ends[1].Reason, ReasonDuplicate)

	tab = table(t)
	started(t, tab, at(2), later)
	tab.Place(at(3), earlier)
	out := tab.TakeOutput()
	assert.Equal(t, len(out.Stops), 0)
	assert.Equal(t, len(out.Ends), 1)
	assert.Equal(t, out.Ends[0].Owner, earlier.Owner)
	assert.Equal(t, out.Ends[0].Reason, ReasonResubmitted)
}

// TestOtherTasksOfAnEarlierSubmissionEndToo: only the run of the same task was
// stopped, and the other tasks of the earlier submission went on.
func TestOtherTasksOfAnEarlierSubmissionEndToo(t *testing.T) {
	tab := table(t)
	earlier, later := order("a", 0, 1000), order("a", 1, 1000)
	earlier.Key, later.Key, later.Owner = 1000, 2300, 2
	started(t, tab, at(2), earlier)
	tab.Place(at(3), later)
	out := tab.TakeOutput()
	assert.DeepEqual(t, out.Stops, []RunID{ref(earlier)})
	assert.Equal(t, len(out.Starts), 1)
	tab.StopAnswered(at(4), ref(earlier))
	tab.ApplyListing(at(60), Listing{SentAt: at(59), Running: []RunningRow{{RunID: ref(later)}}})
	assert.Equal(t, onlyEnd(t, tab).Reason, ReasonResubmitted)
}
