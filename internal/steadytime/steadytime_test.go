package steadytime

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// kernel answers a time and counts how often it is asked.
type kernel struct {
	time  time.Duration
	asked int
}

func (k *kernel) ask() time.Duration {
	k.asked++
	return k.time
}

// TestKernelIsAskedSeldom: within a second the process's own clock answers.
func TestKernelIsAskedSeldom(t *testing.T) {
	var c clock
	k := &kernel{time: time.Hour}
	assert.Equal(t, c.at(reading{0, time.Minute}, k.ask), time.Hour)
	assert.Equal(t, c.at(reading{500 * time.Millisecond, time.Minute + 500*time.Millisecond}, k.ask), time.Hour+500*time.Millisecond)
	assert.Equal(t, k.asked, 1)
	c.at(reading{time.Second, time.Minute + time.Second}, k.ask)
	assert.Equal(t, k.asked, 2)
}

// TestSuspensionIsSeenAtOnce: the time of day has gone on, the steady clock
// has not; after a step of the time of day the answer is right as well.
func TestSuspensionIsSeenAtOnce(t *testing.T) {
	var c clock
	k := &kernel{time: time.Hour}
	c.at(reading{0, time.Minute}, k.ask)
	k.time += 3 * time.Second
	assert.Equal(t, c.at(reading{time.Millisecond, time.Minute + 3*time.Second}, k.ask), time.Hour+3*time.Second)
	k.time += time.Millisecond
	assert.Equal(t, c.at(reading{2 * time.Millisecond, 0}, k.ask), time.Hour+3*time.Second+time.Millisecond)
}

func TestClockRuns(t *testing.T) {
	first := Now()
	assert.Assert(t, first > 0)
	assert.Assert(t, Now() >= first)
}
