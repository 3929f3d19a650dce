package runner

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"endivewing/internal/runtable"
	"endivewing/internal/wire"
)

// callerReturns is the time after which a caller without an answer sends its job
// again, at another dispatcher.
const callerReturns = 1300 * time.Millisecond

// leasedMinion answers the polls of a stepped loop, and no stops. Its clock is 2%
// slow.
type leasedMinion struct {
	*steppedLoop
	ref      runtable.RunID
	deadline int64
}

func (m *leasedMinion) clockReading() int64 {
	return 1000 + int64(float64(time.Since(m.began).Milliseconds())*minClockRate)
}

func (m *leasedMinion) lapsed() bool { return m.clockReading() > m.deadline }

// serveUntil lets time pass and answers polls until a condition holds, at most for the
// given time.
func (m *leasedMinion) serveUntil(most time.Duration, holds func() bool) {
	for end := time.Now().Add(most); time.Now().Before(end) && !holds(); {
		time.Sleep(tickInterval)
		m.answer()
		m.handleTimer(time.Now())
		m.step()
	}
}

// answer executes the polls that have come in.
func (m *leasedMinion) answer() {
	synctest.Wait()
	for _, held := range m.minion.polls {
		if !m.lapsed() {
			m.deadline = max(m.deadline, held.call.Deadline)
		}
		list := PollAnswer{Answer: Answer{Status: Accepted, Clock: m.clockReading()}, StartedUnixMs: 10}
		if m.lapsed() {
			list.Ended = []runtable.EndedRow{{RunID: m.ref, Number: 1, Outcome: runtable.Stopped}}
		} else {
			list.Running = []runtable.RunningRow{{RunID: m.ref, Percent: 1}}
		}
		held.answer <- list
	}
	m.minion.polls = nil
	m.step()
}

// newLeasedMinion returns a minion at which a run of owner 1 has started.
func newLeasedMinion(t *testing.T) *leasedMinion {
	t.Helper()
	s := newSteppedLoop(t)
	ref := s.start("a")
	deadline := s.minion.starts[len(s.minion.starts)-1].call.Deadline
	return &leasedMinion{steppedLoop: s, ref: ref, deadline: deadline}
}

// TestRunOfASilentDispatcherEndsBeforeItsCallerReturns: polls renewed the lease of all
// runs without end while the stop of one was not answered.
func TestRunOfASilentDispatcherEndsBeforeItsCallerReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newLeasedMinion(t)
		lastWord := time.Now()
		m.silences[1] = func() time.Duration { return time.Since(lastWord) }
		m.serveUntil(SessionIdleTimeout+SessionHeartbeatInterval, m.lapsed)
		assert.Assert(t, !m.lapsed())
		m.table.DropOwner(m.clock.now(), 1)
		m.serveUntil(hangTimeout, m.lapsed)
		assert.Assert(t, m.lapsed())
		assert.Assert(t, time.Since(lastWord) <= callerReturns, "%v", time.Since(lastWord))
		m.serveUntil(time.Second, func() bool { return m.table.OpenRuns() == 0 })
		assert.Equal(t, m.table.OpenRuns(), 0)
	})
}

// TestRunToBeStoppedEndsWithItsLease: a dispatcher whose caller has left asks for a
// stop, which the minion does not answer.
func TestRunToBeStoppedEndsWithItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newLeasedMinion(t)
		m.serveUntil(3*time.Second, m.lapsed)
		assert.Assert(t, !m.lapsed()) // the lease is renewed while the dispatcher is there
		asked := time.Now()
		m.table.StopJob(m.clock.now(), 1, "a")
		m.serveUntil(hangTimeout, m.lapsed)
		assert.Assert(t, time.Since(asked) <= callerReturns-SessionHeartbeatInterval, "%v", time.Since(asked))
	})
}

// TestLeaseIsWholeWhileDispatchersAreThere: a dispatcher that sends its heartbeats, some
// of them late, shortens no lease.
func TestLeaseIsWholeWhileDispatchersAreThere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newLeasedMinion(t)
		m.silences[1] = func() time.Duration { return 3 * SessionHeartbeatInterval / 2 }
		assert.Equal(t, m.leaseLimit(time.Now()), leaseDuration)
	})
}

// TestLostDispatchersRunsWaitedForTheirLease: the runs of a dispatcher are stopped when its
// session has ended, not only by the lease that its silence limits.
func TestLostDispatchersRunsWaitedForTheirLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSteppedLoop(t)
		ref := s.start("a")
		s.dispatcher.session = new(wire.Session)
		s.dispatchers[s.dispatcher.session] = s.dispatcher
		dispatcherDisconnected{s.dispatcher.session}.handle(s.loop, s.clock.now())
		s.step()
		assert.Equal(t, take(t, &s.minion.stops).call.RunID, ref)
	})
}
