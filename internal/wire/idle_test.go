package wire

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivewing/internal/boottime"
)

// TestLocalStallIsNotPeerSilence covers a process that had no processor time
// and has not yet read what its peer sent. The session must stay open unless
// the peer stays silent afterwards.
func TestLocalStallIsNotPeerSilence(t *testing.T) {
	opts := &Options{HeartbeatInterval: 500 * time.Millisecond, IdleTimeout: 1500 * time.Millisecond, IgnoreLocalStalls: true}
	start := 1000 * time.Second
	at := func(ms int) time.Duration { return start + time.Duration(ms)*time.Millisecond }
	d := newIdleDetector(opts, start)
	for _, step := range []struct {
		now     int
		expired bool
	}{
		{500, false},
		{1000, false},
		{2600, false}, // this check is 1.1 s late
		{3100, false},
		{3600, false},
		{4100, false},
		{4600, true}, // silent for longer than IdleTimeout with all checks on time
	} {
		_, expired := d.check(at(step.now), start)
		assert.Equal(t, expired, step.expired, "at %d ms", step.now)
	}
}

// TestLocalStallCountsAsSilenceByDefault: without IgnoreLocalStalls a local stall
// counts as silence, because other processes rely on the time at which a silent
// session ends.
func TestLocalStallCountsAsSilenceByDefault(t *testing.T) {
	opts := &Options{HeartbeatInterval: 200 * time.Millisecond, IdleTimeout: 800 * time.Millisecond}
	start := 1000 * time.Second
	d := newIdleDetector(opts, start)
	_, expired := d.check(start+900*time.Millisecond, start)
	assert.Assert(t, expired)
}

// TestSilenceIsNotMeasuredOnTheWallClock: a step of the host's clock ended all
// sessions, or kept a process from sending heartbeats and from noticing silence.
func TestSilenceIsNotMeasuredOnTheWallClock(t *testing.T) {
	s := startSession(t, testOptions("c", echoJob), testOptions("c", ignore))
	_, err := s.Call(t.Context(), LaneTraffic, jobRequest(1))
	assert.NilError(t, err)
	for _, m := range []*moment{&s.lastReceived, &s.lastSent} {
		age := boottime.Now() - m.get()
		assert.Assert(t, age >= 0 && age < time.Minute, "%v", age)
	}
}

// TestBytesReadAfterAStallProveNothing: a process that stood still read heartbeats
// that its peer had sent before it was gone, and then waited for the whole
// timeout again. Bytes that arrive after the stall count.
func TestBytesReadAfterAStallProveNothing(t *testing.T) {
	type check struct {
		now, received int
		expired       bool
	}
	cases := map[string][]check{
		"long stall":       {{200, 190, false}, {1050, 1049, true}},
		"short stall":      {{200, 190, false}, {700, 699, false}, {800, 701, false}, {1000, 701, false}, {1200, 701, true}},
		"alive after it":   {{200, 190, false}, {700, 699, false}, {800, 790, false}, {1000, 790, false}, {1400, 1390, false}},
		"two stalls":       {{200, 190, false}, {700, 699, false}, {1200, 1199, true}},
		"late by a little": {{200, 190, false}, {500, 499, false}, {600, 499, false}, {1200, 499, false}},
	}
	for name, checks := range cases {
		t.Run(name, func(t *testing.T) {
			start := 1000 * time.Second
			at := func(ms int) time.Duration { return start + time.Duration(ms)*time.Millisecond }
			opts := &Options{HeartbeatInterval: 200 * time.Millisecond, IdleTimeout: 800 * time.Millisecond}
			d := newIdleDetector(opts, start)
			for _, c := range checks {
				_, expired := d.check(at(c.now), at(c.received))
				assert.Equal(t, expired, c.expired, "at %d ms", c.now)
			}
		})
	}
}

// TestSilenceIsNoticedWhenTheTimeoutHasPassed: silence was noticed at the next
// tick only, up to a heartbeat interval late.
func TestSilenceIsNoticedWhenTheTimeoutHasPassed(t *testing.T) {
	const tick = 200 * time.Millisecond
	d := newIdleDetector(&Options{HeartbeatInterval: tick, IdleTimeout: 800 * time.Millisecond}, 0)
	_, expired := d.check(tick, 30*time.Millisecond)
	assert.Assert(t, !expired)
	assert.Equal(t, d.untilNextCheck(tick, tick), tick)
	assert.Equal(t, d.untilNextCheck(4*tick, tick), 31*time.Millisecond)
	_, expired = d.check(4*tick+31*time.Millisecond, 30*time.Millisecond)
	assert.Assert(t, expired)
}
