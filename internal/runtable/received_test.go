package runtable

import (
	"testing"

	"gotest.tools/v3/assert"
)

func received(tab *Table) []RunID {
	var ids []RunID
	for _, r := range tab.ReceivedRuns() {
		ids = append(ids, r.RunID)
	}
	return ids
}

// TestRunsThatTheMinionNeverReceived: dispatchers sent tasks to a minion that had crashed for
// 0.6 s until it counted as unreachable. None of their starts reached it, so it has not
// crashed under them.
func TestRunsThatTheMinionNeverReceived(t *testing.T) {
	tab := table(t)
	first, second := order("b", 0, 1000), order("a", 0, 1000)
	started(t, tab, at(10), first)
	sent(t, tab, at(20), second)
	late := order("c", 0, 1000)
	sent(t, tab, at(30), late)
	tab.StartAnswered(at(31), ref(late), NotReceived)
	tab.TakeOutput()
	waits := order("d", 0, 9000)
	tab.Place(at(32), waits)
	tab.TakeOutput()
	assert.DeepEqual(t, tab.ReceivedRuns(), []ReceivedRun{{ref(first), true}, {ref(second), false}}) // by their starts
	assert.Equal(t, len(tab.TakeOutput().Ends), 0, "a run that was not received has not ended without its proof")
	tab.LeaseExpired(at(2000))
	assert.Equal(t, len(received(tab)), 0)
}

// TestStartThatOneAttemptMayHaveDelivered: the first attempt crashed the minion before its
// answer, the second found nobody.
func TestStartThatOneAttemptMayHaveDelivered(t *testing.T) {
	tab := table(t)
	o := order("a", 0, 1000)
	sent(t, tab, at(10), o)
	tab.StartAnswered(at(11), ref(o), Unanswered)
	tab.TakeOutput()
	tab.StartAnswered(at(12), ref(o), NotReceived)
	assert.DeepEqual(t, received(tab), []RunID{ref(o)})
}

// TestRunsOfAnEarlierIncarnationAreNotThoseOfTheLater: the minion crashes twice before its
// list ends the runs of the first crash. The second is not theirs, unless the later
// incarnation lists them.
func TestRunsOfAnEarlierIncarnationAreNotThoseOfTheLater(t *testing.T) {
	tab := table(t)
	o := order("a", 0, 1000)
	started(t, tab, at(10), o)
	tab.MinionRestarted(at(20))
	assert.Equal(t, tab.OpenRuns(), 1)
	assert.Equal(t, len(received(tab)), 0)
	tab.ApplyListing(at(30), Listing{SentAt: at(25), Running: []RunningRow{{RunID: ref(o)}}})
	assert.DeepEqual(t, received(tab), []RunID{ref(o)})
}

// TestNoStartIsRepeatedAtALaterIncarnation: a start that crashed the minion is not sent
// again once nobody listens, since the next to listen may be a later incarnation under the
// same name, which has seen no token.
func TestNoStartIsRepeatedAtALaterIncarnation(t *testing.T) {
	tab := table(t)
	o := order("a", 0, 1000)
	sent(t, tab, at(10), o)
	tab.StartAnswered(at(11), ref(o), Unanswered)
	assert.Equal(t, len(tab.TakeOutput().Starts), 1)
	tab.StartAnswered(at(12), ref(o), NotReceived)
	tab.Tick(at(100))
	assert.Equal(t, len(tab.TakeOutput().Starts), 0)
	tab.MinionRestarted(at(110))
	tab.ApplyListing(at(120), Listing{SentAt: at(115)})
	assert.Equal(t, onlyEnd(t, tab).Outcome, Stopped)
}

// TestLeaseOfARunThatNeverBeganLapsed: dispatchers count the lapse of a run that was at work as a crash that may come to
// be known. A start that nobody answered is none.
func TestLeaseOfARunThatNeverBeganLapsed(t *testing.T) {
	tab := table(t)
	begun, unanswered := order("a", 0, 1000), order("b", 0, 1000)
	started(t, tab, at(10), begun)
	sent(t, tab, at(20), unanswered)
	tab.LeaseExpired(at(2000))
	reasons := map[string]string{}
	for _, end := range tab.TakeOutput().Ends {
		assert.Equal(t, end.Outcome, Stopped)
		reasons[end.Job] = end.Reason
	}
	assert.DeepEqual(t, reasons, map[string]string{"a": ReasonLeaseExpired, "b": ReasonStartUnanswered})
}
