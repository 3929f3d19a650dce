package wire

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/rotisserie/eris"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/internal/boottime"
)

// Session is an established connection to one peer. It is safe for concurrent
// use.
type Session struct {
	opts  Options
	mux   *yamux.Session
	lanes [laneCount]*lane
	peer  *wirepb.Hello
	meter *meter
	// established is set once the handshake has ended. The lanes do not change
	// any more.
	established atomic.Bool

	// lastReceived is when bytes last arrived from the peer, on the boot time
	// clock, which never steps.
	lastReceived moment
	// lastSent is when the last frame was sent to the peer on any lane.
	lastSent moment

	calls     callTable
	closeOnce sync.Once
	done      chan struct{}

	mu     sync.Mutex
	closed bool
	// readers counts the read loops in progress. None begins once closed is set.
	readers sync.WaitGroup
}

// Dial connects to the listener of a peer and runs the handshake. Cancelling
// ctx stops the attempt at any stage. The caller must call Start on the
// session. The error wraps ErrWrongVersion or ErrWrongCluster if the peer does
// not match.
func Dial(ctx context.Context, address string, opts Options) (*Session, error) {
	conn, err := connect(ctx, address, opts.connectInterval())
	if err != nil {
		return nil, eris.Wrapf(err, "dial %s", address)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	s, err := handshake(ctx, conn, opts)
	if !stop() && ctx.Err() != nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = conn.Close()
		return nil, eris.Wrapf(err, "handshake with %s", address)
	}
	return s, nil
}

// handshake turns a new client connection into a session.
func handshake(ctx context.Context, conn net.Conn, opts Options) (*Session, error) {
	conn, err := secureClient(ctx, conn, opts.TLS)
	if err != nil {
		return nil, eris.Wrap(err, "secure")
	}
	return newSession(conn, opts, true)
}

// newSession creates a session on conn: it opens the lanes and exchanges
// hellos.
func newSession(conn net.Conn, opts Options, client bool) (*Session, error) {
	deadline := time.Now().Add(handshakeTimeout)
	if err := conn.SetDeadline(deadline); err != nil {
		return nil, eris.Wrap(err, "set handshake deadline")
	}
	s := &Session{opts: opts, meter: newMeter(opts.Scope), done: make(chan struct{})}
	s.calls.init()
	mux, err := newMux(conn, client, s.expireReads)
	if err != nil {
		return nil, err
	}
	s.mux = mux
	if err := s.openLanes(client); err != nil {
		_ = mux.Close()
		return nil, err
	}
	if err := s.exchangeHello(); err != nil {
		_ = mux.Close()
		return nil, err
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		_ = mux.Close()
		return nil, eris.Wrap(err, "clear handshake deadline")
	}
	s.lastReceived.setNow()
	s.established.Store(true)
	return s, nil
}

// Start begins to read, write and call the handler. A session from Dial does
// none of these before, so that the caller can first store it where its handler
// looks it up.
func (s *Session) Start() {
	if !s.addReaders() {
		return
	}
	for _, l := range s.lanes {
		go l.writeLoop()
		go l.readLoop()
	}
	go s.watchIdle()
}

// addReaders counts the read loops that are about to begin. It reports whether
// the session is still open.
func (s *Session) addReaders() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.readers.Add(laneCount)
	}
	return !s.closed
}

// endReaders keeps further read loops from beginning.
func (s *Session) endReaders() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
}

// Peer returns the hello message of the peer.
func (s *Session) Peer() *wirepb.Hello { return s.peer }

// Done returns a channel that is closed when the session has ended.
func (s *Session) Done() <-chan struct{} { return s.done }

// Send queues a message on a lane and does not wait until it is written. The
// message must not be changed afterwards. Errors: ErrClosed, ErrQueueFull.
func (s *Session) Send(lane Lane, e *wirepb.Envelope) error {
	return s.lanes[lane].enqueue(e)
}

// Call sends a request and waits for its reply. A Fault reply is returned as a
// *FaultError. After ErrClosed or the context's error the outcome of the
// request is unknown.
func (s *Session) Call(ctx context.Context, lane Lane, e *wirepb.Envelope) (*wirepb.Envelope, error) {
	number, reply := s.calls.add()
	defer s.calls.remove(number)
	e.Call = number
	if err := s.Send(lane, e); err != nil {
		return nil, err
	}
	select {
	case r := <-reply:
		if f := r.GetFault(); f != nil {
			return nil, &FaultError{Fault: f}
		}
		return r, nil
	case <-s.done:
		return nil, ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Reply sends e as the reply to the request with the given call number.
func (s *Session) Reply(lane Lane, call uint64, e *wirepb.Envelope) error {
	e.Reply = call
	return s.Send(lane, e)
}

// Close ends the session at once. Queued messages are not sent.
func (s *Session) Close() {
	s.closeOnce.Do(func() {
		// The lanes close first, so that no message is accepted once Done is closed.
		for _, l := range s.lanes {
			l.close()
		}
		close(s.done)
		s.endReaders()
		_ = s.mux.Close()
		if s.opts.OnClosed != nil {
			go s.tellClosed()
		}
	})
}

// tellClosed calls OnClosed after the last message was handled. Messages that
// had arrived before the session was closed may still be read then.
func (s *Session) tellClosed() {
	s.readers.Wait()
	s.opts.OnClosed(s)
}

// Silence returns the time since bytes last arrived from the peer.
func (s *Session) Silence() time.Duration { return boottime.Now() - s.lastReceived.get() }

// deliver passes a received message to the call that waits for it, or to the
// handler.
func (s *Session) deliver(e *wirepb.Envelope) {
	if e.Reply != 0 {
		if !s.calls.resolve(e) {
			s.meter.dropped("late_reply")
		}
		return
	}
	s.opts.Handler(s, e)
}

// watchIdle sends heartbeats when nothing else was sent and closes the session
// when the peer is silent.
func (s *Session) watchIdle() {
	timer := time.NewTimer(untilNextTick(s.opts.heartbeatInterval()))
	defer timer.Stop()
	detector := newIdleDetector(&s.opts, boottime.Now())
	for {
		select {
		case <-s.done:
			return
		case <-timer.C:
			now := boottime.Now()
			if silence, expired := detector.check(now, s.lastReceived.get()); expired {
				s.opts.Log.Info("session silent, closing", "peer", s.peer.GetName(), "silent_ms", silence.Milliseconds())
				s.meter.dropped("silent_session")
				s.Close()
				return
			}
			if now-s.lastSent.get() >= s.opts.heartbeatInterval() {
				s.lanes[LaneUrgent].enqueueHeartbeat()
			}
			timer.Reset(detector.untilNextCheck(now, untilNextTick(s.opts.heartbeatInterval())))
		}
	}
}
