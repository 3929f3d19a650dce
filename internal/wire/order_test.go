package wire

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	wirepb "endivewing/api/endivewing/v1"
)

// TestNoMessageAfterTheEndOfASession: a message that was handled after OnClosed
// brought a session back to life that had ended for its process.
func TestNoMessageAfterTheEndOfASession(t *testing.T) {
	var handled atomic.Int32
	entered := make(chan *Session, 2)
	release := make(chan struct{})
	closed := make(chan int32, 1)
	server := testOptions("c", func(s *Session, _ *wirepb.Envelope) {
		entered <- s
		<-release
		handled.Add(1)
	})
	server.OnClosed = func(*Session) { closed <- handled.Load() }
	l, err := Listen("127.0.0.1:0", server)
	assert.NilError(t, err)
	go l.Serve()
	t.Cleanup(l.Close)
	s, err := Dial(context.Background(), l.Address(), testOptions("c", ignore))
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	assert.NilError(t, s.Send(LaneTraffic, jobRequest(1)))
	assert.NilError(t, s.Send(LaneTraffic, jobRequest(2)))
	s.Start() // sends both in one frame
	(<-entered).Close()
	select {
	case n := <-closed:
		t.Errorf("the end was told after %d of 2 messages", n)
	case <-time.After(100 * time.Millisecond):
	}
	close(release)
	if !t.Failed() {
		assert.Equal(t, <-closed, int32(2))
	}
}

// TestNothingIsSentAfterADroppedMessage: after a message that did not fit the
// queue was dropped, a smaller one was still sent, so the peer had a gap.
func TestNothingIsSentAfterADroppedMessage(t *testing.T) {
	s := &Session{meter: newMeter(nil), done: make(chan struct{})}
	l := newLane(s, LaneTraffic, nil)
	s.closeOnce.Do(func() {}) // the session closes later
	spec := strings.Repeat("x", maxQueuedBytes/3)
	large := &wirepb.Envelope{Body: &wirepb.Envelope_PlaceTasks{PlaceTasks: &wirepb.PlaceTasks{Spec: spec}}}
	assert.NilError(t, l.enqueue(large))
	assert.NilError(t, l.enqueue(large))
	assert.ErrorIs(t, l.enqueue(large), ErrQueueFull)
	assert.ErrorIs(t, l.enqueue(jobRequest(1)), ErrClosed)
}
