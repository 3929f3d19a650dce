package wire

import (
	"crypto/tls"
	"net"
	"sync"

	"github.com/rotisserie/eris"
)

// Listener accepts sessions from peers.
type Listener struct {
	opts     Options
	listener net.Listener
	meter    *meter

	mu       sync.Mutex
	sessions map[*Session]struct{}
	closed   bool
}

// Listen opens a listener on a TCP address. With port 0 the kernel chooses the
// port. Serve must be called to accept sessions.
func Listen(address string, opts Options) (*Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", address)
	}
	if opts.TLS != nil {
		l = tls.NewListener(l, opts.TLS)
	}
	return &Listener{opts: opts, listener: l, meter: newMeter(opts.Scope), sessions: map[*Session]struct{}{}}, nil
}

// Address returns the listen address with the actual port.
func (l *Listener) Address() string { return l.listener.Addr().String() }

// Serve accepts sessions until Close. Connections whose handshake fails are
// closed and counted.
func (l *Listener) Serve() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.acceptConn(conn)
	}
}

// acceptConn runs the handshake on a connection and starts the session.
func (l *Listener) acceptConn(conn net.Conn) {
	opts := l.opts
	opts.OnClosed = func(s *Session) {
		l.removeSession(s)
		if l.opts.OnClosed != nil {
			l.opts.OnClosed(s)
		}
	}
	s, err := newSession(conn, opts, false)
	if err != nil {
		l.meter.dropped("bad_peer")
		l.opts.Log.V(1).Info("peer dropped", "remote", conn.RemoteAddr().String(), "error", err.Error())
		_ = conn.Close()
		return
	}
	if !l.addSession(s) {
		s.Close()
		return
	}
	s.Start()
}

// addSession records a session. It reports whether the listener is still open.
func (l *Listener) addSession(s *Session) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.sessions[s] = struct{}{}
	return true
}

func (l *Listener) removeSession(s *Session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.sessions, s)
}

// Close stops accepting and closes all accepted sessions.
func (l *Listener) Close() {
	_ = l.listener.Close()
	l.mu.Lock()
	l.closed = true
	open := make([]*Session, 0, len(l.sessions))
	for s := range l.sessions {
		open = append(open, s)
	}
	l.mu.Unlock()
	for _, s := range open {
		s.Close()
	}
}
