package runner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

func after(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// TestLeaseEndsOnTheSlowestClock: a lease counts as over only when a clock that
// is 2% slow has passed it.
func TestLeaseEndsOnTheSlowestClock(t *testing.T) {
	var l lease
	l.heard(after(0), 5000)
	deadline := l.extend(after(0))
	assert.Equal(t, deadline, 5000+leaseSpan.Milliseconds())
	assert.Assert(t, !l.surelyEnded(after(900)))
	assert.Assert(t, !l.surelyEnded(after(918)))
	assert.Assert(t, l.surelyEnded(after(920)))
}

// TestUnansweredCallsCountInTheLease: a call without an answer may have
// extended the lease.
func TestUnansweredCallsCountInTheLease(t *testing.T) {
	var l lease
	l.heard(after(0), 5000)
	l.extend(after(0))
	l.extend(after(500))
	assert.Assert(t, !l.surelyEnded(after(1200)))
	assert.Assert(t, l.surelyEnded(after(1450)))
}

func TestSilentMinionIsNotReachable(t *testing.T) {
	var l lease
	assert.Assert(t, !l.reachable(after(0)))
	l.heard(after(0), 1)
	assert.Assert(t, l.reachable(after(599)))
	assert.Assert(t, !l.reachable(after(600)))
}
