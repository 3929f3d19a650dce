package runner

import "time"

// lease is what is known of the minion's clock and of the lease there.
type lease struct {
	// clock was the minion's clock, in milliseconds, at told at the latest.
	clock int64
	told  time.Time
	// until is the latest deadline that a call carried, on the minion's clock.
	until int64
}

// heard takes a reading of the minion's clock in.
func (s *lease) heard(now time.Time, clock int64) {
	if clock == 0 {
		return
	}
	s.clock, s.told = clock, now
}

// reset forgets a life.
func (s *lease) reset() { *s = lease{} }

// floor is a time that the minion's clock has surely reached.
func (s *lease) floor(now time.Time) int64 {
	return s.clock + int64(float64(now.Sub(s.told).Milliseconds())*slowestClock)
}

// reachable tells that the minion has answered lately.
func (s *lease) reachable(now time.Time) bool {
	return !s.told.IsZero() && now.Sub(s.told) < unreachableAfter
}

// extend returns a new deadline, and remembers it: a call that gets no answer
// may have been carried out.
func (s *lease) extend(now time.Time) int64 {
	deadline := s.floor(now) + leaseSpan.Milliseconds()
	s.until = max(s.until, deadline)
	return deadline
}

// surelyEnded tells that the minion has killed all that ran.
func (s *lease) surelyEnded(now time.Time) bool {
	return s.until != 0 && s.floor(now) > s.until
}
