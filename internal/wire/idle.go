package wire

import "time"

// started is when the process began.
var started = time.Now()

// untilTick is the time to the next multiple of an interval since the process
// began: all sessions with the same interval are looked at together, so that a
// process with many of them wakes up once.
func untilTick(interval time.Duration) time.Duration {
	return interval - time.Since(started)%interval
}

// lateShare of the heartbeat interval is how late a look may come before it
// shows that the process itself had no processor time.
const lateShare = 0.25

// idleWatch decides when a session counts as silent.
type idleWatch struct {
	heartbeat, idle time.Duration
	// patient: time without processor time does not count as silence.
	patient bool
	looked  time.Time
	// resumed is when the process last had processor time again.
	resumed time.Time
}

func newIdleWatch(opts *Options, now time.Time) *idleWatch {
	return &idleWatch{heartbeat: opts.heartbeat(), idle: opts.idle(), patient: opts.PatientIdle, looked: now}
}

// look is called once a heartbeat interval with the time of the last bytes from
// the peer. It returns how long nothing came and whether the session is over.
func (w *idleWatch) look(now, received time.Time) (silence time.Duration, over bool) {
	late := now.Sub(w.looked) - w.heartbeat
	w.looked = now
	if w.patient && float64(late) > lateShare*float64(w.heartbeat) {
		// What arrived meanwhile waits in the kernel.
		w.resumed = now
	}
	silence = now.Sub(received)
	return silence, silence > w.idle && now.Sub(w.resumed) > w.idle
}
