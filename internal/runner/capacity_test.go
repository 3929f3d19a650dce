package runner

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/runtable"
)

// reportCapacity handles the next report of the minion, with another capacity.
func (s *steppedLoop) reportCapacity(cpu int64) {
	r := s.incarnation.Report
	r.Sequence++
	r.Capacity.CPU = cpu
	s.p.minion.Store(minionRecord(&r)) // nothing is left to announce
	reportReceived{r, make(chan struct{})}.handle(s.loop, s.clock.now())
}

// list answers the polls that have come in with lists of running runs and of one end.
func (s *steppedLoop) list(ended runtable.EndedRow, running ...runtable.RunID) {
	lists := PollAnswer{
		Answer: Answer{Status: Accepted, Clock: s.minionClock()}, StartedUnixMs: 10, Ended: []runtable.EndedRow{ended},
	}
	for _, ref := range running {
		lists.Running = append(lists.Running, runtable.RunningRow{RunID: ref, Percent: 1})
	}
	for _, held := range s.minion.polls {
		held.answer <- lists
	}
	s.minion.polls = nil
	s.step()
}

// TestCapacityThatShrankIsOvercommitted: a minion says less capacity while it runs. Until
// enough of what runs there, or is being stopped, has ended, nothing more may start.
func TestCapacityThatShrankIsOvercommitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSteppedLoop(t) // a minion of 4000
		a, b, c := s.start("a"), s.start("b"), s.start("c")
		s.reportCapacity(2000)
		assert.Equal(t, s.availabilityChange(), readinessOrCapacityChanged) // sent at once
		assert.Equal(t, s.table.Free().CPU, int64(-1000))
		s.place("d")
		assert.Equal(t, len(s.minion.starts), 3)

		s.table.StopJob(s.clock.now(), 1, "a")
		s.step()
		take(t, &s.minion.stops).answer <- Answer{Status: Accepted, Clock: s.minionClock()}
		s.step()
		assert.Equal(t, len(s.minion.starts), 3)
		s.list(runtable.EndedRow{RunID: a, Number: 1, Outcome: runtable.Stopped}, b, c)
		assert.Equal(t, len(s.minion.starts), 3)
		s.list(runtable.EndedRow{RunID: b, Number: 2, Outcome: runtable.Done}, c)
		assert.Equal(t, len(s.minion.starts), 4)

		s.place("e")
		assert.Equal(t, len(s.minion.starts), 4)
		s.reportCapacity(3000)
		s.step()
		assert.Equal(t, len(s.minion.starts), 5)
	})
}

// TestOrdersLargerThanTheShrunkMinionAreRefused: they are placed elsewhere at once.
func TestOrdersLargerThanTheShrunkMinionAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSteppedLoop(t)
		for _, job := range []string{"a", "b", "c", "d"} {
			s.start(job)
		}
		s.place("waits")
		s.reportCapacity(900)
		s.step()
		s.place("comes later")
		assert.Equal(t, len(s.dispatcher.ends), 2)
		for _, end := range s.dispatcher.ends {
			assert.Equal(t, end.Outcome, wirepb.RunOutcome_RUN_OUTCOME_NOT_RUN)
			assert.Equal(t, end.Reason, runtable.ReasonTooLarge)
		}
	})
}

// TestStartCarriesTheLeaseThatSilenceLeaves: a start renews the lease of all runs, so the
// dispatcher that was silent longest limits it.
func TestStartCarriesTheLeaseThatSilenceLeaves(t *testing.T) {
	const silence, left = 800 * time.Millisecond, 450 // ms; a run ends 1250 ms after its dispatcher's last word
	synctest.Test(t, func(t *testing.T) {
		s := newSteppedLoop(t)
		s.start("a")
		s.silences[1] = func() time.Duration { return silence }
		s.byOwner[2] = &dispatcher{owner: 2, silence: noSilence}
		s.table.Place(s.clock.now(), runtable.Order{
			TaskID: runtable.TaskID{Job: "b"}, Run: 1, Owner: 2, Need: runtable.Need{CPU: 1000}, Expires: time.Now().Add(time.Second),
		})
		s.step()
		assert.Equal(t, len(s.minion.starts), 2)
		assert.Equal(t, s.minion.starts[0].call.Deadline, s.minionClock()+leaseDuration.Milliseconds())
		assert.Equal(t, s.minion.starts[1].call.Deadline, s.minionClock()+left)
	})
}

// TestStartOfASilentDispatcherHasAShortLease: its own run is limited as those before.
func TestStartOfASilentDispatcherHasAShortLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSteppedLoop(t)
		s.dispatcher.silence = func() time.Duration { return 800 * time.Millisecond }
		s.place("a")
		assert.Equal(t, s.minion.starts[0].call.Deadline, s.minionClock()+450)
	})
}
