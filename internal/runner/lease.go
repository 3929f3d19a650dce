package runner

import "time"

// lease holds what the runner knows of the minion's clock and of the lease on
// that clock. A lease that is believed to go on is safe, one that is believed to be
// over is not, so each value is a lower bound of the minion's clock.
type lease struct {
	// clock is the last reading of the minion's clock, in milliseconds. It was
	// taken at recordedAt or before.
	clock      int64
	recordedAt time.Time
	// passed is the time from recordedAt to observedAt that certainly passed at the
	// minion, too.
	passed     time.Duration
	observedAt time.Time
	// latestDeadline is the latest deadline that a call has carried, in
	// milliseconds on the minion's clock.
	latestDeadline int64
}

// recordClock records a reading of the minion's clock. 0 stands for a reply
// without a reading and is ignored.
func (s *lease) recordClock(now time.Time, clock int64) {
	if clock == 0 {
		return
	}
	s.clock, s.recordedAt = clock, now
	s.passed, s.observedAt = 0, now
}

// observe counts the time since it was called last, at most maxObservedStep: while this
// process stood still, so may have the minion's clock, with a host that was suspended.
func (s *lease) observe(now time.Time) {
	s.passed = s.passedUntil(now)
	s.observedAt = now
}

func (s *lease) passedUntil(now time.Time) time.Duration {
	return s.passed + min(now.Sub(s.observedAt), maxObservedStep)
}

// reset clears the lease when a new incarnation of the minion begins.
func (s *lease) reset() { *s = lease{} }

// assumeLongest assumes the longest lease that the minion can have granted, for
// runs that it may have without a call that is known.
func (s *lease) assumeLongest() {
	s.latestDeadline = s.clock + maxGrantedLease.Milliseconds()
}

// minClock returns a lower bound of the present reading of the minion's clock,
// in milliseconds.
func (s *lease) minClock(now time.Time) int64 {
	return s.clock + int64(float64(s.passedUntil(now).Milliseconds())*minClockRate)
}

// reachable reports whether a reading of the minion's clock arrived within
// unreachableTimeout.
func (s *lease) reachable(now time.Time) bool {
	return !s.recordedAt.IsZero() && now.Sub(s.recordedAt) < unreachableTimeout
}

// extend returns the deadline of a lease of the given length for a call, in
// milliseconds on the minion's clock, and records it. The deadline counts even if
// no reply comes, because the minion may have executed the call.
func (s *lease) extend(now time.Time, length time.Duration) int64 {
	deadline := s.minClock(now) + length.Milliseconds()
	s.latestDeadline = max(s.latestDeadline, deadline)
	return deadline
}

// expired reports whether the lease has certainly expired on the minion's clock,
// so that the minion has killed all runs.
func (s *lease) expired(now time.Time) bool {
	return s.latestDeadline != 0 && s.minClock(now) > s.latestDeadline
}
