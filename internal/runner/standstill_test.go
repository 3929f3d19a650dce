package runner

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/runtable"
)

// doneList is a list of a minion at which one run has ended as done.
func (s *steppedLoop) doneList(ref runtable.RunID) PollAnswer {
	return PollAnswer{
		Answer: Answer{Status: Accepted, Clock: s.minionClock()}, StartedUnixMs: 10,
		Ended: []runtable.EndedRow{{RunID: ref, Number: 1, Outcome: runtable.Done}},
	}
}

// onlyOutcome returns the outcome of the only run that was reported as ended.
func (s *steppedLoop) onlyOutcome() wirepb.RunOutcome {
	s.t.Helper()
	assert.Equal(s.t, len(s.dispatcher.ends), 1)
	return s.dispatcher.ends[0].Outcome
}

// TestEndThatWaitsInTheQueueIsNotTurnedIntoAStop: the lease is over when the runner
// wakes up, but the answer that says how the run ended came before.
func TestEndThatWaitsInTheQueueIsNotTurnedIntoAStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSteppedLoop(t)
		ref := s.start("a")
		s.tickFor(leaseDuration) // the minion answers nothing
		list := s.minion.polls[len(s.minion.polls)-1]
		list.answer <- s.doneList(ref)
		synctest.Wait()
		for !s.lease.expired(time.Now()) { // the process stands still for moments
			time.Sleep(runningTickInterval)
			s.lease.observe(time.Now())
		}
		s.handleTimer(time.Now())
		s.step()
		assert.Equal(t, s.onlyOutcome(), wirepb.RunOutcome_RUN_OUTCOME_DONE)
	})
}

// wakeAfterStandstill lets a run's lease pass while the runner stands still. A reading
// of the minion's clock comes before a list and shows that the lease is over.
func (s *steppedLoop) wakeAfterStandstill() runtable.RunID {
	ref := s.start("a")
	s.minion.polls = nil
	time.Sleep(2 * leaseDuration)
	s.lease.recordClock(s.clock.now(), s.minionClock())
	assert.Assert(s.t, s.lease.expired(time.Now()))
	s.handleTimer(time.Now())
	s.step()
	return ref
}

// TestListSaysHowRunsOfAnEndedLeaseEnded: a reading shows that the lease is over, and
// the minion can be asked, so its list decides.
func TestListSaysHowRunsOfAnEndedLeaseEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSteppedLoop(t)
		ref := s.wakeAfterStandstill()
		assert.Equal(t, s.table.OpenRuns(), 1)
		list := take(t, &s.minion.polls)
		list.answer <- s.doneList(ref)
		s.step()
		assert.Equal(t, s.onlyOutcome(), wirepb.RunOutcome_RUN_OUTCOME_DONE)
	})
}

// TestRunsOfAnEndedLeaseEndWithoutAList: the minion answers no more polls.
func TestRunsOfAnEndedLeaseEndWithoutAList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSteppedLoop(t)
		s.wakeAfterStandstill()
		assert.Equal(t, s.table.OpenRuns(), 1)
		fence := s.fence
		s.tickFor(listTimeout + runningTickInterval)
		assert.Assert(t, s.fence > fence, "a start that is on its way could still be carried out")
		assert.Equal(t, s.onlyOutcome(), wirepb.RunOutcome_RUN_OUTCOME_STOPPED)
	})
}
