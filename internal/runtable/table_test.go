package runtable

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

// at returns a time in milliseconds after the start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func name(job string, index uint32) TaskID { return TaskID{Job: job, Index: index} }

func order(job string, index uint32, cpu int64) Order {
	return Order{
		TaskID: name(job, index), Run: 1, Owner: 1, Need: Need{CPU: cpu}, Estimate: 100 * time.Millisecond, Expires: at(60_000),
	}
}

func ref(o Order) RunID { return RunID{o.TaskID, o.Run} }

// table returns a table whose minion has 10 cores and no foreign runs.
func table(t *testing.T) *Table {
	t.Helper()
	tab := New()
	tab.MinionRestarted(at(0))
	tab.UpdateMinion(at(0), Need{CPU: 10_000}, true)
	tab.ApplyListing(at(1), Listing{SentAt: at(0)})
	assert.Assert(t, tab.Ready())
	tab.TakeOutput()
	return tab
}

// sent places an order whose start is sent at once.
func sent(t *testing.T, tab *Table, now time.Time, o Order) {
	t.Helper()
	tab.Place(now, o)
	assert.DeepEqual(t, tab.TakeOutput().Starts, []Order{o})
}

// started places an order and has the minion accept it.
func started(t *testing.T, tab *Table, now time.Time, o Order) {
	t.Helper()
	sent(t, tab, now, o)
	tab.StartAnswered(now, ref(o), Started)
}

func onlyEnd(t *testing.T, tab *Table) End {
	t.Helper()
	out := tab.TakeOutput()
	assert.Equal(t, len(out.Ends), 1)
	return out.Ends[0]
}

func TestCapacityIsNeverExceeded(t *testing.T) {
	tab := table(t)
	for i := range uint32(4) {
		tab.Place(at(1), order("a", i, 4000))
	}
	out := tab.TakeOutput()
	assert.Equal(t, len(out.Starts), 2)
	assert.Equal(t, tab.Free().CPU, int64(10_000-4*4000))

	// Capacity is free when the end is listed, not when the stop is sent.
	tab.StartAnswered(at(2), ref(out.Starts[0]), Started)
	tab.StartAnswered(at(2), ref(out.Starts[1]), Started)
	tab.ConfirmEnd(at(3), 1, RunID{out.Starts[0].TaskID, 1})
	tab.StopAnswered(at(4), ref(out.Starts[0]))
	assert.Equal(t, len(tab.TakeOutput().Starts), 0)
	tab.ApplyListing(at(6), Listing{
		SentAt:  at(5),
		Running: []RunningRow{{RunID: ref(out.Starts[1]), Percent: 5}},
		Ended:   []EndedRow{{RunID: ref(out.Starts[0]), Number: 1, Outcome: Stopped}},
	})
	assert.Equal(t, len(tab.TakeOutput().Starts), 1)
}

func TestWaitingRunsStartByKeyAndExpire(t *testing.T) {
	tab := table(t)
	started(t, tab, at(1), order("full", 0, 10_000))
	late, early := order("late", 0, 1000), order("early", 0, 1000)
	late.Key, early.Key = 2, 1
	late.Expires = at(20)
	tab.Place(at(2), late)
	tab.Place(at(2), early)
	tab.Tick(at(21))
	end := onlyEnd(t, tab)
	assert.Equal(t, end.Job, "late")
	assert.Equal(t, end.Outcome, NotRun)
	tab.ApplyListing(at(30), Listing{SentAt: at(29), Ended: []EndedRow{{RunID: RunID{name("full", 0), 1}, Number: 1, Outcome: Done}}})
	out := tab.TakeOutput()
	assert.Equal(t, out.Starts[0].Job, "early")
}

// TestUnansweredStart: the same start is sent again. Only a stop that the
// minion answered, and a list requested after it, prove that the run can't
// begin.
func TestUnansweredStart(t *testing.T) {
	tab := table(t)
	o := order("a", 0, 1000)
	tab.Place(at(1), o)
	for range maxStartAttempts - 1 {
		assert.Equal(t, len(tab.TakeOutput().Starts), 1)
		tab.StartAnswered(at(30), ref(o), Unanswered)
	}
	tab.TakeOutput()
	tab.StartAnswered(at(120), ref(o), Unanswered)
	assert.Equal(t, len(tab.TakeOutput().Stops), 1)
	tab.ApplyListing(at(121), Listing{SentAt: at(119)})
	assert.Equal(t, tab.OpenRuns(), 1)
	tab.Tick(at(200))
	assert.Equal(t, len(tab.TakeOutput().Stops), 1)
	tab.StopAnswered(at(201), ref(o))
	assert.Assert(t, tab.TakeOutput().ListNow)
	tab.ApplyListing(at(203), Listing{SentAt: at(202)})
	assert.Equal(t, onlyEnd(t, tab).Outcome, NotRun)
}

// TestRejectionAfterAnUnansweredStartIsNoProof: the first start began the run
// and its answer was lost. The run has ended when the second start arrives,
// which the minion rejects.
func TestRejectionAfterAnUnansweredStartIsNoProof(t *testing.T) {
	for _, answer := range []StartAnswer{Rejected, RejectedOldRun, RejectedNoCapacity} {
		tab := table(t)
		o := order("a", 0, 1000)
		sent(t, tab, at(1), o)
		tab.StartAnswered(at(30), ref(o), Unanswered)
		tab.TakeOutput()
		tab.StartAnswered(at(31), ref(o), answer)
		out := tab.TakeOutput()
		assert.Equal(t, len(out.Ends), 0)
		assert.DeepEqual(t, out.Stops, []RunID{ref(o)})
		tab.ApplyListing(at(33), Listing{SentAt: at(32), Ended: []EndedRow{{RunID: ref(o), Number: 1, Outcome: Done}}})
		assert.Equal(t, onlyEnd(t, tab).Outcome, Done)
	}
}

// TestRejectionAfterAnUnansweredStartIsResolved: the minion has never seen the
// run, which a stop and a list after it prove.
func TestRejectionAfterAnUnansweredStartIsResolved(t *testing.T) {
	tab := table(t)
	o := order("a", 0, 1000)
	sent(t, tab, at(1), o)
	tab.StartAnswered(at(30), ref(o), Unanswered)
	tab.StartAnswered(at(31), ref(o), RejectedNoCapacity)
	tab.StopAnswered(at(32), ref(o))
	tab.TakeOutput()
	tab.ApplyListing(at(34), Listing{SentAt: at(33)})
	end := onlyEnd(t, tab)
	assert.Equal(t, end.Outcome, NotRun)
	assert.Equal(t, end.Reason, ReasonNoCapacity)
}

// TestUnansweredStartAtAMinionThatEnds: the start may have taken effect, so
// that the run counts as stopped and not as not run.
func TestUnansweredStartAtAMinionThatEnds(t *testing.T) {
	tab := table(t)
	sent(t, tab, at(1), order("a", 0, 1000))
	tab.MinionRestarted(at(20))
	tab.ApplyListing(at(22), Listing{SentAt: at(21)})
	assert.Equal(t, onlyEnd(t, tab).Outcome, Stopped)
}

func TestListProvesAnUnansweredStart(t *testing.T) {
	tab := table(t)
	o := order("a", 0, 1000)
	sent(t, tab, at(1), o)
	tab.ApplyListing(at(20), Listing{SentAt: at(10), Running: []RunningRow{{RunID: ref(o), Percent: 10}}})
	tab.TakeOutput()
	tab.StartAnswered(at(31), ref(o), Unanswered)
	out := tab.TakeOutput()
	assert.Equal(t, len(out.Starts)+len(out.Stops), 0)
}

func TestForeignRunsAreStoppedBeforeAnythingStarts(t *testing.T) {
	tab := New()
	tab.MinionRestarted(at(0))
	tab.UpdateMinion(at(0), Need{CPU: 10_000}, true)
	foreign := RunID{name("old", 0), 3}
	tab.ApplyListing(at(1), Listing{SentAt: at(0), Running: []RunningRow{{RunID: foreign}}})
	out := tab.TakeOutput()
	assert.DeepEqual(t, out.Stops, []RunID{foreign})
	tab.Place(at(2), order("a", 0, 1000))
	assert.Equal(t, onlyEnd(t, tab).Reason, ReasonNotReady)
	tab.ApplyListing(at(3), Listing{SentAt: at(2)})
	assert.Assert(t, tab.Ready())
}

func TestRunsOfALostDispatcherAreStoppedAndNotReported(t *testing.T) {
	tab := table(t)
	mine, other := order("a", 0, 1000), order("b", 0, 1000)
	other.Owner = 2
	started(t, tab, at(1), mine)
	started(t, tab, at(1), other)
	tab.DropOwner(at(2), 1)
	out := tab.TakeOutput()
	assert.DeepEqual(t, out.Stops, []RunID{ref(mine)})
	tab.ApplyListing(at(4), Listing{
		SentAt: at(3), Running: []RunningRow{{RunID: ref(other), Percent: 1}},
		Ended: []EndedRow{{RunID: ref(mine), Number: 1, Outcome: Stopped}},
	})
	assert.Equal(t, len(tab.TakeOutput().Ends), 0)
	assert.Equal(t, tab.OpenRuns(), 1)
}

// TestSameTaskOfAnotherDispatcher: a caller retried through another dispatcher.
// The earlier run must end before the task can start again.
func TestSameTaskOfAnotherDispatcher(t *testing.T) {
	tab := table(t)
	o := order("a", 0, 1000)
	started(t, tab, at(1), o)
	again := o
	again.Owner = 2
	tab.Place(at(2), again)
	out := tab.TakeOutput()
	assert.DeepEqual(t, out.Stops, []RunID{ref(o)})
	assert.Equal(t, len(out.Ends), 0)
	assert.Equal(t, len(out.Starts), 0)
	tab.StopAnswered(at(3), ref(o))
	tab.ApplyListing(at(6), Listing{SentAt: at(5)})
	out = tab.TakeOutput()
	assert.Equal(t, len(out.Ends), 2)
	assert.Equal(t, out.Ends[0].Reason, ReasonResubmitted)
	assert.Equal(t, out.Ends[1].Reason, ReasonDuplicate)
	assert.Equal(t, len(out.Starts), 0)
}

func TestEndsAreAppliedOnce(t *testing.T) {
	tab := table(t)
	o := order("a", 0, 1000)
	started(t, tab, at(1), o)
	ended := Listing{SentAt: at(3), Ended: []EndedRow{{RunID: ref(o), Number: 1, Outcome: Done}}}
	tab.ApplyListing(at(4), ended)
	assert.Equal(t, onlyEnd(t, tab).Outcome, Done)
	tab.ApplyListing(at(5), ended)
	assert.Equal(t, len(tab.TakeOutput().Ends), 0)
	assert.Equal(t, tab.Acked(), uint64(1))
}

// TestMinionRestartEndsRuns: runs at the earlier incarnation are over once a list
// of the later one lacks them.
func TestMinionRestartEndsRuns(t *testing.T) {
	tab := table(t)
	started(t, tab, at(1), order("a", 0, 1000))
	tab.MinionRestarted(at(5))
	assert.Equal(t, len(tab.TakeOutput().Ends), 0)
	assert.Assert(t, !tab.Ready())
	assert.Equal(t, tab.Acked(), uint64(0))
	tab.ApplyListing(at(6), Listing{SentAt: at(4)})
	assert.Equal(t, len(tab.TakeOutput().Ends), 0)
	tab.ApplyListing(at(7), Listing{SentAt: at(6)})
	end := onlyEnd(t, tab)
	assert.Equal(t, end.Outcome, Stopped)
	assert.Equal(t, end.Reason, ReasonMinionGone)
	assert.Equal(t, tab.Free(), Need{CPU: 10_000})
	assert.Assert(t, tab.Ready())
}

// TestRunThatBeganAtTheLaterIncarnationIsStopped: a start in flight was carried out
// by the later incarnation.
func TestRunThatBeganAtTheLaterIncarnationIsStopped(t *testing.T) {
	tab := table(t)
	o := order("a", 0, 1000)
	started(t, tab, at(1), o)
	tab.MinionRestarted(at(5))
	tab.ApplyListing(at(7), Listing{SentAt: at(6), Running: []RunningRow{{RunID: ref(o)}}})
	assert.Equal(t, len(tab.TakeOutput().Ends), 0)
	tab.Tick(at(8))
	assert.DeepEqual(t, tab.TakeOutput().Stops, []RunID{ref(o)})
	tab.ApplyListing(at(11), Listing{SentAt: at(10), Ended: []EndedRow{{RunID: ref(o), Number: 1, Outcome: Stopped}}})
	assert.Equal(t, onlyEnd(t, tab).Outcome, Stopped)
}

// TestRestartEndsRunsThatWereBeingStopped: the earlier incarnation answered the
// stop, which proves nothing of the later one.
func TestRestartEndsRunsThatWereBeingStopped(t *testing.T) {
	tab := table(t)
	o := order("a", 0, 1000)
	started(t, tab, at(1), o)
	tab.ConfirmEnd(at(2), 1, RunID{o.TaskID, 1})
	tab.StopAnswered(at(3), ref(o))
	tab.MinionRestarted(at(5))
	tab.TakeOutput()
	tab.ApplyListing(at(7), Listing{SentAt: at(4)})
	assert.Equal(t, len(tab.TakeOutput().Ends), 0)
	tab.ApplyListing(at(8), Listing{SentAt: at(6)})
	end := onlyEnd(t, tab)
	assert.Equal(t, end.Outcome, Stopped)
	assert.Equal(t, end.Reason, ReasonStopped)
}

// TestRunWithoutProgressIsStopped: a run that started well and makes no more
// progress is stopped, so that it can run elsewhere.
func TestRunWithoutProgressIsStopped(t *testing.T) {
	tab := table(t)
	o := order("a", 0, 1000)
	started(t, tab, at(0), o)
	list := func(ms, percent int) {
		tab.ApplyListing(at(ms), Listing{SentAt: at(ms - 1), Running: []RunningRow{{RunID: ref(o), Percent: percent}}})
	}
	list(30, 30)
	list(60, 60)
	list(160, 60)
	assert.Equal(t, len(tab.TakeOutput().Stops), 0)
	list(240, 60)
	assert.Equal(t, len(tab.TakeOutput().Stops), 1)
	assert.Assert(t, tab.FailureRate() > 0)
}

// TestSlowRunIsStoppedAtASlowMinion: a single overrun may be a bad estimate.
// When the minion's other runs are slow too, its slow runs are stopped so that
// they can run elsewhere.
func TestSlowRunIsStoppedAtASlowMinion(t *testing.T) {
	cases := []struct {
		name    string
		others  int // runs that take nine times their estimate
		percent int // of the tested run after 350 ms
		stopped bool
	}{
		{"one slow run", 0, 40, false},
		{"slow minion", 6, 40, true},
		{"slow minion, nearly done", 6, 90, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tab := table(t)
			var rows []RunningRow
			for i := range uint32(c.others) {
				o := order(fmt.Sprint("other", i), 0, 100)
				started(t, tab, at(0), o)
				rows = append(rows, RunningRow{RunID: ref(o), Percent: 25})
			}
			o := order("a", 0, 100)
			started(t, tab, at(0), o)
			tab.ApplyListing(at(225), Listing{SentAt: at(224), Running: append(rows, RunningRow{RunID: ref(o), Percent: 30})})
			tab.TakeOutput()
			tab.ApplyListing(at(350), Listing{SentAt: at(349), Running: append(rows, RunningRow{RunID: ref(o), Percent: c.percent})})
			stops := tab.TakeOutput().Stops
			assert.Equal(t, slices.Contains(stops, ref(o)), c.stopped)
		})
	}
}

func TestLeaseEndEndsStartedRuns(t *testing.T) {
	tab := table(t)
	started(t, tab, at(0), order("a", 0, 10_000))
	tab.Place(at(1), order("b", 0, 1000))
	tab.LeaseExpired(at(1200))
	out := tab.TakeOutput()
	assert.Equal(t, out.Ends[0].Reason, ReasonLeaseExpired)
	assert.Equal(t, len(out.Starts), 0)
	tab.ApplyListing(at(1202), Listing{SentAt: at(1201)})
	assert.Equal(t, tab.TakeOutput().Starts[0].Job, "b")
}

func TestDrainingRefusesWaitingRuns(t *testing.T) {
	tab := table(t)
	started(t, tab, at(0), order("a", 0, 10_000))
	tab.Place(at(1), order("b", 0, 1000))
	tab.UpdateMinion(at(2), Need{CPU: 10_000}, false)
	end := onlyEnd(t, tab)
	assert.Equal(t, end.Job, "b")
	assert.Equal(t, end.Outcome, NotRun)
	assert.Equal(t, tab.OpenRuns(), 1)
}

// TestListFromBeforeAStopProvesNothing: a list that was requested before the
// minion received the stop may lack a run that began after it.
func TestListFromBeforeAStopProvesNothing(t *testing.T) {
	tab := table(t)
	o := order("a", 0, 1000)
	sent(t, tab, at(1), o)
	tab.StartAnswered(at(30), ref(o), Unanswered)
	tab.StartAnswered(at(31), ref(o), Rejected)
	tab.StopAnswered(at(50), ref(o))
	tab.TakeOutput()
	tab.ApplyListing(at(51), Listing{SentAt: at(40)})
	assert.Equal(t, len(tab.TakeOutput().Ends), 0)
	tab.ApplyListing(at(53), Listing{SentAt: at(52)})
	assert.Equal(t, onlyEnd(t, tab).Outcome, NotRun)
}

// TestOvertakenListEndsNoLaterRun: a list that arrives after a later one
// repeats an end that was already applied. The same run has been ordered again
// meanwhile. It must not end, and the number of the last end must not go back.
func TestOvertakenListEndsNoLaterRun(t *testing.T) {
	tab := table(t)
	a, b := order("a", 0, 1000), order("b", 0, 1000)
	started(t, tab, at(1), a)
	started(t, tab, at(1), b)
	first := EndedRow{RunID: ref(a), Number: 1, Outcome: Stopped}
	tab.ApplyListing(at(5), Listing{SentAt: at(4), Ended: []EndedRow{first, {RunID: ref(b), Number: 2, Outcome: Done}}})
	tab.TakeOutput()
	tab.Place(at(6), a)
	tab.TakeOutput()
	tab.ApplyListing(at(7), Listing{SentAt: at(3), Ended: []EndedRow{first}})
	assert.Equal(t, len(tab.TakeOutput().Ends), 0)
	assert.Equal(t, tab.Acked(), uint64(2))
}

// TestInTransition: a run is in transition while it waits or starts, and again while it
// is being stopped.
func TestInTransition(t *testing.T) {
	tab := table(t)
	o := order("a", 0, 10_000)
	assert.Assert(t, !tab.InTransition())
	sent(t, tab, at(1), o)
	assert.Assert(t, tab.InTransition())
	tab.StartAnswered(at(2), ref(o), Started)
	assert.Assert(t, !tab.InTransition())
	tab.Place(at(3), order("waits", 0, 1000))
	assert.Assert(t, tab.InTransition())
	tab.Tick(at(60_000))
	tab.ConfirmEnd(at(60_001), 1, RunID{o.TaskID, 1})
	assert.Assert(t, tab.InTransition())
}
