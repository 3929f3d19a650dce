package boottime

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// fakeKernel is a kernel clock that counts its reads.
type fakeKernel struct {
	time  time.Duration
	reads int
}

func (k *fakeKernel) readTime() time.Duration {
	k.reads++
	return k.time
}

// TestKernelClockIsReadRarely: within a second the process's own clock is used.
func TestKernelClockIsReadRarely(t *testing.T) {
	var c clock
	k := &fakeKernel{time: time.Hour}
	assert.Equal(t, c.read(reading{0, time.Minute}, k.readTime), time.Hour)
	assert.Equal(t, c.read(reading{500 * time.Millisecond, time.Minute + 500*time.Millisecond}, k.readTime), time.Hour+500*time.Millisecond)
	assert.Equal(t, k.reads, 1)
	c.read(reading{time.Second, time.Minute + time.Second}, k.readTime)
	assert.Equal(t, k.reads, 2)
}

// TestSuspensionIsDetectedAtOnce: after a suspension the wall clock has
// advanced and the monotonic clock has not. The result must be right then, and
// also after a step of the wall clock.
func TestSuspensionIsDetectedAtOnce(t *testing.T) {
	var c clock
	k := &fakeKernel{time: time.Hour}
	c.read(reading{0, time.Minute}, k.readTime)
	k.time += 3 * time.Second
	assert.Equal(t, c.read(reading{time.Millisecond, time.Minute + 3*time.Second}, k.readTime), time.Hour+3*time.Second)
	k.time += time.Millisecond
	assert.Equal(t, c.read(reading{2 * time.Millisecond, 0}, k.readTime), time.Hour+3*time.Second+time.Millisecond)
}

func TestNowDoesNotGoBack(t *testing.T) {
	first := Now()
	assert.Assert(t, first > 0)
	assert.Assert(t, Now() >= first)
}
