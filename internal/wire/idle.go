package wire

import (
	"sync/atomic"
	"time"

	"endivewing/internal/boottime"
)

// moment is a reading of the boot time clock, which never steps and goes on while
// the host is suspended. It may be set and read concurrently.
type moment struct{ reading atomic.Int64 }

func (m *moment) setNow() { m.reading.Store(int64(boottime.Now())) }

func (m *moment) get() time.Duration { return time.Duration(m.reading.Load()) }

// processStart is a reference time that all sessions of the process share.
var processStart = time.Now()

// untilNextTick returns the time until the next multiple of interval since
// processStart. All sessions with the same interval are checked at the same
// times, so a process with many sessions wakes up once for all of them.
func untilNextTick(interval time.Duration) time.Duration {
	return interval - time.Since(processStart)%interval
}

// maxTickDelayFraction is the longest delay of a check, as a fraction of the
// heartbeat interval. A longer delay means that the process itself had no
// processor time.
const maxTickDelayFraction = 0.25

// backlogReadTime is how long after a stall a read may still return bytes that
// arrived during it.
const backlogReadTime = 50 * time.Millisecond

// idleDetector decides when the peer of a session counts as silent.
type idleDetector struct {
	heartbeatInterval, idleTimeout time.Duration
	// ignoreStalls excludes periods in which this process had no processor
	// time; see Options.IgnoreLocalStalls.
	ignoreStalls bool
	lastCheck    time.Duration
	// lastStall is the time of the last check that came late.
	lastStall time.Duration
	// heardAt is the latest time at which the peer was certainly alive: bytes
	// arrived then or later.
	heardAt time.Duration
	// backlogUntil is the end of the time in which bytes may be read that arrived
	// during a stall.
	backlogUntil time.Duration
}

func newIdleDetector(opts *Options, now time.Duration) *idleDetector {
	return &idleDetector{
		heartbeatInterval: opts.heartbeatInterval(),
		idleTimeout:       opts.idleTimeout(),
		ignoreStalls:      opts.IgnoreLocalStalls,
		lastCheck:         now,
		lastStall:         now - 2*opts.idleTimeout(), // none yet
		heardAt:           now,
	}
}

// check is called at least once per heartbeat interval with the time at which bytes were
// last read from the peer. It returns the time since the peer was certainly alive
// and whether the session must be closed.
func (d *idleDetector) check(now, received time.Duration) (silence time.Duration, expired bool) {
	previous := d.lastCheck
	delay := now - previous - d.heartbeatInterval
	d.lastCheck = now
	if d.ignoreStalls {
		return d.checkIgnoringStalls(now, received, delay)
	}
	stalled := delay > d.heartbeatInterval
	if stalled {
		received = min(received, previous)
	}
	if received > d.backlogUntil {
		d.heardAt = max(d.heardAt, received)
	}
	if stalled {
		d.backlogUntil = now + backlogReadTime
	}
	silence = now - d.heardAt
	return silence, silence > d.idleTimeout
}

// untilNextCheck returns the time until the next check: that until the next tick
// or, if it comes before, the moment at which the timeout has passed.
func (d *idleDetector) untilNextCheck(now, untilTick time.Duration) time.Duration {
	if d.ignoreStalls {
		return untilTick
	}
	return min(untilTick, d.heardAt+d.idleTimeout+time.Millisecond-now)
}

// checkIgnoringStalls is check for a session whose peer must be silent for the
// whole timeout while this process runs.
func (d *idleDetector) checkIgnoringStalls(now, received, delay time.Duration) (silence time.Duration, expired bool) {
	if float64(delay) > maxTickDelayFraction*float64(d.heartbeatInterval) {
		// Bytes that arrived during the stall may still wait in the kernel.
		d.lastStall = now
	}
	silence = now - received
	return silence, silence > d.idleTimeout && now-d.lastStall > d.idleTimeout
}
