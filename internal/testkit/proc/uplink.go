package proc

import (
	"sync"
	"time"
)

// Uplink is a link with a bounded rate that several relays share. Data passes in the
// order in which the relays received it.
type Uplink struct {
	bytesPerSecond float64

	mu     sync.Mutex
	freeAt time.Time // when all data so far has passed
}

// NewUplink returns a link with the given rate.
func NewUplink(bytesPerSecond float64) *Uplink { return &Uplink{bytesPerSecond: bytesPerSecond} }

// pass waits until n bytes have passed. A nil link is not bounded.
func (u *Uplink) pass(n int) {
	if u == nil {
		return
	}
	time.Sleep(time.Until(u.reserve(n, time.Now())))
}

// reserve appends n bytes to the data that waits, and returns when they have passed.
func (u *Uplink) reserve(n int, now time.Time) time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.freeAt.Before(now) {
		u.freeAt = now
	}
	u.freeAt = u.freeAt.Add(time.Duration(float64(n) / u.bytesPerSecond * float64(time.Second)))
	return u.freeAt
}
