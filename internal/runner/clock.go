package runner

import "time"

// increasingClock returns a later time with each call, also while the clock of the
// host stands still. Times then tell which of two inputs came first: a list that was
// requested before a stop was answered proves less than one that was requested
// afterwards.
type increasingClock struct{ last time.Time }

func (c *increasingClock) now() time.Time {
	now := time.Now()
	if !now.After(c.last) {
		now = c.last.Add(1)
	}
	c.last = now
	return now
}
