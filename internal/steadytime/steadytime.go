// Package steadytime reads a clock that never steps and goes on while the host
// is suspended, so that what was sent before a suspension shows its age.
package steadytime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now is the time since an arbitrary start, the same for all processes of a
// host.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0 // no clock: ages then count as 0
	}
	return time.Duration(t.Nano())
}
