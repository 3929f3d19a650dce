package runtable

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestEndIsReportedToTheNextSession: the end of a run whose dispatcher had lost
// its session was reported to nobody.
func TestEndIsReportedToTheNextSession(t *testing.T) {
	tab := table(t)
	o := order("a", 0, 1000)
	started(t, tab, at(1), o)
	tab.DropOwner(at(2), 1)
	tab.ConfirmEnd(at(3), 2, ref(o))
	out := tab.TakeOutput()
	assert.DeepEqual(t, out.Stops, []RunID{ref(o)})
	assert.Equal(t, len(out.Ends), 0, "the run is at work")
	tab.StopAnswered(at(4), ref(o))
	tab.ApplyListing(at(60), Listing{SentAt: at(59)})
	end := onlyEnd(t, tab)
	assert.Equal(t, end.Owner, Owner(2))
	assert.Equal(t, end.Outcome, Stopped)

	tab.ConfirmEnd(at(70), 2, ref(o))
	assert.Equal(t, onlyEnd(t, tab).Reason, ReasonNotHere)
}

// TestEndOfARunOfAnEarlierProcess: a new runner process does not know what its
// predecessor started, until the minion has listed no foreign runs.
func TestEndOfARunOfAnEarlierProcess(t *testing.T) {
	tab := New()
	asked := RunID{name("a", 0), 1}
	tab.ConfirmEnd(at(0), 1, asked)
	tab.MinionRestarted(at(0))
	tab.UpdateMinion(at(0), Need{CPU: 10_000}, true)
	tab.ApplyListing(at(2), Listing{SentAt: at(1), Running: []RunningRow{{RunID: asked}}})
	out := tab.TakeOutput()
	assert.DeepEqual(t, out.Stops, []RunID{asked})
	assert.Equal(t, len(out.Ends), 0)
	tab.ApplyListing(at(60), Listing{SentAt: at(59)})
	assert.Equal(t, onlyEnd(t, tab).Reason, ReasonNotHere)
}

// TestRunOfAnotherDispatcherGoesOn: the task is at work for another dispatcher. It
// must not count as ended for the one that asks, and goes on.
func TestRunOfAnotherDispatcherGoesOn(t *testing.T) {
	tab := table(t)
	o := order("a", 0, 1000)
	started(t, tab, at(1), o)
	tab.ConfirmEnd(at(2), 2, ref(o))
	out := tab.TakeOutput()
	assert.Equal(t, len(out.Stops), 0)
	assert.Equal(t, len(out.Ends), 0)
	tab.ApplyListing(at(60), Listing{SentAt: at(59), Ended: []EndedRow{{RunID: ref(o), Number: 1, Outcome: Done}}})
	ends := tab.TakeOutput().Ends
	assert.Equal(t, len(ends), 2)
	assert.Equal(t, ends[0].Outcome, Done)
	assert.Equal(t, ends[1].Owner, Owner(2))
	assert.Equal(t, ends[1].Reason, ReasonNotHere)
}

// TestDoneRunOfAnEarlierProcessIsNotRunAgain: the list that shows that no foreign run
// is left says that the run that was asked for is done; it was reported as stopped.
func TestDoneRunOfAnEarlierProcessIsNotRunAgain(t *testing.T) {
	tab := New()
	asked := RunID{name("a", 0), 1}
	tab.ConfirmEnd(at(0), 1, asked)
	tab.MinionRestarted(at(0))
	tab.UpdateMinion(at(0), Need{CPU: 10_000}, true)
	tab.ApplyListing(at(2), Listing{SentAt: at(1), Ended: []EndedRow{{RunID: asked, Number: 1, Outcome: Done}}})
	assert.Equal(t, onlyEnd(t, tab).Outcome, Done)
}
