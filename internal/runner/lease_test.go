package runner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var startTime = time.Unix(1000, 0)

func timeAfter(ms int) time.Time { return startTime.Add(time.Duration(ms) * time.Millisecond) }

// TestLeaseEndsOnTheSlowestClock checks that a lease counts as expired only when a
// clock that is 2% slow has passed its deadline.
func TestLeaseEndsOnTheSlowestClock(t *testing.T) {
	var l lease
	l.recordClock(timeAfter(0), 5000)
	deadline := l.extend(timeAfter(0))
	assert.Equal(t, deadline, 5000+leaseDuration.Milliseconds())
	assert.Assert(t, !l.expired(timeAfter(900)))
	assert.Assert(t, !l.expired(timeAfter(918)))
	assert.Assert(t, l.expired(timeAfter(920)))
}

// TestUnansweredCallsCountInTheLease checks that an unanswered call counts as one
// that extended the lease.
func TestUnansweredCallsCountInTheLease(t *testing.T) {
	var l lease
	l.recordClock(timeAfter(0), 5000)
	l.extend(timeAfter(0))
	l.extend(timeAfter(500))
	assert.Assert(t, !l.expired(timeAfter(1200)))
	assert.Assert(t, l.expired(timeAfter(1450)))
}

func TestSilentMinionIsNotReachable(t *testing.T) {
	var l lease
	assert.Assert(t, !l.reachable(timeAfter(0)))
	l.recordClock(timeAfter(0), 1)
	assert.Assert(t, l.reachable(timeAfter(599)))
	assert.Assert(t, !l.reachable(timeAfter(600)))
}
