// Package steadytime reads a clock that never steps and goes on while the host
// is suspended, so that what was sent before a suspension shows its age.
package steadytime

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// resync is how often the kernel is asked; in between the process's own
	// steady clock is enough.
	resync = time.Second
	// drift between the steady clock and the time of day is how a suspension
	// or a step shows: the kernel is asked again.
	drift = 50 * time.Millisecond
)

// reading is what the process's own clocks show. Both are cheap to read.
type reading struct {
	// steady stands still during a suspension.
	steady time.Duration
	// ofDay goes on, and may step.
	ofDay time.Duration
}

// clock joins the process's clocks with the kernel's, which neither stands
// still nor steps.
type clock struct {
	mu     sync.Mutex
	known  bool
	last   reading
	kernel time.Duration // at last
}

var (
	process clock
	start   = time.Now()
)

// Now is the time since an arbitrary start, the same for all processes of a
// host.
func Now() time.Duration {
	now := time.Now()
	return process.at(reading{steady: now.Sub(start), ofDay: time.Duration(now.UnixNano())}, bootTime)
}

func (c *clock) at(now reading, ask func() time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	steady, ofDay := now.steady-c.last.steady, now.ofDay-c.last.ofDay
	if !c.known || steady >= resync || (ofDay-steady).Abs() > drift {
		c.known, c.last, c.kernel = true, now, ask()
		return c.kernel
	}
	return c.kernel + steady
}

// bootTime asks the kernel.
func bootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0 // no clock: ages then count as 0
	}
	return time.Duration(t.Nano())
}
