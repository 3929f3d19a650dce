package runner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivewing/internal/dispatch"
)

const (
	// longestDelay is how long bytes may be on their way over a congested link.
	// They may be read up to one check late.
	longestDelay = 500 * time.Millisecond
	// longestStop is the time from the end of a session until its runs have
	// ended: the first stop is lost, the second takes the minion's grace period.
	longestStop     = callTimeout + secondStopAfter + minionGrace
	secondStopAfter = 70 * time.Millisecond
	minionGrace     = 50 * time.Millisecond
)

// TestALostRunHasEndedByTheTimeout: runs counted as over 1.8 s after their runner
// was lost. The model is a runner that has to notice the silence of a dispatcher
// by itself and stands still once, at any time and for any length. Its minion's
// clock is 2% slow.
func TestALostRunHasEndedByTheTimeout(t *testing.T) {
	var longest, at, length time.Duration
	for frozenAt := time.Duration(0); frozenAt < 3*time.Second; frozenAt += 10 * time.Millisecond {
		for frozenFor := time.Duration(0); frozenFor < 2*time.Second; frozenFor += 10 * time.Millisecond {
			if end := endAfterLoss(longestDelay+SessionHeartbeatInterval, frozenAt, frozenAt+frozenFor); end > longest {
				longest, at, length = end, frozenAt, frozenFor
			}
		}
	}
	t.Logf("a run ends at most %v after the loss: the runner stands still at %v for %v", longest, at, length)
	assert.Assert(t, longest <= dispatch.LostRunTimeout, "%v, the runner stands still at %v for %v", longest, at, length)
	assert.Assert(t, dispatch.LostRunTimeout-longest < time.Second, "%v is longer than needed", dispatch.LostRunTimeout)
}

// resendTime is the time after which a caller without an answer sends its job
// again, to any dispatcher.
const resendTime = 1300 * time.Millisecond

// TestALostRunHasEndedWhenItsCallerComesBack: a runner that notices the silence of
// its dispatcher by itself ends the runs before their callers send the jobs
// again. The rest of the time is left for processes that get little processor
// time.
func TestALostRunHasEndedWhenItsCallerComesBack(t *testing.T) {
	end := endAfterLoss(0, 0, 0)
	t.Logf("a run ends at most %v after the last sign of its dispatcher", end)
	assert.Assert(t, end+250*time.Millisecond <= resendTime, "%v", end)
}

// endAfterLoss returns how long after the loss of its dispatcher a run ends at a
// runner that has read the dispatcher's last bytes at the time heard, and that
// stands still from one time to another.
func endAfterLoss(heard, frozen, thawed time.Duration) time.Duration {
	const step = 10 * time.Millisecond
	minionClock := func(now time.Duration) int64 { return 1 + int64(float64(now.Milliseconds())*minClockRate) }
	start := time.Unix(1000, 0)
	var l lease
	checkDue := false
	for now := time.Duration(0); ; now += step {
		if l.latestDeadline != 0 && minionClock(now) > l.latestDeadline {
			return now // the minion has killed it
		}
		checkDue = checkDue || now%SessionHeartbeatInterval == 0 || now == heard+SessionIdleTimeout+step
		if now >= frozen && now < thawed {
			continue
		}
		if checkDue && now-heard > SessionIdleTimeout {
			return now + longestStop
		}
		checkDue = false
		if now%pollWait == 0 || now == thawed {
			l.recordClock(start.Add(now), minionClock(now))
			l.extend(start.Add(now), leaseDuration)
		}
	}
}
