package wire

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivewing/internal/boottime"
)

// TestStepOfTheWallClockIsNoSilence: a step forward ended all sessions at once, and a
// step back hid a silent peer for as long. The boot time clock does not step.
func TestStepOfTheWallClockIsNoSilence(t *testing.T) {
	var received activity
	received.record()
	recorded := time.Duration(received.at.Load())
	assert.Assert(t, (boottime.Now()-recorded).Abs() < time.Minute, "recorded at %v", recorded)
	assert.Assert(t, received.age().Abs() < time.Minute, "%v", received.age())
}
