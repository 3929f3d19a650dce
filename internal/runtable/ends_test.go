package runtable

import (
	"testing"

	"gotest.tools/v3/assert"
)

// fullTable returns a table whose minion is full with one run, and a second
// order that waits.
func fullTable(t *testing.T) (tab *Table, active, waits Order) {
	t.Helper()
	tab = table(t)
	active, waits = order("a", 0, 10_000), order("b", 0, 10_000)
	started(t, tab, at(1), active)
	tab.Place(at(2), waits)
	assert.Equal(t, len(tab.TakeOutput().Starts), 0)
	return tab, active, waits
}

// TestNoRunStartsWhileTheLeaseEndsRuns: a waiting run that starts in the freed
// capacity is not ended with the runs whose lease is over, and does not start
// before a list shows what is at work.
func TestNoRunStartsWhileTheLeaseEndsRuns(t *testing.T) {
	tab, active, waits := fullTable(t)
	tab.LeaseExpired(at(1200))
	out := tab.TakeOutput()
	assert.Equal(t, len(out.Starts), 0)
	assert.Equal(t, len(out.Ends), 1)
	assert.Equal(t, out.Ends[0].TaskID, active.TaskID)
	assert.Assert(t, out.ListNow)
	tab.ApplyListing(at(1202), Listing{SentAt: at(1199)}) // asked before the lease was over
	assert.Equal(t, len(tab.TakeOutput().Starts), 0)
	tab.ApplyListing(at(1203), Listing{SentAt: at(1201)})
	out = tab.TakeOutput()
	assert.DeepEqual(t, out.Starts, []Order{waits})
	assert.Equal(t, tab.Running(), 1)
}

// TestNoRunStartsWhileAMinionRestartEndsRuns: a waiting run is neither sent to
// the new incarnation nor reported as stopped.
func TestNoRunStartsWhileAMinionRestartEndsRuns(t *testing.T) {
	tab, active, waits := fullTable(t)
	tab.MinionRestarted(at(10))
	out := tab.TakeOutput()
	assert.Equal(t, len(out.Starts), 0)
	assert.Equal(t, len(out.Ends), 1)
	assert.Equal(t, out.Ends[0].TaskID, waits.TaskID)
	assert.Equal(t, out.Ends[0].Outcome, NotRun)
	tab.ApplyListing(at(12), Listing{SentAt: at(11)})
	end := onlyEnd(t, tab)
	assert.Equal(t, end.TaskID, active.TaskID)
	assert.Equal(t, end.Outcome, Stopped)
	assert.Equal(t, tab.Free(), Need{CPU: 10_000})
}

// TestNoStartIsSentAgainForAStoppedRun: a start that is due to be sent again is
// dropped when its run is stopped. The stop goes to the later incarnation too,
// which may have carried out the first start.
func TestNoStartIsSentAgainForAStoppedRun(t *testing.T) {
	tab := table(t)
	o := order("a", 0, 1000)
	tab.Place(at(1), o)
	assert.Equal(t, len(tab.TakeOutput().Starts), 1)
	tab.StartAnswered(at(30), ref(o), Unanswered)
	tab.ConfirmEnd(at(31), o.Owner, RunID{o.TaskID, o.Run})
	tab.MinionRestarted(at(32))
	out := tab.TakeOutput()
	assert.Equal(t, len(out.Starts), 0)
	assert.DeepEqual(t, out.Stops, []RunID{ref(o)})
	assert.Equal(t, len(out.Ends), 0)
	tab.ApplyListing(at(34), Listing{SentAt: at(33)})
	assert.Equal(t, len(tab.TakeOutput().Starts), 0)
	assert.Equal(t, tab.OpenRuns(), 0)
}

// TestNoStartIsSentAgainForAnEndedRun: a start that is due to be sent again is
// dropped with its run, and so is a stop.
func TestNoStartIsSentAgainForAnEndedRun(t *testing.T) {
	tab := table(t)
	again, stopped := order("a", 0, 1000), order("b", 0, 1000)
	sent(t, tab, at(1), again)
	sent(t, tab, at(2), stopped)
	tab.StartAnswered(at(30), ref(again), Unanswered)
	tab.ConfirmEnd(at(31), stopped.Owner, RunID{stopped.TaskID, stopped.Run})
	tab.LeaseExpired(at(1200))
	out := tab.TakeOutput()
	assert.Equal(t, len(out.Starts), 0)
	assert.Equal(t, len(out.Stops), 0)
	assert.Equal(t, len(out.Ends), 2)
}

// TestWaitingRunOfAMinionThatRestartsAtOnce: an order that came in just before a
// restart was never sent, so it counts as not run.
func TestWaitingRunOfAMinionThatRestartsAtOnce(t *testing.T) {
	tab := table(t)
	tab.Place(at(1), order("a", 0, 1000))
	tab.MinionRestarted(at(1))
	out := tab.TakeOutput()
	assert.Equal(t, len(out.Starts), 0)
	assert.Equal(t, len(out.Ends), 1)
	assert.Equal(t, out.Ends[0].Outcome, NotRun)
}

// endsOfOthers returns the rows of ended runs that the table does not know.
func endsOfOthers(first, count uint64) []EndedRow {
	var rows []EndedRow
	for number := first; number < first+count; number++ {
		rows = append(rows, EndedRow{RunID: RunID{name("other", uint32(number)), 1}, Number: number, Outcome: Done})
	}
	return rows
}

// TestEndBeyondAFullListIsNotGuessed: a full list of ends may lack the end of a run,
// which the next list contains.
func TestEndBeyondAFullListIsNotGuessed(t *testing.T) {
	tab := table(t)
	runs, stopped := order("a", 0, 1000), order("b", 0, 1000)
	started(t, tab, at(1), runs)
	started(t, tab, at(2), stopped)
	tab.ConfirmEnd(at(3), stopped.Owner, RunID{stopped.TaskID, stopped.Run})
	tab.StopAnswered(at(4), ref(stopped))
	tab.TakeOutput()
	tab.ApplyListing(at(6), Listing{SentAt: at(5), Ended: endsOfOthers(1, maxListedEnds)})
	out := tab.TakeOutput()
	assert.Equal(t, len(out.Ends), 0)
	assert.Assert(t, out.ListNow)
	tab.ApplyListing(at(7), Listing{SentAt: at(5), Ended: endsOfOthers(1, maxListedEnds)})
	out = tab.TakeOutput()
	assert.Equal(t, len(out.Ends), 0)
	assert.Assert(t, !out.ListNow) // it brought nothing new
	tab.ApplyListing(at(9), Listing{SentAt: at(8), Ended: []EndedRow{
		{RunID: ref(runs), Number: maxListedEnds + 1, Outcome: Done}, {RunID: ref(stopped), Number: maxListedEnds + 2, Outcome: Done},
	}})
	ends := tab.TakeOutput().Ends
	assert.Equal(t, len(ends), 2)
	assert.Equal(t, ends[0].Outcome, Done)
	assert.Equal(t, ends[1].Outcome, Done)
}

// TestWaitingRunThatIsAtWorkIsForeign: a list contains a run of the same task and
// number as one that waits here and was never sent.
func TestWaitingRunThatIsAtWorkIsForeign(t *testing.T) {
	tab, active, waits := fullTable(t)
	tab.ApplyListing(at(4), Listing{SentAt: at(3), Running: []RunningRow{{RunID: ref(active)}, {RunID: ref(waits)}}})
	out := tab.TakeOutput()
	assert.DeepEqual(t, out.Unknown, []RunID{ref(waits)})
	assert.DeepEqual(t, out.Stops, []RunID{ref(waits)})
}

// TestUnknownRunIsStoppedOncePerRetryInterval: each list sent a stop and asked for
// the next list, some thousand times a second, until the run was over.
func TestUnknownRunIsStoppedOncePerRetryInterval(t *testing.T) {
	tab := table(t)
	tab.MinionRestarted(at(0))
	tab.TakeOutput()
	unknown, other := RunID{name("old", 0), 3}, RunID{name("old", 1), 3}
	list := func(ms int, refs ...RunID) Output {
		l := Listing{SentAt: at(ms)}
		for _, ref := range refs {
			l.Running = append(l.Running, RunningRow{RunID: ref})
		}
		tab.ApplyListing(at(ms), l)
		return tab.TakeOutput()
	}
	assert.DeepEqual(t, list(1, unknown).Stops, []RunID{unknown})
	again := list(2, unknown, other)
	assert.DeepEqual(t, again.Stops, []RunID{other})
	assert.Assert(t, !again.ListNow)
	assert.DeepEqual(t, list(75, unknown).Stops, []RunID{unknown})
	assert.Assert(t, !tab.Ready())
	list(76)
	assert.Assert(t, tab.Ready())
}
