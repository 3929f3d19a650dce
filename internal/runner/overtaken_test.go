package runner

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"endivewing/internal/runtable"
)

// TestRunInAnOvertakenListCountedAsUnknown guards against an alarm for, and a stop of, a run that has just ended:
// of two lists in flight the earlier one arrives last.
func TestRunInAnOvertakenListCountedAsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSteppedLoop(t)
		ref := s.start("a")
		asked := s.clock.now()
		time.Sleep(20 * time.Millisecond)
		clock := s.minionClock()
		ended := runtable.EndedRow{RunID: ref, Number: 1, Outcome: runtable.Done}
		s.listAt(asked, clock, nil, []runtable.EndedRow{ended})
		assert.Equal(t, s.table.OpenRuns(), 0)

		s.listAt(asked, clock-5, []runtable.RunID{ref}, nil)
		assert.Equal(t, len(s.table.TakeOutput().Unknown), 0)

		s.listAt(s.clock.now(), clock+5, []runtable.RunID{ref}, nil)
		assert.Equal(t, len(s.table.TakeOutput().Unknown), 1, "a later list that contains the run is no mistake")
	})
}

// TestListAfterAnOddClockIsTaken guards against lists that are never taken again after one with a clock far ahead.
func TestListAfterAnOddClockIsTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSteppedLoop(t)
		ref := s.start("a")
		s.listAt(s.clock.now(), s.minionClock()+1_000_000, []runtable.RunID{ref}, nil)
		time.Sleep(20 * time.Millisecond)
		s.listAt(s.clock.now(), s.minionClock(), nil, []runtable.EndedRow{{RunID: ref, Number: 1, Outcome: runtable.Done}})
		assert.Equal(t, s.table.OpenRuns(), 0)
	})
}

// listAt handles the answer to a poll that was sent at a time.
func (s *steppedLoop) listAt(asked time.Time, clock int64, running []runtable.RunID, ended []runtable.EndedRow) {
	lists := PollAnswer{Answer: Answer{Status: Accepted, Clock: clock}, StartedUnixMs: 10, Ended: ended}
	for _, ref := range running {
		lists.Running = append(lists.Running, runtable.RunningRow{RunID: ref, Percent: 1})
	}
	s.longPolls++
	pollAnswered{to: s.incarnation.number, call: PollCall{Endpoint: "i-1"}, lists: lists, longPoll: true, sentAt: asked}.handle(s.loop, s.clock.now())
}
