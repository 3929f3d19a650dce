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
)

// Session is an established connection to one peer.
type Session struct {
	opts  Options
	mux   *yamux.Session
	lanes [laneCount]*lane
	peer  *wirepb.Hello
	meter *meter

	// received is the time of the last bytes from the peer, in Unix
	// nanoseconds.
	received atomic.Int64
	// sent is the time of the last frame to the peer on any lane.
	sent atomic.Int64

	calls     callTable
	closeOnce sync.Once
	done      chan struct{}
}

// Dial connects to a peer's listener; the end of ctx ends the attempt at any
// stage. The error wraps ErrWrongVersion or ErrWrongCluster when the peer does
// not fit.
func Dial(ctx context.Context, address string, opts Options) (*Session, error) {
	dialer := net.Dialer{Timeout: opts.connect()}
	conn, err := dialer.DialContext(ctx, "tcp", address)
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

// handshake makes a session of a new connection.
func handshake(ctx context.Context, conn net.Conn, opts Options) (*Session, error) {
	conn, err := secureClient(ctx, conn, opts.TLS)
	if err != nil {
		return nil, eris.Wrap(err, "secure")
	}
	return newSession(conn, opts, true)
}

// newSession runs the handshake on conn.
func newSession(conn net.Conn, opts Options, client bool) (*Session, error) {
	deadline := time.Now().Add(handshakeTimeout)
	if err := conn.SetDeadline(deadline); err != nil {
		return nil, eris.Wrap(err, "set handshake deadline")
	}
	mux, err := newMux(conn, client)
	if err != nil {
		return nil, err
	}
	s := &Session{opts: opts, mux: mux, meter: newMeter(opts.Scope), done: make(chan struct{})}
	s.calls.init()
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
	s.received.Store(time.Now().UnixNano())
	return s, nil
}

// Start begins to read, write and call the handler. A session from Dial does
// none of it before, so that the caller can first put it where its handler
// looks.
func (s *Session) Start() {
	for _, l := range s.lanes {
		go l.writeLoop()
		go l.readLoop()
	}
	go s.watchIdle()
}

// Peer is what the other side said about itself.
func (s *Session) Peer() *wirepb.Hello { return s.peer }

// Done is closed when the session has ended.
func (s *Session) Done() <-chan struct{} { return s.done }

// Send queues a message on a lane and does not wait for it to leave. The
// message must not be changed afterwards. Errors: ErrClosed, ErrQueueFull.
func (s *Session) Send(on Lane, e *wirepb.Envelope) error {
	return s.lanes[on].push(e)
}

// Call sends a request and waits for its reply. A reply that is a Fault is
// returned as a *FaultError. After ErrClosed or the context's error the
// outcome of the request is unknown.
func (s *Session) Call(ctx context.Context, on Lane, e *wirepb.Envelope) (*wirepb.Envelope, error) {
	number, reply := s.calls.open()
	defer s.calls.drop(number)
	e.Call = number
	if err := s.Send(on, e); err != nil {
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

// Reply answers the request with the given call number.
func (s *Session) Reply(on Lane, call uint64, e *wirepb.Envelope) error {
	e.Reply = call
	return s.Send(on, e)
}

// Close ends the session at once. What still waits is not sent.
func (s *Session) Close() {
	s.closeOnce.Do(func() {
		// Once the end can be seen, nothing more is taken for sending.
		for _, l := range s.lanes {
			l.close()
		}
		close(s.done)
		_ = s.mux.Close()
		if s.opts.Closed != nil {
			go s.opts.Closed(s)
		}
	})
}

// dispatch hands one received message to its waiting call or the handler.
func (s *Session) dispatch(e *wirepb.Envelope) {
	if e.Reply != 0 {
		if !s.calls.answer(e) {
			s.meter.dropped("late_reply")
		}
		return
	}
	s.opts.Handler(s, e)
}

// watchIdle sends heartbeats on an idle session and closes a silent one.
func (s *Session) watchIdle() {
	tick := time.NewTimer(untilTick(s.opts.heartbeat()))
	defer tick.Stop()
	watch := newIdleWatch(&s.opts, time.Now())
	for {
		select {
		case <-s.done:
			return
		case <-tick.C:
			now := time.Now()
			if silence, over := watch.look(now, time.Unix(0, s.received.Load())); over {
				s.opts.Log.Info("session silent, closing", "peer", s.peer.GetName(), "silent_ms", silence.Milliseconds())
				s.meter.dropped("silent_session")
				s.Close()
				return
			}
			if now.UnixNano()-s.sent.Load() >= int64(s.opts.heartbeat()) {
				s.lanes[LaneUrgent].heartbeat()
			}
			tick.Reset(untilTick(s.opts.heartbeat()))
		}
	}
}
