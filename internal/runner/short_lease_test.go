package runner

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"endivewing/internal/runtable"
)

// TestNewRunsGotTheLeaseOfARunToBeStopped: while the stop of one run is not answered,
// starts of others went out with a lease of a few milliseconds.
func TestNewRunsGotTheLeaseOfARunToBeStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSteppedLoop(t)
		ref := s.start("a")
		list := func() {
			for _, held := range s.minion.polls {
				held.answer <- PollAnswer{Answer: Answer{Status: Accepted, Clock: s.minionClock()}, StartedUnixMs: 10,
					Running: []runtable.RunningRow{{RunID: ref, Percent: 1}}}
			}
			s.minion.polls = nil
			s.step()
		}
		s.table.StopJob(s.clock.now(), 1, "a") // the minion refuses stops (503) and answers polls
		for began := time.Now(); time.Since(began) < 860*time.Millisecond; {
			time.Sleep(tickInterval)
			list()
			s.handleTimer(time.Now())
			s.step()
		}
		assert.Assert(t, !s.table.Ready())
		starts := len(s.minion.starts)
		s.table.Place(s.clock.now(), runtable.Order{
			TaskID: runtable.TaskID{Job: "b"}, Run: 1, Owner: 1, Need: runtable.Need{CPU: 1000}, Expires: time.Now().Add(time.Second),
		})
		s.step()
		assert.Equal(t, len(s.minion.starts), starts)
	})
}
