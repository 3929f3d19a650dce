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
