package runner

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestListOfTheSameInstantProvesNothing: a list that was requested in the instant in
// which the stop is answered, but before it, may lack a run that began after it.
func TestListOfTheSameInstantProvesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSteppedLoop(t)
		ref := s.place("a")
		time.Sleep(2 * callTimeout) // the start stays unanswered
		s.table.ConfirmEnd(s.clock.now(), 1, ref)
		s.step()
		s.minion.polls = nil
		s.pollNow(s.clock.now())
		synctest.Wait()
		early := take(t, &s.minion.polls)
		stop := take(t, &s.minion.stops)
		stop.answer <- Answer{Status: Accepted, Clock: 1001}
		s.step()
		early.answer <- PollAnswer{Answer: Answer{Status: Accepted, Clock: 1001}, StartedUnixMs: 10}
		s.step()
		assert.Equal(t, s.table.OpenRuns(), 1)
		s.pollNow(s.clock.now())
		synctest.Wait()
		s.answerPolls(1001)
		assert.Equal(t, s.table.OpenRuns(), 0)
	})
}
