package runner

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestRunAtALaterStartNeverEnded: no poll to the later start may renew the lease, since
// the dispatcher is gone, and the minion answers nothing more. No lease was known that
// could end, so the run stayed for ever.
func TestRunAtALaterStartNeverEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSteppedLoop(t)
		s.start("a")
		s.silences[1] = func() time.Duration { return 2 * time.Second }
		s.table.DropOwner(s.clock.now(), 1)
		later := s.incarnation.Report
		later.StartedUnixMs = 20
		s.p.minion.Store(minionRecord(&later)) // nothing is left to announce
		s.beginIncarnation(s.clock.now(), later, 100)
		s.step()
		for began := time.Now(); s.table.OpenRuns() > 0 && time.Since(began) < 10*time.Second; {
			time.Sleep(tickInterval)
			s.handleTimer(time.Now())
			s.step()
		}
		assert.Equal(t, s.table.OpenRuns(), 0)
	})
}
