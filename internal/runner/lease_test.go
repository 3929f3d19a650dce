package runner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var startTime = time.Unix(1000, 0)

func timeAfter(ms int) time.Time { return startTime.Add(time.Duration(ms) * time.Millisecond) }

// watch lets a lease observe the time from one point to another, as ticks do.
func watch(l *lease, fromMs, toMs int) {
	for ms := fromMs; ms < toMs; ms += 10 {
		l.observe(timeAfter(ms))
	}
	l.observe(timeAfter(toMs))
}

// TestLeaseEndsOnTheSlowestClock checks that a lease counts as expired only when a
// clock that is 2% slow has passed its deadline.
func TestLeaseEndsOnTheSlowestClock(t *testing.T) {
	var l lease
	l.recordClock(timeAfter(0), 5000)
	deadline := l.extend(timeAfter(0), leaseDuration)
	assert.Equal(t, deadline, 5000+leaseDuration.Milliseconds())
	watch(&l, 0, 900)
	assert.Assert(t, !l.expired(timeAfter(900)))
	watch(&l, 900, 918)
	assert.Assert(t, !l.expired(timeAfter(918)))
	assert.Assert(t, l.expired(timeAfter(920)))
}

// TestUnansweredCallsCountInTheLease checks that an unanswered call counts as one
// that extended the lease.
func TestUnansweredCallsCountInTheLease(t *testing.T) {
	var l lease
	l.recordClock(timeAfter(0), 5000)
	l.extend(timeAfter(0), leaseDuration)
	watch(&l, 0, 500)
	l.extend(timeAfter(500), leaseDuration)
	watch(&l, 500, 1200)
	assert.Assert(t, !l.expired(timeAfter(1200)))
	watch(&l, 1200, 1450)
	assert.Assert(t, l.expired(timeAfter(1450)))
}

func TestSilentMinionIsNotReachable(t *testing.T) {
	var l lease
	assert.Assert(t, !l.reachable(timeAfter(0)))
	l.recordClock(timeAfter(0), 1)
	assert.Assert(t, l.reachable(timeAfter(599)))
	assert.Assert(t, !l.reachable(timeAfter(600)))
}

// TestStandstillDoesNotEndTheLease: the minion's clock may have stood still with the
// runner, on a host that was suspended. The lease ends later, or with a reading.
func TestStandstillDoesNotEndTheLease(t *testing.T) {
	var l lease
	l.recordClock(timeAfter(0), 5000)
	l.extend(timeAfter(0), leaseDuration)
	watch(&l, 0, 400)
	assert.Assert(t, !l.expired(timeAfter(5400)))
	watch(&l, 5400, 5600)
	assert.Assert(t, !l.expired(timeAfter(5600)))
	watch(&l, 5600, 6000)
	assert.Assert(t, l.expired(timeAfter(6000)))
	l.recordClock(timeAfter(6000), 5500)
	assert.Assert(t, !l.expired(timeAfter(6000)))
	l.recordClock(timeAfter(6001), 5901)
	assert.Assert(t, l.expired(timeAfter(6001)))
}
