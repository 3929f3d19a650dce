package wire

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestOwnPauseIsNoSilence: a process without processor time has not read what
// its peer sent; the session goes on unless the peer stays silent afterwards.
func TestOwnPauseIsNoSilence(t *testing.T) {
	opts := &Options{Heartbeat: 500 * time.Millisecond, Idle: 1500 * time.Millisecond, PatientIdle: true}
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	w := newIdleWatch(opts, start)
	for _, step := range []struct {
		now  int
		over bool
	}{
		{500, false},
		{1000, false},
		{2600, false}, // 1.1 s late
		{3100, false},
		{3600, false},
		{4100, false},
		{4600, true}, // silent for longer than the limit while it was looked at
	} {
		_, over := w.look(at(step.now), start)
		assert.Equal(t, over, step.over, "at %d ms", step.now)
	}
}

// TestSilenceIsStrictWithoutPatience: where others act on a silence at a known
// time, an own pause counts.
func TestSilenceIsStrictWithoutPatience(t *testing.T) {
	opts := &Options{Heartbeat: 200 * time.Millisecond, Idle: 800 * time.Millisecond}
	start := time.Unix(1000, 0)
	w := newIdleWatch(opts, start)
	_, over := w.look(start.Add(900*time.Millisecond), start)
	assert.Assert(t, over)
}
