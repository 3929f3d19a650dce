package wire

import (
	"sync/atomic"
	"time"

	"endivewing/internal/boottime"
)

// activity is the time at which something last happened. It is kept on the boot time
// clock, which no step of the wall clock moves and which goes on while the host is
// suspended.
type activity struct{ at atomic.Int64 }

// record sets the time to now.
func (a *activity) record() { a.at.Store(int64(boottime.Now())) }

// age returns the time since the last record.
func (a *activity) age() time.Duration { return boottime.Now() - time.Duration(a.at.Load()) }
