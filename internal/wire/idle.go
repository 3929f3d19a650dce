package wire

import "time"

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

// idleDetector decides when the peer of a session counts as silent.
type idleDetector struct {
	heartbeatInterval, idleTimeout time.Duration
	// ignoreStalls excludes periods in which this process had no processor
	// time; see Options.IgnoreLocalStalls.
	ignoreStalls bool
	lastCheck    time.Time
	// lastStall is the time of the last check that came late.
	lastStall time.Time
}

func newIdleDetector(opts *Options, now time.Time) *idleDetector {
	return &idleDetector{heartbeatInterval: opts.heartbeatInterval(), idleTimeout: opts.idleTimeout(), ignoreStalls: opts.IgnoreLocalStalls, lastCheck: now}
}

// check is called once per heartbeat interval with the time at which bytes last
// arrived from the peer. It returns the time since then and whether the session
// must be closed.
func (d *idleDetector) check(now, received time.Time) (silence time.Duration, expired bool) {
	delay := now.Sub(d.lastCheck) - d.heartbeatInterval
	d.lastCheck = now
	if d.ignoreStalls && float64(delay) > maxTickDelayFraction*float64(d.heartbeatInterval) {
		// Bytes that arrived during the stall may still wait in the kernel.
		d.lastStall = now
	}
	silence = now.Sub(received)
	return silence, silence > d.idleTimeout && now.Sub(d.lastStall) > d.idleTimeout
}
