package wire

import (
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	wirepb "endivewing/api/endivewing/v1"
)

// gatedConn is a connection that lets only as many bytes arrive as a test allows. Bytes
// that have not arrived wait in memory, as in the buffers of a kernel.
type gatedConn struct {
	net.Conn
	mu      sync.Mutex
	changed *sync.Cond
	waiting []byte
	// capacity bounds the bytes that wait, as a kernel does; 0 means no bound.
	capacity int
	err      error // of the connection
	allowed  int
	open     bool // allows any number of bytes
}

func newGatedConn(c net.Conn) *gatedConn {
	g := &gatedConn{Conn: c, open: true}
	g.changed = sync.NewCond(&g.mu)
	go g.fill()
	return g
}

// fill reads from the connection until it ends.
func (g *gatedConn) fill() {
	buf := make([]byte, 64<<10)
	for {
		n, err := g.Conn.Read(buf)
		g.mu.Lock()
		g.waiting = append(g.waiting, buf[:n]...)
		g.err = err
		g.changed.Broadcast()
		for g.capacity > 0 && len(g.waiting) >= g.capacity && !g.open {
			g.changed.Wait()
		}
		g.mu.Unlock()
		if err != nil {
			return
		}
	}
}

func (g *gatedConn) Read(p []byte) (int, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for g.err == nil && (len(g.waiting) == 0 || g.allowed <= 0 && !g.open) {
		g.changed.Wait()
	}
	if g.err != nil {
		return 0, g.err
	}
	n := len(g.waiting)
	if !g.open {
		n = min(n, g.allowed)
	}
	n = copy(p, g.waiting[:n])
	g.waiting = g.waiting[n:]
	g.allowed -= n
	g.changed.Broadcast()
	return n, nil
}

func (g *gatedConn) setCapacity(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.capacity = n
}

// waitUntilWaiting waits until at least n bytes wait at the gate.
func (g *gatedConn) waitUntilWaiting(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for len(g.waiting) < n {
		g.changed.Wait()
	}
}

// allow lets n more bytes arrive, and none after them.
func (g *gatedConn) allow(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open = false
	g.allowed = max(g.allowed, 0) + n
	g.changed.Broadcast()
}

// allowSlowly lets n more bytes arrive in small steps, as over a slow link.
func (g *gatedConn) allowSlowly(n int) {
	const step = 4 << 10
	for range n / step {
		g.allow(step)
		time.Sleep(time.Millisecond)
	}
}

func (g *gatedConn) openGate() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open = true
	g.changed.Broadcast()
}

// gatedSessions returns two sessions of one connection and the gate before the second.
func gatedSessions(t *testing.T, sender, receiver Options) (from *Session, gate *gatedConn, to *Session) {
	t.Helper()
	near, far := net.Pipe()
	gate = newGatedConn(far)
	accepted := make(chan *Session, 1)
	go func() {
		s, err := newSession(gate, receiver, false)
		assert.Check(t, err)
		accepted <- s
	}()
	from, err := newSession(near, sender, true)
	assert.NilError(t, err)
	to = <-accepted
	from.Start()
	to.Start()
	t.Cleanup(func() {
		gate.openGate()
		from.Close()
		to.Close()
	})
	return from, gate, to
}

// messageOf returns a message of about the given size in bytes.
func messageOf(size int) *wirepb.Envelope {
	return &wirepb.Envelope{Body: &wirepb.Envelope_PlaceTasks{PlaceTasks: &wirepb.PlaceTasks{Spec: strings.Repeat("x", size)}}}
}

// received counts the messages that arrive at a session, by size.
type received struct {
	mu    sync.Mutex
	sizes []int
}

func (r *received) handle(_ *Session, e *wirepb.Envelope) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sizes = append(r.sizes, len(e.GetPlaceTasks().GetSpec()))
}

func (r *received) waitFor(t *testing.T, size int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, s := range r.sizes {
			if s == size {
				return poll.Success()
			}
		}
		return poll.Continue("messages that arrived: %d", r.sizes)
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(time.Millisecond))
}

// TestMessageWasHeldBackByTheNextOne: on a host with one core, a message that had arrived
// whole was read only when the next one had arrived too.
func TestMessageWasHeldBackByTheNextOne(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	var r received
	receiver := testOptions("c", r.handle)
	receiver.IdleTimeout = time.Minute // the end of the session would let the message through
	from, gate, _ := gatedSessions(t, testOptions("c", ignore), receiver)
	assert.NilError(t, from.Send(LaneTraffic, messageOf(2*frameTargetBytes)))
	r.waitFor(t, 2*frameTargetBytes) // opens the flow-control window
	gate.allow(0)
	assert.NilError(t, from.Send(LaneTraffic, messageOf(frameTargetBytes)))
	assert.NilError(t, from.Send(LaneTraffic, messageOf(4*frameTargetBytes)))
	gate.waitUntilWaiting(5 * frameTargetBytes)
	gate.allow(frameTargetBytes)
	gate.allowSlowly(frameTargetBytes) // a quarter of the second message
	r.waitFor(t, frameTargetBytes)
}

// TestUrgentMessageWaitedBehindALargeOne: an urgent message arrived only after the whole
// of a large one on the other lane.
func TestUrgentMessageWaitedBehindALargeOne(t *testing.T) {
	var r received
	receiver := testOptions("c", r.handle)
	receiver.IdleTimeout = time.Minute
	from, gate, _ := gatedSessions(t, testOptions("c", ignore), receiver)
	assert.NilError(t, from.Send(LaneTraffic, messageOf(2*frameTargetBytes)))
	r.waitFor(t, 2*frameTargetBytes) // opens the flow-control window
	gate.allow(0)
	gate.setCapacity(2 * maxWriteBytes)
	assert.NilError(t, from.Send(LaneTraffic, messageOf(4*frameTargetBytes)))
	gate.waitUntilWaiting(2 * maxWriteBytes)
	assert.NilError(t, from.Send(LaneUrgent, messageOf(1)))
	gate.allowSlowly(2 * frameTargetBytes) // half of the large message
	r.waitFor(t, 1)
}

// TestSessionEndedAsSilentWhileAMessageArrived: a session was closed as silent although
// bytes of a large message arrived all the time.
func TestSessionEndedAsSilentWhileAMessageArrived(t *testing.T) {
	const step = 50 * time.Millisecond
	var r received
	receiver := testOptions("c", r.handle)
	receiver.HeartbeatInterval, receiver.IdleTimeout = 2*step, 10*step
	from, gate, to := gatedSessions(t, testOptions("c", ignore), receiver)
	gate.allow(0)
	const steps = 40 // four times the idle timeout
	assert.NilError(t, from.Send(LaneTraffic, messageOf(steps*frameTargetBytes/8)))
	for range steps {
		gate.allow(frameTargetBytes / 8)
		time.Sleep(step)
	}
	select {
	case <-to.Done():
		t.Error("the session has ended")
	default:
	}
	gate.openGate()
	r.waitFor(t, steps*frameTargetBytes/8)
}
