// Package boottime provides the boot time clock of the host (CLOCK_BOOTTIME).
// The clock never steps and also runs while the host is suspended, so that a
// message sent before a suspension has its true age afterwards.
package boottime

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// kernelReadInterval is the time after which the kernel's clock is read
	// again. In between, the progress of the process's monotonic clock is added
	// to the last value.
	kernelReadInterval = time.Second
	// maxDrift is the largest difference between the progress of the monotonic
	// clock and that of the wall clock. A larger one means a suspension or a
	// step of the wall clock, and the kernel's clock is read again.
	maxDrift = 50 * time.Millisecond
)

// reading is a reading of the process's own clocks. Both are cheap to read.
type reading struct {
	// monotonic stands still during a suspension.
	monotonic time.Duration
	// wallClock runs on during a suspension and may step.
	wallClock time.Duration
}

// clock derives the boot time from the process's clocks and occasional reads of
// the kernel's clock. The latter neither stands still nor steps.
type clock struct {
	mu           sync.Mutex
	initialized  bool
	lastReading  reading
	lastBootTime time.Duration // the boot time at lastReading
}

var (
	processClock clock
	processStart = time.Now()
)

// Now returns the time since an arbitrary start, which is the same for all
// processes of a host.
func Now() time.Duration {
	now := time.Now()
	return processClock.read(reading{monotonic: now.Sub(processStart), wallClock: time.Duration(now.UnixNano())}, readBootTime)
}

func (c *clock) read(now reading, readKernel func() time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	monotonic, wallClock := now.monotonic-c.lastReading.monotonic, now.wallClock-c.lastReading.wallClock
	if !c.initialized || monotonic >= kernelReadInterval || (wallClock-monotonic).Abs() > maxDrift {
		c.initialized, c.lastReading, c.lastBootTime = true, now, readKernel()
		return c.lastBootTime
	}
	return c.lastBootTime + monotonic
}

// readBootTime reads the kernel's boot time clock.
func readBootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0 // without the clock all ages are 0
	}
	return time.Duration(t.Nano())
}
